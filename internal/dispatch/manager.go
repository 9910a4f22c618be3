package dispatch

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/prometheus/client_golang/prometheus"

	v1 "github.com/covelink/covelink/api/v1"

	"github.com/covelink/covelink/api/enginev1"
	"github.com/covelink/covelink/internal/cluster"
	"github.com/covelink/covelink/internal/engine"
	"github.com/covelink/covelink/internal/scheduler"
	"github.com/covelink/covelink/internal/settings"
	"github.com/covelink/covelink/internal/telemetry"
)

// The intervals of the Manager.
const (
	// resyncInterval is how often waiting requests are tried again without an event: holds and backoffs end by time.
	resyncInterval = 50 * time.Millisecond
	// unavailableRetryAfter is the advice to a request that this node does not take at present.
	unavailableRetryAfter = time.Second
	// cancelTimeout bounds the telling of an engine that an attempt is given up.
	cancelTimeout = time.Second
	// maxBudgets bounds the retry budgets kept.
	maxBudgets = 4096
)

// errStopped is the cause of the end of a task when the Manager stops.
var errStopped = errors.New("node is stopping")

// EngineClient runs attempts on engines.
type EngineClient interface {
	// Stream runs one attempt; see engine.Client.
	Stream(
		ctx context.Context, target engine.Target, request enginev1.CompletionRequest, onChunk func(engine.Chunk) error,
	) engine.StreamResult
	// Cancel tells an engine that an attempt is given up.
	Cancel(ctx context.Context, url string, request enginev1.CancelRequest) error
}

// Params are what a Manager needs.
type Params struct {
	Source  cluster.Source
	Self    cluster.Node
	Engines EngineClient
	Limits  settings.Limits
	Logger  log.Logger
	// Registerer takes the metrics; nil leaves them unregistered.
	Registerer prometheus.Registerer
	// Now is the clock; nil means time.Now. It must advance as the runtime's timers do.
	Now func() time.Time
	// Rand returns uniform numbers in [0, 1) and is safe for concurrent use; nil means math/rand.
	Rand func() float64
}

// Manager implements Dispatcher.
//
// One loop decides on every waiting task whenever a task arrives or ends and whenever the view changes. The permitted
// zones are checked at the placement and again, against the then current view, just before a request is sent.
// A task that is given up gets its final result at once.
type Manager struct {
	params  Params
	logger  log.Logger
	metrics *metrics

	base context.Context
	stop context.CancelCauseFunc
	wake chan struct{}
	// active holds the tasks inside Dispatch, background the cancels on their way to engines.
	active     sync.WaitGroup
	background sync.WaitGroup

	mu       sync.Mutex
	core     *Core
	waiters  map[uint64]chan Placement
	running  map[*Grant]context.CancelCauseFunc
	draining bool
	stopped  bool
}

var _ Dispatcher = (*Manager)(nil)

// New returns a Manager. Tasks wait until Run is called.
func New(params Params) *Manager {
	if params.Now == nil {
		params.Now = time.Now
	}
	if params.Rand == nil {
		params.Rand = rand.Float64
	}
	if params.Logger == nil {
		params.Logger = log.NewNopLogger()
	}
	m := &Manager{
		params:  params,
		logger:  telemetry.For(params.Logger, telemetry.PartDispatch),
		wake:    make(chan struct{}, 1),
		waiters: make(map[uint64]chan Placement),
		running: make(map[*Grant]context.CancelCauseFunc),
		core: NewCore(params.Source.Current(), params.Self.Zone, scheduler.QueueLimits{
			Requests: params.Limits.MaxQueued,
			Tokens:   params.Limits.MaxQueuedTokens,
		}),
	}
	m.base, m.stop = context.WithCancelCause(context.Background())
	m.metrics = newMetrics(m, params.Registerer)
	return m
}

// Run places waiting tasks until ctx ends. It then ends every task, and returns when all have returned. It must be
// called once.
func (m *Manager) Run(ctx context.Context) {
	ticker := time.NewTicker(resyncInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		changed := m.params.Source.Changed()
		m.place()
		select {
		case <-ctx.Done():
		case <-m.wake:
		case <-changed:
		case <-ticker.C:
		}
	}
	m.shutdown()
}

// Drain refuses new tasks as not run and returns when every task already taken has its result, or with ctx's error.
// It may be called more than once.
func (m *Manager) Drain(ctx context.Context) error {
	m.mu.Lock()
	m.draining = true
	m.mu.Unlock()
	_ = level.Info(m.logger).Log("msg", "draining")
	done := make(chan struct{})
	go func() {
		m.active.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Dispatch implements Dispatcher.
func (m *Manager) Dispatch(ctx context.Context, task Task, progress func(Progress) error) Result {
	started := m.params.Now()
	if refusal := m.enter(task, started); refusal != nil {
		m.metrics.refused(refusal.Reason)
		result := Result{Outcome: v1.OutcomeNotRun, Tokens: task.Resume, Segments: task.ResumeSegments, Err: refusal.Err}
		m.metrics.finished(task.Class, result.Outcome, m.params.Now().Sub(started))
		return result
	}
	defer m.active.Done()
	ctx, cancel := m.taskContext(ctx, task, started)
	defer cancel()
	result := newExecution(m, task, progress).complete(ctx)
	m.metrics.finished(task.Class, result.Outcome, m.params.Now().Sub(started))
	return result
}

// taskContext ends at the task's deadline and when the Manager stops.
func (m *Manager) taskContext(ctx context.Context, task Task, now time.Time) (context.Context, context.CancelFunc) {
	ctx, cancelCause := context.WithCancelCause(ctx)
	release := context.AfterFunc(m.base, func() { cancelCause(errStopped) })
	cancelDeadline := context.CancelFunc(func() {})
	if !task.Deadline.IsZero() {
		ctx, cancelDeadline = context.WithTimeout(ctx, task.Deadline.Sub(now))
	}
	return ctx, func() {
		release()
		cancelDeadline()
		cancelCause(nil)
	}
}

// enter counts a task as active, or refuses it.
func (m *Manager) enter(task Task, now time.Time) *Refusal {
	m.mu.Lock()
	defer m.mu.Unlock()
	view := m.params.Source.Current()
	switch {
	case m.draining || m.stopped:
		return refuse(reasonDraining, v1.CodeUnavailable, unavailableRetryAfter, errStopped.Error())
	case !view.ServingAt(now):
		return notServing(view)
	case view.Pools[task.Pool] == nil:
		return refuse(reasonPool, v1.CodeNotFound, 0, "no such pool")
	case !task.Deadline.IsZero() && !now.Before(task.Deadline):
		return refuse(reasonDeadline, v1.CodeDeadlineExceeded, unavailableRetryAfter, "the deadline has passed")
	}
	m.active.Add(1)
	return nil
}

func notServing(view *cluster.View) *Refusal {
	return refuse(reasonNotServing, v1.CodeUnavailable, unavailableRetryAfter, "node takes no new work: "+view.WhyNotServing())
}

// shutdown ends every task. Waiting ones are refused before the streams are cut.
func (m *Manager) shutdown() {
	m.mu.Lock()
	m.stopped = true
	m.refuseWaiting(refuse(reasonDraining, v1.CodeUnavailable, unavailableRetryAfter, errStopped.Error()))
	m.mu.Unlock()
	m.stop(errStopped)
	m.active.Wait()
	m.background.Wait()
}

// kick wakes the loop.
func (m *Manager) kick() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}
