package batchrun

import (
	"sort"
	"time"

	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/routing"
)

// waitingItem is an item that waits for an engine.
type waitingItem struct {
	item    *item
	route   *routing.Route
	urgency urgency
}

// urgency is what the order of waiting items rests on.
type urgency struct {
	// rank is that of the job's tenant and route.
	rank routing.Rank
	// renewed items are begun anew for a later job, at the few engines that have its weights.
	renewed bool
	// spare items are of groups that their trainer is not expected to wait for.
	spare bool
	// latestStart is when the item must begin for its text to be whole when the results of its job are due.
	latestStart time.Time
}

// before reports whether an item is placed before another: the least slack goes first, so that within a job the longest do, and
// a long item of a later job need not wait for the short ones of an earlier. Slack shrinks as time passes: nothing waits forever.
func (u urgency) before(other urgency) bool {
	if order := u.rank.Compare(other.rank); order != 0 {
		return order < 0
	}
	if u.renewed != other.renewed {
		return u.renewed
	}
	if u.spare != other.spare {
		return other.spare
	}
	return u.latestStart.Before(other.latestStart)
}

// waiting returns the items that wait, those first that are placed first, and gives up those that have waited too long.
func (r *Runner) waiting(view *fleet.View) []waitingItem {
	var entries []waitingItem
	now := r.now()
	for _, j := range r.order {
		if j.ended {
			continue
		}
		for _, it := range j.items {
			if it.phase != phaseWaiting {
				continue
			}
			route := view.Routes.Match(j.Host, it.Path)
			if route == nil || (route.MaxQueue > 0 && now.Sub(j.accepted) > route.MaxQueue) {
				r.giveUp(it, "route gone or waited too long")
				continue
			}
			entries = append(entries, waitingItem{item: it, route: route, urgency: urgency{
				rank:        view.Routes.Rank(route, j.Tenant),
				renewed:     it.preferUntil.After(now),
				spare:       it.group.spare,
				latestStart: j.accepted.Add(route.ResultDeadline - r.timeLeft(it)),
			}})
		}
	}
	sort.SliceStable(entries, func(a, b int) bool { return entries[a].urgency.before(entries[b].urgency) })
	return entries
}
