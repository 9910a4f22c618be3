package batchrun

import (
	"time"

	"github.com/covelink/covelink/internal/decay"
	"github.com/covelink/covelink/internal/weightorder"
)

// demandDecay is the time constant of the exponentially decayed sum of submitted items.
const demandDecay = 20 * time.Second

// addSubmitted adds the items of a job to the decayed sum. The mutex must be held.
func (r *Runner) addSubmitted(j *job) {
	now := r.now()
	r.submitted[j.Model] = decay.New(r.submitted[j.Model].At(now, demandDecay)+float64(len(j.items)), now)
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
		demands[model] = weightorder.Demand{Items: sum.At(now, demandDecay)}
	}
	for _, j := range r.order {
		if j.ended {
			continue
		}
		demand := demands[j.Model]
		for _, it := range j.items {
			if it.phase != phaseFinished {
				demand.Open++
			}
			if it.phase == phaseWaiting {
				demand.Waiting++
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
