package rollout

import (
	"context"
	"errors"
	"time"

	v1 "github.com/covelink/covelink/api/v1"
)

var (
	// errNotOwner reports that this node does not own the trainer's batches: nothing was done.
	errNotOwner = errors.New("rollout: not the owner")
	// errTermEnded reports that the term ended before the answer: what was asked may have been done.
	errTermEnded = errors.New("rollout: term ended")
)

// submit gives an input to the loop.
func (t *term) submit(ctx context.Context, next input) error {
	select {
	case t.inputs <- next:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-t.ended:
		return errNotOwner
	}
}

// ask calls the owner and waits until what it decided is durable.
func ask[T any](ctx context.Context, t *term, call func(now time.Time) (T, error)) (T, error) {
	var value T
	var err error
	done := make(chan struct{})
	submitted := t.submit(ctx, func(now time.Time) {
		got, failure := call(now)
		t.replies = append(t.replies, func() {
			value, err = got, failure
			close(done)
		})
	})
	if submitted != nil {
		return value, submitted
	}
	select {
	case <-done:
		return value, err
	case <-ctx.Done():
		var none T
		return none, ctx.Err()
	case <-t.ended:
		var none T
		return none, errTermEnded
	}
}

// fetch hands samples over, waiting for a first one as long as the request says.
func (t *term) fetch(ctx context.Context, batch string, request v1.FetchRequest) (v1.FetchResponse, error) {
	w := &waiter{ctx: ctx, batch: batch, request: request, done: make(chan fetchResult, 1)}
	err := t.submit(ctx, func(now time.Time) {
		w.deadline = now.Add(request.Wait)
		t.waiters = append(t.waiters, w)
	})
	if err != nil {
		return v1.FetchResponse{}, err
	}
	select {
	case result := <-w.done:
		return result.response, result.err
	case <-ctx.Done():
		return v1.FetchResponse{}, ctx.Err()
	case <-t.ended:
		return v1.FetchResponse{}, errTermEnded
	}
}
