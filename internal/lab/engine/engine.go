package engine

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/google/uuid"

	"github.com/covelink/covelink/api/enginev1"
	"github.com/covelink/covelink/internal/lab/enginesim"
	"github.com/covelink/covelink/internal/lab/httpserver"
	"github.com/covelink/covelink/internal/telemetry"
)

// Engine is one emulated engine. Make it with New; it is safe for concurrent use.
type Engine struct {
	config Config
	logger log.Logger
	client *http.Client
	server *httpserver.Server
	// stopped ends the driver; tasks counts the goroutines of the engine, handlers apart.
	stopped context.Context
	stop    context.CancelFunc
	tasks   sync.WaitGroup
	// wake tells the driver that there is something new to do.
	wake chan struct{}

	mutex       sync.Mutex
	life        *life
	executions  executionLog
	faults      faultTable
	frozenUntil time.Time
	connections map[net.Conn]struct{}
}

// life is all that a restart takes away. The engine's mutex guards it.
type life struct {
	ended      context.Context
	end        context.CancelFunc
	simulation *enginesim.Engine
	streams    map[streamKey]*stream
	weights    map[int64][]byte
	// cancelFetch ends the loading of weights in progress, if any.
	cancelFetch context.CancelFunc
	// report is the load report that is given out, taken at reportedAt.
	report     enginev1.Load
	reportedAt time.Time
}

// New returns an engine that is not started, or an error that names the unfit field.
func New(config Config, logger log.Logger) (*Engine, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	engine := &Engine{
		config:      config,
		logger:      log.With(telemetry.For(logger, telemetry.PartLab), "engine", config.Name),
		client:      &http.Client{Transport: &http.Transport{}},
		wake:        make(chan struct{}, 1),
		executions:  executionLog{limit: config.ExecutionLog},
		connections: map[net.Conn]struct{}{},
	}
	engine.stopped, engine.stop = context.WithCancel(context.Background())
	engine.life = engine.newLife(time.Now())
	engine.server = httpserver.New("engine "+config.Name, config.Listen, engine.handler(), engine.logger)
	engine.server.ConnContext = withConnection
	engine.server.ConnState = engine.trackConnection
	return engine, nil
}

func (e *Engine) newLife(now time.Time) *life {
	identity := enginesim.Identity{
		Name:        e.config.Name,
		Zone:        e.config.Zone,
		Model:       e.config.Pool,
		Incarnation: uuid.NewString(),
	}
	begun := &life{
		simulation:  enginesim.New(e.config.Simulation, identity, nil),
		streams:     map[streamKey]*stream{},
		weights:     map[int64][]byte{},
		cancelFetch: func() {},
	}
	begun.ended, begun.end = context.WithCancel(e.stopped)
	begun.refreshReport(now)
	return begun
}

func (l *life) refreshReport(now time.Time) {
	l.report = l.simulation.Load(now)
	l.reportedAt = now
}

// Start listens and serves until Stop or Kill.
func (e *Engine) Start() error {
	if err := e.server.Start(); err != nil {
		return err
	}
	e.tasks.Go(e.drive)
	return nil
}

// URL returns the base URL without a trailing slash, or "" before Start.
func (e *Engine) URL() string { return e.server.URL() }

// Incarnation returns the incarnation of the engine's present life.
func (e *Engine) Incarnation() string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.life.simulation.Identity().Incarnation
}

// Load returns the engine's load as it is now, without lag.
func (e *Engine) Load() enginev1.Load {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.life.simulation.Load(time.Now())
}

// Executions returns the executions remembered, oldest first.
func (e *Engine) Executions() []Execution {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.executions.snapshot()
}

// Restart ends the engine's life as a crash does and begins a new one at the same address.
func (e *Engine) Restart() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.restart(time.Now())
	e.wakeDriver()
}

// restart is Restart with the mutex held.
func (e *Engine) restart(now time.Time) {
	e.endLife(now)
	e.life = e.newLife(now)
	level.Info(e.logger).Log("msg", "engine restarted")
}

// endLife loses all work in flight. Connections are reset before the handlers learn of the end, since a
// handler that returns would end its stream like a whole one.
func (e *Engine) endLife(now time.Time) {
	for _, current := range e.life.streams {
		current.execution.end(now, FinishLost)
		resetConnection(current.connection)
	}
	clear(e.life.streams)
	e.life.end()
}

// Stop lets the streams in progress end, at most until ctx ends, and stops the engine.
func (e *Engine) Stop(ctx context.Context) error {
	err := e.server.Stop(ctx)
	e.release()
	return err
}

// Kill stops the engine like a crash of its machine: connections are reset and work in flight is lost.
func (e *Engine) Kill() {
	e.mutex.Lock()
	e.endLife(time.Now())
	for connection := range e.connections {
		resetConnection(connection)
	}
	e.mutex.Unlock()
	e.server.Close()
	e.release()
}

// release ends the goroutines of the engine and waits for them.
func (e *Engine) release() {
	e.stop()
	e.tasks.Wait()
	e.client.CloseIdleConnections()
}

// wakeDriver makes the driver look for work at once.
func (e *Engine) wakeDriver() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// drive steps the simulation whenever a step is due, until the engine stops.
func (e *Engine) drive() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-e.stopped.Done():
			return
		case <-e.wake:
		case <-timer.C:
		}
		timer.Reset(time.Until(e.advance(time.Now())))
	}
}

// idleInterval is the time between two looks of the driver when nothing is due.
const idleInterval = time.Second

// advance does what is due and returns when it is to be called again.
func (e *Engine) advance(now time.Time) time.Time {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if now.Before(e.frozenUntil) {
		return e.frozenUntil
	}
	for _, event := range e.life.simulation.Step(now) {
		e.deliver(now, event)
	}
	next := now.Add(idleInterval)
	if due, ok := e.life.simulation.NextStep(); ok && due.Before(next) {
		next = due
	}
	if e.config.LoadLag == 0 {
		return next
	}
	if now.Sub(e.life.reportedAt) >= e.config.LoadLag {
		e.life.refreshReport(now)
	}
	if due := e.life.reportedAt.Add(e.config.LoadLag); due.Before(next) {
		next = due
	}
	return next
}

// frozen reports whether the engine stands still.
func (e *Engine) frozen() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return time.Now().Before(e.frozenUntil)
}

// awaitThaw blocks while the engine is frozen; false means that ctx ended first.
func (e *Engine) awaitThaw(ctx context.Context) bool {
	for {
		e.mutex.Lock()
		wait := time.Until(e.frozenUntil)
		e.mutex.Unlock()
		if wait <= 0 {
			return true
		}
		if !sleep(ctx, wait) {
			return false
		}
	}
}

// sleep waits for a time; false means that ctx ended first.
func sleep(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
