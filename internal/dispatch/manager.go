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

const (
	// resyncInterval is the interval of placement without an event; it covers holds and backoffs that expire.
	resyncInterval = 50 * time.Millisecond
	// unavailableRetryAfter is the Retry-After of a request that this node cannot accept at present.
	unavailableRetryAfter = time.Second
	// cancelTimeout bounds a cancel call to an engine.
	cancelTimeout = time.Second
	// maxBudgets is the maximum number of retry budgets; all are reset when it is reached.
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
	// Cancel asks an engine to stop an attempt.
	Cancel(ctx context.Context, url string, request enginev1.CancelRequest) error
}

// Params holds the dependencies and settings of a Manager.
type Params struct {
	Source  cluster.Source
	Self    cluster.Node
	Engines EngineClient
	Limits  settings.Limits
	Logger  log.Logger
	// Registerer registers the metrics; nil leaves them unregistered.
	Registerer prometheus.Registerer
	// Now is the clock; nil means time.Now. It must advance as the runtime's timers do.
	Now func() time.Time
	// Rand returns uniform numbers in [0, 1) and is safe for concurrent use; nil means math/rand.
	Rand func() float64
}

// Manager implements Dispatcher.
//
// One loop places queued tasks whenever a task arrives or ends and whenever the view changes. Permitted zones are checked
// at the placement and again, against the current view, just before a request is sent. A cancelled task gets its final
// result without waiting for the engine.
type Manager struct {
	params  Params
	logger  log.Logger
	metrics *metrics

	base context.Context
	stop context.CancelCauseFunc
	wake chan struct{}
	// active counts the tasks inside Dispatch.
	active sync.WaitGroup
	// background counts the cancel calls to engines in progress.
	background sync.WaitGroup

	// mu guards the fields below.
	mu       sync.Mutex
	core     *Core
	waiters  map[uint64]chan Placement
	running  map[*Grant]context.CancelCauseFunc
	draining bool
	stopped  bool
}

var _ Dispatcher = (*Manager)(nil)

// New returns a Manager. Tasks stay queued until Run is called.
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

// Run places queued tasks until ctx ends. It then ends every task and returns once all calls of Dispatch have returned. It
// must be called once.
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

// Drain refuses new tasks as not run and returns when every admitted task has its result, or with ctx's error.
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
	if refusal := m.admit(task, started); refusal != nil {
		m.metrics.recordRefusal(refusal.Reason)
		result := Result{Outcome: v1.OutcomeNotRun, Tokens: task.Resume, Segments: task.ResumeSegments, Err: refusal.Err}
		m.metrics.recordResult(task.Class, result.Outcome, m.params.Now().Sub(started))
		return result
	}
	defer m.active.Done()
	ctx, cancel := m.taskContext(ctx, task, started)
	defer cancel()
	result := newExecution(m, task, progress).complete(ctx)
	m.metrics.recordResult(task.Class, result.Outcome, m.params.Now().Sub(started))
	return result
}

// taskContext returns a context that ends at the task's deadline and when the Manager stops.
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

// admit counts a task as active, or refuses it.
func (m *Manager) admit(task Task, now time.Time) *Refusal {
	m.mu.Lock()
	defer m.mu.Unlock()
	view := m.params.Source.Current()
	switch {
	case m.draining || m.stopped:
		return refuse(reasonDraining, v1.CodeUnavailable, unavailableRetryAfter, errStopped.Error())
	case !view.ServingAt(now):
		return notServing(view)
	case view.Pools[task.Pool] == nil:
		return refuse(reasonPoolNotFound, v1.CodeNotFound, 0, "pool not found")
	case !task.Deadline.IsZero() && !now.Before(task.Deadline):
		return refuse(reasonDeadline, v1.CodeDeadlineExceeded, unavailableRetryAfter, "the deadline has passed")
	}
	m.active.Add(1)
	return nil
}

func notServing(view *cluster.View) *Refusal {
	return refuse(reasonNotServing, v1.CodeUnavailable, unavailableRetryAfter, "node is not serving: "+view.WhyNotServing())
}

// shutdown ends every task. Queued tasks are refused before the streams are cancelled.
func (m *Manager) shutdown() {
	m.mu.Lock()
	m.stopped = true
	m.refuseWaiting(refuse(reasonDraining, v1.CodeUnavailable, unavailableRetryAfter, errStopped.Error()))
	m.mu.Unlock()
	m.stop(errStopped)
	m.active.Wait()
	m.background.Wait()
}

// wakeLoop triggers a placement by Run. It does not block.
func (m *Manager) wakeLoop() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}
