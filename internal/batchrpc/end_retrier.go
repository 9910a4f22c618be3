package batchrpc

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/covelink/covelink/internal/batch"
)

const (
	endRetryPause = 300 * time.Millisecond
	// endRetryLimit bounds the time of all attempts.
	endRetryLimit = 2 * time.Minute
)

// endRetrier retries ending jobs whose end was not confirmed. Callers may not retry, and the job would keep running.
type endRetrier struct {
	end func(ctx context.Context, ref batch.Ref) error

	mu      sync.Mutex
	pending map[batch.Ref]struct{}
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
}

func newEndRetrier(end func(ctx context.Context, ref batch.Ref) error) *endRetrier {
	e := &endRetrier{end: end, pending: make(map[batch.Ref]struct{})}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	return e
}

// retry ends a job in the background, unless that is already in progress.
func (e *endRetrier) retry(ref batch.Ref) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, known := e.pending[ref]; known || e.ctx.Err() != nil {
		return
	}
	e.pending[ref] = struct{}{}
	e.running.Go(func() { e.retryUntilConfirmed(ref) })
}

func (e *endRetrier) retryUntilConfirmed(ref batch.Ref) {
	defer func() {
		e.mu.Lock()
		delete(e.pending, ref)
		e.mu.Unlock()
	}()
	ctx, cancel := context.WithTimeout(e.ctx, endRetryLimit)
	defer cancel()
	for {
		select {
		case <-time.After(endRetryPause):
		case <-ctx.Done():
			return
		}
		err := e.end(ctx, ref)
		if err == nil || errors.Is(err, batch.ErrNotFound) {
			return
		}
	}
}

// close cancels all attempts and waits for them.
func (e *endRetrier) close() {
	e.mu.Lock()
	e.cancel()
	e.mu.Unlock()
	e.running.Wait()
}
