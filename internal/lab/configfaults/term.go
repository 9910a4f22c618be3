package configfaults

import (
	"time"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/configsync"
	"github.com/covelink/covelink/internal/objectapi"
)

// term is a coordinator's term on a node.
type term struct {
	node   *node
	token  uint64
	core   *configsync.Coordinator
	spread *configsync.Spread
	// woken says that a spread is scheduled already.
	woken bool
	feed  *feed
}

// lead starts a term on the node.
func (n *node) lead(token uint64) {
	w := n.world
	leased, _ := n.replica.Serving(w.clock.now())
	var names []string
	for _, other := range w.zoneNodes(n.zone) {
		names = append(names, other.name)
	}
	n.term = &term{
		node:   n,
		token:  token,
		core:   configsync.BeginTerm(n.zone, token, n.replica.State(), leased, names, w.clock.now(), w.timing.NodeLeaseLength),
		spread: configsync.NewSpread(),
	}
	t := n.term
	n.scheduleBeat(0)
	t.tick()
	deadline := w.clock.now().Add(configsync.CountedLease(w.timing.NodeLeaseLength))
	t.inform(deadline, t.follow)
}

// resign ends the term of the token.
func (n *node) resign(token uint64) {
	if n.term != nil && n.term.token == token {
		n.term.feed.stop()
		n.term = nil
	}
}

func (t *term) ended() bool { return t.node.term != t }

// change applies a change and brings the result into force on this node.
func (t *term) change(apply func(c *configsync.Coordinator, now time.Time)) {
	now := t.node.world.clock.now()
	before := t.core.State().Version
	apply(t.core, now)
	t.core.Deliver(t.node.replica.State().Version, now, func(state configsync.State) (configsync.NodeReport, bool) {
		taken := t.node.offer(state)
		return t.node.report(), taken
	})
	if t.core.State().Version != before {
		t.wake()
	}
}

func (t *term) wake() {
	if t.woken {
		return
	}
	t.woken = true
	t.node.after(0, func() {
		t.woken = false
		t.spreadState()
	})
}

func (t *term) tick() {
	t.node.after(configsync.TickInterval(t.node.world.timing.LeaseLength), func() {
		if t.ended() {
			return
		}
		t.change(func(c *configsync.Coordinator, now time.Time) { c.Tick(now) })
		t.spreadState()
		t.catchUpWithOthers()
		t.tick()
	})
}

// others returns the other nodes of the zone, and the coordinators of the other zones.
func (t *term) others() (nodes, coordinators []*node) {
	for _, other := range t.node.world.zoneNodes(t.node.zone) {
		if other != t.node {
			nodes = append(nodes, other)
		}
	}
	for _, zone := range t.node.world.zones {
		if zone != t.node.zone {
			coordinators = append(coordinators, t.node.world.leases[zone].holder)
		}
	}
	return nodes, coordinators
}

func (t *term) spreadState() {
	if t.ended() {
		return
	}
	state := t.core.State()
	nodes, coordinators := t.others()
	for _, node := range nodes {
		if t.spread.Lacks(node.name, state.Version) {
			t.push(node, state)
		}
	}
	for _, coordinator := range coordinators {
		if t.spread.Untold(coordinator.zone, state.Sequence) {
			t.exchange(coordinator, state)
		}
	}
}

func (t *term) catchUpWithOthers() {
	revision := t.core.State().Revision
	nodes, coordinators := t.others()
	for _, node := range nodes {
		if t.spread.NodeAhead(node.name, revision) {
			t.adoptFrom(node)
		}
	}
	for _, coordinator := range coordinators {
		if t.spread.ZoneAhead(coordinator.zone, revision) {
			t.adoptFrom(coordinator)
		}
	}
}

// start makes a call to a peer unless one is under way.
func (t *term) start(peer *node, serve func() error, done func()) {
	if !t.spread.Begin(peer.name) {
		return
	}
	t.node.world.call(t.node, peer, t.node.world.timing.LeaseLength, serve, func(err error) {
		t.spread.End(peer.name)
		if t.ended() || err != nil {
			return
		}
		done()
		t.wake()
	})
}

func (t *term) push(peer *node, state configsync.State) {
	var report configsync.NodeReport
	t.start(peer, func() error {
		peer.offer(state)
		report = peer.report()
		return nil
	}, func() {
		t.spread.Holds(peer.name, report.Applied)
		t.change(func(c *configsync.Coordinator, now time.Time) { c.Acknowledge(report, now) })
	})
}

func (t *term) exchange(peer *node, state configsync.State) {
	var answer configsync.Report
	t.start(peer, func() error {
		if peer.term == nil {
			return errNotCoordinator
		}
		peer.term.spread.Reported(t.node.zone, state.Revision)
		peer.term.change(func(c *configsync.Coordinator, now time.Time) { c.Merge(state.Report(), now) })
		answer = peer.term.core.State().Report()
		return nil
	}, func() {
		t.spread.Told(peer.zone, state.Sequence)
		t.spread.Reported(peer.zone, answer.Revision)
		t.change(func(c *configsync.Coordinator, now time.Time) { c.Merge(answer, now) })
	})
}

func (t *term) adoptFrom(peer *node) {
	var state configsync.State
	t.start(peer, func() error {
		state, _ = peer.fetch()
		return nil
	}, func() {
		t.change(func(c *configsync.Coordinator, now time.Time) { c.Adopt(state, now) })
	})
}

// inform asks every node of the zone and every coordinator for what it holds; then, when all have answered or the calls have
// timed out, runs next. It goes on at every tick until the term is informed or the deadline has passed.
func (t *term) inform(deadline time.Time, next func()) {
	nodes, coordinators := t.others()
	peers := append(nodes, coordinators...)
	inquiry := configsync.NewInquiry(t.node.zone, true)
	open := len(peers)
	for _, peer := range peers {
		var state configsync.State
		var leased bool
		t.node.world.call(t.node, peer, t.node.world.timing.LeaseLength, func() error {
			state, leased = peer.fetch()
			return nil
		}, func(err error) {
			if t.ended() {
				return
			}
			if err != nil {
				inquiry.Failed()
			} else {
				inquiry.Answered(peer.zone, leased)
				t.change(func(c *configsync.Coordinator, now time.Time) {
					c.Adopt(state, now)
					if inquiry.Leased() {
						c.SetInformed()
					}
				})
			}
			if open--; open == 0 {
				t.endInquiry(inquiry, deadline, next)
			}
		})
	}
}

func (t *term) endInquiry(inquiry *configsync.Inquiry, deadline time.Time, next func()) {
	if inquiry.Informed() {
		t.change(func(c *configsync.Coordinator, _ time.Time) { c.SetInformed() })
		t.node.scheduleBeat(0)
	} else if t.node.world.clock.now().Before(deadline) {
		t.node.after(configsync.TickInterval(t.node.world.timing.LeaseLength), func() {
			if !t.ended() {
				t.inform(deadline, func() {})
			}
		})
	}
	next()
}

// follow reads the store for the rest of the term.
func (t *term) follow() {
	t.feed = &feed{term: t, position: objectapi.Position{Revision: t.core.State().Revision}, objects: objectapi.NewObjects()}
	t.feed.step()
}

// take hands the objects of the store to the term.
func (t *term) take(objects []v1.RawObject, revision uint64) {
	t.change(func(c *configsync.Coordinator, now time.Time) { c.ApplyResources(objects, revision, now) })
}
