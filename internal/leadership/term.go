package leadership

import (
	"context"
	"sync/atomic"

	"github.com/covelink/covelink/coord/lease"
)

// termContext is the context of one term. It ends when the term is lost; whoever asks Err after a pause of the process
// learns of a lapse even before the timer that ends the context has run.
type termContext struct {
	context.Context
	cancel   context.CancelFunc
	now      func() lease.Instant
	deadline atomic.Pointer[lease.Instant]
	term     Term
}

// newTermContext returns the context of a term whose deadline is still to be stored.
func newTermContext(parent context.Context, now func() lease.Instant, term Term) *termContext {
	ctx, cancel := context.WithCancel(parent)
	return &termContext{Context: ctx, cancel: cancel, now: now, term: term}
}

// Err implements context.Context.
func (t *termContext) Err() error {
	if deadline := t.deadline.Load(); deadline != nil && deadline.Reached(t.now()) {
		t.cancel()
	}
	return t.Context.Err()
}
