package jobresidency

import (
	"slices"
	"sync"
)

// maxKnownRewards bounds the names that Rewards keeps: a deployment has some ten routes.
const maxKnownRewards = 256

// Rewards collects the names of routes that reward calls of jobs take, which the route table does not show. The zero value is empty. It is safe for
// concurrent use.
type Rewards struct {
	mu      sync.Mutex
	names   []string
	changed chan struct{}
}

// Note adds names of routes that reward calls take. Beyond maxKnownRewards, names are dropped: bounds are checked for each job anyway.
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

// Known returns the names, which must not be changed, and a channel that is closed when more are added.
func (r *Rewards) Known() (names []string, changed <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.changed == nil {
		r.changed = make(chan struct{})
	}
	return slices.Clip(r.names), r.changed
}
