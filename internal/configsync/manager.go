package configsync

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	"github.com/covelink/covelink/internal/cluster"
	"github.com/covelink/covelink/internal/leadership"
	"github.com/covelink/covelink/internal/rpc"
	"github.com/covelink/covelink/internal/settings"
	"github.com/covelink/covelink/internal/telemetry"
)

// departedMemory is for how long a node of the zone that is no longer known counts in a term that begins. It is longer than a
// lease, since the node may have reached a coordinator after others had lost it.
const departedMemory = time.Minute

// Params are what a Manager needs.
type Params struct {
	Self cluster.Node
	// Seeds are the nodes known from the start.
	Seeds      []cluster.Node
	Store      Store
	Elector    leadership.Elector
	Client     *rpc.Client
	Holder     *cluster.Holder
	Timing     settings.Timing
	Logger     log.Logger
	Registerer prometheus.Registerer
	// Fenced is told when a node of the zone holds a state of a higher token than that of the named term. It may be nil.
	// It is called with a lock held and must not call back.
	Fenced func(term string, seen uint64)
}

// Manager is a node's part in the configuration: it keeps the node's view and, while Lead runs, coordinates the zone.
type Manager struct {
	params      Params
	self        cluster.Node
	logger      log.Logger
	metrics     *metrics
	incarnation string
	now         func() time.Time
	// wakeNode starts a heartbeat at once; renewed tells that the lease has been extended.
	wakeNode chan struct{}
	renewed  chan struct{}

	mu      sync.Mutex
	replica Replica
	nodes   []cluster.Node
	// departed holds until when a node of the zone that is no longer known counts as one that may hold a lease; zones are all
	// ever known.
	departed  map[string]time.Time
	zones     map[string]struct{}
	term      *term // nil unless Lead runs
	engines   []cluster.Engine
	index     objectIndex
	deletions deletionLog
	since     transitions
	published publication
	// servingUntil is the end of the lease as published.
	servingUntil time.Time
	answered     answeredHeartbeat
}

// publication is what decides whether the view has to be built anew.
type publication struct {
	version Version
	serving bool
	reason  string
}

// New returns a Manager; its node does not serve until Run has got it a lease and the zone's revision.
func New(params Params) *Manager {
	m := &Manager{
		params:      params,
		self:        params.Self,
		logger:      telemetry.For(params.Logger, telemetry.PartConfigSync),
		metrics:     newMetrics(params.Registerer),
		incarnation: uuid.NewString(),
		now:         time.Now,
		wakeNode:    make(chan struct{}, 1),
		renewed:     make(chan struct{}, 1),
		departed:    make(map[string]time.Time),
		zones:       make(map[string]struct{}),
	}
	m.setNodesLocked(params.Seeds)
	return m
}

// Run keeps the node's lease and view until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return m.keepLease(ctx) })
	group.Go(func() error { return m.watchLease(ctx) })
	return group.Wait()
}

// CatchUp waits until the node serves, that is until it holds its zone's revision and a lease, or ctx ends.
func (m *Manager) CatchUp(ctx context.Context) error {
	for {
		changed := m.params.Holder.Changed()
		if m.params.Holder.Current().ServingAt(m.now()) {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// SetNodes replaces the known nodes, of every zone. A node of this zone that is no longer known may still hold a lease, and a
// zone of which no node is known may hold what others don't: a term that begins soon after allows for both.
func (m *Manager) SetNodes(nodes []cluster.Node) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.setNodesLocked(nodes)
	m.publishLocked(true)
	if m.term != nil {
		m.term.core.SetNodes(m.zoneNodeNames())
		m.term.wakeUp()
	}
}

func (m *Manager) setNodesLocked(nodes []cluster.Node) {
	now := m.now()
	maps.DeleteFunc(m.departed, func(_ string, until time.Time) bool { return !now.Before(until) })
	for _, node := range m.nodes {
		if node.Zone == m.self.Zone {
			m.departed[node.Name] = now.Add(departedMemory)
		}
	}
	for _, node := range nodes {
		delete(m.departed, node.Name)
		m.zones[node.Zone] = struct{}{}
	}
	m.nodes = nodes
}

// SetEngines replaces the engines of the zone. It is for the node that holds the zone's lease, whose term, running or about
// to start, spreads them; they are forgotten when it ends.
func (m *Manager) SetEngines(engines []cluster.Engine) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.engines = slices.Clone(engines)
	if m.term != nil {
		m.changeLocked(func(c *Coordinator, now time.Time) { c.SetEngines(m.engines, now) })
	}
}

// keepLease sends heartbeats until ctx ends.
func (m *Manager) keepLease(ctx context.Context) error {
	for ctx.Err() == nil {
		timer := time.NewTimer(m.heartbeat(ctx))
		select {
		case <-timer.C:
		case <-m.wakeNode:
		case <-ctx.Done():
		}
		timer.Stop()
	}
	return ctx.Err()
}

// heartbeat renews the lease and pulls a state that was missed. It returns the time to wait before the next one.
func (m *Manager) heartbeat(ctx context.Context) time.Duration {
	holder, ok := m.params.Elector.Holder(leadership.ZoneLease(m.self.Zone))
	if !ok {
		return HeartbeatFailed.Pause(m.params.Timing)
	}
	ctx, cancel := context.WithTimeout(ctx, m.params.Timing.LeaseLength)
	defer cancel()
	sentAt := m.now()
	grant, err := m.askGrant(ctx, holder)
	m.witness(grant, err)
	if err != nil {
		level.Debug(m.logger).Log("msg", "heartbeat failed", "coordinator", holder.Name, "err", err)
		return HeartbeatFailed.Pause(m.params.Timing)
	}
	if m.takeGrant(grant, sentAt) {
		if grant.Granted {
			return HeartbeatRenewed.Pause(m.params.Timing)
		}
		return HeartbeatPending.Pause(m.params.Timing)
	}
	if err := m.pull(ctx, holder); err != nil {
		level.Warn(m.logger).Log("msg", "state not pulled", "coordinator", holder.Name, "err", err)
		return HeartbeatFailed.Pause(m.params.Timing)
	}
	return HeartbeatPending.Pause(m.params.Timing)
}

// witness tells the elector what the answer to a heartbeat says of the coordinator.
func (m *Manager) witness(grant Grant, err error) {
	witness, ok := m.params.Elector.(leadership.HolderObserver)
	switch {
	case !ok:
	case err != nil:
		witness.Invalidate(leadership.ZoneLease(m.self.Zone))
	default:
		witness.Confirm(leadership.ZoneLease(m.self.Zone), grant.Version.Token)
	}
}

func (m *Manager) askGrant(ctx context.Context, holder cluster.Node) (Grant, error) {
	m.mu.Lock()
	said := heartbeat{Node: m.self, Report: m.reportLocked()}
	current := answeredHeartbeat{holder: holder.Name, digest: said.digest()}
	repeated := m.answered == current
	m.mu.Unlock()
	if holder.Name == m.self.Name {
		return m.heartbeatLocal(said)
	}
	request := heartbeatRequest{Digest: current.digest}
	if !repeated {
		request.Full = &said
	}
	ctx, cancel := context.WithTimeout(ctx, HeartbeatTimeout(m.params.Timing.LeaseLength))
	defer cancel()
	reply, err := m.callHeartbeat(ctx, holder, request)
	if err == nil && reply.Repeat {
		request.Full = &said
		reply, err = m.callHeartbeat(ctx, holder, request)
	}
	if err != nil {
		return Grant{}, err
	}
	m.mu.Lock()
	m.answered = current
	m.mu.Unlock()
	return reply.grant(said.Report), nil
}

func (m *Manager) callHeartbeat(ctx context.Context, holder cluster.Node, request heartbeatRequest) (heartbeatReply, error) {
	return rpc.Call[heartbeatRequest, heartbeatReply](ctx, m.params.Client, holder.Address, request)
}

// takeGrant applies the answer to a heartbeat and reports whether the node holds the coordinator's state.
func (m *Manager) takeGrant(grant Grant, sentAt time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if grant.Granted && m.replica.Renew(grant.Version.Token, sentAt, m.params.Timing.NodeLeaseLength) {
		notify(m.renewed)
		m.publishLocked(false)
	}
	return m.replica.State().Covers(grant.Version)
}

// pull fetches the coordinator's state.
func (m *Manager) pull(ctx context.Context, holder cluster.Node) error {
	reply, err := rpc.Call[fetchRequest, fetchReply](ctx, m.params.Client, holder.Address, fetchRequest{Zone: m.self.Zone})
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.offerLocked(reply.State)
	return nil
}

// watchLease stops the node from serving when its lease lapses.
func (m *Manager) watchLease(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-m.renewed:
		case <-ctx.Done():
			return ctx.Err()
		}
		m.mu.Lock()
		m.publishLocked(false)
		remaining := m.replica.LeaseUntil().Sub(m.now())
		m.mu.Unlock()
		if remaining > 0 {
			timer.Reset(remaining)
		}
	}
}

func (m *Manager) reportLocked() NodeReport {
	return NodeReport{Node: m.self.Name, Incarnation: m.incarnation, Applied: m.replica.State().Version}
}

// offerLocked gives the replica a state and, if it takes it, brings it into force.
func (m *Manager) offerLocked(state State) bool {
	before := m.replica.State()
	if !m.replica.Offer(state) {
		return false
	}
	if state.Revision != before.Revision {
		m.reindexLocked(before.Revision)
	}
	m.publishLocked(false)
	return true
}

// reindexLocked decodes the resources of a new revision.
func (m *Manager) reindexLocked(before uint64) {
	state := m.replica.State()
	next := state.indexed()
	for _, key := range next.invalid {
		level.Error(m.logger).Log("msg", "resource not decoded", "kind", key.Kind, "name", key.Name)
	}
	m.deletions.record(before, m.index, next, state.Revision)
	m.index = next
}

func notify(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}
