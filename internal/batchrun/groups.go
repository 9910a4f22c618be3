package batchrun

import (
	"cmp"
	"slices"
	"time"

	"github.com/go-kit/log/level"
)

// itemGroup holds the items of a job that share a prompt. A trainer uses a group once the results of all its items are listed.
type itemGroup struct {
	items []*item
	// renewed is true once items of the group were restarted for the later job into which they will be carried over.
	renewed bool
	// spare is true while the trainer is not expected to wait for the group.
	spare bool
	// timeLeft is the expected remaining time of the group's last item.
	timeLeft time.Duration
}

// finished reports whether all items have a result.
func (g *itemGroup) finished() bool {
	return !slices.ContainsFunc(g.items, func(it *item) bool { return it.phase != phaseFinished })
}

// carriedOver reports whether the group was carried over from an earlier job. Its trainer always waits for such a group.
func (g *itemGroup) carriedOver() bool {
	return slices.ContainsFunc(g.items, func(it *item) bool { return it.carriedOver })
}

// assumeCarriedOver marks the groups that may have been carried over: they come first, and are at most half of the groups that the trainer requested.
func (j *job) assumeCarriedOver() {
	for _, group := range j.groups[:min((j.Desired+1)/2, len(j.groups))] {
		for _, it := range group.items {
			it.carriedOver = true
		}
	}
}

// newGroups divides items by their group. An item without a group forms its own.
func newGroups(items []*item) []*itemGroup {
	var groups []*itemGroup
	byName := make(map[string]*itemGroup)
	for _, it := range items {
		group, ok := byName[it.Group]
		if !ok || it.Group == "" {
			group = &itemGroup{}
			groups = append(groups, group)
			byName[it.Group] = group
		}
		group.items = append(group.items, it)
		it.group = group
	}
	return groups
}

// groupForecast holds the criteria for whether a trainer is expected to wait for a group.
type groupForecast struct {
	finished bool
	// required is true for a group that the trainer always waits for. renewed is true for a group that was restarted and will complete too late
	// for this job.
	required, renewed bool
	timeLeft          time.Duration
}

// spareGroups returns the groups of a job that its trainer is not expected to wait for: the slowest of those beyond the desired number. longest is
// the longest remaining time of the other groups.
func spareGroups(forecasts []groupForecast, desired int) (spare []bool, longest time.Duration) {
	spare = make([]bool, len(forecasts))
	unfinished := 0
	var optional []int
	for i, forecast := range forecasts {
		if forecast.finished {
			desired--
			continue
		}
		unfinished++
		if !forecast.required {
			optional = append(optional, i)
		}
	}
	slices.SortStableFunc(optional, func(a, b int) int {
		x, y := forecasts[a], forecasts[b]
		if x.renewed != y.renewed {
			if x.renewed {
				return -1
			}
			return 1
		}
		return cmp.Compare(y.timeLeft, x.timeLeft)
	})
	for _, i := range optional[:min(max(unfinished-max(desired, 0), 0), len(optional))] {
		spare[i] = true
	}
	for i, forecast := range forecasts {
		if !forecast.finished && !spare[i] {
			longest = max(longest, forecast.timeLeft)
		}
	}
	return spare, longest
}

// updateForecast updates the expected times and spare groups of a job. The mutex must be held.
func (r *Runner) updateForecast(j *job) {
	forecasts := make([]groupForecast, 0, len(j.groups))
	for _, group := range j.groups {
		group.timeLeft = 0
		for _, it := range group.items {
			group.timeLeft = max(group.timeLeft, r.timeLeft(it))
		}
		forecasts = append(forecasts, groupForecast{
			finished: group.finished(),
			required: group.carriedOver(),
			renewed:  group.renewed,
			timeLeft: group.timeLeft,
		})
	}
	desired := j.Desired
	if desired <= 0 {
		desired = len(j.groups)
	}
	var spare []bool
	spare, j.longest = spareGroups(forecasts, desired)
	for i, group := range j.groups {
		group.spare = spare[i]
	}
}

// logProgress logs the state of a job's groups when its end is requested. The mutex must be held.
func (r *Runner) logProgress(j *job) {
	complete, spare, renewed, carriedOver, unfinished := 0, 0, 0, 0, 0
	for _, group := range j.groups {
		switch {
		case group.finished():
			complete++
		case group.renewed:
			renewed++
		case group.spare:
			spare++
		default:
			unfinished++
		}
		if group.carriedOver() {
			carriedOver++
		}
	}
	after := r.now().Sub(j.accepted)
	r.Observer.JobEnded(after)
	level.Info(r.Logger).Log("msg", "job ends", "request", j.ID, "step", j.Step, "after", after.Round(time.Millisecond),
		"desired", j.Desired, "groups", len(j.groups), "came_again", carriedOver, "whole", complete, "dead_items", j.dead, "spare", spare,
		"renewed", renewed, "unfinished", unfinished)
}

// timeLeft returns the expected remaining time of an item's text, at its engine or at the fleet's average interval. The mutex must be held.
func (r *Runner) timeLeft(it *item) time.Duration {
	interval := r.fleetInterval.value()
	switch it.phase {
	case phaseFinished, phaseScoring:
		return 0
	case phaseRunning:
		interval = r.recordOf(it.run.engine).eventInterval(r.now())
	}
	return time.Duration(r.lengths.remaining(it.ExpectedLength, it.text.Len()) * float64(interval))
}
