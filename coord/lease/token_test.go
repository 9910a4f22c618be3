package lease

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/coord/fence"
)

// holder returns the only holder of the lease and its token.
func (s *simulation) holder(name string) (*process, Token) {
	for _, p := range s.processes {
		if token, ok := p.candidate.Held(s.clock(p), name); ok {
			return p, token
		}
	}
	return nil, 0
}

func TestTokensAfterAllVotersRestart(t *testing.T) {
	Convey("All voters restart, and every wall clock is set back", t, func() {
		s := newSimulation(7, 3, "a").start()
		s.checkTokens = false
		s.run(5 * simLength)
		_, before := s.holder("a")
		So(before, ShouldBeGreaterThan, 0)
		var guard fence.Guard
		So(guard.Admit(before), ShouldBeNil)
		for _, p := range s.processes {
			s.crash(p)
			p.wallOffset = -time.Hour
			s.boot(p)
		}
		Convey("nobody holds the lease for a lease length, and then one does", func() {
			s.run(simLength - simStep)
			So(s.holders("a"), ShouldBeEmpty)
			s.run(5 * simLength)
			So(len(s.holders("a")), ShouldEqual, 1)
		})
		Convey("the guard refuses the new holder; told so, it loses the term and the next token is higher", func() {
			s.run(5 * simLength)
			p, low := s.holder("a")
			So(low, ShouldBeLessThan, before)
			refused, ok := guard.Admit(low).(fence.ErrStaleToken)
			So(ok, ShouldBeTrue)
			s.send(p, p.candidate.ObserveToken("a", refused.Highest))
			_, still := p.candidate.Held(s.clock(p), "a")
			So(still, ShouldBeFalse)
			s.run(5 * simLength)
			_, after := s.holder("a")
			So(after, ShouldBeGreaterThan, before)
			So(guard.Admit(after), ShouldBeNil)
			So(s.failure, ShouldBeNil)
		})
	})
}

func TestHolderStops(t *testing.T) {
	Convey("A holder", t, func() {
		s := newSimulation(3, 3, "a").start()
		s.run(3 * simLength)
		p, token := s.holder("a")
		So(p, ShouldNotBeNil)
		Convey("that resumes after a pause does not hold at its first look, and another has held meanwhile", func() {
			p.pausedUntil = s.now + 3*simLength
			s.run(3*simLength - simStep)
			_, ok := p.candidate.Held(s.clock(p), "a")
			So(ok, ShouldBeFalse)
			other, later := s.holder("a")
			So(other, ShouldNotEqual, p)
			So(later, ShouldBeGreaterThan, token)
		})
		Convey("whose machine was suspended with its monotonic clock does not either", func() {
			s.suspend(p, 3*simLength)
			s.now += 3 * simLength
			_, ok := p.candidate.Held(s.clock(p), "a")
			So(ok, ShouldBeFalse)
		})
		Convey("that stops as planned hands over to the successor within two round trips", func() {
			s.run(simLength) // the others have asked and wait
			successor := s.processes[0]
			if successor == p {
				successor = s.processes[1]
			}
			s.send(p, p.candidate.Withdraw("a", successor.name))
			s.run(8 * simStep)
			next, later := s.holder("a")
			So(next, ShouldEqual, successor)
			So(later, ShouldBeGreaterThan, token)
		})
	})
}

func TestOlderVoterSet(t *testing.T) {
	Convey("A voter refuses an older set and teaches the newer; the holder stays under both", t, func() {
		s := newSimulation(5, 3, "a").start()
		s.run(3 * simLength)
		p, token := s.holder("a")
		next := s.set.Without(s.processes[2].name)
		if p == s.processes[2] {
			next = s.set.Without(s.processes[0].name)
		}
		for _, other := range s.processes {
			if other != p {
				other.voter.LearnSet(next)
			}
		}
		s.run(5 * simLength)
		So(s.failure, ShouldBeNil)
		So(p.candidate.Set(), ShouldResemble, next)
		holder, kept := s.holder("a")
		So(holder, ShouldEqual, p)
		So(kept, ShouldEqual, token)
	})
}
