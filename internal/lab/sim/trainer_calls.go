package sim

import (
	"errors"

	v1 "github.com/covelink/covelink/api/v1"
)

// call carries a call to the owner and back, again and again until it is answered. A refusal for good ends it too.
func (t *trainerHost) call(send func(h *ownerHost, reply func(error)), done func()) {
	again := func() { t.sim.after(retryInterval, func() { t.call(send, done) }) }
	t.try(send, func(err error) {
		if err != nil && !isFinal(err) {
			again()
			return
		}
		done()
	}, again)
}

// try carries a call to the owner once. Either answered or lost is called, once.
func (t *trainerHost) try(send func(h *ownerHost, reply func(error)), answered func(error), lost func()) {
	s, h := t.sim, t.sim.owners[t.spec.Name]
	if h == nil {
		lost()
		return
	}
	h.nextID++
	id := h.nextID
	h.lost[id] = func() {
		delete(h.lost, id)
		lost()
	}
	vanished := func() {
		s.after(s.scenario.System.BreakDetect, func() {
			if give := h.lost[id]; give != nil {
				give()
			}
		})
	}
	arrives := s.network.send(t.spec.Zone, h.node.zone.name, func() {
		if h.ended {
			return // whoever ended it has told of the loss
		}
		send(h, func(err error) {
			returns := s.network.send(h.node.zone.name, t.spec.Zone, func() {
				if h.lost[id] == nil {
					return
				}
				delete(h.lost, id)
				answered(err)
			})
			if !returns {
				vanished()
			}
		})
	})
	if !arrives {
		vanished()
	}
}

// isFinal reports whether an error will not pass.
func isFinal(err error) bool {
	var refused *v1.Error
	if !errors.As(err, &refused) {
		return false
	}
	return refused.Code == v1.CodeConflict || refused.Code == v1.CodeInvalid || refused.Code == v1.CodeGone
}
