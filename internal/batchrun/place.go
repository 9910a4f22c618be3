package batchrun

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"github.com/covelink/covelink/coord/rendezvous"
	"github.com/covelink/covelink/internal/pause"
	"github.com/covelink/covelink/internal/quarantine"
	"github.com/covelink/covelink/internal/routing"
)

const (
	// scheduleInterval is the longest delay between two scheduling passes while items wait.
	scheduleInterval = 100 * time.Millisecond
	// schedulePauseFactor is the minimum delay after a scheduling pass, as a multiple of the pass's duration. The delay coalesces wake-ups.
	schedulePauseFactor = 4
	// idleInterval is the longest delay between two scheduling passes while no items wait.
	idleInterval = time.Second
	// defaultSlots applies to engines that report no slot count.
	defaultSlots = 4
	// moveInterval is the delay between two checks for items that would end sooner at another engine.
	moveInterval = 200 * time.Millisecond
	// slackShare is the share of the remaining time of a job's longest group that an item's text may take at a slower engine.
	slackShare = 0.5
)

// scheduleUntil runs scheduling passes until ctx ends.
func (r *Runner) scheduleUntil(ctx context.Context) {
	var movedAt time.Time
	running := 0
	for ctx.Err() == nil {
		_, changed := r.State.Changed()
		r.mu.Lock()
		started := r.now()
		pass := r.newSchedulingPass(r.State.View())
		drainDelay := r.drainEvacuatedZones(pass)
		r.renewSpareGroups(pass)
		if started.Sub(movedAt) >= moveInterval {
			running, movedAt = r.moveFromSlowEngines(pass), started
			r.expireDetached()
			r.expireRuns()
		}
		left := r.schedule(pass)
		took := r.now().Sub(started)
		r.mu.Unlock()
		interval := idleInterval
		switch {
		case left > 0:
			interval = scheduleInterval
		case running > 0:
			interval = moveInterval
		}
		pause.For(ctx, min(schedulePauseFactor*took, scheduleInterval))
		timer := time.NewTimer(min(interval, drainDelay))
		select {
		case <-r.wake:
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// schedule starts as many waiting items as engines can take, and returns the number of items left. The mutex must be held.
func (r *Runner) schedule(pass *schedulingPass) int {
	if pass.view.Routes == nil {
		return 0
	}
	left := 0
	for _, waiting := range r.waitingItems(pass.view) {
		if waiting.item.text.Whole {
			r.startRewardCall(waiting.item)
			continue
		}
		if waiting.item.notBefore.After(pass.now) {
			left++
			continue
		}
		status := r.quarantineStatus(waiting.item)
		if r.heldByQuarantine(waiting.item, status, pass.now) {
			left++
			continue
		}
		// Items of one group share a prompt, hence their engines, so an engine fault isolates all of them. Running them on separate engines shows
		// which item causes the fault.
		isolated := status.State >= quarantine.Isolated
		chosen := r.place(pass, waiting, isolated)
		if chosen == nil || !r.canExecute(waiting.item) {
			left++
			continue
		}
		sendWithin, ok := r.takeGrant(chosen.engine, waiting.urgency.rank)
		if !ok {
			// A request of the same or higher rank is waiting for the engine's grants, or has taken the last one.
			pass.refresh(chosen)
			left++
			continue
		}
		waiting.item.trial = trialNone
		r.start(waiting.item, waiting.route, chosen.engine, startOptions{isolated: isolated, sendWithin: sendWithin})
		pass.refresh(chosen)
	}
	return left
}

// place chooses the engine for a waiting item, or returns nil if none can take it now. An isolated item waits for an engine without another isolated
// run.
func (r *Runner) place(pass *schedulingPass, waiting waitingItem, isolated bool) *candidate {
	it := waiting.item
	minVersion := r.preferredVersion(pass, waiting.route, it)
	if isolated {
		return pass.chooseIsolated(waiting.route, it, minVersion)
	}
	if it.moves > 0 {
		// The job waits for an item that was moved.
		return pass.chooseForMoved(waiting.route, it, minVersion)
	}
	events := r.lengths.remainingAtMost(it.ExpectedLength, it.text.Len())
	return pass.chooseWithSlack(waiting.route, it, minVersion, events, time.Duration(slackShare*float64(it.job.longest)))
}

// moveFromSlowEngines cancels runs on engines that are slower than another engine with free slots, so that their items resume there. Items with the
// most time left come first, at most one per engine. It returns the number of running items. The mutex must be held.
func (r *Runner) moveFromSlowEngines(pass *schedulingPass) (running int) {
	if pass.view.Routes == nil {
		return 0
	}
	candidates := r.runningItems()
	slices.SortStableFunc(candidates, func(a, b runningItem) int { return cmp.Compare(b.timeLeft, a.timeLeft) })
	moved := make(map[string]struct{})
	for _, candidate := range candidates {
		if candidate.timeLeft < moveCost {
			break
		}
		if _, done := moved[candidate.item.run.engine]; !done && r.moveIfFaster(pass, candidate) {
			moved[candidate.item.run.engine] = struct{}{}
		}
	}
	return len(candidates)
}

// runningItem is an item with a run in progress, and its expected remaining time there.
type runningItem struct {
	item     *item
	timeLeft time.Duration
}

func (r *Runner) runningItems() []runningItem {
	var found []runningItem
	for _, j := range r.order {
		if j.ended {
			continue
		}
		for _, it := range j.items {
			if it.phase == phaseRunning {
				found = append(found, runningItem{item: it, timeLeft: r.timeLeft(it)})
			}
		}
	}
	return found
}

// moveIfFaster moves an item if another engine is expected to end it sooner by at least moveCost.
func (r *Runner) moveIfFaster(pass *schedulingPass, candidate runningItem) bool {
	it := candidate.item
	if it.run.moving || pass.now.Sub(it.run.started) < minMoveAge<<min(it.moves, maxMoveBackoff) {
		return false
	}
	route := pass.view.Routes.Match(it.job.Host, it.Path)
	if route == nil {
		return false
	}
	ownInterval := r.recordOf(it.run.engine).eventInterval(pass.now)
	other, otherInterval := pass.choose(route, it, r.preferredVersion(pass, route, it))
	if other == nil || other.engine.ID == it.run.engine || r.isCold(other.engine) || ownInterval.Seconds() < minMoveSpeedup*otherInterval {
		return false
	}
	gain := time.Duration(float64(candidate.timeLeft) * (1 - otherInterval/ownInterval.Seconds()))
	if gain < moveCost {
		return false
	}
	level.Info(r.Logger).Log("msg", "item moved", "request", it.ID, "job", it.job.ID, "from", it.run.engine, "to", other.engine.ID,
		"pause", ownInterval.Round(time.Millisecond), "other_pause", time.Duration(otherInterval*float64(time.Second)).Round(time.Millisecond),
		"gain", gain.Round(time.Millisecond), "text_events", it.text.Len())
	r.Observer.HandedOver(HandOverSlow)
	it.moves++
	it.run.moving = true
	it.run.cancel()
	return true
}

// hashFraction maps item IDs uniformly to [0, 1).
func hashFraction(id string) float64 {
	return float64(rendezvous.Hash(id)>>11) / (1 << 53)
}

// route returns an item's route, or nil if no route matches.
func (r *Runner) route(it *item) *routing.Route {
	return r.State.View().Routes.Match(it.job.Host, it.Path)
}

// singleVersion reports whether a single weight version must produce an item's whole text.
func (r *Runner) singleVersion(it *item) bool {
	route := r.route(it)
	return route != nil && route.SingleVersion
}
