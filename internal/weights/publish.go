package weights

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/cluster"
	"github.com/covelink/covelink/internal/leadership"
	"github.com/covelink/covelink/internal/rpc"
)

// tellTimeout bounds one attempt to tell a coordinator.
const tellTimeout = 2 * time.Second

// errNoCoordinator reports a zone without a known coordinator.
var errNoCoordinator = errors.New("weights: no coordinator known")

// entry is a published target and which zones have it.
type entry struct {
	target Target
	// settled is closed once a first coordinator has taken the target or refused it for good (refused), or a newer
	// target has replaced it.
	settled   chan struct{}
	isSettled bool
	replaced  bool
	refused   *v1.Error
	zones     map[string]*delivery
}

func (e *entry) settle() {
	if !e.isSettled {
		e.isSettled = true
		close(e.settled)
	}
}

// delivery is the state of telling one zone's coordinator.
type delivery struct {
	// holder is the coordinator that has the target; empty for none.
	holder   string
	telling  bool
	failures int
	next     time.Time
}

// Publish implements Publisher. It returns nil once one coordinator of a permitted zone has the target or a newer one;
// Run tells the rest until each has it or a newer target replaces it, also after Publish has given up.
//
// Errors are *v1.Error: not_found for an unknown pool, conflict for another digest under a known version, and
// unavailable with outcome unknown when ctx ends first.
func (m *Manager) Publish(ctx context.Context, target Target) error {
	if _, known := m.params.Source.Current().Pools[target.Pool]; !known {
		return v1.Errorf(v1.CodeNotFound, "pool %s is not known", target.Pool)
	}
	if err := m.targets.check(target); err != nil {
		return err
	}
	for {
		current, err := m.enqueue(target)
		if err != nil {
			return err
		}
		m.stir()
		select {
		case <-current.settled:
		case <-ctx.Done():
			return notTaken(target)
		}
		replaced, refused := m.result(current)
		if refused != nil {
			return refused
		}
		if !replaced {
			return nil
		}
	}
}

func notTaken(target Target) error {
	failure := v1.Errorf(v1.CodeUnavailable, "no coordinator of pool %s has taken version %d yet", target.Pool, target.Weights.Version)
	failure.Outcome = v1.OutcomeUnknown
	return failure
}

// enqueue returns the outbox's entry for the target's pool: its own, or that of a newer target.
func (m *Manager) enqueue(target Target) (*entry, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	current, ok := m.outbox[target.Pool]
	if ok && current.target.Weights.Version == target.Weights.Version && current.target.Weights.Digest != target.Weights.Digest {
		return nil, conflict(target)
	}
	if ok && current.target.Weights.Version >= target.Weights.Version {
		return current, nil
	}
	next := &entry{target: target, settled: make(chan struct{}), zones: make(map[string]*delivery)}
	m.outbox[target.Pool] = next
	if ok && !current.isSettled {
		current.replaced = true
		current.settle()
	}
	return next, nil
}

// result tells how a settled entry has ended.
func (m *Manager) result(settled *entry) (replaced bool, refused error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if settled.refused != nil {
		return false, settled.refused
	}
	return settled.replaced, nil
}

func (m *Manager) stir() {
	select {
	case m.stirred <- struct{}{}:
	default:
	}
}

// Run tells coordinators of the published targets until ctx ends. A coordinator that fails is told again with backoff,
// a new one at once, and every one after Limits.Refresh, because a coordinator that restarted has forgotten.
func (m *Manager) Run(ctx context.Context) {
	ticker := time.NewTicker(m.params.Limits.RetryBase)
	defer ticker.Stop()
	var tells sync.WaitGroup
	defer tells.Wait()
	for ctx.Err() == nil {
		for _, attempt := range m.due() {
			tells.Go(func() { m.tell(ctx, attempt) })
		}
		select {
		case <-ctx.Done():
		case <-m.stirred:
		case <-ticker.C:
		}
	}
}

// telling is one attempt to tell a zone's coordinator of a target.
type telling struct {
	entry  *entry
	zone   string
	holder cluster.Node
	known  bool
}

// due returns the attempts to make now, each marked as under way.
func (m *Manager) due() []telling {
	view := m.params.Source.Current()
	now := m.params.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	var attempts []telling
	pending := 0
	for pool, current := range m.outbox {
		spec, ok := view.Pools[pool]
		if !ok {
			continue
		}
		for _, zone := range spec.Spec.PermittedZones {
			attempt, due := m.attempt(current, zone, now)
			if current.zones[zone].holder == "" {
				pending++
			}
			if due {
				attempts = append(attempts, attempt)
			}
		}
	}
	m.metrics.pending.Set(float64(pending))
	return attempts
}

func (m *Manager) attempt(current *entry, zone string, now time.Time) (telling, bool) {
	state, ok := current.zones[zone]
	if !ok {
		state = &delivery{}
		current.zones[zone] = state
	}
	holder, known := m.params.Elector.Holder(leadership.ZoneLease(zone))
	if known && state.holder != "" && holder.Name != state.holder {
		*state = delivery{telling: state.telling}
	}
	if state.telling || now.Before(state.next) {
		return telling{}, false
	}
	state.telling = true
	return telling{entry: current, zone: zone, holder: holder, known: known}, true
}

func (m *Manager) tell(ctx context.Context, attempt telling) {
	callCtx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	err := m.send(callCtx, attempt)
	m.told(attempt, err)
	if err != nil && ctx.Err() == nil {
		level.Debug(m.params.Logger).Log("msg", "coordinator not told of weights", "zone", attempt.zone,
			"pool", attempt.entry.target.Pool, "version", attempt.entry.target.Weights.Version, "err", err)
	}
}

func (m *Manager) send(ctx context.Context, attempt telling) error {
	if !attempt.known {
		return fmt.Errorf("%w: zone %s", errNoCoordinator, attempt.zone)
	}
	request := PutTarget{Zone: attempt.zone, Target: attempt.entry.target}
	if attempt.holder.Name == m.params.Self.Name {
		_, err := m.putTarget(request)
		return err
	}
	_, err := rpc.Call[PutTarget, PutTargetReply](ctx, m.params.Client, attempt.holder.Address, request)
	return err
}

// told notes the end of an attempt.
func (m *Manager) told(attempt telling, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil {
		m.tellFailed(attempt, err)
		return
	}
	m.metrics.tells.WithLabelValues(outcomeAccepted).Inc()
	next := m.params.Now().Add(m.params.Limits.Refresh)
	*attempt.entry.zones[attempt.zone] = delivery{holder: attempt.holder.Name, next: next}
	// Known to this node from now on, so that it can tell a coordinator that takes over.
	if _, err := m.targets.merge(attempt.entry.target); err != nil {
		level.Warn(m.params.Logger).Log("msg", "coordinators have different weights", "pool", attempt.entry.target.Pool, "err", err)
	}
	attempt.entry.settle()
}

// tellFailed schedules the next attempt. A conflict before any coordinator has taken the target is final.
func (m *Manager) tellFailed(attempt telling, err error) {
	m.metrics.tells.WithLabelValues(outcomeFailed).Inc()
	state := attempt.entry.zones[attempt.zone]
	state.telling = false
	state.holder = ""
	state.failures++
	state.next = m.params.Now().Add(m.params.Limits.backoff(state.failures))
	var typed *v1.Error
	if !errors.As(err, &typed) || typed.Code != v1.CodeConflict || attempt.entry.isSettled {
		return
	}
	pool := attempt.entry.target.Pool
	if m.outbox[pool] == attempt.entry {
		delete(m.outbox, pool)
	}
	attempt.entry.refused = typed
	attempt.entry.settle()
}
