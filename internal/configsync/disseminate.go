package configsync

import (
	"context"
	"maps"
	"time"

	"github.com/go-kit/log/level"

	"github.com/covelink/covelink/internal/cluster"
	"github.com/covelink/covelink/internal/rpc"
)

// disseminate spreads the term's state until ctx ends: on every change, and again at every tick to whom it hasn't reached.
func (m *Manager) disseminate(ctx context.Context, t *term) {
	ticker := time.NewTicker(TickInterval(m.params.Timing.LeaseLength))
	defer ticker.Stop()
	for {
		select {
		case <-t.wake:
			m.spread(ctx, t)
		case <-ticker.C:
			m.change(func(c *Coordinator, now time.Time) { c.Tick(now) })
			m.spread(ctx, t)
			m.catchUpWithOthers(ctx, t)
		case <-ctx.Done():
			return
		}
	}
}

// spread starts a push to every node that lacks the state and an exchange with every coordinator not yet told of it.
func (m *Manager) spread(ctx context.Context, t *term) {
	m.mu.Lock()
	defer m.mu.Unlock()
	state := t.core.State()
	for name, node := range m.zoneNodes(t) {
		if name == m.self.Name || !t.spread.Lacks(name, state.Version) {
			continue
		}
		m.start(ctx, t, node.Address, func(ctx context.Context) error { return m.push(ctx, t, node, state) })
	}
	untold := func(zone string) bool { return t.spread.Untold(zone, state.Sequence) }
	for zone, coordinator := range m.otherCoordinators(untold) {
		m.start(ctx, t, coordinator.Address, func(ctx context.Context) error {
			return m.exchange(ctx, t, zone, coordinator, state)
		})
	}
}

// catchUpWithOthers fetches resources of a higher revision from the node or coordinator that has them, as while the store
// can't be read. It runs at ticks only, so that a revision on its way from the store isn't fetched twice.
func (m *Manager) catchUpWithOthers(ctx context.Context, t *term) {
	m.mu.Lock()
	defer m.mu.Unlock()
	revision := t.core.State().Revision
	for name, node := range m.zoneNodes(t) {
		if t.spread.NodeAhead(name, revision) {
			m.start(ctx, t, node.Address, func(ctx context.Context) error { return m.adoptFrom(ctx, node) })
		}
	}
	ahead := func(zone string) bool { return t.spread.ZoneAhead(zone, revision) }
	for _, coordinator := range m.otherCoordinators(ahead) {
		m.start(ctx, t, coordinator.Address, func(ctx context.Context) error { return m.adoptFrom(ctx, coordinator) })
	}
}

// start runs a bounded call unless one to the address is under way. After a call that succeeded spread looks again; one that
// failed is repeated at the next tick.
func (m *Manager) start(ctx context.Context, t *term, address string, call func(ctx context.Context) error) {
	if !t.spread.Begin(address) {
		return
	}
	t.calls.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, m.params.Timing.LeaseLength)
		defer cancel()
		err := call(ctx)
		m.mu.Lock()
		defer m.mu.Unlock()
		t.spread.End(address)
		if err == nil {
			t.wakeUp()
			return
		}
		level.Debug(m.logger).Log("msg", "call failed", "address", address, "err", err)
	})
}

// zoneNodes returns the zone's nodes by name: those known and those that have sent a heartbeat.
func (m *Manager) zoneNodes(t *term) map[string]cluster.Node {
	nodes := maps.Clone(t.nodes)
	for _, node := range m.nodes {
		if node.Zone == m.self.Zone {
			nodes[node.Name] = node
		}
	}
	return nodes
}

func (m *Manager) push(ctx context.Context, t *term, node cluster.Node, state State) error {
	request := pushRequest{State: state}
	m.mu.Lock()
	if held := t.spread.Held(node.Name); held.Revision > 0 && held.Revision == state.Revision {
		request.ObjectsOmitted = true
		request.State.Objects = nil
	}
	m.mu.Unlock()
	report, err := rpc.Call[pushRequest, NodeReport](ctx, m.params.Client, node.Address, request)
	m.metrics.pushed(err)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	t.spread.Holds(node.Name, report.Applied)
	m.changeLocked(func(c *Coordinator, now time.Time) { c.Acknowledge(report, now) })
	return nil
}

func (m *Manager) exchange(ctx context.Context, t *term, zone string, coordinator cluster.Node, state State) error {
	request := exchangeRequest{Report: state.Report()}
	report, err := rpc.Call[exchangeRequest, Report](ctx, m.params.Client, coordinator.Address, request)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	t.spread.Told(zone, state.Sequence)
	t.spread.Reported(zone, report.Revision)
	m.changeLocked(func(c *Coordinator, now time.Time) { c.Merge(report, now) })
	return nil
}

func (m *Manager) adoptFrom(ctx context.Context, node cluster.Node) error {
	reply, err := rpc.Call[fetchRequest, fetchReply](ctx, m.params.Client, node.Address, fetchRequest{Zone: m.self.Zone})
	if err != nil {
		return err
	}
	m.change(func(c *Coordinator, now time.Time) { c.Adopt(reply.State, now) })
	return nil
}
