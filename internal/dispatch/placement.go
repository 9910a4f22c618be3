package dispatch

import (
	"context"
	"errors"
	"time"

	v1 "github.com/covelink/covelink/api/v1"

	"github.com/covelink/covelink/internal/scheduler"
)

// errEngineRestarted is the cancellation cause of an attempt whose engine has restarted.
var errEngineRestarted = errors.New("engine has restarted")

// acquire waits for a slot. It returns a refusal if the task is refused or ctx ends first.
func (m *Manager) acquire(ctx context.Context, run *Run) (*Grant, *Refusal) {
	id, placed, refused := m.enqueue(run)
	if refused != nil {
		return nil, refused
	}
	m.wakeLoop()
	select {
	case decision := <-placed:
		return decision.Grant, decision.Refusal
	case <-ctx.Done():
		m.cancelWait(id, placed)
		return nil, m.contextRefusal(ctx, run.Item())
	}
}

// enqueue queues a task and returns a channel that receives exactly one placement, unless the task is removed first.
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

// cancelWait removes a queued task. A slot that was granted in the meantime is released.
func (m *Manager) cancelWait(id uint64, placed chan Placement) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.core.Remove(id) {
		delete(m.waiters, id)
		return
	}
	if decision := <-placed; decision.Grant != nil {
		m.core.ReleaseUnused(decision.Grant)
		m.wakeLoop()
	}
}

// contextRefusal returns the refusal for the cause that contextRefusal ctx.
func (m *Manager) contextRefusal(ctx context.Context, item scheduler.Item) *Refusal {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errStopped):
		return refuse(reasonDraining, v1.CodeUnavailable, unavailableRetryAfter, errStopped.Error())
	case errors.Is(cause, context.DeadlineExceeded):
		return refuse(reasonDeadline, v1.CodeDeadlineExceeded, m.retryAfter(item), "the deadline passed in the queue")
	default:
		return refuse(reasonCancelled, v1.CodeUnavailable, unavailableRetryAfter, "the caller cancelled the request")
	}
}

func (m *Manager) retryAfter(item scheduler.Item) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(unavailableRetryAfter, m.core.Wait(m.params.Now(), item))
}

// place applies the current view and tries to place every queued task.
func (m *Manager) place() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refresh()
	now := m.params.Now()
	if view := m.core.View(); !view.ServingAt(now) {
		m.refuseWaiting(notServing(view))
		return
	}
	m.core.Place(now, m.deliver)
}

// deliver sends a placement to its waiter. The caller holds m.mu.
func (m *Manager) deliver(decision Placement) {
	if decision.Grant != nil {
		m.metrics.recordWait(decision.Grant.class, decision.Grant.waited)
	}
	placed := m.waiters[decision.ID]
	delete(m.waiters, decision.ID)
	placed <- decision
}

// refresh applies the current view and cancels attempts on engines that have restarted. The caller holds m.mu.
func (m *Manager) refresh() {
	if !m.core.Refresh(m.params.Source.Current()) {
		return
	}
	for grant, cancel := range m.running {
		if m.core.EngineRestarted(grant) {
			cancel(errEngineRestarted)
		}
	}
}

// refuseWaiting refuses every queued task. The caller holds m.mu.
func (m *Manager) refuseWaiting(refused *Refusal) {
	for _, id := range m.core.Waiting() {
		m.core.Remove(id)
		m.deliver(Placement{ID: id, Refusal: refused})
	}
}

// permitted calls Permitted with the current view.
func (m *Manager) permitted(task *Task, grant *Grant) ([]string, bool) {
	return Permitted(m.params.Now(), m.params.Source.Current(), task.Pool, grant)
}

// Explain returns where a task would be placed now, and how many engines each filter removes.
func (m *Manager) Explain(task Task) scheduler.Decision {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refresh()
	return m.core.Explain(m.params.Now(), NewRun(task).SchedulerRequest())
}
