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
	// minObservedLoad is how long jobs must have been submitted in a term before their rate is known. Trainers submit a job every few seconds.
	minObservedLoad = 8 * time.Second
)

// addSubmitted adds the items of a job to the decayed sums. The mutex must be held.
func (r *Runner) addSubmitted(j *job) {
	now := r.now()
	r.submitted[j.Model] = decay.New(r.submitted[j.Model].At(now, demandDecay)+float64(len(j.items)), now)
	duration := time.Duration(0)
	for _, it := range j.items {
		duration += r.timeLeft(it)
	}
	r.submittedTime[j.Model] = decay.New(r.submittedTime[j.Model].At(now, demandDecay)+duration.Seconds(), now)
	if r.firstSubmitted.IsZero() {
		r.firstSubmitted = now
	}
}

// OfferedLoad returns how many engine slots the recently submitted items of some models occupy on average. ok is false until jobs were submitted
// for minObservedLoad in this term.
func (r *Runner) OfferedLoad(models []string) (slots float64, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	if !r.leads() || r.firstSubmitted.IsZero() || now.Sub(r.firstSubmitted) < minObservedLoad {
		return 0, false
	}
	// The sums began at zero with the term.
	window := demandDecay.Seconds() * (1 - math.Exp(-now.Sub(r.firstSubmitted).Seconds()/demandDecay.Seconds()))
	for _, model := range models {
		slots += r.submittedTime[model].At(now, demandDecay) / window
	}
	return slots, true
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
	for model, sum := range r.submitted {
		demands[model] = weightorder.Demand{
			Items:         sum.At(now, demandDecay),
			SubmittedTime: time.Duration(r.submittedTime[model].At(now, demandDecay) * float64(time.Second)),
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
