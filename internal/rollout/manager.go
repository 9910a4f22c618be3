package rollout

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/prometheus/client_golang/prometheus"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/cluster"
	"github.com/covelink/covelink/internal/dispatch"
	"github.com/covelink/covelink/internal/leadership"
	"github.com/covelink/covelink/internal/rpc"
	"github.com/covelink/covelink/internal/settings"
	"github.com/covelink/covelink/internal/telemetry"
	"github.com/covelink/covelink/internal/weights"
)

const (
	minRetryInterval = 10 * time.Millisecond
	maxRetryInterval = time.Second

	defaultMaxInFlight = 1024
	defaultMaxTokens   = 4096
	// fetchFrameShare is the part of a frame that the text of one fetch may fill.
	fetchFrameShare = 4
)

// Params are what a Manager is built on.
type Params struct {
	Self       cluster.Node
	Source     cluster.Source
	Dispatcher dispatch.Dispatcher
	Elector    leadership.Elector
	Client     *rpc.Client
	Publisher  weights.Publisher
	Logs       LogOpener
	Scorer     Scorer
	Limits     settings.Limits
	Logger     log.Logger
	// Registerer may be nil.
	Registerer prometheus.Registerer
	// Now may be nil and is then time.Now.
	Now func() time.Time
}

// Manager runs the batch owners of the trainers whose leases this node wins, and forwards calls to the owners on other nodes.
type Manager struct {
	params  Params
	logger  log.Logger
	metrics *Metrics

	draining  chan struct{} // closed by HandOver
	drainOnce sync.Once
	stopped   chan struct{} // closed when Run has returned

	mu    sync.Mutex
	terms map[string]*term // by trainer
}

// New returns a Manager that does nothing until Run.
func New(params Params) *Manager {
	if params.Now == nil {
		params.Now = time.Now
	}
	return &Manager{
		params:   params,
		logger:   telemetry.For(params.Logger, telemetry.PartRollout),
		metrics:  NewMetrics(params.Registerer),
		draining: make(chan struct{}),
		stopped:  make(chan struct{}),
		terms:    make(map[string]*term),
	}
}

// campaign is this node's part in the election of one trainer's owner.
type campaign struct {
	zones  []string
	cancel context.CancelFunc
	done   chan struct{}
}

func (c *campaign) stop() {
	c.cancel()
	<-c.done
}

// Run campaigns for every trainer whose pool permits this node's zone, until ctx ends or HandOver is called. It must be
// called once.
func (m *Manager) Run(ctx context.Context) error {
	defer close(m.stopped)
	campaigns := make(map[string]*campaign)
	defer func() {
		for _, c := range campaigns {
			c.cancel()
		}
		for _, c := range campaigns {
			<-c.done
		}
	}()
	for {
		changed := m.params.Source.Changed()
		m.reconcile(ctx, m.params.Source.Current(), campaigns)
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		case <-m.draining:
			m.awaitTerms()
			return nil
		}
	}
}

// reconcile starts and stops campaigns to match the view.
func (m *Manager) reconcile(ctx context.Context, view *cluster.View, campaigns map[string]*campaign) {
	for trainer, c := range campaigns {
		if zones := m.electorate(view, trainer); !slices.Equal(zones, c.zones) {
			c.stop()
			delete(campaigns, trainer)
		}
	}
	for trainer := range view.Trainers {
		zones := m.electorate(view, trainer)
		if _, runs := campaigns[trainer]; runs || len(zones) == 0 {
			continue
		}
		campaigns[trainer] = m.campaign(ctx, trainer, zones)
	}
}

// electorate returns the zones whose nodes may own the trainer's batches, or none if this node may not.
func (m *Manager) electorate(view *cluster.View, trainer string) []string {
	t, ok := view.Trainers[trainer]
	if !ok || !view.Permitted(t.Spec.Pool, m.params.Self.Zone) {
		return nil
	}
	return view.Pools[t.Spec.Pool].Spec.PermittedZones
}

func (m *Manager) campaign(ctx context.Context, trainer string, zones []string) *campaign {
	ctx, cancel := context.WithCancel(ctx)
	c := &campaign{zones: zones, cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(c.done)
		m.params.Elector.Campaign(ctx, leadership.TrainerLease(trainer), zones, func(ctx context.Context, t leadership.Term) {
			m.lead(ctx, t, trainer, zones)
		})
	}()
	return c
}

// lead owns the trainer's batches for one term. An owner whose log fails is discarded and recovered within the same term.
func (m *Manager) lead(ctx context.Context, leased leadership.Term, trainer string, zones []string) {
	wait := newBackOff()
	for ctx.Err() == nil && !m.isDraining() {
		progressed, err := m.own(ctx, leased, trainer, zones)
		if err == nil || ctx.Err() != nil {
			return
		}
		level.Warn(m.logger).Log("msg", "owner stopped", "trainer", trainer, "token", leased.Token, "err", err)
		if errors.Is(err, ErrFenced) {
			return
		}
		if progressed {
			wait.Reset()
		}
		sleep(ctx, wait.NextBackOff())
	}
}

// own recovers the ledger and runs an owner until the term ends (nil) or its log fails. progressed tells whether the
// owner did more than open its term.
func (m *Manager) own(ctx context.Context, leased leadership.Term, trainer string, zones []string) (progressed bool, err error) {
	store, err := m.params.Logs.Open(ctx, leased.Name, leased, zones)
	if err != nil {
		return false, fmt.Errorf("rollout: open log: %w", err)
	}
	ledger, err := recoverLedger(ctx, store, trainer)
	if err != nil {
		return false, err
	}
	config, ok := m.config(trainer, store)
	if !ok {
		return false, nil
	}
	owner, err := NewOwner(m.params.Now(), ledger, leased.Token, config, m.metrics)
	if err != nil {
		return false, err
	}
	t := newTerm(ctx, m, trainer, owner, store)
	level.Info(m.logger).Log("msg", "owner started", "trainer", trainer, "token", leased.Token, "open", len(ledger.Open()))
	err = t.run()
	return t.groups > 1, err
}

// recoverLedger rebuilds the ledger from its log.
func recoverLedger(ctx context.Context, store Log, trainer string) (*Ledger, error) {
	snapshot, entries, err := store.Recover(ctx)
	if err != nil {
		return nil, fmt.Errorf("rollout: recover log: %w", err)
	}
	ledger := NewLedger(trainer)
	if snapshot != nil {
		if ledger, err = RestoreLedger(snapshot); err != nil {
			return nil, err
		}
	}
	for index, entry := range entries {
		if err := ledger.Apply(entry); err != nil {
			return nil, fmt.Errorf("rollout: recover entry %d of type %T: %w", index, entry, err)
		}
	}
	return ledger, nil
}

// config returns what the owner takes from the view in force, and false if the trainer is gone from it.
func (m *Manager) config(trainer string, store Log) (Config, bool) {
	view := m.params.Source.Current()
	t, ok := view.Trainers[trainer]
	if !ok {
		return Config{}, false
	}
	pool, ok := view.Pools[t.Spec.Pool]
	if !ok {
		return Config{}, false
	}
	replicas := store.Info().Replicas
	if len(replicas) == 0 {
		replicas = []string{m.params.Self.Name}
	}
	return Config{
		Pool: t.Spec.Pool, Bound: t.Spec.StalenessBound, Weight: t.Spec.Weight, Scorer: t.Spec.Scorer,
		MaxInFlight:     defaulted(t.Spec.MaxInFlight, defaultMaxInFlight),
		MaxTokens:       defaulted(pool.Spec.MaxTokens, defaultMaxTokens),
		MaxBatchSamples: m.params.Limits.MaxBatchSamples,
		MaxFetchBytes:   m.params.Limits.MaxFrameBytes / fetchFrameShare,
		Replicas:        replicas,
	}, true
}

func defaulted(value, otherwise int) int {
	if value > 0 {
		return value
	}
	return otherwise
}

// HandOver ends this node's ownership for a planned stop: nothing new is started, verified tokens are saved, attempts are
// cancelled and every term ends, so that other nodes take over and resume. It returns once all terms have ended, or ctx's error.
func (m *Manager) HandOver(ctx context.Context) error {
	m.drainOnce.Do(func() { close(m.draining) })
	select {
	case <-m.stopped:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (m *Manager) isDraining() bool {
	select {
	case <-m.draining:
		return true
	default:
		return false
	}
}

// awaitTerms waits for the terms running to save their work.
func (m *Manager) awaitTerms() {
	m.mu.Lock()
	var running []*term
	for _, t := range m.terms {
		running = append(running, t)
	}
	m.mu.Unlock()
	for _, t := range running {
		<-t.ended
	}
}

// term returns the running term of a trainer, or nil if this node does not own its batches.
func (m *Manager) term(trainer string) *term {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.terms[trainer]
}

func (m *Manager) setTerm(trainer string, t *term) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.terms[trainer] = t
}

func (m *Manager) dropTerm(trainer string, t *term) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.terms[trainer] == t {
		delete(m.terms, trainer)
	}
}

// checkZone refuses a trainer whose data may not be in the zone.
func (m *Manager) checkZone(trainer, zone string) error {
	view := m.params.Source.Current()
	t, ok := view.Trainers[trainer]
	if !ok {
		return v1.NotRun(v1.CodeNotFound, 0, "no trainer %s", trainer)
	}
	if !view.Permitted(t.Spec.Pool, zone) {
		return v1.NotRun(v1.CodeForbidden, 0, "pool %s is not permitted in zone %s", t.Spec.Pool, zone)
	}
	return nil
}

// checkServing refuses new work while this node may take none.
func (m *Manager) checkServing() error {
	view := m.params.Source.Current()
	if view.ServingAt(m.params.Now()) {
		return nil
	}
	return v1.NotRun(v1.CodeUnavailable, retryAfter, "owner %s takes no new work: %s", m.params.Self.Name, view.WhyNotServing())
}

func newBackOff() *backoff.ExponentialBackOff {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = minRetryInterval
	wait.MaxInterval = maxRetryInterval
	return wait
}

// sleep waits for the time or the end of ctx.
func sleep(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
