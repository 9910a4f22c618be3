package sim

import (
	"math/rand/v2"
	"time"
)

// network delays, loses and cuts messages between zones.
type network struct {
	sim    *simulation
	delays map[[2]string]time.Duration
	cuts   map[[2]string]int
	losses []loss
	random *rand.Rand
}

// loss is a fault in effect: messages between two places are lost with a probability. Empty places are any.
type loss struct {
	a, b  string
	share float64
	// oneWay leaves the messages from b to a alone.
	oneWay bool
}

func (n *network) init(s *simulation) {
	n.sim = s
	n.delays = make(map[[2]string]time.Duration)
	n.cuts = make(map[[2]string]int)
	n.random = s.random(streamNetwork, 0)
	latency := s.scenario.Latency
	for _, a := range s.scenario.Zones {
		for _, b := range s.scenario.Zones {
			delay := latency.Other
			switch {
			case a.Name == b.Name:
				delay = latency.SameZone
			case a.Region == b.Region:
				delay = latency.SameRegion
			}
			n.delays[[2]string{a.Name, b.Name}] = delay
		}
	}
	for _, pair := range latency.Pairs {
		n.delays[[2]string{pair.A, pair.B}] = pair.Delay
		n.delays[[2]string{pair.B, pair.A}] = pair.Delay
	}
}

// send carries a message from zone to zone and reports whether it will arrive.
func (n *network) send(from, to string, deliver func()) bool {
	if !n.passes(from, to) {
		return false
	}
	n.sim.after(n.delays[[2]string{from, to}], deliver)
	return true
}

func (n *network) delay(from, to string) time.Duration { return n.delays[[2]string{from, to}] }

// passes reports whether a message from zone to zone gets through now.
func (n *network) passes(from, to string) bool {
	if n.cut(from, to) {
		return false
	}
	for _, l := range n.losses {
		if l.covers(from, to) && n.random.Float64() < l.share {
			return false
		}
	}
	return true
}

func (n *network) cut(from, to string) bool { return from != to && n.cuts[[2]string{from, to}] > 0 }

func (l loss) covers(from, to string) bool {
	if l.a == "" || (l.b == "" && (l.a == from || l.a == to)) {
		return true
	}
	return (l.a == from && l.b == to) || (!l.oneWay && l.a == to && l.b == from)
}

// setCut adds delta to the cuts between two zones.
func (n *network) setCut(a, b string, delta int) {
	n.cuts[[2]string{a, b}] += delta
	n.cuts[[2]string{b, a}] += delta
}
