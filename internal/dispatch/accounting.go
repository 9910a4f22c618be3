package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/go-kit/log/level"

	v1 "github.com/covelink/covelink/api/v1"

	"github.com/covelink/covelink/api/enginev1"
	"github.com/covelink/covelink/internal/engine"
)

// How long an engine that refused gets no new requests.
const (
	drainingHold = 2 * time.Second
	busyHold     = 100 * time.Millisecond
)

// started registers an attempt, so that it ends when its engine is found to have restarted.
func (m *Manager) started(held *Grant, cancel context.CancelCauseFunc) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.running[held] = cancel
}

// giveBack returns a slot that was not used.
func (m *Manager) giveBack(held *Grant) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.core.GiveBack(held)
	m.kick()
}

// finished accounts for an attempt and gives its slot back. own tells that the engine is not to blame for the end.
func (m *Manager) finished(held *Grant, result *engine.StreamResult, own bool) {
	m.metrics.attempted(result.Outcome)
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.running, held)
	if m.core.Finished(m.params.Now(), held, result, own, m.params.Rand()) {
		_ = level.Debug(m.logger).Log("msg", "attempt failed", "engine", held.engine.Name, "outcome", result.Outcome)
	}
	m.kick()
}

// judge decides what follows an attempt.
func (m *Manager) judge(run *Run, ended *Refusal, result *engine.StreamResult) Step {
	m.mu.Lock()
	defer m.mu.Unlock()
	return run.Judge(m.core, ended, result, m.params.Rand())
}

// observeVersion takes over the version of verified tokens.
func (m *Manager) observeVersion(held *Grant, version int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.core.ObserveVersion(held, version)
}

// cancelAttempt tells the engine of an attempt that was given up, in the background: the result does not wait for it.
// A stream that the engine ended itself needs no cancel.
func (m *Manager) cancelAttempt(held *Grant, request *enginev1.CompletionRequest, result *engine.StreamResult) {
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

// poolSpec returns the spec of a pool, which was in the view a moment ago.
func (m *Manager) poolSpec(pool string) v1.PoolSpec {
	if known, ok := m.params.Source.Current().Pools[pool]; ok {
		return known.Spec
	}
	return v1.PoolSpec{}
}
