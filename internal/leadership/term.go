package leadership

import (
	"context"
	"sync/atomic"

	"github.com/covelink/covelink/coord/lease"
)

// termContext is the context of one term, canceled when the term ends. Err also checks the deadline, so that it reports a
// lapse after a process pause even if no timer has fired yet.
type termContext struct {
	context.Context
	cancel   context.CancelFunc
	now      func() lease.Instant
	deadline atomic.Pointer[lease.Instant]
	term     Term
}

// newTermContext returns the context of a term. The caller must store the deadline.
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
