package controlsim

import (
	"time"

	"github.com/covelink/covelink/internal/configsync"
)

// term is one term of a zone's coordinator on a node, driven as configsync.Manager does.
type term struct {
	node  *node
	token uint64
	core  *configsync.Coordinator
	// held is the state that each node is known to hold; revisions and told are by zone.
	held      map[string]configsync.Version
	revisions map[string]uint64
	told      map[string]uint64
	// busy holds the nodes that a call is under way to.
	busy     map[string]bool
	informed bool
}

// lead begins a term with the token.
func (n *node) lead(token uint64) {
	s := n.simulation
	now := s.now()
	// As configsync.Manager, count a lease an eighth longer than its holder does.
	counted := s.timing.NodeLeaseLength + s.timing.NodeLeaseLength/8
	t := &term{
		node: n, token: token, core: configsync.NewCoordinator(n.zone.name, token, n.replica.State(), now, counted),
		held: map[string]configsync.Version{}, revisions: map[string]uint64{}, told: map[string]uint64{}, busy: map[string]bool{},
	}
	n.term = t
	var names []string
	for _, member := range n.zone.nodes {
		names = append(names, member.name)
	}
	t.core.SetNodes(names)
	if leased, _ := n.replica.Serving(now); leased {
		t.setInformed()
	}
	t.inform()
	t.readStore()
	t.tick()
}

// leads reports whether the term goes on: the zone's lease may have lapsed.
func (t *term) leads() bool {
	if t.node.term != t {
		return false
	}
	if t.node.election.holds(t.token) {
		return true
	}
	t.node.term = nil
	return false
}

// after runs do after a delay if the term still goes on.
func (t *term) after(delay time.Duration, do func()) {
	t.node.after(delay, func() {
		if t.leads() {
			do()
		}
	})
}

// change changes the coordinator's state and brings the result into force on its own node.
func (t *term) change(apply func(c *configsync.Coordinator, now time.Time)) {
	if !t.leads() {
		return
	}
	before := t.core.State().Version
	apply(t.core, t.node.simulation.now())
	for !t.node.replica.State().Covers(t.core.State().Version) && t.node.replica.Offer(t.core.State()) {
		t.core.Acknowledge(t.node.report(), t.node.simulation.now())
	}
	if t.core.State().Version != before {
		t.after(0, t.spread)
	}
}

func (t *term) setInformed() {
	t.informed = true
	t.core.SetInformed()
}

// inform asks the zone's other nodes and the other coordinators for what the zone has acknowledged, until it is known.
func (t *term) inform() {
	s := t.node.simulation
	pending, complete := 0, true
	answered := func(target *node, reply fetchReply, ok bool) {
		pending--
		if ok {
			t.change(func(c *configsync.Coordinator, now time.Time) { c.Adopt(reply.state, now) })
		}
		complete = complete && ok
		if leased := ok && reply.leased && target.zone == t.node.zone; leased || pending == 0 && complete {
			t.setInformed()
		}
		if pending == 0 && !t.informed {
			t.after(s.timing.LeaseLength/tickFraction, t.inform)
		}
	}
	targets, all := t.informants()
	complete = all
	pending = len(targets)
	for _, target := range targets {
		call(s, t.node, target, target.serveFetch, func(reply fetchReply, ok bool) { answered(target, reply, ok) })
	}
	if pending == 0 && complete {
		t.setInformed()
	}
}

func (t *term) informants() (targets []*node, complete bool) {
	for _, member := range t.node.zone.nodes {
		if member != t.node {
			targets = append(targets, member)
		}
	}
	complete = true
	for _, z := range t.node.simulation.zones {
		switch {
		case z == t.node.zone || len(z.nodes) == 0:
		case z.coordinator == nil:
			complete = false
		default:
			targets = append(targets, z.coordinator)
		}
	}
	return targets, complete
}

// tick accounts for lapsed leases and repeats what has not got through.
func (t *term) tick() {
	t.change(func(c *configsync.Coordinator, now time.Time) { c.Tick(now) })
	t.spread()
	t.catchUp()
	t.after(t.node.simulation.timing.LeaseLength/tickFraction, t.tick)
}

// spread pushes the state to every node that lacks it and exchanges reports with the coordinators not yet told of it.
func (t *term) spread() {
	state := t.core.State()
	for _, member := range t.node.zone.nodes {
		if member != t.node && !t.held[member.name].Covers(state.Version) {
			t.push(member, state)
		}
	}
	for _, z := range t.node.simulation.zones {
		if z != t.node.zone && z.coordinator != nil && t.told[z.name] != state.Sequence {
			t.exchange(z, state)
		}
	}
}

// begin reports whether a call to the node may start, and takes note of it.
func (t *term) begin(target *node) bool {
	if t.busy[target.name] {
		return false
	}
	t.busy[target.name] = true
	return true
}

func (t *term) push(member *node, state configsync.State) {
	if !t.begin(member) {
		return
	}
	call(t.node.simulation, t.node, member,
		func() (configsync.NodeReport, bool) { return member.servePush(state) },
		func(report configsync.NodeReport, ok bool) {
			delete(t.busy, member.name)
			if !ok || !t.leads() {
				return
			}
			t.held[member.name] = report.Applied
			t.change(func(c *configsync.Coordinator, now time.Time) { c.Acknowledge(report, now) })
			t.after(0, t.spread)
		})
}

func (t *term) exchange(z *zone, state configsync.State) {
	peer := z.coordinator
	if !t.begin(peer) {
		return
	}
	call(t.node.simulation, t.node, peer,
		func() (configsync.Report, bool) { return peer.serveExchange(t.node.zone.name, state.Report()) },
		func(report configsync.Report, ok bool) {
			delete(t.busy, peer.name)
			if !ok || !t.leads() {
				return
			}
			t.told[z.name] = state.Sequence
			t.revisions[z.name] = report.Revision
			t.change(func(c *configsync.Coordinator, now time.Time) { c.Merge(report, now) })
			t.after(0, t.spread)
		})
}

// catchUp fetches resources of a higher revision from the node or coordinator that has them.
func (t *term) catchUp() {
	revision := t.core.State().Revision
	for _, member := range t.node.zone.nodes {
		if member != t.node && t.held[member.name].Revision > revision {
			t.adopt(member)
		}
	}
	for _, z := range t.node.simulation.zones {
		if z != t.node.zone && z.coordinator != nil && t.revisions[z.name] > revision {
			t.adopt(z.coordinator)
		}
	}
}

func (t *term) adopt(target *node) {
	if !t.begin(target) {
		return
	}
	call(t.node.simulation, t.node, target, target.serveFetch, func(reply fetchReply, ok bool) {
		delete(t.busy, target.name)
		if ok {
			t.change(func(c *configsync.Coordinator, now time.Time) { c.Adopt(reply.state, now) })
		}
	})
}
