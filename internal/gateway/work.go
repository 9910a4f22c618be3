package gateway

import (
	"context"
	"sync"
)

// workTracker counts the work in flight and, once draining, takes no more requests.
type workTracker struct {
	mu         sync.Mutex
	requests   int
	background int
	draining   bool
	idle       chan struct{} // closed once draining and nothing is in flight
}

func newWorkTracker() *workTracker {
	return &workTracker{idle: make(chan struct{})}
}

// begin takes in one request; it reports false while draining.
func (w *workTracker) begin() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.draining {
		return false
	}
	w.requests++
	return true
}

func (w *workTracker) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requests--
	w.signalIdle()
}

// beginBackground takes in work on behalf of a request that is in flight, draining or not.
func (w *workTracker) beginBackground() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.background++
}

func (w *workTracker) endBackground() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.background--
	w.signalIdle()
}

// counts returns the requests in flight and the background work.
func (w *workTracker) counts() (requests, background int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.requests, w.background
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
	if !w.draining || w.requests+w.background > 0 {
		return
	}
	select {
	case <-w.idle:
	default:
		close(w.idle)
	}
}
