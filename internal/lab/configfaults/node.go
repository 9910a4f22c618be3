package configfaults

import (
	"errors"
	"time"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/configsync"
)

// errNotCoordinator answers what only a coordinator takes.
var errNotCoordinator = errors.New("not the coordinator")

// node is one process: the replica of its zone's state and, while it leads, a term.
type node struct {
	world       *world
	name, zone  string
	replica     configsync.Replica
	term        *term
	pausedUntil time.Time
	// beats numbers the heartbeats scheduled, so that only the newest one runs.
	beats int
}

func newNode(w *world, name, zone string) *node { return &node{world: w, name: name, zone: zone} }

// handle runs something on the node now or, if it is paused, once it has resumed.
func (n *node) handle(run func()) {
	if wait := n.pausedUntil.Sub(n.world.clock.now()); wait > 0 {
		n.world.clock.after(wait, func() { n.handle(run) })
		return
	}
	run()
}

// after runs something on the node after a time.
func (n *node) after(wait time.Duration, run func()) {
	n.world.clock.after(wait, func() { n.handle(run) })
}

// coordinator returns the node believed to coordinate the zone.
func (n *node) coordinator() *node { return n.world.leases[n.zone].holder }

func (n *node) report() configsync.NodeReport {
	return configsync.NodeReport{Node: n.name, Incarnation: n.name, Applied: n.replica.State().Version}
}

func (n *node) offer(state configsync.State) bool {
	before := n.replica.State().Revision
	taken := n.replica.Offer(state)
	if taken {
		n.world.monitor.applied(n, before)
	}
	return taken
}

func (n *node) scheduleBeat(wait time.Duration) {
	n.beats++
	number := n.beats
	n.after(wait, func() {
		if number == n.beats {
			n.beat()
		}
	})
}

// beat asks the coordinator for a lease and pulls a state that was missed, as configsync's Manager does.
func (n *node) beat() {
	n.beats++
	sentAt, holder := n.world.clock.now(), n.coordinator()
	again := func(result configsync.HeartbeatResult) { n.scheduleBeat(result.Pause(n.world.timing)) }
	var grant configsync.Grant
	ask := func(report configsync.NodeReport) (err error) {
		grant, err = holder.serveBeat(report)
		return err
	}
	finish := func(err error) {
		if err != nil {
			again(configsync.HeartbeatFailed)
			return
		}
		if grant.Granted {
			n.replica.Renew(grant.Version.Token, sentAt, n.world.timing.NodeLeaseLength)
		}
		switch {
		case !n.replica.State().Covers(grant.Version):
			n.pull(holder, again)
		case grant.Granted:
			again(configsync.HeartbeatRenewed)
		default:
			again(configsync.HeartbeatPending)
		}
	}
	report := n.report()
	if holder == n {
		finish(ask(report))
		return
	}
	n.world.call(n, holder, configsync.HeartbeatTimeout(n.world.timing.LeaseLength), func() error { return ask(report) }, finish)
}

func (n *node) pull(holder *node, again func(configsync.HeartbeatResult)) {
	var state configsync.State
	n.world.call(n, holder, n.world.timing.LeaseLength, func() error {
		state, _ = holder.fetch()
		return nil
	}, func(err error) {
		if err != nil {
			again(configsync.HeartbeatFailed)
			return
		}
		n.offer(state)
		again(configsync.HeartbeatPending)
	})
}

func (n *node) serveBeat(report configsync.NodeReport) (configsync.Grant, error) {
	if n.term == nil {
		return configsync.Grant{}, errNotCoordinator
	}
	n.term.spread.Holds(report.Node, report.Applied)
	var grant configsync.Grant
	n.term.change(func(c *configsync.Coordinator, now time.Time) { grant = c.Heartbeat(report, now) })
	grant.Version = n.term.core.State().Version
	return grant, nil
}

// fetch returns the state held and whether the node has a valid lease.
func (n *node) fetch() (configsync.State, bool) {
	leased, _ := n.replica.Serving(n.world.clock.now())
	if n.term != nil {
		return n.term.core.State(), leased
	}
	return n.replica.State(), leased
}

// object returns a resource as the node's API shows it.
func (n *node) object(kind v1.Kind, name string) (v1.RawObject, bool) {
	for _, object := range n.replica.State().Objects {
		if object.Kind == kind && object.Metadata.Name == name {
			return object, true
		}
	}
	return v1.RawObject{}, false
}

// sample lets a caller ask the node for each pool, again and again.
func (n *node) sample() {
	n.handle(func() { n.world.monitor.request(n) })
	n.world.clock.after(sampleInterval, n.sample)
}
