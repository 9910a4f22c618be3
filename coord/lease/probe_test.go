package lease

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestTakeOverAfterProbes(t *testing.T) {
	Convey("Whenever a holder dies, another holds within two lease lengths", t, func() {
		for seed := range uint64(50) {
			So(takeOver(seed), ShouldBeLessThanOrEqualTo, 2*simLength)
		}
	})
}

func TestProbe(t *testing.T) {
	Convey("Given a voter past its abstention", t, func() {
		s := newSimulation(1, 3, "a")
		start := Instant{Monotonic: time.Hour, Wall: time.UnixMilli(simEpoch)}
		voter, err := NewVoter(Config{Name: "n0", Length: simLength}, s.set, start)
		So(err, ShouldBeNil)
		now := start
		now.Monotonic += simLength
		step := func(from string, ask Ask) Answer {
			replies := voter.Step(now, Message{From: from, To: "n0", Set: s.set, Length: simLength, Asks: []Ask{ask}})
			So(len(replies), ShouldEqual, 1)
			return replies[0].Answers[0]
		}
		Convey("a probe grants nothing and raises no token", func() {
			So(step("n1", Ask{Name: "a", Token: 9, Probe: true}).Verdict, ShouldEqual, Free)
			So(voter.Sighting(now, "a").Holder, ShouldBeEmpty)
			So(step("n2", Ask{Name: "a", Token: 1}).Verdict, ShouldEqual, Granted)
		})
		Convey("a probe of a lease granted to another tells how long, and the prober hears of the release", func() {
			So(step("n2", Ask{Name: "a", Token: 1}).Verdict, ShouldEqual, Granted)
			refused := step("n1", Ask{Name: "a", Token: 9, Probe: true})
			So(refused.Verdict, ShouldEqual, RefusedHeld)
			So(refused.Remaining, ShouldEqual, simLength)
			release := Message{From: "n2", To: "n0", Set: s.set, Releases: []Release{{Name: "a", Token: 1}}}
			told := voter.Step(now, release)
			So(len(told), ShouldEqual, 1)
			So(told[0].To, ShouldEqual, "n1")
			So(told[0].Notices, ShouldResemble, []Notice{{Name: "a"}})
		})
	})
}

func TestNoticeDuringProbe(t *testing.T) {
	Convey("A candidate that hears of a release while it probes asks all voters at once", t, func() {
		s := newSimulation(1, 3, "a")
		now := Instant{Monotonic: time.Hour, Wall: time.UnixMilli(simEpoch)}
		candidate, err := NewCandidate(Config{Name: "outside", Length: simLength}, s.set)
		So(err, ShouldBeNil)
		candidate.Campaign(now, "a", 0)
		for _, ask := range candidate.Tick(now) {
			answer := Answer{Name: "a", Token: ask.Asks[0].Token, Round: ask.Asks[0].Round, Verdict: RefusedHeld,
				Holder: "n2", Remaining: simLength}
			candidate.Step(now, Message{From: ask.To, To: "outside", Set: s.set, Answers: []Answer{answer}})
		}
		wake, ok := candidate.NextWake()
		So(ok, ShouldBeTrue)
		now.Monotonic = wake
		probe := candidate.Tick(now)
		So(len(probe), ShouldEqual, 1)
		So(probe[0].Asks[0].Probe, ShouldBeTrue)
		asks := candidate.Step(now, Message{From: "n0", To: "outside", Set: s.set, Notices: []Notice{{Name: "a", First: true}}})
		So(len(asks), ShouldEqual, 3)
		So(asks[0].Asks[0].Probe, ShouldBeFalse)
	})
}
