package sim

import (
	"slices"
	"time"
)

// planFaults plans every fault of the scenario. A target that does not exist is left alone.
func (s *simulation) planFaults() {
	for _, fault := range s.scenario.Faults {
		s.at(epoch.Add(fault.At), func() { s.inflict(fault) })
	}
}

func (s *simulation) inflict(fault Fault) {
	switch fault.Kind {
	case FaultZoneCut:
		s.cutZone(fault)
	case FaultZoneLoss:
		s.loseZone(fault)
	case FaultMessageLoss:
		s.loseMessages(fault)
	case FaultOwnerPause, FaultCommitLost:
		s.inflictOwner(fault)
	case FaultOwnerCrash:
		if owner := s.owners[fault.Target]; owner != nil {
			owner.crash()
		}
	case FaultNodeStop, FaultNodeCrash:
		s.inflictNode(fault)
	default:
		if host := s.engineOf[fault.Target]; host != nil {
			s.inflictEngine(host, fault)
		}
	}
}

func (s *simulation) inflictNode(fault Fault) {
	n := s.nodeOf[fault.Target]
	switch {
	case n == nil:
	case fault.Kind == FaultNodeStop:
		n.stop(fault.For)
	default:
		n.kill(fault.For)
	}
}

func (s *simulation) inflictEngine(host *engineHost, fault Fault) {
	switch fault.Kind {
	case FaultEngineCrash:
		host.fail(fault.For)
	case FaultEngineFreeze:
		host.freeze(s.now.Add(fault.For))
	case FaultEngineLeave:
		host.leave(fault.For)
	case FaultStreamCut:
		for _, open := range host.openStreams() {
			host.drop(open)
			open.reset()
		}
	case FaultSwapFails:
		if host.engine != nil {
			host.engine.FailNextActivate(fault.TakesEffect)
		}
	case FaultPrepareFails:
		if host.engine != nil {
			host.engine.FailPrepares(1)
		}
	}
}

// fail is the death of an engine, which its zone finds out after a while; it starts again after down, unless that is 0.
func (h *engineHost) fail(down time.Duration) {
	h.crash()
	life, detect := h.life, h.sim.scenario.System.Detect
	h.sim.after(detect, func() {
		if h.life == life && h.engine == nil {
			entry := h.zone.known[h.name]
			entry.Leaving = true
			h.zone.set(entry)
		}
	})
	if down <= 0 {
		return
	}
	h.sim.after(down, func() {
		if h.life != life {
			return
		}
		h.start()
		h.sim.after(detect, func() {
			if h.engine != nil {
				h.zone.set(h.entry())
			}
		})
	})
}

// leave is the end of a machine that the machine list tells of, with its lag.
func (h *engineHost) leave(grace time.Duration) {
	h.sim.after(h.sim.scenario.System.MachineListLag, func() {
		entry := h.zone.known[h.name]
		entry.DrainWanted, entry.Leaving = true, true
		h.zone.set(entry)
	})
	h.sim.after(grace, func() { h.fail(0) })
}

func (s *simulation) cutZone(fault Fault) {
	for _, other := range s.zones {
		if other.name == fault.Target || (fault.Other != "" && other.name != fault.Other) {
			continue
		}
		s.network.setCut(fault.Target, other.name, 1)
		if fault.For > 0 {
			s.after(fault.For, func() { s.network.setCut(fault.Target, other.name, -1) })
		}
		s.breakStreams(fault.Target, other.name)
	}
}

// breakStreams ends, after a while, the connections that the cut between two zones has gone through.
func (s *simulation) breakStreams(a, b string) {
	for _, host := range s.engines {
		if host.zone.name != a && host.zone.name != b {
			continue
		}
		for _, open := range host.openStreams() {
			if s.network.cut(host.zone.name, open.node.zone.name) {
				open.breakLater()
			}
		}
	}
}

func (s *simulation) loseMessages(fault Fault) {
	added := loss{a: fault.Target, b: fault.Other, share: fault.Share, oneWay: fault.OneWay}
	s.network.losses = append(s.network.losses, added)
	if fault.For <= 0 {
		return
	}
	s.after(fault.For, func() {
		at := slices.Index(s.network.losses, added)
		s.network.losses = slices.Delete(s.network.losses, at, at+1)
	})
}

// loseZone is the death of everything in a zone.
func (s *simulation) loseZone(fault Fault) {
	z := s.zoneOf[fault.Target]
	if z == nil || z.down {
		return
	}
	z.down = true
	for _, host := range s.engines {
		if host.zone == z {
			host.fail(fault.For)
		}
	}
	for _, n := range z.nodes {
		n.kill(fault.For)
	}
	// The other zones find out: no node of the zone answers their probes.
	s.after(s.scenario.System.Detect, func() { s.forgetZone(z) })
	if fault.For > 0 {
		s.after(fault.For, func() { z.recover() })
	}
}

func (s *simulation) forgetZone(z *zone) {
	if !z.down {
		return
	}
	for name, entry := range z.known {
		entry.Leaving = true
		z.known[name] = entry
	}
	z.revision++
	for _, other := range s.zones {
		if other != z {
			other.receive(z.name, z.entries())
		}
	}
}

// recover starts the zone's coordination again: what the engines run is observed anew.
func (z *zone) recover() {
	z.down = false
	z.newTerm()
	z.rebuild()
	z.revision++
	z.publishSoon()
	z.planSoon()
}
