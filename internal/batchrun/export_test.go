package batchrun

import "time"

// EventInterval returns the expected interval between two events at an engine.
func (r *Runner) EventInterval(engineID string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.leads() {
		return defaultEventInterval
	}
	return r.recordOf(engineID).eventInterval(r.now())
}
