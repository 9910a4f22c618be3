package enginescale

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"strings"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/covelink/covelink/internal/duty"
	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/metastore"
	"github.com/covelink/covelink/internal/pause"
	"github.com/covelink/covelink/internal/permits"
	"github.com/covelink/covelink/internal/routing"
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
}

// Manager sends orders while it leads.
type Manager struct {
	Params
	mu         sync.Mutex
	desired    map[Subject]int
	shortSince map[Subject]time.Time
	orderedAt  map[Subject]time.Time
	// revision is that of the stored object; zero if it has not been read. Only Lead uses it.
	revision metastore.Revision
}

// New returns a Manager that sends nothing until Lead.
func New(params Params) *Manager { return &Manager{Params: params} }

// Desired returns the total number of ordered engines.
func (m *Manager) Desired() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	total := 0
	for _, count := range m.desired {
		total += count
	}
	return total
}

// Lead sends orders until ctx ends or a later term is found. duties records the calls.
func (m *Manager) Lead(ctx context.Context, duties *duty.Executor) {
	m.mu.Lock()
	m.desired, m.shortSince, m.orderedAt = make(map[Subject]int), make(map[Subject]time.Time), make(map[Subject]time.Time)
	m.revision = 0
	m.mu.Unlock()
	if !m.loadOrders(ctx, duties.Stamp.Token) {
		return
	}
	pause.For(ctx, settleTime)
	for ctx.Err() == nil {
		for _, order := range Plan(m.snapshot(time.Now())) {
			if errors.Is(m.send(ctx, duties, order), permits.ErrSuperseded) {
				return
			}
		}
		pause.For(ctx, planInterval)
	}
}

// snapshot returns the input of the next plan.
func (m *Manager) snapshot(now time.Time) Snapshot {
	view := m.State.View()
	s := Snapshot{Now: now, Limits: limitsOf(view.Routes), Running: runningOf(view), Evacuated: make(map[string]bool)}
	m.mu.Lock()
	defer m.mu.Unlock()
	for subject, desired := range m.desired {
		s.Evacuated[subject.Zone] = view.Evacuations == nil || view.Evacuations.Contains(subject.Zone)
		if s.Running[subject] >= desired {
			delete(m.shortSince, subject)
			continue
		}
		if _, exists := m.shortSince[subject]; !exists {
			m.shortSince[subject] = now
		}
	}
	s.Desired, s.ShortSince, s.OrderedAt = maps.Clone(m.desired), maps.Clone(m.shortSince), maps.Clone(m.orderedAt)
	return s
}

// limitsOf returns the limits of the services with scaling.
func limitsOf(routes *routing.Table) map[string]Limits {
	limits := make(map[string]Limits)
	if routes == nil {
		return limits
	}
	for name, service := range routes.Services {
		if scaling := service.Scaling; scaling != nil {
			limits[name] = Limits{Min: scaling.Min, Max: scaling.Max, StartTime: scaling.StartTime}
		}
	}
	return limits
}

// runningOf counts the ready engines. A subject without ready engines is listed with zero.
func runningOf(view *fleet.View) map[Subject]int {
	running := make(map[Subject]int)
	for _, engine := range view.Engines.All() {
		subject := Subject{Service: engine.Service, Zone: engine.Zone}
		running[subject] += 0
		if engine.Ready {
			running[subject]++
		}
	}
	return running
}

// send sends an order and persists the desired number once the platform has accepted it.
func (m *Manager) send(ctx context.Context, duties *duty.Executor, order Order) error {
	err := duties.Do(ctx, order.Subject.String(), func(ctx context.Context, stamp duty.Stamp, leaveBy time.Time) error {
		return m.Platform.OrderEngines(ctx, stamp, leaveBy, order)
	})
	level.Info(m.Logger).Log("msg", "engines ordered", "service", order.Subject.Service, "zone", order.Subject.Zone, "desired", order.Desired,
		"running", order.Running, "reason", string(order.Reason), "token", duties.Stamp.Token, "err", err)
	if err != nil {
		return err
	}
	m.mu.Lock()
	m.orderedAt[order.Subject] = time.Now()
	changed := m.desired[order.Subject] != order.Desired
	m.desired[order.Subject] = order.Desired
	m.mu.Unlock()
	if !changed {
		return nil
	}
	if err := m.persist(ctx, duties.Stamp.Token); err != nil {
		level.Warn(m.Logger).Log("msg", "failed to persist ordered engines", "err", err)
		return err
	}
	return nil
}

// ordersSpec is the content of the stored object.
type ordersSpec struct {
	// Token is that of the term that wrote the object.
	Token int64 `json:"token"`
	// Desired is keyed by Subject.String.
	Desired map[string]int `json:"desired"`
}

// loadOrders reads the orders of earlier terms, retrying until the store answers. It returns false if a later term leads or ctx ends.
func (m *Manager) loadOrders(ctx context.Context, token int64) bool {
	for ctx.Err() == nil {
		err := m.readOrders(ctx, token)
		if err == nil {
			return true
		}
		level.Warn(m.Logger).Log("msg", "failed to read ordered engines", "err", err)
		if errors.Is(err, permits.ErrSuperseded) {
			return false
		}
		pause.For(ctx, retryDelay)
	}
	return false
}

func (m *Manager) readOrders(ctx context.Context, token int64) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	object, err := m.Store.Get(ctx, KindOrders, ordersName)
	if errors.Is(err, metastore.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	var spec ordersSpec
	if err := json.Unmarshal(object.Spec, &spec); err != nil {
		return fmt.Errorf("enginescale: decode orders: %w", err)
	}
	if spec.Token > token {
		return permits.ErrSuperseded
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, desired := range spec.Desired {
		if subject, ok := parseSubject(name); ok {
			m.desired[subject] = desired
		}
	}
	m.revision = object.Revision
	return nil
}

// parseSubject parses the result of Subject.String.
func parseSubject(name string) (subject Subject, ok bool) {
	parts := strings.Split(name, "/")
	if len(parts) != 3 {
		return Subject{}, false
	}
	return Subject{Service: parts[1], Zone: parts[2]}, true
}

// persist writes the orders on the condition that no other process has written them.
func (m *Manager) persist(ctx context.Context, token int64) error {
	m.mu.Lock()
	spec := ordersSpec{Token: token, Desired: make(map[string]int, len(m.desired))}
	for subject, desired := range m.desired {
		spec.Desired[subject.String()] = desired
	}
	m.mu.Unlock()
	content, err := json.Marshal(spec)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	write := m.Store.Replace
	if m.revision == 0 {
		write = m.Store.Create
	}
	stored, err := write(ctx, KindOrders, metastore.Object{Name: ordersName, Spec: content, Revision: m.revision})
	var conflict *metastore.ConflictError
	if errors.As(err, &conflict) {
		return m.resolveConflict(conflict.Current, token)
	}
	if err != nil {
		return err
	}
	m.revision = stored.Revision
	return nil
}

// resolveConflict handles an object that was written in the meantime, possibly by this process in a write whose reply was lost.
func (m *Manager) resolveConflict(current metastore.Object, token int64) error {
	var spec ordersSpec
	if err := json.Unmarshal(current.Spec, &spec); err != nil {
		return fmt.Errorf("enginescale: decode orders: %w", err)
	}
	if spec.Token > token {
		return permits.ErrSuperseded
	}
	m.revision = current.Revision
	return nil
}
