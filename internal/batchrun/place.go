package batchrun

import (
	"context"
	"time"

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
	// moveInterval is the delay between two checks for items that would end sooner at another engine.
	moveInterval = 200 * time.Millisecond
	// slackShare is the share of the remaining time of a job's longest group that an item's text may take at a slower engine. It is well below 1
	// because one length in six is off by half.
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
		r.start(waiting.item, waiting.route, chosen.engine, startOptions{isolated: isolated, trial: waiting.item.takeTrial(), sendWithin: sendWithin})
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
