// Package weightorder moves engines to the weight versions that trainers name, by orders that only the coordinating process
// gives.
//
// Guarantees: an order is given only within a short time after it was recorded in the store, which no process of an earlier
// term can do any more; a new coordinator gives an engine none until the last order of another to it is a lease length old;
// an order names the engine's start and its count of orders, so that one carried out late changes nothing; engines to which package placement
// permits nothing are given none.
package weightorder

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/covelink/covelink/internal/boottime"
	"github.com/covelink/covelink/internal/decay"
	"github.com/covelink/covelink/internal/election"
	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/metastore"
	"github.com/covelink/covelink/internal/pause"
	"github.com/covelink/covelink/internal/permits"
	"github.com/covelink/covelink/internal/placement"
)

// Mode is what becomes of the runs at an engine that loads.
type Mode int

// The modes.
const (
	// ModeRetain lets runs go on under the new version.
	ModeRetain Mode = iota
	// ModeWait loads once runs have ended.
	ModeWait
)

// Order asks an engine to load a version of a model.
type Order struct {
	Model   string
	Version int64
	Mode    Mode
	// Holder and Token name the coordinating process and its term.
	Holder string
	Token  int64
	// Sequence is the count of orders that the engine has taken.
	Sequence int64
	// LeaveBy is the moment of boottime after which the order must not leave any more.
	LeaveBy time.Time
}

// Report is what an engine tells of itself.
type Report struct {
	Sequence int64
	// Busy is true while an order is carried out.
	Busy     bool
	Versions map[string]int64
}

// ErrRefused reports an order that the engine did not take.
var ErrRefused = errors.New("weightorder: refused")

// Demand is the work that there is for a model.
type Demand struct {
	// Waiting counts the items that wait for an engine, and MinVersion is the newest version that one of them demands.
	Waiting    int
	MinVersion int64
	// Items is a moving sum of the items that were submitted.
	Items float64
	// Open counts the items of jobs that have not ended.
	Open int
}

// Engines calls engines.
type Engines interface {
	Report(ctx context.Context, engine *fleet.Engine) (Report, error)
	Order(ctx context.Context, engine *fleet.Engine, order Order) error
}

const (
	// journalName is that of the journal of orders.
	journalName = "orders"
	// callTimeout bounds a call to an engine.
	callTimeout = 700 * time.Millisecond
	// loadTime is the time after which a load is first asked for: engines tell their state as it was some time ago.
	loadTime = 1010 * time.Millisecond
	// loadPoll is the pause between two questions about a load.
	loadPoll = 60 * time.Millisecond
	// loadLimit is how long a load may take before the engine is left aside.
	loadLimit = 4 * time.Second
	// retryPause is how long an engine is left aside after a call that failed.
	retryPause = 500 * time.Millisecond
	// idlePause is the pause between two looks when nothing changes.
	idlePause = 2 * time.Second
	// deferredPause is that pause while engines are left to work that waits.
	deferredPause = 200 * time.Millisecond
	// restFactor is the least pause between two plans, relative to what the first took, up to maxRest.
	restFactor = 8
	maxRest    = 100 * time.Millisecond
	// refusedPause is how long an engine is left aside that another process has ordered lately.
	refusedPause = 250 * time.Millisecond
)

// Params are what a Manager works with.
type Params struct {
	State   *fleet.State
	Engines Engines
	// Store keeps the journal of orders.
	Store  metastore.Client
	Holder string
	// LeaseLength is the least time between the orders of two coordinating processes.
	LeaseLength time.Duration
	// Loaded is told that an engine holds a version.
	Loaded func(engineID, model string, version int64)
	// Demands returns the work for each model; nil if it is not known.
	Demands func() map[string]Demand
	// Pause returns the expected pause between two events at an engine; nil if it is not known.
	Pause func(engineID string) time.Duration
	// Loading is told when an engine begins to load, and takes no new work, and when that is over; nil for nobody.
	Loading func(engineID string, loading bool)
	// Moved is told of the end of each move; nil for nobody.
	Moved  func(err error, took time.Duration)
	Logger log.Logger
}

// Manager gives orders while it leads.
type Manager struct {
	Params
	mu      sync.Mutex
	named   map[string]int64
	changed chan struct{}
	// held are versions that engines have told, by engine and model.
	held map[string]map[string]int64
	// loading are the engines that are being moved.
	loading map[string]struct{}
	// asideTil are the engines that are left alone for a while.
	asideTil map[string]time.Time
	// mayOrder reports whether an engine may be ordered already; nil for every engine.
	mayOrder func(engine string, now time.Time) bool
	// assigned is the model that an engine keeps up with, where a service divides its engines among its models.
	assigned map[string]string
	// demand is the work for each model when the last plan was made.
	demand map[string]Demand
	// largest is the most engines that each service has had.
	largest map[string]int
	// replicas are the engines that keep up with a model, by service, where the service has many more than it needs.
	replicas map[string]replicas
	// window bounds the loads at once by how long they take.
	window *loadWindow
	// open is the most items that each model has had open lately.
	open map[string]decay.Value
}

// New returns a Manager that does nothing until Lead.
func New(params Params) *Manager {
	return &Manager{
		Params:   params,
		changed:  make(chan struct{}, 1),
		named:    make(map[string]int64),
		held:     make(map[string]map[string]int64),
		loading:  make(map[string]struct{}),
		asideTil: make(map[string]time.Time),
		assigned: make(map[string]string),
		largest:  make(map[string]int),
		open:     make(map[string]decay.Value),
		replicas: make(map[string]replicas),
		window:   newLoadWindow(),
	}
}

// SetNamed takes in the newest named version of each model.
func (m *Manager) SetNamed(named map[string]int64) {
	m.mu.Lock()
	for model, version := range named {
		if version > m.named[model] {
			level.Info(m.Logger).Log("msg", "weight version named", "model", model, "version", version)
		}
	}
	m.named = maps.Clone(named)
	m.mu.Unlock()
	m.poke()
}

func (m *Manager) poke() {
	select {
	case m.changed <- struct{}{}:
	default:
	}
}

// Lead gives orders until ctx ends.
func (m *Manager) Lead(ctx context.Context, term election.Term) {
	orders := permits.New(permits.Params{
		Store:       m.Store,
		Name:        journalName,
		Holder:      m.Holder,
		Token:       term.Token,
		LeaseLength: m.LeaseLength,
		// Orders of two processes are kept a lease length apart: engines that check no fence may judge them so.
		Transit: m.LeaseLength,
	})
	orders.TakeOver(ctx)
	m.mu.Lock()
	m.mayOrder = orders.MayAct
	clear(m.loading)
	clear(m.asideTil)
	m.mu.Unlock()
	var moving sync.WaitGroup
	for ctx.Err() == nil {
		_, changed := m.State.Changed()
		started := time.Now()
		if moves := m.plan(started); len(moves) > 0 {
			moving.Go(func() { m.moveAll(ctx, term, orders, moves) })
		}
		// Moves that end together are one look.
		pause.For(ctx, min(restFactor*time.Since(started), maxRest))
		timer := time.NewTimer(m.idlePause())
		select {
		case <-m.changed:
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
	moving.Wait()
}

// idlePause is the longest pause before the next plan.
func (m *Manager) idlePause() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, demand := range m.demand {
		if demand.Waiting > 0 {
			return deferredPause
		}
	}
	return idlePause
}

// moveAll records the orders to come and carries out the moves that are allowed now.
func (m *Manager) moveAll(ctx context.Context, term election.Term, orders *permits.Journal, moves []move) {
	ids := make([]string, 0, len(moves))
	for _, next := range moves {
		ids = append(ids, next.engine.ID)
	}
	allowed, deadline, err := orders.Permit(ctx, ids)
	var moving sync.WaitGroup
	for _, next := range moves {
		if slices.Contains(allowed, next.engine.ID) {
			moving.Go(func() { m.move(ctx, term, next, deadline) })
			continue
		}
		m.postpone(next, err)
	}
	moving.Wait()
}

// postpone leaves an engine aside that may not be ordered now.
func (m *Manager) postpone(target move, err error) {
	aside := refusedPause
	if err != nil {
		aside = retryPause
	}
	level.Info(m.Logger).Log("msg", "order postponed", "engine", target.engine.ID, "model", target.model, "version", target.version, "err", err)
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.loading, target.engine.ID)
	m.asideTil[target.engine.ID] = time.Now().Add(aside)
	time.AfterFunc(aside, m.poke)
}

// move brings an engine to a version, by an order before the deadline, and waits until it is seen there.
func (m *Manager) move(ctx context.Context, term election.Term, target move, deadline time.Time) {
	started := time.Now()
	err := m.load(ctx, term, target, deadline)
	if m.Moved != nil {
		m.Moved(err, time.Since(started))
	}
	level.Info(m.Logger).Log("msg", "engine moved", "engine", target.engine.ID, "model", target.model, "version", target.version,
		"token", term.Token, "took", time.Since(started).Round(time.Millisecond), "err", err)
	m.mu.Lock()
	delete(m.loading, target.engine.ID)
	if err != nil {
		m.asideTil[target.engine.ID] = time.Now().Add(retryPause)
	}
	m.mu.Unlock()
	if err != nil {
		pause.For(ctx, retryPause)
	}
	m.poke()
}

// errNotPermitted reports an engine to which the placement filter forbids orders since its move was planned.
var errNotPermitted = errors.New("weightorder: engine not permitted")

// errNotLoaded reports a load that was not seen done.
var errNotLoaded = errors.New("weightorder: load not seen done")

func (m *Manager) load(ctx context.Context, term election.Term, target move, orderDeadline time.Time) error {
	report, err := m.report(ctx, target)
	if err != nil {
		return err
	}
	if report.Versions[target.model] >= target.version {
		return nil
	}
	if reason := placement.NewFilter(m.State.View(), placement.Residency{}).Check(target.engine); reason != placement.Permitted {
		return fmt.Errorf("%w: %s", errNotPermitted, reason)
	}
	if !report.Busy {
		if err := m.order(ctx, term, target, report, orderDeadline); err != nil {
			return err
		}
	}
	return m.awaitLoad(ctx, target, report.Busy)
}

// awaitLoad waits until a version is seen at an engine that loads. joined is true if it had begun before.
func (m *Manager) awaitLoad(ctx context.Context, target move, joined bool) (err error) {
	if m.Loading != nil {
		m.Loading(target.engine.ID, true)
		defer m.Loading(target.engine.ID, false)
	}
	ordered := time.Now()
	defer func() {
		if joined || ctx.Err() != nil {
			return
		}
		m.mu.Lock()
		defer m.mu.Unlock()
		m.window.ended(time.Now(), time.Since(ordered), err == nil)
	}()
	if !joined {
		pause.For(ctx, loadTime)
	}
	deadline := time.Now().Add(loadLimit)
	for ctx.Err() == nil && time.Now().Before(deadline) {
		report, err := m.report(ctx, target)
		if err == nil && report.Versions[target.model] >= target.version {
			return nil
		}
		if err == nil && !report.Busy {
			return errNotLoaded
		}
		pause.For(ctx, loadPoll)
	}
	return errNotLoaded
}

// report asks an engine for its state and takes in the versions it tells.
func (m *Manager) report(ctx context.Context, target move) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	report, err := m.Engines.Report(ctx, target.engine)
	if err != nil {
		return Report{}, err
	}
	m.mu.Lock()
	m.held[target.engine.ID] = report.Versions
	m.mu.Unlock()
	for model, version := range report.Versions {
		m.Loaded(target.engine.ID, model, version)
	}
	return report, nil
}

// order gives one order before the deadline of its permit.
func (m *Manager) order(ctx context.Context, term election.Term, target move, report Report, deadline time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, boottime.Until(deadline))
	defer cancel()
	return m.Engines.Order(ctx, target.engine, Order{
		LeaveBy:  deadline,
		Model:    target.model,
		Version:  target.version,
		Mode:     m.mode(target.model),
		Holder:   m.Holder,
		Token:    term.Token,
		Sequence: report.Sequence,
	})
}

// mode lets runs go on under the new version unless a route demands texts of one version.
func (m *Manager) mode(model string) Mode {
	routes := m.State.View().Routes
	for _, route := range routes.Routes() {
		if !route.SingleVersion {
			continue
		}
		for _, target := range route.Targets {
			for _, held := range routes.Services[target.Service].Models {
				if held == model {
					return ModeWait
				}
			}
		}
	}
	return ModeRetain
}
