package jobresidency

import (
	"slices"
	"sync"
)

// maxKnownRewards bounds the names that Rewards keeps: a deployment has some ten routes.
const maxKnownRewards = 256

// Rewards knows which routes the reward calls of jobs take, as the route table does not tell. It is safe for concurrent use; the zero value
// knows none.
type Rewards struct {
	mu      sync.Mutex
	names   []string
	changed chan struct{}
}

// Note takes in names of routes that a job's reward calls take.
func (r *Rewards) Note(names []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := len(r.names)
	for _, name := range names {
		if !slices.Contains(r.names, name) && len(r.names) < maxKnownRewards {
			r.names = append(r.names, name)
		}
	}
	if len(r.names) > known && r.changed != nil {
		close(r.changed)
		r.changed = nil
	}
}

// Known returns the names, which must not be changed, and a channel that is closed when there are more.
func (r *Rewards) Known() (names []string, changed <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.changed == nil {
		r.changed = make(chan struct{})
	}
	return slices.Clip(r.names), r.changed
}
