package sim

import "time"

func (s *simulation) inflictOwner(fault Fault) {
	owner := s.owners[fault.Target]
	switch {
	case owner == nil:
	case fault.Kind == FaultCommitLost:
		owner.commitLost += fault.Count
	default:
		owner.pause(fault.For)
	}
}

// pause lets the owner's process stand still. Its lease lapses meanwhile, and another node takes over; the owner itself does
// not notice before its log refuses it.
func (h *ownerHost) pause(length time.Duration) {
	if h.paused || h.ended {
		return
	}
	h.paused = true
	h.sim.after(length, func() {
		h.paused = false
		h.turnSoon()
	})
	h.sim.after(h.sim.scenario.System.TakeOver, func() {
		if h.paused && !h.ended && !h.superseded() {
			delete(h.sim.owners, h.trainer.spec.Name)
			h.trainer.elect()
		}
	})
}

// whenAwake does something now, or when the owner's process goes on.
func (h *ownerHost) whenAwake(do func()) {
	if !h.paused {
		do()
		return
	}
	h.sim.after(ownerTick, func() {
		if !h.ended {
			h.whenAwake(do)
		}
	})
}

// superseded reports whether another term has opened the log since: nothing of this one is kept any more.
func (h *ownerHost) superseded() bool { return h.term < h.trainer.terms }

// retire ends a term that another has superseded.
func (h *ownerHost) retire() { h.finish(0) }
