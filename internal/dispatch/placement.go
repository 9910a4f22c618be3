package dispatch

import (
	"context"
	"errors"
	"time"

	v1 "github.com/covelink/covelink/api/v1"

	"github.com/covelink/covelink/internal/scheduler"
)

// errReplaced is the cause of the end of an attempt whose engine has restarted.
var errReplaced = errors.New("engine has restarted")

// acquire waits for a slot. On the end of ctx it returns a refusal with the reason.
func (m *Manager) acquire(ctx context.Context, run *Run) (*Grant, *Refusal) {
	id, placed, refused := m.enqueue(run)
	if refused != nil {
		return nil, refused
	}
	m.kick()
	select {
	case decision := <-placed:
		return decision.Grant, decision.Refusal
	case <-ctx.Done():
		m.abandon(id, placed)
		return nil, m.ended(ctx, run.Item())
	}
}

// enqueue returns the channel that receives exactly one placement, unless the task is removed from the queue before.
func (m *Manager) enqueue(run *Run) (uint64, chan Placement, *Refusal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped {
		return 0, nil, refuse(reasonDraining, v1.CodeUnavailable, unavailableRetryAfter, errStopped.Error())
	}
	id, refused := m.core.Enqueue(m.params.Now(), run.Item(), run.SchedulerRequest(), run.Task.Class)
	if refused != nil {
		return 0, nil, refused
	}
	placed := make(chan Placement, 1)
	m.waiters[id] = placed
	return id, placed, nil
}

// abandon takes a waiter out. A slot that was granted meanwhile is given back.
func (m *Manager) abandon(id uint64, placed chan Placement) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.core.Remove(id) {
		delete(m.waiters, id)
		return
	}
	if decision := <-placed; decision.Grant != nil {
		m.core.GiveBack(decision.Grant)
		m.kick()
	}
}

// ended says why a task that waited was given up.
func (m *Manager) ended(ctx context.Context, item scheduler.Item) *Refusal {
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
	return max(unavailableRetryAfter, m.core.Wait(m.params.Now(), item))
}

// place brings the core to the current view and decides on every waiting task.
func (m *Manager) place() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refresh()
	now := m.params.Now()
	if view := m.core.View(); !view.ServingAt(now) {
		m.refuseWaiting(notServing(view))
		return
	}
	m.core.Place(now, m.decided)
}

// decided hands a placement to its waiter. The caller holds the lock.
func (m *Manager) decided(decision Placement) {
	if decision.Grant != nil {
		m.metrics.waited(decision.Grant.class, decision.Grant.waited)
	}
	placed := m.waiters[decision.ID]
	delete(m.waiters, decision.ID)
	placed <- decision
}

// refresh takes over a new view and ends the attempts on engines that have restarted.
func (m *Manager) refresh() {
	if !m.core.Refresh(m.params.Source.Current()) {
		return
	}
	for held, cancel := range m.running {
		if m.core.Replaced(held) {
			cancel(errReplaced)
		}
	}
}

// refuseWaiting refuses every waiting task. The caller holds the lock.
func (m *Manager) refuseWaiting(refused *Refusal) {
	for _, id := range m.core.Waiting() {
		m.core.Remove(id)
		m.decided(Placement{ID: id, Refusal: refused})
	}
}

// permitted checks a grant against the current view, which may be newer than the one it was decided on, and returns
// the pool's permitted zones.
func (m *Manager) permitted(task *Task, held *Grant) ([]string, bool) {
	return Permitted(m.params.Now(), m.params.Source.Current(), task.Pool, held)
}

// Explain tells where a task would be placed now, and which filter removes how many engines.
func (m *Manager) Explain(task Task) scheduler.Decision {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refresh()
	return m.core.Explain(m.params.Now(), NewRun(task).SchedulerRequest())
}
