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
	// scheduleInterval is the longest pause between two looks while items wait.
	scheduleInterval = 100 * time.Millisecond
	// restFactor is the least pause between two looks, relative to what the first took: many runs that end together are one look.
	restFactor = 4
	// idleInterval is the longest pause while nothing waits.
	idleInterval = time.Second
	// defaultSlots stands for engines that tell no slots.
	defaultSlots = 4
	// moveInterval is the pause between two looks for items that had better run elsewhere.
	moveInterval = 200 * time.Millisecond
	// moveAfter is how long an attempt is left alone before its item may be moved.
	moveAfter = 400 * time.Millisecond
	// unhurriedShare is the part of the time that the longest group of a job takes within which an item's text may take its time.
	// Lengths are off by half in one case of six, so that it stays well below one.
	unhurriedShare = 0.5
	// maxMoveBackoff bounds how often that time doubles with each move of the item: engines of one kind change places in what is
	// expected of them, and an item must not follow.
	maxMoveBackoff = 2
	// moveFactor is how much slower an item's engine must be than another before the item is moved: kinds of engines differ by 1.3, and
	// engines of one kind by less than 1.15.
	moveFactor = 1.15
	// minMoveGain is by how much sooner a moved item must be expected to end: a move costs it some 100 ms, and the expectation is off
	// by a third.
	minMoveGain = 300 * time.Millisecond
)

// scheduleUntil places items until ctx ends.
func (r *Runner) scheduleUntil(ctx context.Context) {
	var movedAt time.Time
	running := 0
	for ctx.Err() == nil {
		_, changed := r.State.Changed()
		r.mu.Lock()
		started := r.now()
		looked := r.newLook(r.State.View())
		emptyPause := r.emptyZones(looked)
		r.renewSpare(looked)
		if started.Sub(movedAt) >= moveInterval {
			running, movedAt = r.moveSlow(looked), started
			r.endDetached()
			r.loseUnheard()
		}
		left := r.schedule(looked)
		took := r.now().Sub(started)
		r.mu.Unlock()
		interval := idleInterval
		switch {
		case left > 0:
			interval = scheduleInterval
		case running > 0:
			interval = moveInterval
		}
		pause.For(ctx, min(restFactor*took, scheduleInterval))
		timer := time.NewTimer(min(interval, emptyPause))
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
func (r *Runner) schedule(looked *look) int {
	if looked.view.Routes == nil {
		return 0
	}
	left := 0
	for _, waiting := range r.waiting(looked.view) {
		if waiting.item.text.Whole {
			r.judgeHere(waiting.item)
			continue
		}
		if waiting.item.notBefore.After(looked.now) {
			left++
			continue
		}
		status := r.statusOf(waiting.item)
		if r.holdsBack(waiting.item, status, looked.now) {
			left++
			continue
		}
		// Items of one group share a prompt and so their engines, and were all held for what one of them did: the next end tells items that
		// run apart from each other.
		apart := status.Standing >= quarantine.Isolated
		chosen := r.place(looked, waiting, apart)
		if chosen == nil || !r.canCarry(waiting.item) {
			left++
			continue
		}
		within, ok := r.granted(chosen.engine, waiting.urgency.rank)
		if !ok {
			// A lookup that is as urgent waits for the engine, or has just been granted what there was.
			looked.used(chosen)
			left++
			continue
		}
		waiting.item.trial = trialNone
		r.start(waiting.item, waiting.route, chosen.engine, placing{apart: apart, within: within})
		looked.used(chosen)
	}
	return left
}

// place chooses the engine of a waiting item, or nil if none can take it now. One that must run apart waits for an engine without another
// such item.
func (r *Runner) place(looked *look, waiting waitingItem, apart bool) *candidate {
	it := waiting.item
	least := r.preferred(looked, waiting.route, it)
	if apart {
		return looked.chooseApart(waiting.route, it, least)
	}
	events := r.lengths.remaining(it.ExpectedLength, it.text.Len())
	return looked.chooseUnhurried(waiting.route, it, least, events, time.Duration(unhurriedShare*float64(it.job.longest)))
}

// moveSlow ends attempts at engines that are slower than another that has room, so that their items go on there, those with the most
// time left first and at most one an engine. It returns the number of items that run. The mutex must be held.
func (r *Runner) moveSlow(looked *look) (running int) {
	if looked.view.Routes == nil {
		return 0
	}
	candidates := r.runningItems()
	slices.SortStableFunc(candidates, func(a, b movable) int { return cmp.Compare(b.timeLeft, a.timeLeft) })
	moved := make(map[string]struct{})
	for _, candidate := range candidates {
		if candidate.timeLeft < minMoveGain {
			break
		}
		if _, done := moved[candidate.item.run.engine]; !done && r.moveIfSlow(looked, candidate) {
			moved[candidate.item.run.engine] = struct{}{}
		}
	}
	return len(candidates)
}

// movable is an item that runs, with how long it is expected to take where it is.
type movable struct {
	item     *item
	timeLeft time.Duration
}

func (r *Runner) runningItems() []movable {
	var found []movable
	for _, j := range r.order {
		if j.ended {
			continue
		}
		for _, it := range j.items {
			if it.phase == phaseRunning {
				found = append(found, movable{item: it, timeLeft: r.timeLeft(it)})
			}
		}
	}
	return found
}

// moveIfSlow moves an item if it is expected to end sooner elsewhere by more than a move costs.
func (r *Runner) moveIfSlow(looked *look, candidate movable) bool {
	it := candidate.item
	if it.run.moving || looked.now.Sub(it.run.started) < moveAfter<<min(it.moves, maxMoveBackoff) {
		return false
	}
	route := looked.view.Routes.Match(it.job.Host, it.Path)
	if route == nil {
		return false
	}
	ownPause := r.engine(it.run.engine).pause(looked.now)
	other, otherPause := looked.choose(route, it, r.preferred(looked, route, it))
	if other == nil || other.engine.ID == it.run.engine || r.isCold(other.engine) || ownPause.Seconds() < moveFactor*otherPause {
		return false
	}
	gain := time.Duration(float64(candidate.timeLeft) * (1 - otherPause/ownPause.Seconds()))
	if gain < minMoveGain {
		return false
	}
	level.Info(r.Logger).Log("msg", "item moved", "request", it.ID, "job", it.job.ID, "from", it.run.engine, "to", other.engine.ID,
		"pause", ownPause.Round(time.Millisecond), "other_pause", time.Duration(otherPause*float64(time.Second)).Round(time.Millisecond),
		"gain", gain.Round(time.Millisecond), "text_events", it.text.Len())
	r.Observer.HandedOver(HandOverSlow)
	it.moves++
	it.run.moving = true
	it.run.cancel()
	return true
}

// draw spreads items evenly over [0, 1) by their IDs.
func draw(id string) float64 {
	return float64(rendezvous.Hash(id)>>11) / (1 << 53)
}

// route returns an item's route, or nil if there is none now.
func (r *Runner) route(it *item) *routing.Route {
	return r.State.View().Routes.Match(it.job.Host, it.Path)
}

// singleVersion reports whether an item's text must be made by one weight version.
func (r *Runner) singleVersion(it *item) bool {
	route := r.route(it)
	return route != nil && route.SingleVersion
}
