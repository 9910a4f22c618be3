package batchrun

import (
	"cmp"
	"slices"
	"time"

	"github.com/go-kit/log/level"
)

// itemGroup are the items of a job that share a prompt. A trainer uses a group once the results of all its items are listed.
type itemGroup struct {
	items []*item
	// renewed is true once items of the group were begun anew for the job in which they will come again.
	renewed bool
	// spare is true while the trainer is not expected to wait for the group.
	spare bool
	// timeLeft is how long the last of its items is expected to take from now on.
	timeLeft time.Duration
}

// finished reports whether all items have a result.
func (g *itemGroup) finished() bool {
	return !slices.ContainsFunc(g.items, func(it *item) bool { return it.phase != phaseFinished })
}

// carried reports whether the group comes again from an earlier job: its trainer waits for it in any case.
func (g *itemGroup) carried() bool {
	return slices.ContainsFunc(g.items, func(it *item) bool { return it.carried })
}

// assumeCarried takes the groups for carried that may be: they stand first, and are at most half of those that the trainer wants.
func (j *job) assumeCarried() {
	for _, group := range j.groups[:min((j.Desired+1)/2, len(j.groups))] {
		for _, it := range group.items {
			it.carried = true
		}
	}
}

// newGroups divides items by their group; an item that names none is a group of its own.
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

// groupOutlook is what decides whether a trainer is expected to wait for a group.
type groupOutlook struct {
	finished bool
	// required groups are waited for in any case, renewed ones are whole too late for this job.
	required, renewed bool
	timeLeft          time.Duration
}

// spareGroups returns which of a job's groups its trainer is not expected to wait for, as it wants only so many: those that take
// longest. It also returns the longest time that a group takes which is waited for.
func spareGroups(outlooks []groupOutlook, desired int) (spare []bool, longest time.Duration) {
	spare = make([]bool, len(outlooks))
	unfinished := 0
	var optional []int
	for i, outlook := range outlooks {
		if outlook.finished {
			desired--
			continue
		}
		unfinished++
		if !outlook.required {
			optional = append(optional, i)
		}
	}
	slices.SortStableFunc(optional, func(a, b int) int {
		x, y := outlooks[a], outlooks[b]
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
	for i, outlook := range outlooks {
		if !outlook.finished && !spare[i] {
			longest = max(longest, outlook.timeLeft)
		}
	}
	return spare, longest
}

// outlook updates what is expected of a job's groups. The mutex must be held.
func (r *Runner) outlook(j *job) {
	outlooks := make([]groupOutlook, 0, len(j.groups))
	for _, group := range j.groups {
		group.timeLeft = 0
		for _, it := range group.items {
			group.timeLeft = max(group.timeLeft, r.timeLeft(it))
		}
		outlooks = append(outlooks, groupOutlook{
			finished: group.finished(),
			required: group.carried(),
			renewed:  group.renewed,
			timeLeft: group.timeLeft,
		})
	}
	desired := j.Desired
	if desired <= 0 {
		desired = len(j.groups)
	}
	var spare []bool
	spare, j.longest = spareGroups(outlooks, desired)
	for i, group := range j.groups {
		group.spare = spare[i]
	}
}

// logEnd tells how far a job had come when its end was asked for. The mutex must be held.
func (r *Runner) logEnd(j *job) {
	whole, spare, renewed, cameAgain, unfinished := 0, 0, 0, 0, 0
	for _, group := range j.groups {
		switch {
		case group.finished():
			whole++
		case group.renewed:
			renewed++
		case group.spare:
			spare++
		default:
			unfinished++
		}
		if group.carried() {
			cameAgain++
		}
	}
	after := r.now().Sub(j.accepted)
	r.Observer.JobEnded(after)
	level.Info(r.Logger).Log("msg", "job ends", "request", j.ID, "step", j.Step, "after", after.Round(time.Millisecond),
		"desired", j.Desired, "groups", len(j.groups), "came_again", cameAgain, "whole", whole, "dead_items", j.dead, "spare", spare,
		"renewed", renewed, "unfinished", unfinished)
}

// timeLeft returns how long the rest of an item's text is expected to take, at its engine or at one of the usual pace. The mutex
// must be held.
func (r *Runner) timeLeft(it *item) time.Duration {
	pause := r.usual.value()
	switch it.phase {
	case phaseFinished, phaseJudging:
		return 0
	case phaseRunning:
		pause = r.engine(it.run.engine).pause(r.now())
	}
	return time.Duration(r.lengths.remaining(it.ExpectedLength, it.text.Len()) * float64(pause))
}
