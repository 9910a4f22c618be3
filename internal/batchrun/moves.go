package batchrun

import (
	"cmp"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"github.com/covelink/covelink/internal/routing"
)

// maxMovesPerEngine bounds the items that one check moves from an engine. The runs that stay may be faster without them.
const maxMovesPerEngine = 2

// moveFromSlowEngines cancels runs whose items end sooner at another engine with free slots, as far as decideMove permits it, so that the items resume
// there. Items with the most time left come first. It returns the number of running items. The mutex must be held.
func (r *Runner) moveFromSlowEngines(pass *schedulingPass) (running int) {
	if pass.view.Routes == nil {
		return 0
	}
	candidates := r.runningItems()
	slices.SortStableFunc(candidates, func(a, b runningItem) int { return cmp.Compare(b.timeLeft, a.timeLeft) })
	moved, ends := make(map[string]int), make(map[*job]jobEnds)
	for _, candidate := range candidates {
		if candidate.timeLeft < moveCost {
			break
		}
		if engine := candidate.item.run.engine; moved[engine] < maxMovesPerEngine && r.moveIfSooner(pass, candidate, ends) {
			moved[engine]++
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

// moveIfSooner moves an item if decideMove permits it. ends caches the result of endsOf per job.
func (r *Runner) moveIfSooner(pass *schedulingPass, candidate runningItem, ends map[*job]jobEnds) bool {
	it := candidate.item
	if it.run.moving {
		return false
	}
	route := pass.view.Routes.Match(it.job.Host, it.Path)
	if route == nil {
		return false
	}
	minVersion := r.preferredVersion(pass, route, it)
	other, cost := pass.choose(route, it, minVersion)
	if other != nil && !other.observed {
		if observed := pass.chooseObserved(route, it, minVersion); observed != nil {
			other, cost = observed, observed.cost
		}
	}
	if other == nil || other.engine.ID == it.run.engine || r.isCold(other.engine) {
		return false
	}
	otherInterval := time.Duration(cost * float64(time.Second))
	if _, known := ends[it.job]; !known {
		ends[it.job] = r.endsOf(it.job, otherInterval)
	}
	input := r.moveInput(pass, route, candidate, other, otherInterval)
	input.others = ends[it.job].without(it)
	move, reason := decideMove(input)
	if !move {
		r.logStay(it, other, reason, input)
		return false
	}
	r.move(it, other, otherInterval, reason, input)
	return true
}

// moveInput returns the snapshot for decideMove, without the job's other items.
func (r *Runner) moveInput(pass *schedulingPass, route *routing.Route, candidate runningItem, other *candidate, otherInterval time.Duration) moveInput {
	it := candidate.item
	events := r.lengths.remaining(it.ExpectedLength, it.text.Len())
	return moveInput{
		here:        candidate.timeLeft,
		certainHere: time.Duration(events * float64(it.run.pace.atLeast(pass.now))),
		there:       time.Duration(events * float64(otherInterval)),
		age:         pass.now.Sub(it.run.started),
		moves:       it.moves,
		paceCertain: it.run.pace.certain(pass.now),
		otherEvents: other.record.profile.weight(pass.now),
		spare:       it.group.spare,
		due:         it.job.accepted.Add(route.ResultDeadline).Sub(pass.now),
		hasDue:      route.ResultDeadline > 0,
	}
}

// move cancels the run of an item, so that the item resumes at the engine where it ends soonest.
func (r *Runner) move(it *item, other *candidate, otherInterval time.Duration, reason moveReason, input moveInput) {
	level.Info(r.Logger).Log("msg", "item moved", "request", it.ID, "job", it.job.ID, "from", it.run.engine, "to", other.engine.ID,
		"pause", r.recordOf(it.run.engine).eventInterval(r.now()).Round(time.Millisecond), "other_pause", otherInterval.Round(time.Millisecond),
		"gain", input.gain().Round(time.Millisecond), "text_events", it.text.Len(), "reason", reason,
		"run_pause", it.run.pace.atLeast(r.now()).Round(time.Millisecond), "left", input.here.Round(time.Millisecond),
		"others_left", input.others.Round(time.Millisecond), "due", input.due.Round(time.Millisecond))
	r.Observer.HandedOver(reason.handOver())
	it.moves++
	it.run.moving = true
	it.run.cancel()
}

// logStay logs at debug level why an item with something to gain is not moved, once per run and reason.
func (r *Runner) logStay(it *item, other *candidate, reason moveReason, input moveInput) {
	if reason == stayGain || reason == it.run.stayed {
		return
	}
	it.run.stayed = reason
	level.Debug(r.Logger).Log("msg", "item not moved", "request", it.ID, "job", it.job.ID, "from", it.run.engine, "to", other.engine.ID,
		"reason", reason, "left", input.here.Round(time.Millisecond), "left_there", input.there.Round(time.Millisecond),
		"run_pause", it.run.pace.atLeast(r.now()).Round(time.Millisecond), "others_left", input.others.Round(time.Millisecond), "text_events", it.text.Len())
}

// jobEnds holds the two latest expected ends among the items that a job waits for.
type jobEnds struct {
	latest, second time.Duration
	latestItem     *item
}

// without returns the latest expected end of the items other than one.
func (e jobEnds) without(it *item) time.Duration {
	if e.latestItem == it {
		return e.second
	}
	return e.latest
}

// endsOf returns the latest expected ends of a job's items. Running items that would end sooner with otherInterval count with that, because they can be
// moved too. The mutex must be held.
func (r *Runner) endsOf(j *job, otherInterval time.Duration) jobEnds {
	var ends jobEnds
	for _, group := range j.groups {
		if group.spare {
			continue
		}
		for _, it := range group.items {
			left := r.timeLeft(it)
			if it.phase == phaseRunning {
				left = min(left, time.Duration(r.lengths.remaining(it.ExpectedLength, it.text.Len())*float64(otherInterval)))
			}
			switch {
			case ends.latestItem == nil || left > ends.latest:
				ends.second, ends.latest, ends.latestItem = ends.latest, left, it
			case left > ends.second:
				ends.second = left
			}
		}
	}
	return ends
}
