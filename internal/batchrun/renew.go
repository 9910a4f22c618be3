package batchrun

import (
	"time"

	"github.com/go-kit/log/level"

	"github.com/covelink/covelink/internal/itemwork"
	"github.com/covelink/covelink/internal/routing"
)

const (
	// renewWait bounds how long a restarted item waits for an engine of its preferred version before older versions are accepted.
	renewWait = time.Second
)

// carryOverOffset returns the expected increase in the required weight version for items carried over into a later job: the last observed increase,
// and at least one version per open job of the model, because a trainer's first jobs all require the first version. The mutex must be held.
func (r *Runner) carryOverOffset(model string) int64 {
	open := int64(0)
	for _, j := range r.order {
		if !j.ended && j.Model == model {
			open++
		}
	}
	return max(open, r.carryOverOffsets[model], 1)
}

// carryOverVersion returns the minimum weight version expected of the job into which unfinished items of job j are carried over. The mutex must be
// held.
func (r *Runner) carryOverVersion(j *job) int64 { return j.MinVersion + r.carryOverOffset(j.Model) }

// renewSpareGroups restarts items of spare groups at engines whose weights the later job allows, if their current texts are too old for that job.
// The mutex must be held.
func (r *Runner) renewSpareGroups(pass *schedulingPass) {
	if pass.view.Routes == nil {
		return
	}
	for _, j := range r.order {
		if j.ended {
			continue
		}
		r.updateForecast(j)
		for _, group := range j.groups {
			if group.spare {
				r.renewGroup(pass, group, r.carryOverVersion(j))
			}
		}
	}
}

// renewGroup restarts the running items of a group whose texts are older than the version, while engines of that version or newer have free slots.
func (r *Runner) renewGroup(pass *schedulingPass, group *itemGroup, version int64) {
	for _, it := range group.items {
		if it.phase != phaseRunning || it.run.moving || it.text.Len() == 0 || it.text.Fits(itemwork.Bounds{MinVersion: version}) {
			continue
		}
		route := pass.view.Routes.Match(it.job.Host, it.Path)
		if route == nil {
			continue
		}
		chosen, _ := pass.choose(route, it, version)
		if chosen == nil {
			return
		}
		level.Info(r.Logger).Log("msg", "item restarted for a later job", "request", it.ID, "job", it.job.ID, "version", version,
			"text_events", it.text.Len(), "expected_tokens", it.ExpectedLength, "from", it.run.engine, "to", chosen.engine.ID)
		r.Observer.HandedOver(HandOverRenewed)
		group.renewed = true
		it.renewing, it.preferVersion, it.preferUntil = true, version, pass.now.Add(renewWait)
		it.run.moving = true
		it.run.cancel()
	}
}

// preferredVersion returns the minimum version preferred for a waiting item, or zero for none.
func (r *Runner) preferredVersion(pass *schedulingPass, route *routing.Route, it *item) int64 {
	switch {
	case it.preferUntil.After(pass.now):
		return it.preferVersion
	case it.group.spare:
		version := r.carryOverVersion(it.job)
		if chosen, _ := pass.choose(route, it, version); chosen != nil {
			return version
		}
	}
	return 0
}
