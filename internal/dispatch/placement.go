package dispatch

import (
	"context"
	"errors"
	"slices"
	"time"

	v1 "github.com/covelink/covelink/api/v1"

	"github.com/covelink/covelink/coord/rendezvous"
	"github.com/covelink/covelink/internal/cluster"
	"github.com/covelink/covelink/internal/scheduler"
)

// errReplaced is the cause of the end of an attempt whose engine has restarted.
var errReplaced = errors.New("engine has restarted")

// waiter is a task that waits for a placement.
type waiter struct {
	request scheduler.Request
	class   Class
	since   time.Time
	// placed receives exactly one placement, unless the waiter is removed from the queue before.
	placed chan placement
}

// placement is the answer to a waiter: a grant or a refusal.
type placement struct {
	grant   *grant
	refusal *refusal
}

// grant is a slot on an engine.
type grant struct {
	engine cluster.Engine
	state  *scheduler.EngineState
	class  Class
}

// acquire waits for a slot. On the end of ctx it returns a refusal with the reason.
func (m *Manager) acquire(ctx context.Context, item scheduler.Item, request scheduler.Request, class Class) (*grant, *refusal) {
	id, waiting, refused := m.enqueue(item, request, class)
	if refused != nil {
		return nil, refused
	}
	m.kick()
	select {
	case placed := <-waiting.placed:
		return placed.grant, placed.refusal
	case <-ctx.Done():
		m.abandon(id, waiting)
		return nil, m.ended(ctx, item)
	}
}

func (m *Manager) enqueue(item scheduler.Item, request scheduler.Request, class Class) (uint64, *waiter, *refusal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped {
		return 0, nil, refuse(reasonDraining, v1.CodeUnavailable, unavailableRetryAfter, errStopped.Error())
	}
	m.nextID++
	item.ID = m.nextID
	now := m.params.Now()
	if rejection := m.queue.Push(now, item); rejection != nil {
		return 0, nil, rejected(rejection)
	}
	waiting := &waiter{request: request, class: class, since: now, placed: make(chan placement, 1)}
	m.waiters[item.ID] = waiting
	return item.ID, waiting, nil
}

func rejected(rejection *scheduler.Rejection) *refusal {
	if rejection.Reason == scheduler.RejectedDeadline {
		return refuse(string(rejection.Reason), v1.CodeOverloaded, rejection.RetryAfter, "the deadline cannot be met")
	}
	return refuse(string(rejection.Reason), v1.CodeOverloaded, rejection.RetryAfter, "the queue is full")
}

// abandon takes a waiter out. A slot that was granted meanwhile is given back.
func (m *Manager) abandon(id uint64, waiting *waiter) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.queue.Remove(id) {
		delete(m.waiters, id)
		return
	}
	placed := <-waiting.placed
	if placed.grant != nil {
		placed.grant.state.Breaker.Abandon()
		m.release(placed.grant)
	}
}

// ended says why a task that waited was given up.
func (m *Manager) ended(ctx context.Context, item scheduler.Item) *refusal {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errStopped):
		return refuse(reasonDraining, v1.CodeUnavailable, unavailableRetryAfter, errStopped.Error())
	case errors.Is(cause, context.DeadlineExceeded):
		return refuse(reasonDeadline, v1.CodeDeadlineExceeded, m.retryAfter(item), "the deadline passed while the request waited")
	default:
		return refuse(reasonCancelled, v1.CodeUnavailable, unavailableRetryAfter, "the caller gave the request up")
	}
}

func (m *Manager) retryAfter(item scheduler.Item) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(unavailableRetryAfter, m.queue.Wait(m.params.Now(), item.Interactive, item.Pool))
}

// place brings the snapshot to the current view and decides on every waiting task.
func (m *Manager) place() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refresh()
	now := m.params.Now()
	if !m.snapshot.View.ServingAt(now) {
		m.refuseWaiting(notServing(m.snapshot.View))
		return
	}
	m.queue.Scan(now, func(item *scheduler.Item) scheduler.Verdict { return m.tryPlace(now, item) })
}

// refresh takes over a new view and ends the attempts on engines that have restarted.
func (m *Manager) refresh() {
	view := m.params.Source.Current()
	if view == m.snapshot.View {
		return
	}
	m.snapshot = scheduler.NewSnapshot(view, m.params.Self.Zone, m.snapshot)
	for held, cancel := range m.running {
		index := m.snapshot.Find(held.engine.Name)
		if index >= 0 && replaced(&held.engine, &view.Engines[index]) {
			cancel(errReplaced)
		}
	}
}

func replaced(before, after *cluster.Engine) bool {
	return after.Incarnation != "" && after.Incarnation != before.Incarnation
}

func (m *Manager) tryPlace(now time.Time, item *scheduler.Item) scheduler.Verdict {
	waiting := m.waiters[item.ID]
	decision := m.placer.Place(now, m.snapshot, &waiting.request)
	switch decision.Kind {
	case scheduler.Placed:
		m.grant(now, item.ID, waiting, decision.Engine)
		return scheduler.Take
	case scheduler.Refuse:
		delete(m.waiters, item.ID)
		waiting.placed <- placement{refusal: unplaceable(decision)}
		return scheduler.Drop
	}
	if wholePoolFull(decision) {
		return scheduler.Stop
	}
	return scheduler.Skip
}

// wholePoolFull reports that what keeps this task waiting keeps every other task of its class and pool waiting too.
func wholePoolFull(decision scheduler.Decision) bool {
	removed := &decision.Explanation.Removed
	return removed[scheduler.FilterAvoided] == 0 && removed[scheduler.FilterVersion] == 0
}

func unplaceable(decision scheduler.Decision) *refusal {
	return refuse(reasonNoEngine, v1.CodeUnavailable, decision.RetryAfter,
		"no engine of the pool can take the request: "+decision.Reason.String())
}

func (m *Manager) grant(now time.Time, id uint64, waiting *waiter, index int) {
	delete(m.waiters, id)
	m.inFlight[waiting.class]++
	m.metrics.waited(waiting.class, now.Sub(waiting.since))
	waiting.placed <- placement{grant: &grant{
		engine: m.snapshot.View.Engines[index],
		state:  m.snapshot.States[index],
		class:  waiting.class,
	}}
}

// refuseWaiting refuses every waiting task. The caller holds the lock.
func (m *Manager) refuseWaiting(refused *refusal) {
	for id, waiting := range m.waiters {
		m.queue.Remove(id)
		delete(m.waiters, id)
		waiting.placed <- placement{refusal: refused}
	}
}

// release gives a slot back. The caller holds the lock.
func (m *Manager) release(held *grant) {
	held.state.Release(held.class == ClassInteractive)
	m.inFlight[held.class]--
	m.kick()
}

// permitted checks a grant against the current view, which may be newer than the one it was decided on, and returns
// the pool's permitted zones.
func (m *Manager) permitted(task *Task, held *grant) ([]string, bool) {
	view := m.params.Source.Current()
	pool, ok := view.Pools[task.Pool]
	if !ok || !view.ServingAt(m.params.Now()) || !slices.Contains(pool.Spec.PermittedZones, held.engine.Zone) {
		return nil, false
	}
	if zone, found := view.Zones[held.engine.Zone]; found && zone.Spec.Cordoned {
		return nil, false
	}
	if slices.Contains(pool.Spec.DrainingEngines, held.engine.Name) {
		return nil, false
	}
	at := slices.IndexFunc(view.Engines, func(known cluster.Engine) bool { return known.Name == held.engine.Name })
	if at < 0 {
		return nil, false
	}
	known := &view.Engines[at]
	same := known.Incarnation == held.engine.Incarnation && known.Zone == held.engine.Zone && known.URL == held.engine.URL
	return pool.Spec.PermittedZones, same && known.Pool == task.Pool && !known.Leaving
}

// schedulerRequest returns what the scheduler needs to know of a task.
func schedulerRequest(task *Task, last string) scheduler.Request {
	return scheduler.Request{
		Pool:          task.Pool,
		Interactive:   task.Class == ClassInteractive,
		MinVersion:    task.MinVersion,
		PreferVersion: task.PreferVersion,
		PrefixKey:     task.PrefixKey,
		TieKey:        rendezvous.Hash(task.RequestID),
		Avoid:         task.AvoidEngines,
		Last:          last,
	}
}

// Explain tells where a task would be placed now, and which filter removes how many engines.
func (m *Manager) Explain(task Task) scheduler.Decision {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refresh()
	request := schedulerRequest(&task, "")
	return m.placer.Evaluate(m.params.Now(), m.snapshot, &request)
}
