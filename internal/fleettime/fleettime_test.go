package fleettime

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// machine has a clock that the test moves.
type machine struct {
	base    time.Time
	elapsed time.Duration
}

func newMachine() *machine { return &machine{base: time.Now()} }

// now stands for time.Now.
func (m *machine) now() time.Time { return m.base.Add(m.elapsed) }

func TestConsensus(t *testing.T) {
	Convey("A minority of clocks that step does not change the time", t, func() {
		m := newMachine()
		clock := NewConsensus(NewLocal(m.now))
		told := func(names string, step time.Duration) {
			for _, name := range names {
				clock.Note(string(name), m.now().Add(step))
			}
		}
		told("abcdefg", 0)
		told("hij", 2*time.Second)
		So(clock.At(m.now()).Sub(m.now().Round(0)), ShouldEqual, 0)
		told("hij", -2*time.Second)
		So(clock.At(m.now()).Sub(m.now().Round(0)), ShouldEqual, 0)
	})
	Convey("The own clock is one of many", t, func() {
		m := newMachine()
		clock := NewConsensus(NewLocal(m.now))
		for _, name := range []string{"a", "b", "c", "d"} {
			clock.Note(name, m.now().Add(3*time.Second))
		}
		So(clock.At(m.now()).Sub(m.now().Round(0)), ShouldEqual, 3*time.Second)
	})
	Convey("Machines that are not heard any more do not count", t, func() {
		m := newMachine()
		clock := NewConsensus(NewLocal(m.now))
		clock.Note("a", m.now().Add(time.Hour))
		clock.Note("b", m.now().Add(time.Hour))
		m.elapsed += voteLife + time.Second
		So(clock.At(m.now()).Sub(m.now().Round(0)), ShouldEqual, 0)
	})
	Convey("An earlier moment is told as it was", t, func() {
		m := newMachine()
		clock := NewConsensus(NewLocal(m.now))
		before := m.now()
		m.elapsed += time.Second
		So(clock.At(m.now()).Sub(clock.At(before)), ShouldEqual, time.Second)
	})
}

func TestLocal(t *testing.T) {
	// stepped makes the wall clock show more or less than it should.
	stepped := func(clock *Local, by time.Duration) {
		clock.wall = func(moment time.Time) time.Time { return moment.Round(0).Add(by) }
	}
	Convey("A step that is taken back changes nothing, however often it is looked at", t, func() {
		m := newMachine()
		clock := NewLocal(m.now)
		for _, by := range []time.Duration{2 * time.Second, -6 * time.Second, 0, 2 * time.Second} {
			stepped(clock, by)
			for range 20 {
				m.elapsed += time.Second
				So(clock.At(m.now()).Sub(m.now().Round(0)), ShouldEqual, 0)
			}
		}
	})
	Convey("A step that lasts is believed after a while", t, func() {
		m := newMachine()
		clock := NewLocal(m.now)
		stepped(clock, 2*time.Second)
		clock.At(m.now())
		m.elapsed += stepPatience
		So(clock.At(m.now()).Sub(m.now().Round(0)), ShouldEqual, 2*time.Second)
	})
	Convey("A wall clock that drifts is followed", t, func() {
		m := newMachine()
		clock := NewLocal(m.now)
		for drift := time.Duration(0); drift < time.Second; drift += maxDrift / 2 {
			stepped(clock, drift)
			m.elapsed += time.Second
			So(clock.At(m.now()).Sub(m.now().Round(0)), ShouldEqual, drift)
		}
	})
	Convey("A consensus does not follow a step of its own clock", t, func() {
		m := newMachine()
		own := NewLocal(m.now)
		clock := NewConsensus(own)
		stepped(own, 2*time.Second)
		So(clock.At(m.now()).Sub(m.now().Round(0)), ShouldEqual, 0)
	})
}

func TestRemote(t *testing.T) {
	Convey("The own clock serves until the source has told the time", t, func() {
		m := newMachine()
		clock := NewRemote(m.now)
		So(clock.Known(), ShouldBeFalse)
		So(clock.At(m.now()), ShouldEqual, m.now().Round(0))
	})
	Convey("The exchange with the shortest round trip counts, until it is old", t, func() {
		m := newMachine()
		clock := NewRemote(m.now)
		exchange := func(roundTrip, ahead time.Duration) {
			asked := m.now()
			m.elapsed += roundTrip
			clock.Note(asked, m.now(), asked.Add(roundTrip/2).Add(ahead))
		}
		exchange(20*time.Millisecond, time.Second)
		So(clock.Known(), ShouldBeTrue)
		So(clock.At(m.now()).Sub(m.now().Round(0)), ShouldEqual, time.Second)
		exchange(40*time.Millisecond, 2*time.Second)
		So(clock.At(m.now()).Sub(m.now().Round(0)), ShouldEqual, time.Second)
		exchange(2*time.Millisecond, 1100*time.Millisecond)
		So(clock.At(m.now()).Sub(m.now().Round(0)), ShouldEqual, 1100*time.Millisecond)
		m.elapsed += sampleLife
		exchange(40*time.Millisecond, 1200*time.Millisecond)
		So(clock.At(m.now()).Sub(m.now().Round(0)), ShouldEqual, 1200*time.Millisecond)
	})
	Convey("What tells no time is ignored", t, func() {
		m := newMachine()
		clock := NewRemote(m.now)
		clock.Note(m.now(), m.now(), time.Time{})
		So(clock.Known(), ShouldBeFalse)
	})
}
