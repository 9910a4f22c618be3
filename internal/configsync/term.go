package configsync

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/covelink/covelink/internal/cluster"
	"github.com/covelink/covelink/internal/leadership"
	"github.com/covelink/covelink/internal/objectapi"
	"github.com/covelink/covelink/internal/rpc"
)

// term is the coordinator's part of a Manager while Lead runs. Its fields are guarded by Manager.mu.
type term struct {
	held leadership.Term
	core *Coordinator
	wake chan struct{}
	// nodes are the zone's nodes that have sent a heartbeat.
	nodes map[string]cluster.Node
	// heartbeats are the last ones of the zone's nodes.
	heartbeats map[string]heartbeat
	spread     *Spread
	calls      sync.WaitGroup
}

func (t *term) wakeUp() { notify(t.wake) }

func (t *term) noteNode(said heartbeat) {
	t.nodes[said.Node.Name] = said.Node
	t.heartbeats[said.Node.Name] = said
	t.spread.Holds(said.Node.Name, said.Report.Applied)
}

// checkFence tells whoever gave the term that a node has seen a higher token: it would refuse every state of this term.
func (m *Manager) checkFence(report NodeReport) {
	if report.Applied.Token <= m.term.held.Token || m.params.Fenced == nil {
		return
	}
	level.Warn(m.logger).Log("msg", "node has seen a higher term", "of", report.Node,
		"token", m.term.held.Token, "highest", report.Applied.Token)
	m.params.Fenced(m.term.held.Name, report.Applied.Token)
}

// Lead coordinates the zone under the term until ctx ends.
func (m *Manager) Lead(ctx context.Context, held leadership.Term) {
	t := m.beginTerm(held)
	level.Info(m.logger).Log("msg", "coordinating zone", "zone", m.self.Zone, "token", held.Token)
	var parts sync.WaitGroup
	parts.Go(func() { m.followStore(ctx, t) })
	parts.Go(func() { m.disseminate(ctx, t) })
	parts.Wait()
	t.calls.Wait()
	m.endTerm()
	level.Info(m.logger).Log("msg", "no longer coordinating zone", "zone", m.self.Zone, "token", held.Token)
}

func (m *Manager) beginTerm(held leadership.Term) *term {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	leased, _ := m.replica.Serving(now)
	core := BeginTerm(m.self.Zone, held.Token, m.replica.State(), leased, m.zoneNodeNames(), now, m.params.Timing.NodeLeaseLength)
	if m.engines != nil {
		core.SetEngines(m.engines, now)
	}
	m.term = &term{
		held:  held,
		core:  core,
		wake:  make(chan struct{}, 1),
		nodes: make(map[string]cluster.Node),

		heartbeats: make(map[string]heartbeat),
		spread:     NewSpread(),
	}
	notify(m.wakeNode)
	return m.term
}

func (m *Manager) endTerm() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.term = nil
	m.engines = nil
}

// change applies a change to the term's state and brings the result into force on this node.
func (m *Manager) change(apply func(c *Coordinator, now time.Time)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.changeLocked(apply)
}

func (m *Manager) changeLocked(apply func(c *Coordinator, now time.Time)) {
	core := m.term.core
	before := core.State().Version
	apply(core, m.now())
	core.Deliver(m.replica.State().Version, m.now(), func(state State) (NodeReport, bool) {
		taken := m.offerLocked(state)
		return m.reportLocked(), taken
	})
	if core.State().Version != before {
		m.term.wakeUp()
	}
}

// followStore learns what the zone has acknowledged and then reads the store until ctx ends.
func (m *Manager) followStore(ctx context.Context, t *term) {
	var parts sync.WaitGroup
	defer parts.Wait()
	if !m.inform(ctx, t) {
		parts.Go(func() { m.keepInforming(ctx, t) })
	}
	m.mu.Lock()
	since := t.core.State().Revision
	m.mu.Unlock()
	err := m.params.Store.Follow(ctx, since, &storeSink{manager: m, objects: objectapi.NewObjects()})
	level.Debug(m.logger).Log("msg", "store no longer followed", "err", err)
}

// storeSink keeps the objects of the store and hands each revision to the term.
type storeSink struct {
	manager *Manager
	objects *objectapi.Objects
}

// Replace implements objectapi.Sink.
func (s *storeSink) Replace(list objectapi.List) {
	s.objects.Replace(list)
	s.apply()
}

// Apply implements objectapi.Sink.
func (s *storeSink) Apply(event objectapi.Event) {
	s.objects.Apply(event)
	s.apply()
}

func (s *storeSink) apply() {
	objects, revision := s.objects.All()
	s.manager.change(func(c *Coordinator, now time.Time) { c.ApplyResources(objects, revision, now) })
}

// keepInforming repeats inform until it succeeds or the leases of earlier terms have lapsed.
func (m *Manager) keepInforming(ctx context.Context, t *term) {
	deadline := time.NewTimer(CountedLease(m.params.Timing.NodeLeaseLength))
	defer deadline.Stop()
	ticker := time.NewTicker(m.params.Timing.LeaseLength / tickFraction)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			if m.inform(ctx, t) {
				return
			}
		case <-deadline.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// inform takes over what the zone's nodes and the other coordinators hold. It reports whether the term then knows all that
// the zone has acknowledged: a node with a valid lease applies that, and so does the sum of all when every one answers.
func (m *Manager) inform(ctx context.Context, t *term) bool {
	m.mu.Lock()
	targets, complete := m.informants()
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, m.params.Timing.LeaseLength)
	defer cancel()
	replies := make(chan informantReply, len(targets))
	for _, target := range targets {
		go func() {
			reply, err := rpc.Call[fetchRequest, fetchReply](ctx, m.params.Client, target.Address, fetchRequest{Zone: m.self.Zone})
			replies <- informantReply{node: target, fetchReply: reply, err: err}
		}()
	}
	inquiry := NewInquiry(m.self.Zone, complete)
	for range targets {
		reply := <-replies
		if reply.err != nil {
			inquiry.Failed()
			continue
		}
		inquiry.Answered(reply.node.Zone, reply.Leased)
		m.change(func(c *Coordinator, now time.Time) {
			c.Adopt(reply.State, now)
			if inquiry.Leased() {
				c.SetInformed()
			}
		})
	}
	if !inquiry.Informed() {
		return false
	}
	m.change(func(c *Coordinator, _ time.Time) { c.SetInformed() })
	notify(m.wakeNode)
	return true
}

type informantReply struct {
	fetchReply
	node cluster.Node
	err  error
}

// informants returns the other nodes of the zone and the other coordinators; complete is false when a zone has none known or
// a node of this zone can't be asked.
func (m *Manager) informants() (targets []cluster.Node, complete bool) {
	for _, node := range m.nodes {
		if node.Zone == m.self.Zone && node.Name != m.self.Name {
			targets = append(targets, node)
		}
	}
	coordinators := m.otherCoordinators(func(string) bool { return true })
	complete = len(coordinators) == len(m.otherZones()) && len(m.departedNames()) == 0
	return append(targets, slices.Collect(maps.Values(coordinators))...), complete
}

// otherZones returns the zones but this one, also those of which no node is known any more.
func (m *Manager) otherZones() map[string]struct{} {
	zones := maps.Clone(m.zones)
	delete(zones, m.self.Zone)
	return zones
}

// departedNames returns the nodes that are no longer known but may hold a lease.
func (m *Manager) departedNames() []string {
	var names []string
	for name, until := range m.departed {
		if m.now().Before(until) {
			names = append(names, name)
		}
	}
	return names
}

// otherCoordinators returns the believed coordinators of the other zones that are wanted, by zone. Looking for one may cost
// messages.
func (m *Manager) otherCoordinators(wanted func(zone string) bool) map[string]cluster.Node {
	coordinators := make(map[string]cluster.Node)
	for zone := range m.otherZones() {
		if !wanted(zone) {
			continue
		}
		if holder, ok := m.params.Elector.Holder(leadership.ZoneLease(zone)); ok {
			coordinators[zone] = holder
		}
	}
	return coordinators
}

// zoneNodeNames returns the nodes of the zone that may hold a lease.
func (m *Manager) zoneNodeNames() []string {
	names := m.departedNames()
	for _, node := range m.nodes {
		if node.Zone == m.self.Zone {
			names = append(names, node.Name)
		}
	}
	return names
}
