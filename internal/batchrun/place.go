package batchrun

import (
	"context"
	"sort"
	"time"

	"github.com/go-kit/log/level"

	"github.com/covelink/covelink/coord/rendezvous"
	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/routing"
)

const (
	// scheduleInterval is the longest pause between two looks while items wait.
	scheduleInterval = 100 * time.Millisecond
	// idleInterval is the longest pause while nothing waits.
	idleInterval = time.Second
	// defaultSlots stands for engines that tell no slots.
	defaultSlots = 4
	// moveInterval is the pause between two looks for items that had better run elsewhere.
	moveInterval = 200 * time.Millisecond
	// moveAfter is how long an attempt is left alone before its item may be moved.
	moveAfter = 400 * time.Millisecond
	// moveFactor is how much slower an item's engine must be than another before the item is moved.
	moveFactor = 1.7
)

// scheduleUntil places items until ctx ends.
func (r *Runner) scheduleUntil(ctx context.Context) {
	for ctx.Err() == nil {
		_, changed := r.State.Changed()
		r.mu.Lock()
		left := r.schedule()
		running := r.moveSlow()
		r.loseUnheard()
		r.mu.Unlock()
		pause := idleInterval
		switch {
		case left > 0:
			pause = scheduleInterval
		case running > 0:
			pause = moveInterval
		}
		timer := time.NewTimer(pause)
		select {
		case <-r.wake:
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// schedule places as many waiting items as there is room for, and returns how many are left. The mutex must be held.
func (r *Runner) schedule() int {
	view := r.State.View()
	if view.Routes == nil {
		return 0
	}
	now := r.now()
	left := 0
	for _, waiting := range r.waiting(view) {
		if waiting.item.text.Whole {
			r.judgeHere(waiting.item)
			continue
		}
		if waiting.item.notBefore.After(now) {
			left++
			continue
		}
		engine, _ := r.choose(view, waiting.route, waiting.item, now)
		if engine == nil {
			left++
			continue
		}
		r.start(waiting.item, waiting.route, engine)
	}
	return left
}

// waitingItem is an item that waits for an engine.
type waitingItem struct {
	item  *item
	route *routing.Route
	// due is when the results of its job are.
	due time.Time
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
			entries = append(entries, waitingItem{item: it, route: route, due: j.accepted.Add(route.ResultDeadline)})
		}
	}
	sort.SliceStable(entries, func(a, b int) bool {
		x, y := entries[a], entries[b]
		if x.route.Priority != y.route.Priority {
			return x.route.Priority < y.route.Priority
		}
		if !x.due.Equal(y.due) {
			return x.due.Before(y.due)
		}
		return x.item.carried && !y.item.carried
	})
	return entries
}

// choose returns the engine for an item and the pause between events that is expected there, or nil if none can take it now.
func (r *Runner) choose(view *fleet.View, route *routing.Route, it *item, now time.Time) (best *fleet.Engine, bestCost float64) {
	for _, engine := range view.Ready(route.Pick(draw(it.ID))) {
		record := r.engine(engine.ID)
		slots := engine.Slots
		if slots <= 0 {
			slots = defaultSlots
		}
		if !r.canTake(record, engine, route, it, slots, now) {
			continue
		}
		cost := record.cost(slots, it.Prefix, now)
		if best == nil || cost < bestCost {
			best, bestCost = engine, cost
		}
	}
	return best, bestCost
}

// moveSlow ends attempts at engines that are much slower than another that has room, so that their items go on there, at most
// one an engine. It returns the number of items that run. The mutex must be held.
func (r *Runner) moveSlow() (running int) {
	view := r.State.View()
	now := r.now()
	moved := make(map[string]struct{})
	for _, j := range r.order {
		if j.ended || view.Routes == nil {
			continue
		}
		for _, it := range j.items {
			if it.phase != phaseRunning {
				continue
			}
			running++
			if _, done := moved[it.run.engine]; !done && r.moveIfSlow(view, it, now) {
				moved[it.run.engine] = struct{}{}
			}
		}
	}
	return running
}

func (r *Runner) moveIfSlow(view *fleet.View, it *item, now time.Time) bool {
	if it.run.moving || now.Sub(it.run.started) < moveAfter {
		return false
	}
	route := view.Routes.Match(it.job.Host, it.Path)
	if route == nil {
		return false
	}
	record := r.engine(it.run.engine)
	other, otherPause := r.choose(view, route, it, now)
	if other == nil || other.ID == it.run.engine || record.pause(now).Seconds() < moveFactor*otherPause {
		return false
	}
	level.Info(r.Logger).Log("msg", "item moved", "request", it.ID, "job", it.job.ID, "from", it.run.engine, "to", other.ID,
		"pause", record.pause(now).Round(time.Millisecond), "other_pause", time.Duration(otherPause*float64(time.Second)).Round(time.Millisecond),
		"text_events", it.text.Len())
	r.Observer.ItemMoved()
	it.run.moving = true
	it.run.cancel()
	return true
}

// canTake reports whether an engine can take an item now.
func (r *Runner) canTake(record *engineRecord, engine *fleet.Engine, route *routing.Route, it *item, slots int, now time.Time) bool {
	if record.running >= slots || record.asideTil.After(now) {
		return false
	}
	version := record.version(engine, it.job.Model, now)
	if version < it.job.MinVersion {
		return false
	}
	return !route.SingleVersion || len(it.text.Segments) == 0 || it.text.Segments[0].Version == version
}

// draw spreads items evenly over [0, 1) by their IDs.
func draw(id string) float64 {
	return float64(rendezvous.Hash(id)>>11) / (1 << 53)
}

// singleVersion reports whether an item's text must be made by one weight version.
func (r *Runner) singleVersion(it *item) bool {
	view := r.State.View()
	if view.Routes == nil {
		return false
	}
	route := view.Routes.Match(it.job.Host, it.Path)
	return route != nil && route.SingleVersion
}
