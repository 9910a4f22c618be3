package batchrun

import (
	"time"

	"github.com/covelink/covelink/internal/decay"
	"github.com/covelink/covelink/internal/weightorder"
)

// demandLife is the time in which the sum of the submitted items falls to a part of 1/e.
const demandLife = 20 * time.Second

// noteSubmitted counts the items of a job. The mutex must be held.
func (r *Runner) noteSubmitted(j *job) {
	now := r.now()
	r.submitted[j.Model] = decay.Of(r.submitted[j.Model].At(now, demandLife)+float64(len(j.items)), now)
}

// Demands returns the work for each model.
func (r *Runner) Demands() map[string]weightorder.Demand {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.demands()
}

// demands is Demands. The mutex must be held.
func (r *Runner) demands() map[string]weightorder.Demand {
	now := r.now()
	demands := make(map[string]weightorder.Demand, len(r.submitted))
	for model, sum := range r.submitted {
		demands[model] = weightorder.Demand{Items: sum.At(now, demandLife)}
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

// OpenItems returns how many items of jobs that have not ended have no result yet; zero while this process does not lead. It goes through all items.
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
