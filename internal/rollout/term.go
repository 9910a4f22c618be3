package rollout

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/dispatch"
)

const (
	tickInterval = 100 * time.Millisecond
	// inputQueue bounds the inputs that wait for the loop; maxGroup bounds those whose entries are appended together.
	inputQueue = 1024
	maxGroup   = 1024
	// maxLogEntries is how many entries are appended before the log is cut to a snapshot.
	maxLogEntries = 8192
)

// input is one call into the owner, made by the loop.
type input func(now time.Time)

// term runs an owner: one goroutine calls it, makes its entries durable in groups, and only then answers and acts.
type term struct {
	manager *Manager
	trainer string
	owner   *Owner
	store   Log

	ctx    context.Context
	cancel context.CancelFunc
	inputs chan input
	ended  chan struct{}
	work   sync.WaitGroup

	// Of the loop only.
	replies  []func()
	waiters  []*waiter
	running  map[attemptKey]context.CancelFunc
	scoring  map[attemptKey]context.CancelFunc
	appended int // entries since the last snapshot
	groups   int // groups of entries made durable

	scoreSlots chan struct{}
	target     atomic.Pointer[v1.WeightVersion]
	publish    chan struct{}
}

type attemptKey struct {
	identity Identity
	number   uint32
}

// waiter is a fetch that waits for a first sample.
type waiter struct {
	ctx      context.Context
	batch    string
	request  v1.FetchRequest
	deadline time.Time
	done     chan fetchResult
}

type fetchResult struct {
	response v1.FetchResponse
	err      error
}

func newTerm(ctx context.Context, m *Manager, trainer string, owner *Owner, store Log) *term {
	ctx, cancel := context.WithCancel(ctx)
	return &term{
		manager: m, trainer: trainer, owner: owner, store: store,
		ctx: ctx, cancel: cancel,
		inputs: make(chan input, inputQueue), ended: make(chan struct{}),
		running: make(map[attemptKey]context.CancelFunc), scoring: make(map[attemptKey]context.CancelFunc),
		scoreSlots: make(chan struct{}, maxScoring), publish: make(chan struct{}, 1),
	}
}

// run serves until the term ends (nil) or the log fails. It returns once nothing of the term runs any more.
func (t *term) run() error {
	defer t.work.Wait()
	defer t.cancel()
	defer close(t.ended)
	// Calls find the term only once its start is durable.
	if err := t.commit(); err != nil {
		return err
	}
	t.manager.setTerm(t.trainer, t)
	defer t.manager.dropTerm(t.trainer, t)
	t.work.Go(t.publishTargets)
	return t.loop()
}

func (t *term) loop() error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-t.ctx.Done():
			return nil
		case <-t.manager.draining:
			return t.suspend()
		case <-ticker.C:
			t.tick()
		case first := <-t.inputs:
			t.takeGroup(first)
		}
		if err := t.commit(); err != nil {
			return err
		}
		if err := t.truncate(); err != nil {
			return err
		}
	}
}

// takeGroup handles an input and those that wait behind it.
func (t *term) takeGroup(first input) {
	first(t.now())
	t.takeWaiting(maxGroup - 1)
}

// takeWaiting handles the inputs that wait, at most limit.
func (t *term) takeWaiting(limit int) {
	for range limit {
		select {
		case next := <-t.inputs:
			next(t.now())
		default:
			return
		}
	}
}

// suspend ends the term for a planned stop: what has arrived is still taken in, so that its tokens are saved.
func (t *term) suspend() error {
	t.takeWaiting(inputQueue)
	t.owner.Suspend()
	return t.commit()
}

// tick brings the owner to the resources in force.
func (t *term) tick() {
	if config, ok := t.manager.config(t.trainer, t.store); ok {
		t.owner.Configure(t.now(), config)
	}
	for key, cancel := range t.scoring {
		if !t.owner.NeedsScore(key.identity, key.number) {
			cancel()
			delete(t.scoring, key)
		}
	}
}

// commit makes what the owner has decided durable, then answers and acts.
func (t *term) commit() error {
	t.owner.Schedule(t.now())
	t.serveWaiters()
	actions := t.owner.Actions()
	if len(actions) > 0 {
		if group, ok := actions[0].(Append); ok {
			if err := t.append(group.Entries); err != nil {
				return err
			}
			actions = actions[1:]
		}
	}
	if t.ctx.Err() != nil {
		return nil // the term is over: a later owner answers
	}
	for _, reply := range t.replies {
		reply()
	}
	t.replies = nil
	for _, action := range actions {
		t.perform(action)
	}
	t.retarget()
	return nil
}

func (t *term) append(entries []Entry) error {
	started := time.Now()
	if err := t.store.Append(t.ctx, entries); err != nil {
		return fmt.Errorf("rollout: append: %w", err)
	}
	t.manager.metrics.commitTime.Observe(time.Since(started).Seconds())
	t.appended += len(entries)
	t.groups++
	return nil
}

func (t *term) truncate() error {
	if t.appended < maxLogEntries {
		return nil
	}
	snapshot, err := t.owner.Ledger().Snapshot()
	if err != nil {
		return err
	}
	if err := t.store.Truncate(t.ctx, snapshot); err != nil {
		return fmt.Errorf("rollout: truncate: %w", err)
	}
	t.appended = 0
	return nil
}

// serveWaiters answers the fetches that have something to hand over, or have waited long enough.
func (t *term) serveWaiters() {
	now := t.now()
	t.waiters = slices.DeleteFunc(t.waiters, func(w *waiter) bool {
		if w.ctx.Err() != nil {
			return true
		}
		response, ready, err := t.owner.Fetch(now, w.batch, w.request)
		if !ready && err == nil && now.Before(w.deadline) {
			return false
		}
		t.replies = append(t.replies, func() { w.done <- fetchResult{response: response, err: err} })
		return true
	})
}

func (t *term) perform(action Action) {
	switch a := action.(type) {
	case Start:
		t.start(a)
	case Cancel:
		key := attemptKey{identity: a.Identity, number: a.Attempt}
		if cancel, ok := t.running[key]; ok {
			cancel()
			delete(t.running, key)
		}
	case Score:
		t.score(a)
	}
}

func (t *term) start(a Start) {
	ctx, cancel := context.WithCancel(t.ctx)
	key := attemptKey{identity: a.Identity, number: a.Attempt}
	t.running[key] = cancel
	t.work.Go(func() {
		result := t.manager.params.Dispatcher.Dispatch(ctx, a.Task, func(progress dispatch.Progress) error {
			progress.Tokens = slices.Clone(progress.Tokens)
			return t.submit(ctx, func(now time.Time) { t.owner.Progress(now, a.Identity, a.Attempt, progress) })
		})
		// Not submitted under ctx, so that the loop always forgets the attempt.
		_ = t.submit(t.ctx, func(now time.Time) {
			cancel()
			delete(t.running, key)
			t.owner.Finished(now, a.Identity, a.Attempt, result)
		})
	})
}

func (t *term) now() time.Time { return t.manager.params.Now() }
