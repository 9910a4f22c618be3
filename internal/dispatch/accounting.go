package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/go-kit/log/level"

	v1 "github.com/covelink/covelink/api/v1"

	"github.com/covelink/covelink/api/enginev1"
	"github.com/covelink/covelink/internal/engine"
	"github.com/covelink/covelink/internal/scheduler"
)

// How long an engine that refused gets no new requests.
const (
	drainingHold = 2 * time.Second
	busyHold     = 100 * time.Millisecond
)

// started registers an attempt, so that it ends when its engine is found to have restarted.
func (m *Manager) started(held *grant, cancel context.CancelCauseFunc) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.running[held] = cancel
}

// giveBack returns a slot that was not used.
func (m *Manager) giveBack(held *grant) {
	m.mu.Lock()
	defer m.mu.Unlock()
	held.state.Breaker.Abandon()
	m.release(held)
}

// finished accounts for an attempt and gives its slot back. own tells that the engine is not to blame for the end.
func (m *Manager) finished(held *grant, result *engine.StreamResult, own bool) {
	m.metrics.attempted(result.Outcome)
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.running, held)
	now := m.params.Now()
	m.observeLoad(now, held, result.Load)
	switch {
	case result.Outcome == v1.OutcomeCompleted:
		held.state.Breaker.Succeed()
	case result.Refusal != nil:
		held.state.Breaker.Succeed()
		m.observeRefusal(now, held, result.Refusal.Reason)
	case own:
		held.state.Breaker.Abandon()
	default:
		held.state.Breaker.Fail(now, m.params.Rand())
		_ = level.Debug(m.logger).Log("msg", "attempt failed", "engine", held.engine.Name, "outcome", result.Outcome)
	}
	m.release(held)
}

// observeRefusal keeps new requests off an engine that refused one. The caller holds the lock.
func (m *Manager) observeRefusal(now time.Time, held *grant, reason enginev1.RefusalReason) {
	if held.state.Incarnation != held.engine.Incarnation {
		return
	}
	switch reason {
	case enginev1.RefusedIncarnation, enginev1.RefusedZone:
		held.state.Unusable = true
	case enginev1.RefusedDraining:
		held.state.DrainingUntil = now.Add(drainingHold)
	default:
		held.state.HoldUntil = now.Add(busyHold)
	}
}

// observeLoad takes over a report that came with a reply of the grant's incarnation. The caller holds the lock.
func (m *Manager) observeLoad(now time.Time, held *grant, load *enginev1.Load) {
	if load == nil || load.Incarnation != held.engine.Incarnation {
		return
	}
	held.state.ObserveVersion(load.Incarnation, load.ActiveVersion)
	held.state.ObserveLoad(now, load.Running+load.Waiting)
}

// observeVersion takes over the version of verified tokens. They also prove that the engine works.
func (m *Manager) observeVersion(held *grant, version int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	held.state.ObserveVersion(held.engine.Incarnation, version)
	held.state.Breaker.Succeed()
}

// cancelAttempt tells the engine of an attempt that was given up, in the background: the result does not wait for it.
// A stream that the engine ended itself needs no cancel.
func (m *Manager) cancelAttempt(held *grant, request *enginev1.CompletionRequest, result *engine.StreamResult) {
	if result.Outcome != v1.OutcomeUnknown || errors.Is(result.Err, engine.ErrTruncated) {
		return
	}
	cancelled := enginev1.CancelRequest{RequestID: request.RequestID, Attempt: request.Attempt}
	url := held.engine.URL
	m.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		_ = m.params.Engines.Cancel(ctx, url, cancelled)
	})
}

// succeeded earns the caller a share of a retry.
func (m *Manager) succeeded(caller string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.budget(caller).Succeed()
}

// mayRetry takes a retry from the caller's budget.
func (m *Manager) mayRetry(caller string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.budget(caller).Withdraw()
}

func (m *Manager) budget(caller string) *scheduler.RetryBudget {
	budget, ok := m.budgets[caller]
	if ok {
		return budget
	}
	if len(m.budgets) >= maxBudgets {
		clear(m.budgets)
	}
	budget = scheduler.NewRetryBudget(scheduler.RetryRatio, scheduler.RetryBurst)
	m.budgets[caller] = budget
	return budget
}

// poolSpec returns the spec of a pool, which was in the view a moment ago.
func (m *Manager) poolSpec(pool string) v1.PoolSpec {
	if known, ok := m.params.Source.Current().Pools[pool]; ok {
		return known.Spec
	}
	return v1.PoolSpec{}
}

// boundedTokens returns the length to ask for: that of the task, but not above the pool's, which also stands in for none.
func boundedTokens(asked, bound int) int {
	if bound > 0 && (asked <= 0 || asked > bound) {
		return bound
	}
	return asked
}
