package gateway

import (
	"context"
	"sync"
)

// workTracker counts the work in flight and, once draining, takes no more.
type workTracker struct {
	mu       sync.Mutex
	inFlight int
	draining bool
	idle     chan struct{} // closed once draining and nothing is in flight
}

func newWorkTracker() *workTracker {
	return &workTracker{idle: make(chan struct{})}
}

// begin takes in one piece of work; it reports false while draining.
func (w *workTracker) begin() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.draining {
		return false
	}
	w.inFlight++
	return true
}

// extend takes in a further piece of work on behalf of one that is in flight, draining or not.
func (w *workTracker) extend() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.inFlight++
}

func (w *workTracker) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.inFlight--
	w.signalIdle()
}

func (w *workTracker) count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.inFlight
}

func (w *workTracker) isDraining() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.draining
}

func (w *workTracker) drain(ctx context.Context) error {
	w.mu.Lock()
	w.draining = true
	w.signalIdle()
	w.mu.Unlock()
	select {
	case <-w.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// signalIdle must be called with the lock held.
func (w *workTracker) signalIdle() {
	if !w.draining || w.inFlight > 0 {
		return
	}
	select {
	case <-w.idle:
	default:
		close(w.idle)
	}
}
