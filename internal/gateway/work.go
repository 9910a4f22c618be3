package gateway

import (
	"context"
	"errors"
	"sync"
)

// errDraining is the cause that ends a wait because the node is being stopped.
var errDraining = errors.New("gateway: draining")

// workTracker counts the work in flight and, once draining, takes no more requests.
type workTracker struct {
	mu         sync.Mutex
	requests   int
	background int
	draining   bool
	started    chan struct{} // closed once draining
	idle       chan struct{} // closed once draining and nothing is in flight
}

func newWorkTracker() *workTracker {
	return &workTracker{started: make(chan struct{}), idle: make(chan struct{})}
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
	w.startDraining()
	select {
	case <-w.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (w *workTracker) startDraining() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.draining {
		close(w.started)
	}
	w.draining = true
	w.signalIdle()
}

// untilDraining returns a context that also ends, with the cause errDraining, when the drain begins.
func (w *workTracker) untilDraining(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	go func() {
		select {
		case <-w.started:
			cancel(errDraining)
		case <-ctx.Done():
		}
	}()
	return ctx, func() { cancel(context.Canceled) }
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
