// Package weightorder orders engines to load the weight versions that trainers publish. Only the coordinator sends orders.
//
// Guarantees: an order is sent only within a short time after it was recorded in the store, which a process of an earlier term can no
// longer do; a new coordinator sends an engine no order until the last one of another process is a lease length old; an order carries the
// engine's start and order count, so that a late one has no effect; engines not permitted by package placement receive none.
package weightorder

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/covelink/covelink/internal/decay"
	"github.com/covelink/covelink/internal/election"
	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/metastore"
	"github.com/covelink/covelink/internal/pause"
	"github.com/covelink/covelink/internal/permits"
)

// Mode determines what happens to running requests at an engine that loads.
type Mode int

// Mode values.
const (
	// ModeRetain continues runs under the new version.
	ModeRetain Mode = iota
	// ModeWait loads after the current runs have ended.
	ModeWait
)

// Order asks an engine to load a version of a model.
type Order struct {
	Model   string
	Version int64
	Mode    Mode
	// Holder and Token identify the coordinator and its term.
	Holder string
	Token  int64
	// Sequence is the number of orders that the engine has accepted.
	Sequence int64
	// LeaveBy is the time of boottime after which the order must not be sent.
	LeaveBy time.Time
}

// Report is an engine's state as the engine reports it.
type Report struct {
	Sequence int64
	// Busy is true while an order is being carried out.
	Busy     bool
	Versions map[string]int64
}

// ErrRefused reports an order that the engine rejected.
var ErrRefused = errors.New("weightorder: order refused by engine")

// Demand is the work for a model.
type Demand struct {
	// Waiting counts the items that wait for an engine, and MinVersion is the newest version that any of them requires.
	Waiting    int
	MinVersion int64
	// Items is a moving sum of submitted items, exponentially decayed with DemandDecay.
	Items float64
	// Open counts the items of unfinished jobs.
	Open int
	// WaitingTime is the time that engines are expected to spend on the waiting items.
	WaitingTime time.Duration
	// SubmittedTime is such a sum of the time that engines were expected to spend on submitted items.
	SubmittedTime time.Duration
	// OldestOpen and NewestOpen are the ages of the oldest and the newest unfinished job; zero if there is none.
	OldestOpen, NewestOpen time.Duration
	// OpenMinVersion is the newest version that an unfinished job requires.
	OpenMinVersion int64
}

// DemandDecay is the time constant of the moving sums in Demand.
const DemandDecay = 20 * time.Second

// EngineRuns is the work in progress at an engine.
type EngineRuns struct {
	// Running counts the runs in progress, and TimeLeft is the expected time until the last of them ends.
	Running  int
	TimeLeft time.Duration
}

// Engines sends calls to engines.
type Engines interface {
	Report(ctx context.Context, engine *fleet.Engine) (Report, error)
	Order(ctx context.Context, engine *fleet.Engine, order Order) error
}

const (
	// journalName is the name of the order journal.
	journalName = "orders"
	// callTimeout bounds a call to an engine.
	callTimeout = 700 * time.Millisecond
	// firstPollDelay is the delay from an order to the first poll of a load: engines report their state with a lag.
	firstPollDelay = 1010 * time.Millisecond
	// loadPollInterval is the interval between polls of a load.
	loadPollInterval = 60 * time.Millisecond
	// loadTimeout bounds a load.
	loadTimeout = 4 * time.Second
	// retryDelay is how long an engine receives no orders after a failure.
	retryDelay = 500 * time.Millisecond
	// replanInterval is the longest interval between two plans.
	replanInterval = 2 * time.Second
	// waitingReplanInterval is that interval while items wait for an engine, or outdated engines wait for items to start.
	waitingReplanInterval = 200 * time.Millisecond
	// replanDelayFactor is the least delay between two plans relative to the time that the first took, up to maxReplanDelay.
	replanDelayFactor = 8
	maxReplanDelay    = 100 * time.Millisecond
	// conflictDelay is how long an engine that another process ordered recently receives no orders.
	conflictDelay = 250 * time.Millisecond
)

// Params configures a Manager.
type Params struct {
	State   *fleet.State
	Engines Engines
	// Store holds the journal of orders.
	Store  metastore.Client
	Holder string
	// LeaseLength is the least time between the orders of two coordinators.
	LeaseLength time.Duration
	// OnVersion is called with each version that an engine reports.
	OnVersion func(engineID, model string, version int64)
	// Demands returns the work for each model; may be nil.
	Demands func() map[string]Demand
	// Runs returns the work in progress at each engine that has any; may be nil.
	Runs func() map[string]EngineRuns
	// EventInterval returns the lasting interval between two events of an engine's stream, without regard to recent changes; may be nil.
	EventInterval func(engineID string) time.Duration
	// OnLoading is called when an engine starts to load, during which it accepts no work, and when that ends; may be nil.
	OnLoading func(engineID string, loading bool)
	// OnMoved is called at the end of each move; may be nil.
	OnMoved func(err error, took time.Duration)
	Logger  log.Logger
}

// Manager sends orders while it leads.
type Manager struct {
	Params
	mu      sync.Mutex
	targets map[string]int64
	changed chan struct{}
	// reported holds the versions that engines reported, by engine and model.
	reported map[string]map[string]int64
	// loading holds the model of each move in progress, by engine.
	loading map[string]string
	// backoffUntil holds the engines that receive no orders until a time.
	backoffUntil map[string]time.Time
	// mayOrder reports whether an engine may receive orders yet; nil for every engine.
	mayOrder func(engine string, now time.Time) bool
	// assigned maps engines to the model that they keep up to date, in services that divide their engines among models.
	assigned map[string]string
	// demand and runs are the work for each model and at each engine as of the last plan.
	demand map[string]Demand
	runs   map[string]EngineRuns
	// demandSince is when work was first observed in this term; zero before.
	demandSince time.Time
	// namedAt is when the target of each model was named, and namingInterval the moving average of the time between two namings.
	namedAt        map[string]time.Time
	namingInterval map[string]time.Duration
	// postponed is true if the last plan left engines for later.
	postponed bool
	// replicaSets holds the replica sets of services that have many more engines than needed.
	replicaSets map[string]replicaSets
	// windows bound the concurrent loads of each service by their duration.
	windows map[string]*loadWindow
	// leading is true during a term.
	leading bool
	// openItems is the decaying maximum of open items by model.
	openItems map[string]decay.Value
}

// New returns a Manager that sends nothing until Lead.
func New(params Params) *Manager {
	return &Manager{
		Params:         params,
		changed:        make(chan struct{}, 1),
		targets:        make(map[string]int64),
		reported:       make(map[string]map[string]int64),
		loading:        make(map[string]string),
		backoffUntil:   make(map[string]time.Time),
		assigned:       make(map[string]string),
		namedAt:        make(map[string]time.Time),
		namingInterval: make(map[string]time.Duration),
		openItems:      make(map[string]decay.Value),
		replicaSets:    make(map[string]replicaSets),
		windows:        make(map[string]*loadWindow),
	}
}

// SetTargets sets the version of each model that engines are to load.
func (m *Manager) SetTargets(named map[string]int64) {
	m.mu.Lock()
	for model, version := range named {
		if version > m.targets[model] {
			m.observeNaming(model, version, time.Now())
			level.Info(m.Logger).Log("msg", "weight version named", "model", model, "version", version)
		}
	}
	m.targets = maps.Clone(named)
	m.mu.Unlock()
	m.wake()
}

// observeNaming records when a model's next version was named. The mutex must be held.
func (m *Manager) observeNaming(model string, version int64, now time.Time) {
	before, known := m.namedAt[model]
	m.namedAt[model] = now
	if !known || version != m.targets[model]+1 {
		return
	}
	interval := now.Sub(before)
	if average, ok := m.namingInterval[model]; ok {
		interval = average + time.Duration(namingWeight*float64(interval-average))
	}
	m.namingInterval[model] = interval
}

// nextStep returns the expected time until a model's next version is named; zero if that is unknown or overdue. The mutex must be held.
func (m *Manager) nextStep(model string, now time.Time) time.Duration {
	return max(m.namingInterval[model]-now.Sub(m.namedAt[model]), 0)
}

func (m *Manager) wake() {
	select {
	case m.changed <- struct{}{}:
	default:
	}
}

// Lead sends orders until ctx ends.
func (m *Manager) Lead(ctx context.Context, term election.Term) {
	orders := permits.New(permits.Params{
		Store:       m.Store,
		Name:        journalName,
		Holder:      m.Holder,
		Token:       term.Token,
		LeaseLength: m.LeaseLength,
		// Orders of two processes are kept a lease length apart, for engines that do not check the fencing token.
		Transit: m.LeaseLength,
	})
	orders.TakeOver(ctx)
	m.mu.Lock()
	m.mayOrder = orders.MayAct
	clear(m.loading)
	clear(m.backoffUntil)
	m.demandSince = time.Time{}
	m.leading = true
	m.mu.Unlock()
	defer m.endTerm()
	var moving sync.WaitGroup
	for ctx.Err() == nil {
		_, changed := m.State.Changed()
		started := time.Now()
		if moves := m.plan(started); len(moves) > 0 {
			moving.Go(func() { m.moveAll(ctx, term, orders, moves) })
		}
		// Batches moves that end at about the same time into one plan.
		pause.For(ctx, min(replanDelayFactor*time.Since(started), maxReplanDelay))
		timer := time.NewTimer(m.planInterval())
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

// endTerm ends the reports of Stats.
func (m *Manager) endTerm() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leading = false
}

// planInterval returns the longest time until the next plan.
func (m *Manager) planInterval() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.postponed {
		return waitingReplanInterval
	}
	for _, demand := range m.demand {
		if demand.Waiting > 0 {
			return waitingReplanInterval
		}
	}
	return replanInterval
}

// moveAll records the orders in the journal and carries out the permitted moves.
func (m *Manager) moveAll(ctx context.Context, term election.Term, orders *permits.Journal, moves []move) {
	ids := make([]string, 0, len(moves))
	for _, next := range moves {
		ids = append(ids, next.engine.ID)
	}
	allowed, deadline, err := orders.Permit(ctx, ids)
	wanted := m.dropUnwanted(moves)
	var moving sync.WaitGroup
	for _, next := range wanted {
		if slices.Contains(allowed, next.engine.ID) {
			moving.Go(func() { m.move(ctx, term, next, deadline) })
			continue
		}
		m.backOff(next, err)
	}
	moving.Wait()
}

// dropUnwanted returns the moves without those in advance of a step whose items have begun to wait since the plan: the store may have taken long
// to record the orders.
func (m *Manager) dropUnwanted(moves []move) []move {
	if m.Demands == nil || !slices.ContainsFunc(moves, func(next move) bool { return next.reason == reasonAdvance }) {
		return moves
	}
	demands := m.Demands()
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(moves), func(next move) bool {
		unwanted := next.reason == reasonAdvance && demands[next.model].Waiting > 0
		if unwanted {
			delete(m.loading, next.engine.ID)
		}
		return unwanted
	})
}

// backOff delays further orders to an engine that must not receive one now.
func (m *Manager) backOff(target move, err error) {
	delay := conflictDelay
	if err != nil {
		delay = retryDelay
	}
	level.Info(m.Logger).Log("msg", "order postponed", "engine", target.engine.ID, "model", target.model, "version", target.version, "err", err)
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.loading, target.engine.ID)
	m.backoffUntil[target.engine.ID] = time.Now().Add(delay)
	time.AfterFunc(delay, m.wake)
}
