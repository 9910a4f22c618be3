package controlsim

import (
	"time"

	"github.com/covelink/covelink/internal/lab/trace"
)

// localLatency is the one-way latency within a zone where the trace states none.
const localLatency = 100 * time.Microsecond

// network tells what passes between zones, and how long it takes. The store stands in the region of the first zone, but in
// no zone.
type network struct {
	simulation *Simulation
	cuts       []cut
}

// cut keeps messages from passing.
type cut struct {
	until time.Duration
	// blocks reports whether the cut lies on the way; a nil zone is the store.
	blocks func(from, to *zone) bool
}

func newNetwork(s *Simulation) network { return network{simulation: s} }

// passes reports whether a message sent now from a zone arrives in the other; a nil zone is the store.
func (n *network) passes(from, to *zone) bool {
	now := n.simulation.clock.Now()
	for _, c := range n.cuts {
		if now < c.until && c.blocks(from, to) {
			return false
		}
	}
	return true
}

// latency returns the one-way latency.
func (n *network) latency(from, to *zone) time.Duration {
	stated := n.simulation.trace.Header.Latency
	switch {
	case from == to && stated.Local > 0:
		return time.Duration(stated.Local)
	case from == to:
		return localLatency
	case n.regionOf(from) == n.regionOf(to) || stated.Region == 0:
		return time.Duration(stated.Zone)
	}
	return time.Duration(stated.Region)
}

func (n *network) regionOf(z *zone) string {
	if z == nil {
		return n.simulation.zones[0].region
	}
	return z.region
}

func (n *network) cut(until time.Duration, blocks func(from, to *zone) bool) {
	n.cuts = append(n.cuts, cut{until: until, blocks: blocks})
}

// cutZone keeps everything between the zone and the rest, the store included, from passing; also within it if inside is set.
func (n *network) cutZone(until time.Duration, z *zone, inside bool) {
	n.cut(until, func(from, to *zone) bool { return (from == z || to == z) && (inside || from != to) })
}

func (n *network) cutRegion(until time.Duration, region string) {
	n.cut(until, func(from, to *zone) bool { return (n.regionOf(from) == region) != (n.regionOf(to) == region) })
}

func (n *network) cutPair(until time.Duration, a, b *zone, bothWays bool) {
	n.cut(until, func(from, to *zone) bool { return from == a && to == b || bothWays && from == b && to == a })
}

// send runs deliver on the node after the latency, unless the message is lost on the way.
func (n *network) send(from, to *node, deliver func()) {
	if from == to {
		to.after(0, deliver)
		return
	}
	if n.passes(from.zone, to.zone) {
		to.after(n.latency(from.zone, to.zone), deliver)
	}
}

// call asks a node and hands its reply to done; ok is false when none has come within a lease length. serve may refuse by
// returning false. done is not called when the asking node has died.
func call[Reply any](s *Simulation, from, to *node, serve func() (Reply, bool), done func(reply Reply, ok bool)) {
	answer := func(reply func(Reply, bool)) { reply(serve()) }
	callWithin(s, s.timing.LeaseLength, from, to, answer, done)
}

// callWithin is call with another timeout and a serve that answers later.
func callWithin[Reply any](s *Simulation, timeout time.Duration, from, to *node, serve func(reply func(Reply, bool)),
	done func(reply Reply, ok bool)) {
	finished := false
	finish := func(reply Reply, ok bool) {
		if !finished {
			finished = true
			done(reply, ok)
		}
	}
	from.after(timeout, func() {
		var none Reply
		finish(none, false)
	})
	s.network.send(from, to, func() {
		serve(func(reply Reply, ok bool) {
			s.network.send(to, from, func() { finish(reply, ok) })
		})
	})
}

// fault brings a fault of the trace about. Those of engines, owners and ledgers do not concern the control plane.
func (s *Simulation) fault(f *trace.Fault) {
	until := s.clock.Now() + time.Duration(f.For)
	if f.For == 0 {
		until = time.Duration(s.trace.Header.Until)
	}
	switch f.Fault {
	case trace.FaultNodeCrash:
		s.nodeNamed(f.Target).crash(until)
	case trace.FaultNodePause:
		s.nodeNamed(f.Target).pause(until)
	case trace.FaultNodeStop:
		s.nodeNamed(f.Target).stop(until)
	case trace.FaultCoordinatorCrash:
		if holder := s.zoneNamed(f.Target).coordinator; holder != nil {
			holder.crash(until)
		}
	case trace.FaultCoordinatorPause:
		if holder := s.zoneNamed(f.Target).coordinator; holder != nil {
			holder.pause(until)
		}
	case trace.FaultZoneLoss:
		for _, n := range s.zoneNamed(f.Target).nodes {
			n.crash(until)
		}
	case trace.FaultZoneCut:
		s.network.cutZone(until, s.zoneNamed(f.Target), false)
	case trace.FaultSwitchLoss:
		s.network.cutZone(until, s.zoneNamed(f.Target), true)
	case trace.FaultRegionCut:
		s.network.cutRegion(until, f.Target)
	case trace.FaultPartition, trace.FaultLoss:
		s.network.cutPair(until, s.zoneNamed(f.From), s.zoneNamed(f.To), f.Fault == trace.FaultPartition)
	default:
		s.store.fault(f, until)
	}
}
