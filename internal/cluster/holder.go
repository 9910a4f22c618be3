package cluster

import (
	"sync"
	"time"
)

// Holder is a Source whose view is set by its owner.
type Holder struct {
	mu      sync.RWMutex
	view    *View
	changed chan struct{}
}

// NewHolder returns a Holder with an empty view that does not serve.
func NewHolder() *Holder {
	return &Holder{
		view:    &View{NotServingReason: "no configuration yet"},
		changed: make(chan struct{}),
	}
}

// Current implements Source.
func (h *Holder) Current() *View {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.view
}

// Changed implements Source.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.changed
}

// Update replaces the view by what change returns for it, unless that is nil, and wakes whoever waits.
// change must return a new View and leave its argument as it is.
func (h *Holder) Update(change func(*View) *View) {
	h.mu.Lock()
	defer h.mu.Unlock()
	next := change(h.view)
	if next == nil {
		return
	}
	h.view = next
	close(h.changed)
	h.changed = make(chan struct{})
}

// Extend moves the end of serving of the present view without waking anyone: nothing waits for a lease that goes on.
func (h *Holder) Extend(until time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	next := *h.view
	next.ServingUntil = until
	h.view = &next
}
