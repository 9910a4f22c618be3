package batchrun

import (
	"math"
	"time"

	"github.com/covelink/covelink/internal/decay"
	"github.com/covelink/covelink/internal/weightorder"
)

const (
	// demandDecay is the time constant of the exponentially decayed sums of submitted items.
	demandDecay = weightorder.DemandDecay
	// minObservedLoad is how long jobs of a model must have been submitted in a term before their rate is known. Trainers submit a job every few seconds.
	minObservedLoad = 4 * time.Second
	// termStartWindow is how long after a model's first job of a term further jobs count as submitted before the term: the open jobs of the previous
	// term, and those that trainers submit ahead.
	termStartWindow = time.Second
)

// submittedWork is the work for a model that was submitted in the term.
type submittedWork struct {
	// items is the decayed sum of recently submitted items, and seconds that of the expected durations of their texts.
	items, seconds decay.Value
	offered        offeredLoad
}

// offeredLoad estimates the rate at which work for a model is submitted.
type offeredLoad struct {
	// since is when the model's first job of the term was added. Jobs added within termStartWindow of it mark the start of the observation, and are
	// not part of the rate.
	since time.Time
	// seconds is the decayed sum of the expected durations of the texts submitted after that.
	seconds decay.Value
}

// add adds the expected duration of a job's texts.
func (o *offeredLoad) add(now time.Time, duration time.Duration) {
	if now.Sub(o.since) <= termStartWindow {
		return
	}
	o.seconds = o.seconds.Plus(duration.Seconds(), now, demandDecay)
}

// slots returns how many engine slots the submitted texts occupy on average. ok is false until jobs were submitted for minObservedLoad.
func (o *offeredLoad) slots(now time.Time) (slots float64, ok bool) {
	age := now.Sub(o.since)
	if age < minObservedLoad {
		return 0, false
	}
	// The sum began at zero with the observation.
	window := demandDecay.Seconds() * (1 - math.Exp(-age.Seconds()/demandDecay.Seconds()))
	return o.seconds.At(now, demandDecay) / window, true
}

// addSubmitted adds the items of a job to the decayed sums. The mutex must be held.
func (r *Runner) addSubmitted(j *job) {
	now := r.now()
	duration := time.Duration(0)
	for _, it := range j.items {
		duration += r.timeLeft(it)
	}
	work := r.submitted[j.Model]
	if work == nil {
		work = &submittedWork{offered: offeredLoad{since: now}}
		r.submitted[j.Model] = work
	}
	work.items = work.items.Plus(float64(len(j.items)), now, demandDecay)
	work.seconds = work.seconds.Plus(duration.Seconds(), now, demandDecay)
	work.offered.add(now, duration)
}

// OfferedLoad returns how many engine slots the recently submitted items of some models occupy on average. ok is false until the load of one of
// them is known in this term.
func (r *Runner) OfferedLoad(models []string) (slots float64, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.leads() {
		return 0, false
	}
	for _, model := range models {
		work, submitted := r.submitted[model]
		if !submitted {
			continue
		}
		if offered, known := work.offered.slots(r.now()); known {
			slots, ok = slots+offered, true
		}
	}
	return slots, ok
}

// EngineRuns returns the work in progress at each engine that has any.
func (r *Runner) EngineRuns() map[string]weightorder.EngineRuns {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.leads() {
		return nil
	}
	runs := make(map[string]weightorder.EngineRuns)
	for _, running := range r.runningItems() {
		engine := running.item.run.engine
		known := runs[engine]
		known.Running++
		known.TimeLeft = max(known.TimeLeft, running.timeLeft)
		runs[engine] = known
	}
	return runs
}

// Demands returns the demand for each model.
func (r *Runner) Demands() map[string]weightorder.Demand {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.demands()
}

// demands implements Demands. The mutex must be held.
func (r *Runner) demands() map[string]weightorder.Demand {
	now := r.now()
	demands := make(map[string]weightorder.Demand, len(r.submitted))
	for model, work := range r.submitted {
		demands[model] = weightorder.Demand{
			Items:         work.items.At(now, demandDecay),
			SubmittedTime: time.Duration(work.seconds.At(now, demandDecay) * float64(time.Second)),
		}
	}
	for _, j := range r.order {
		if j.ended {
			continue
		}
		demand := demands[j.Model]
		age := now.Sub(j.accepted)
		if demand.Open == 0 {
			demand.NewestOpen = age
		}
		demand.OldestOpen, demand.NewestOpen = max(demand.OldestOpen, age), min(demand.NewestOpen, age)
		demand.OpenMinVersion = max(demand.OpenMinVersion, j.MinVersion)
		for _, it := range j.items {
			if it.phase != phaseFinished {
				demand.Open++
			}
			if it.phase == phaseWaiting {
				demand.Waiting++
				demand.WaitingTime += r.timeLeft(it)
				demand.MinVersion = max(demand.MinVersion, j.MinVersion)
			}
		}
		demands[j.Model] = demand
	}
	return demands
}

// OpenItems returns the number of items without a result in jobs that have not ended, or zero while this process does not lead. Its cost is linear in
// the number of items.
func (r *Runner) OpenItems() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.leads() {
		return 0
	}
	open := 0
	for _, demand := range r.demands() {
		open += demand.Open
	}
	return open
}
