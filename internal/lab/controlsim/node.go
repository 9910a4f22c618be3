package controlsim

import (
	"fmt"
	"time"

	"github.com/covelink/covelink/internal/configsync"
)

// The parts of a lease length between two attempts, as configsync.Manager has them.
const (
	retryFraction = 20
	tickFraction  = 4
	// heartbeatFraction is of the node's lease.
	heartbeatFraction = 4
)

// node is one node of the system: configsync's replica and, while it coordinates its zone, a term.
type node struct {
	simulation *Simulation
	zone       *zone
	name       string
	up         bool
	// life counts the starts of the node's process; what was meant for an earlier one is lost.
	life     int
	paused   bool
	deferred []func()
	replica  configsync.Replica
	term     *term
	election *election
}

// after runs do on the node after a delay, unless its process has ended by then. A process that stands still runs it when it
// goes on.
func (n *node) after(delay time.Duration, do func()) {
	life := n.life
	n.simulation.clock.After(delay, func() { n.execute(life, do) })
}

func (n *node) execute(life int, do func()) {
	switch {
	case !n.up || n.life != life:
	case n.paused:
		n.deferred = append(n.deferred, func() { n.execute(life, do) })
	default:
		do()
	}
}

// start begins the work of the process.
func (n *node) start() {
	n.election = newElection(n)
	n.after(0, n.heartbeat)
}

// crash ends the process at once; another starts at until.
func (n *node) crash(until time.Duration) {
	if !n.up {
		return
	}
	n.up, n.paused, n.deferred, n.term = false, false, nil, nil
	n.replica = configsync.Replica{}
	n.simulation.clock.At(until, n.restart)
}

func (n *node) restart() {
	if n.up {
		return
	}
	n.up = true
	n.life++
	n.simulation.checks.forget(n)
	n.start()
}

// stop is the planned stop: the zone's lease is given back first.
func (n *node) stop(until time.Duration) {
	if !n.up {
		return
	}
	n.election.resign()
	n.crash(until)
}

// pause lets the process stand still.
func (n *node) pause(until time.Duration) {
	if !n.up || n.paused {
		return
	}
	n.paused = true
	life := n.life
	n.simulation.clock.At(until, func() {
		if n.life != life || !n.paused {
			return
		}
		n.paused = false
		pending := n.deferred
		n.deferred = nil
		for _, do := range pending {
			n.simulation.clock.After(0, do)
		}
	})
}

// serving reports whether the node takes new work.
func (n *node) serving() bool {
	if !n.up || n.paused {
		return false
	}
	serving, _ := n.replica.Serving(n.simulation.now())
	return serving || n.simulation.ignoreLeases && n.replica.State().Revision > 0
}

func (n *node) report() configsync.NodeReport {
	return configsync.NodeReport{
		Node:        n.name,
		Incarnation: fmt.Sprintf("%s/%d", n.name, n.life),
		Applied:     n.replica.State().Version,
	}
}

// heartbeat asks the zone's coordinator to renew the lease, and for the state if one was missed, again and again.
func (n *node) heartbeat() {
	length := n.simulation.timing.LeaseLength
	holder := n.zone.coordinator
	if holder == nil {
		n.after(length/tickFraction, n.heartbeat)
		return
	}
	sentAt := n.simulation.now()
	report := n.report()
	call(n.simulation, n, holder,
		func() (configsync.Grant, bool) { return holder.serveHeartbeat(report) },
		func(grant configsync.Grant, ok bool) {
			if !ok {
				n.after(length/tickFraction, n.heartbeat)
				return
			}
			n.takeGrant(holder, grant, sentAt)
		})
}

func (n *node) takeGrant(holder *node, grant configsync.Grant, sentAt time.Time) {
	length := n.simulation.timing.LeaseLength
	if grant.Granted {
		n.replica.Renew(grant.Version.Token, sentAt, n.simulation.timing.NodeLeaseLength)
	}
	if !n.replica.State().Covers(grant.Version) {
		n.pull(holder)
		n.after(length/retryFraction, n.heartbeat)
		return
	}
	if grant.Granted {
		n.after(n.simulation.timing.NodeLeaseLength/heartbeatFraction, n.heartbeat)
		return
	}
	n.after(length/retryFraction, n.heartbeat)
}

// pull fetches the state that a push has not brought.
func (n *node) pull(holder *node) {
	call(n.simulation, n, holder, holder.serveFetch, func(reply fetchReply, ok bool) {
		if ok {
			n.replica.Offer(reply.state)
		}
	})
}

type fetchReply struct {
	state  configsync.State
	leased bool
}

func (n *node) serveFetch() (fetchReply, bool) {
	leased, _ := n.replica.Serving(n.simulation.now())
	reply := fetchReply{state: n.replica.State(), leased: leased}
	if n.leads() {
		reply.state = n.term.core.State()
	}
	return reply, true
}

// leads reports whether the node coordinates its zone now.
func (n *node) leads() bool { return n.term != nil && n.term.leads() }

func (n *node) servePush(state configsync.State) (configsync.NodeReport, bool) {
	n.replica.Offer(state)
	return n.report(), true
}

func (n *node) serveHeartbeat(report configsync.NodeReport) (configsync.Grant, bool) {
	if !n.leads() {
		return configsync.Grant{}, false
	}
	var grant configsync.Grant
	n.term.change(func(c *configsync.Coordinator, now time.Time) { grant = c.Heartbeat(report, now) })
	n.term.held[report.Node] = report.Applied
	grant.Version = n.term.core.State().Version
	return grant, true
}

func (n *node) serveExchange(from string, report configsync.Report) (configsync.Report, bool) {
	if !n.leads() {
		return configsync.Report{}, false
	}
	n.term.revisions[from] = report.Revision
	n.term.change(func(c *configsync.Coordinator, now time.Time) { c.Merge(report, now) })
	return n.term.core.State().Report(), true
}
