package enginescale

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/covelink/covelink/internal/duty"
	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/metastore"
	"github.com/covelink/covelink/internal/pause"
	"github.com/covelink/covelink/internal/permits"
)

const (
	// KindOrders is the kind of the stored object with the orders, and ordersName its name.
	KindOrders = "engine-orders"
	ordersName = "desired"
	// planInterval is the interval between two plans.
	planInterval = time.Second
	// settleTime is the time from the start of a term until the engine list is considered complete: engines whose registration lapsed
	// during a store outage are back within two seconds of its end.
	settleTime = 4 * time.Second
	// storeTimeout bounds one call to the store.
	storeTimeout = 1500 * time.Millisecond
	// retryDelay is the delay after a failed read of the orders.
	retryDelay = 500 * time.Millisecond
)

// Platform accepts orders.
type Platform interface {
	// OrderEngines sends an order, not later than leaveBy. It returns nil once the order is accepted, or duty.ErrNotSent,
	// duty.ErrUnanswered, duty.ErrNoneAvailable or a *duty.RefusedError. Orders are idempotent.
	OrderEngines(ctx context.Context, stamp duty.Stamp, leaveBy time.Time, order Order) error
}

// Params configures a Manager.
type Params struct {
	State    *fleet.State
	Platform Platform
	Store    metastore.Client
	Logger   log.Logger
	// OfferedLoad returns how many engine slots the items of some models occupy on average; ok is false while that is not known. Nil if engines
	// are not ordered by demand.
	OfferedLoad func(models []string) (slots float64, ok bool)
	// Loading reports whether an engine loads weights; may be nil.
	Loading func(engineID string) bool
}

// ServiceDemand is the demand for engines of a service as of the last plan.
type ServiceDemand struct {
	Service string
	// Offered is the offered load in slots, and LoadingShare the share of time that an engine spends on loads of weights.
	Offered, LoadingShare float64
	// Needed is the number of engines that the load requires, without limits.
	Needed int
}

// Manager sends orders while it leads.
type Manager struct {
	Params
	mu sync.Mutex
	// orders is the state of the orders, and demands the services with a known load, by name.
	orders  orderState
	demands map[string]ServiceDemand
	// observed and lowerSince describe the load of each service. Only Lead uses them.
	observed   map[string]*observedLoad
	lowerSince map[string]time.Time
	// unsaved is true if orders changed since they were last stored. Only Lead uses it.
	unsaved bool
	// revision is that of the stored object; zero if it has not been read. Only Lead uses it.
	revision metastore.Revision
}

// orderState holds what was ordered. Its fields are those of Snapshot.
type orderState struct {
	desired, found                                    map[Subject]int
	shortSince, orderedAt, calledAt, unavailableSince map[Subject]time.Time
	unanswered                                        map[Subject]Order
}

func newOrderState() orderState {
	return orderState{
		desired:          make(map[Subject]int),
		found:            make(map[Subject]int),
		shortSince:       make(map[Subject]time.Time),
		orderedAt:        make(map[Subject]time.Time),
		calledAt:         make(map[Subject]time.Time),
		unavailableSince: make(map[Subject]time.Time),
		unanswered:       make(map[Subject]Order),
	}
}

// New returns a Manager that sends nothing until Lead.
func New(params Params) *Manager { return &Manager{Params: params} }

// Desired returns the total number of ordered engines.
func (m *Manager) Desired() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	total := 0
	for _, count := range m.orders.desired {
		total += count
	}
	return total
}

// Demands returns the demand of the services whose load is known, while this process leads.
func (m *Manager) Demands() []ServiceDemand {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Collect(maps.Values(m.demands))
}

// Lead sends orders until ctx ends or a later term is found. duties records the calls.
func (m *Manager) Lead(ctx context.Context, duties *duty.Executor) {
	m.mu.Lock()
	m.orders = newOrderState()
	m.mu.Unlock()
	m.observed, m.lowerSince = make(map[string]*observedLoad), make(map[string]time.Time)
	m.revision, m.unsaved = 0, false
	defer m.setDemands(nil)
	if !m.loadOrders(ctx, duties.Stamp.Token) {
		return
	}
	pause.For(ctx, settleTime)
	for ctx.Err() == nil {
		if errors.Is(m.step(ctx, duties), permits.ErrSuperseded) {
			return
		}
		pause.For(ctx, planInterval)
	}
}

// step makes one plan, sends its orders and stores what was accepted. It returns permits.ErrSuperseded if a later term leads.
func (m *Manager) step(ctx context.Context, duties *duty.Executor) error {
	orders := Plan(m.snapshot(time.Now()))
	errs := make([]error, len(orders))
	var sending sync.WaitGroup
	for i, order := range orders {
		sending.Go(func() { errs[i] = m.send(ctx, duties, order) })
	}
	sending.Wait()
	for i, order := range orders {
		m.record(order, errs[i], time.Now())
	}
	if m.unsaved {
		err := m.persist(ctx, duties.Stamp.Token)
		if err != nil {
			level.Warn(m.Logger).Log("msg", "failed to persist ordered engines", "err", err)
		}
		m.unsaved = err != nil
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}

// send sends an order.
func (m *Manager) send(ctx context.Context, duties *duty.Executor, order Order) error {
	err := duties.Do(ctx, order.Subject.String(), func(ctx context.Context, stamp duty.Stamp, leaveBy time.Time) error {
		return m.Platform.OrderEngines(ctx, stamp, leaveBy, order)
	})
	m.mu.Lock()
	ordered, demand := m.orders.desired[order.Subject], m.demands[order.Subject.Service]
	m.mu.Unlock()
	level.Info(m.Logger).Log("msg", "engines ordered", "service", order.Subject.Service, "zone", order.Subject.Zone, "desired", order.Desired,
		"running", order.Running, "ordered", ordered, "offered", demand.Offered, "loading_share", demand.LoadingShare, "needed", demand.Needed,
		"reason", string(order.Reason), "token", duties.Stamp.Token, "err", err)
	return err
}

// record records the result of sending an order.
func (m *Manager) record(order Order, err error, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	state, subject := &m.orders, order.Subject
	var refused *duty.RefusedError
	switch {
	case err == nil:
		m.accepted(order, now)
	case errors.Is(err, duty.ErrUnanswered):
		// The platform may have carried it out: another number would reverse that, and cost a second order.
		if order.Reason != ReasonLost {
			state.unanswered[subject] = order
		}
	case errors.Is(err, duty.ErrNoneAvailable):
		state.unavailableSince[subject] = now
		delete(state.unanswered, subject)
	case !errors.As(err, &refused):
		// The platform was not called.
		return
	}
	state.calledAt[subject] = now
}

// accepted records an order that the platform has accepted. The mutex must be held.
func (m *Manager) accepted(order Order, now time.Time) {
	state, subject := &m.orders, order.Subject
	before, exists := state.desired[subject]
	state.desired[subject], state.orderedAt[subject] = order.Desired, now
	delete(state.unanswered, subject)
	delete(state.unavailableSince, subject)
	if !exists {
		state.found[subject] = order.Desired
	}
	if order.Desired < before {
		// The next zone gets fewer engines after the load was observed with this number.
		delete(m.lowerSince, subject.Service)
	}
	m.unsaved = m.unsaved || !exists || order.Desired != before
}
