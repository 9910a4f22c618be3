package weightorder

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/go-kit/log/level"

	"github.com/covelink/covelink/internal/boottime"
	"github.com/covelink/covelink/internal/election"
	"github.com/covelink/covelink/internal/pause"
	"github.com/covelink/covelink/internal/placement"
)

// move brings an engine to a version, with an order sent before the deadline, and waits until the engine reports it.
func (m *Manager) move(ctx context.Context, term election.Term, target move, deadline time.Time) {
	started := time.Now()
	err := m.load(ctx, term, target, deadline)
	if m.OnMoved != nil {
		m.OnMoved(err, time.Since(started))
	}
	level.Info(m.Logger).Log("msg", "weight load finished", "engine", target.engine.ID, "model", target.model, "version", target.version,
		"token", term.Token, "took", time.Since(started).Round(time.Millisecond), "err", err)
	m.mu.Lock()
	delete(m.loading, target.engine.ID)
	if err != nil {
		m.backoffUntil[target.engine.ID] = time.Now().Add(retryDelay)
	}
	m.mu.Unlock()
	if err != nil {
		pause.For(ctx, retryDelay)
	}
	m.wake()
}

// errNotPermitted reports an engine that is no longer permitted by the placement filter.
var errNotPermitted = errors.New("weightorder: placement does not permit engine")

// errNotLoaded reports an engine that ended a load without the version.
var errNotLoaded = errors.New("weightorder: engine did not report the loaded version")

// errLoadTimeout reports a load whose end was not observed within loadTimeout.
var errLoadTimeout = errors.New("weightorder: load did not end in time")

func (m *Manager) load(ctx context.Context, term election.Term, target move, orderDeadline time.Time) error {
	report, err := m.fetchReport(ctx, target)
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
		m.logLoad(target)
		if err := m.sendOrder(ctx, term, target, report, orderDeadline); err != nil {
			return err
		}
	}
	return m.awaitLoad(ctx, target, report.Busy)
}

// awaitLoad waits until a loading engine reports the version. joined is true if the load had started before this move.
func (m *Manager) awaitLoad(ctx context.Context, target move, joined bool) (err error) {
	if m.OnLoading != nil {
		m.OnLoading(target.engine.ID, true)
		defer m.OnLoading(target.engine.ID, false)
	}
	ordered := time.Now()
	defer func() {
		if joined || ctx.Err() != nil || err != nil && !errors.Is(err, errLoadTimeout) {
			return
		}
		m.mu.Lock()
		defer m.mu.Unlock()
		m.windowOf(target.engine.Service).observe(time.Now(), finishedLoad{
			model: target.model, took: time.Since(ordered), timedOut: err != nil, concurrent: target.concurrent, window: target.window,
		})
	}()
	if !joined {
		pause.For(ctx, firstPollDelay)
	}
	deadline := time.Now().Add(loadTimeout)
	for ctx.Err() == nil && time.Now().Before(deadline) {
		report, err := m.fetchReport(ctx, target)
		if err == nil && report.Versions[target.model] >= target.version {
			return nil
		}
		if err == nil && !report.Busy {
			return errNotLoaded
		}
		pause.For(ctx, loadPollInterval)
	}
	return errLoadTimeout
}

// fetchReport requests an engine's state and records the reported versions.
func (m *Manager) fetchReport(ctx context.Context, target move) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	report, err := m.Engines.Report(ctx, target.engine)
	if err != nil {
		return Report{}, err
	}
	m.mu.Lock()
	m.reported[target.engine.ID] = report.Versions
	m.mu.Unlock()
	for model, version := range report.Versions {
		m.OnVersion(target.engine.ID, model, version)
	}
	return report, nil
}

// sendOrder sends one order before the deadline of its permit.
func (m *Manager) sendOrder(ctx context.Context, term election.Term, target move, report Report, deadline time.Time) error {
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

// mode returns ModeWait if a route requires texts of a single version from the model, and ModeRetain otherwise.
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
