package batchrun

import (
	"sort"
	"time"

	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/routing"
)

// waitingItem is an item in the queue for an engine.
type waitingItem struct {
	item    *item
	route   *routing.Route
	urgency urgency
}

// urgency is the sort key of the queue.
type urgency struct {
	// rank is the priority of the job's tenant and route.
	rank routing.Rank
	// renewed is true for items restarted for a later job. Only the few engines with that job's weights can take them.
	renewed bool
	// spare is true for items of groups that the trainer is not expected to wait for.
	spare bool
	// latestStart is when the item must start for its text to be complete by the result deadline of its job.
	latestStart time.Time
}

// before reports whether an item is placed before another: by rank, then renewed items, then items of groups that are not spare, then the least slack.
// Long items thus precede short ones, also across jobs. Slack shrinks over time, so that no item starves.
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

// waitingItems returns the queue in placement order, and gives up items without a route or beyond the route's MaxQueue.
func (r *Runner) waitingItems(view *fleet.View) []waitingItem {
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
				r.giveUp(it, "no matching route, or queued longer than the route allows")
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
