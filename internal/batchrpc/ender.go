package batchrpc

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/covelink/covelink/internal/batch"
)

const (
	// endRetryPause is the pause between two attempts to end a job whose caller was told that it is not known to be ended.
	endRetryPause = 300 * time.Millisecond
	// endRetryLimit bounds the attempts in time.
	endRetryLimit = 2 * time.Minute
)

// ender goes on ending jobs whose end could not be confirmed: a caller may not ask again, and the job would run on.
type ender struct {
	end func(ctx context.Context, ref batch.Ref) error

	mu      sync.Mutex
	pending map[batch.Ref]struct{}
	// ctx ends with close.
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
}

func newEnder(end func(ctx context.Context, ref batch.Ref) error) *ender {
	e := &ender{end: end, pending: make(map[batch.Ref]struct{})}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	return e
}

// insist ends a job in the background, unless that is under way already.
func (e *ender) insist(ref batch.Ref) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, known := e.pending[ref]; known || e.ctx.Err() != nil {
		return
	}
	e.pending[ref] = struct{}{}
	e.running.Go(func() { e.repeat(ref) })
}

func (e *ender) repeat(ref batch.Ref) {
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

// close ends the attempts.
func (e *ender) close() {
	e.mu.Lock()
	e.cancel()
	e.mu.Unlock()
	e.running.Wait()
}
