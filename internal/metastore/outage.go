package metastore

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/covelink/covelink/internal/pause"
)

const (
	// answerLimit is how long a call that does not wait may go without an answer before the store counts as not serving: a store
	// that is slow answers within some hundred milliseconds.
	answerLimit = 600 * time.Millisecond
	// minFailures is how many calls in a row must fail: one lost answer is no outage.
	minFailures = 2
)

// Outage knows since when the store has not served this process. Time in which the process did not get to run does not count. It is safe
// for concurrent use.
type Outage struct {
	attention attention
	mu        sync.Mutex
	// failures is the number of calls in a row that were not served, and since when the first of them began.
	failures int
	since    time.Time
	// recovered is when a call was served after one that was not; at first, when the process began.
	recovered time.Time
	// served is when a call was last served.
	served time.Time
	// pending are the calls that have no answer yet, by number, with when each began; watches are left out.
	pending map[int]time.Time
	count   int
	times   callTimes
}

// NewOutage returns an Outage that has seen no call.
func NewOutage() *Outage { return &Outage{pending: make(map[int]time.Time), recovered: time.Now()} }

// Run watches until ctx ends whether this process gets to run.
func (o *Outage) Run(ctx context.Context) {
	for ctx.Err() == nil {
		o.attention.look()
		pause.For(ctx, attentionTick)
	}
}

// Length returns for how long the store has served no call of this process; zero while it serves.
func (o *Outage) Length() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.attention.now()
	var length time.Duration
	if o.failures >= minFailures {
		length = now.Sub(o.since)
	}
	for _, began := range o.pending {
		// An answer that was lost never comes: a call that waits for it says nothing once the store has served another.
		if began.Before(o.served) {
			began = o.served
		}
		if waited := now.Sub(began); waited > answerLimit {
			length = max(length, waited)
		}
	}
	return length
}

// Served returns for how long the store has served every call of this process; zero while it does not.
func (o *Outage) Served() time.Duration {
	if o.Length() > 0 {
		return 0
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.failures > 0 {
		return 0
	}
	return o.attention.now().Sub(o.recovered)
}

// begin notes a call that must be answered at once, and returns what notes its end.
func (o *Outage) begin() (end func(err error)) {
	began := o.attention.now()
	o.mu.Lock()
	o.count++
	number := o.count
	o.pending[number] = began
	o.mu.Unlock()
	return func(err error) {
		o.mu.Lock()
		delete(o.pending, number)
		if answered(err) {
			o.times.note(o.attention.now().Sub(began))
		}
		o.mu.Unlock()
		o.ended(began, err)
	}
}

// answered reports whether the store answered a call, whatever it said.
func answered(err error) bool { return !errors.Is(err, ErrNotDone) && !errors.Is(err, ErrUnknown) }

// ended takes in the end of a call.
func (o *Outage) ended(began time.Time, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case answered(err):
		o.served = o.attention.now()
		if o.failures > 0 {
			o.recovered = o.served
		}
		o.failures = 0
	case errors.Is(err, context.Canceled):
		// The caller gave up by itself.
	case o.failures == 0:
		o.failures, o.since = 1, began
	default:
		o.failures++
	}
}

// Watched returns a client that tells an Outage of its calls.
func Watched(client Client, outage *Outage) Client {
	return &watchedClient{client: client, outage: outage}
}

// watchedClient tells an Outage of the calls of a client.
type watchedClient struct {
	client Client
	outage *Outage
}

// List implements Client.
func (w *watchedClient) List(ctx context.Context, kind string, options ListOptions) (Page, error) {
	end := w.outage.begin()
	page, err := w.client.List(ctx, kind, options)
	end(err)
	return page, err
}

// Get implements Client.
func (w *watchedClient) Get(ctx context.Context, kind, name string) (Object, error) {
	end := w.outage.begin()
	object, err := w.client.Get(ctx, kind, name)
	end(err)
	return object, err
}

// Create implements Client.
func (w *watchedClient) Create(ctx context.Context, kind string, object Object) (Object, error) {
	end := w.outage.begin()
	stored, err := w.client.Create(ctx, kind, object)
	end(err)
	return stored, err
}

// Replace implements Client.
func (w *watchedClient) Replace(ctx context.Context, kind string, object Object) (Object, error) {
	end := w.outage.begin()
	stored, err := w.client.Replace(ctx, kind, object)
	end(err)
	return stored, err
}

// ReplaceStatus implements Client.
func (w *watchedClient) ReplaceStatus(ctx context.Context, kind string, object Object) (Object, error) {
	end := w.outage.begin()
	stored, err := w.client.ReplaceStatus(ctx, kind, object)
	end(err)
	return stored, err
}

// Delete implements Client.
func (w *watchedClient) Delete(ctx context.Context, kind, name string, revision Revision) error {
	end := w.outage.begin()
	err := w.client.Delete(ctx, kind, name, revision)
	end(err)
	return err
}

// Watch implements Client. It may wait for long: only its end counts.
func (w *watchedClient) Watch(ctx context.Context, kind string, after Revision, wait time.Duration) (Events, error) {
	events, err := w.client.Watch(ctx, kind, after, wait)
	w.outage.ended(w.outage.attention.now(), err)
	return events, err
}
