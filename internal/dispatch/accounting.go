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

const (
	// drainingHold and busyHold bound how long an engine that refused a request gets no new ones.
	drainingHold = 2 * time.Second
	busyHold     = 100 * time.Millisecond
)

// trackAttempt registers the cancel function of an attempt, which is called if the engine restarts.
func (m *Manager) trackAttempt(grant *Grant, cancel context.CancelCauseFunc) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.running[grant] = cancel
}

// releaseUnused returns the slot of a grant that was not used.
func (m *Manager) releaseUnused(grant *Grant) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.core.ReleaseUnused(grant)
	m.wakeLoop()
}

// finishAttempt records the result of an attempt and releases its slot. endedLocally is set if this node or the caller
// ended the attempt, in which case the engine's breaker does not count a failure.
func (m *Manager) finishAttempt(grant *Grant, result *engine.StreamResult, endedLocally bool) {
	m.metrics.recordAttempt(result.Outcome)
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.running, grant)
	if m.core.FinishAttempt(m.params.Now(), grant, result, endedLocally, m.params.Rand()) {
		_ = level.Debug(m.logger).Log("msg", "attempt failed", "engine", grant.engine.Name, "outcome", result.Outcome)
	}
	m.wakeLoop()
}

// nextStep returns what follows an attempt. aborted is not nil if the task itself ended the attempt.
func (m *Manager) nextStep(run *Run, aborted *Refusal, result *engine.StreamResult) Step {
	m.mu.Lock()
	defer m.mu.Unlock()
	return run.NextStep(m.core, aborted, result, m.params.Rand())
}

// observeVersion records the weight version of verified tokens as the version of the grant's engine.
func (m *Manager) observeVersion(grant *Grant, version int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.core.ObserveVersion(grant, version)
}

// cancelAttempt sends a cancel to the engine of an aborted attempt, in the background so that the result is not delayed.
// A stream that the engine itself ended needs no cancel.
func (m *Manager) cancelAttempt(grant *Grant, request *enginev1.CompletionRequest, result *engine.StreamResult) {
	if result.Outcome != v1.OutcomeUnknown || errors.Is(result.Err, engine.ErrTruncated) {
		return
	}
	cancelled := enginev1.CancelRequest{RequestID: request.RequestID, Attempt: request.Attempt}
	url := grant.engine.URL
	m.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		_ = m.params.Engines.Cancel(ctx, url, cancelled)
	})
}

// poolSpec returns the spec of a pool, or a zero spec if the pool has been removed from the view.
func (m *Manager) poolSpec(pool string) v1.PoolSpec {
	if known, ok := m.params.Source.Current().Pools[pool]; ok {
		return known.Spec
	}
	return v1.PoolSpec{}
}
