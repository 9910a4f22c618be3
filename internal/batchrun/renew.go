package batchrun

import (
	"time"

	"github.com/go-kit/log/level"

	"github.com/covelink/covelink/internal/itemwork"
	"github.com/covelink/covelink/internal/routing"
)

const (
	// renewWait is how long an item that is begun anew waits for an engine of the version it is meant for. Nothing may be at no
	// engine for long.
	renewWait = time.Second
)

// returnOffset is by how much the job in which items come again demands newer weights than the one they were left unfinished in:
// what was seen last, and at least one version for each job that the model's trainers have open. A trainer's first jobs all demand
// the first version, which tells nothing. The mutex must be held.
func (r *Runner) returnOffset(model string) int64 {
	open := int64(0)
	for _, j := range r.order {
		if !j.ended && j.Model == model {
			open++
		}
	}
	return max(open, r.returnOffsets[model], 1)
}

// returnVersion is the oldest version that the job is expected to allow in which unfinished items of this one come again. The
// mutex must be held.
func (r *Runner) returnVersion(j *job) int64 { return j.MinVersion + r.returnOffset(j.Model) }

// renewSpare begins items anew that the trainer is not expected to wait for, at engines whose weights the job allows in which the
// items will come again. Their texts so far are of no use to it; what is made now is. The mutex must be held.
func (r *Runner) renewSpare(looked *look) {
	if looked.view.Routes == nil {
		return
	}
	for _, j := range r.order {
		if j.ended {
			continue
		}
		r.outlook(j)
		for _, group := range j.groups {
			if group.spare {
				r.renewGroup(looked, group, r.returnVersion(j))
			}
		}
	}
}

// renewGroup begins the running items of a group anew whose texts the version does not allow, as far as engines of it have room.
func (r *Runner) renewGroup(looked *look, group *itemGroup, version int64) {
	for _, it := range group.items {
		if it.phase != phaseRunning || it.run.moving || it.text.Len() == 0 || it.text.Fits(itemwork.Bounds{MinVersion: version}) {
			continue
		}
		route := looked.view.Routes.Match(it.job.Host, it.Path)
		if route == nil {
			continue
		}
		chosen, _ := looked.choose(route, it, version)
		if chosen == nil {
			return
		}
		level.Info(r.Logger).Log("msg", "item begun anew for a later job", "request", it.ID, "job", it.job.ID, "version", version,
			"text_events", it.text.Len(), "expected_tokens", it.ExpectedLength, "from", it.run.engine, "to", chosen.engine.ID)
		r.Observer.HandedOver(HandOverRenewed)
		group.renewed = true
		it.renewing, it.preferVersion, it.preferUntil = true, version, looked.now.Add(renewWait)
		it.run.moving = true
		it.run.cancel()
	}
}

// preferred returns the version that a waiting item had better get, zero if any will do.
func (r *Runner) preferred(looked *look, route *routing.Route, it *item) int64 {
	switch {
	case it.preferUntil.After(looked.now):
		return it.preferVersion
	case it.group.spare:
		version := r.returnVersion(it.job)
		if chosen, _ := looked.choose(route, it, version); chosen != nil {
			return version
		}
	}
	return 0
}
