package fleettime

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// machine has a clock that is advanced by the test.
type machine struct {
	base    time.Time
	elapsed time.Duration
}

func newMachine() *machine { return &machine{base: time.Now()} }

// now replaces boottime.Now.
func (m *machine) now() time.Time { return m.base.Add(m.elapsed) }

func TestConsensus(t *testing.T) {
	Convey("Steps of a minority of clocks have no effect", t, func() {
		m := newMachine()
		clock := NewConsensus(NewLocal(m.now))
		note := func(names string, step time.Duration) {
			for _, name := range names {
				clock.AddVote(string(name), m.now().Add(step))
			}
		}
		note("abcdefg", 0)
		note("hij", 2*time.Second)
		So(clock.At(m.now()).Sub(m.now().Round(0)), ShouldEqual, 0)
		note("hij", -2*time.Second)
		So(clock.At(m.now()).Sub(m.now().Round(0)), ShouldEqual, 0)
	})
	Convey("The local clock has one vote among several", t, func() {
		m := newMachine()
		clock := NewConsensus(NewLocal(m.now))
		for _, name := range []string{"a", "b", "c", "d"} {
			clock.AddVote(name, m.now().Add(3*time.Second))
		}
		So(clock.At(m.now()).Sub(m.now().Round(0)), ShouldEqual, 3*time.Second)
	})
	Convey("Votes expire", t, func() {
		m := newMachine()
		clock := NewConsensus(NewLocal(m.now))
		clock.AddVote("a", m.now().Add(time.Hour))
		clock.AddVote("b", m.now().Add(time.Hour))
		m.elapsed += voteTTL + time.Second
		So(clock.At(m.now()).Sub(m.now().Round(0)), ShouldEqual, 0)
	})
	Convey("At accepts an earlier moment", t, func() {
		m := newMachine()
		clock := NewConsensus(NewLocal(m.now))
		before := m.now()
		m.elapsed += time.Second
		So(clock.At(m.now()).Sub(clock.At(before)), ShouldEqual, time.Second)
	})
}

func TestLocal(t *testing.T) {
	// setStep steps the wall clock by a duration.
	setStep := func(clock *Local, by time.Duration) {
		clock.wall = func(moment time.Time) time.Time { return moment.Round(0).Add(by) }
	}
	Convey("A step that is reverted has no effect, however often the clock is read", t, func() {
		m := newMachine()
		clock := NewLocal(m.now)
		for _, by := range []time.Duration{2 * time.Second, -6 * time.Second, 0, 2 * time.Second} {
			setStep(clock, by)
			for range 20 {
				m.elapsed += time.Second
				So(clock.At(m.now()).Sub(m.now().Round(0)), ShouldEqual, 0)
			}
		}
	})
	Convey("A lasting step is accepted after stepConfirmation", t, func() {
		m := newMachine()
		clock := NewLocal(m.now)
		setStep(clock, 2*time.Second)
		clock.At(m.now())
		m.elapsed += stepConfirmation
		So(clock.At(m.now()).Sub(m.now().Round(0)), ShouldEqual, 2*time.Second)
	})
	Convey("Drift of the wall clock is followed", t, func() {
		m := newMachine()
		clock := NewLocal(m.now)
		for drift := time.Duration(0); drift < time.Second; drift += maxDrift / 2 {
			setStep(clock, drift)
			m.elapsed += time.Second
			So(clock.At(m.now()).Sub(m.now().Round(0)), ShouldEqual, drift)
		}
	})
	Convey("A recent step of its own clock does not change a consensus", t, func() {
		m := newMachine()
		own := NewLocal(m.now)
		clock := NewConsensus(own)
		setStep(own, 2*time.Second)
		So(clock.At(m.now()).Sub(m.now().Round(0)), ShouldEqual, 0)
	})
}

func TestRemote(t *testing.T) {
	Convey("The local wall clock is used until a sample is recorded", t, func() {
		m := newMachine()
		clock := NewRemote(m.now)
		So(clock.Known(), ShouldBeFalse)
		So(clock.At(m.now()), ShouldEqual, m.now().Round(0))
	})
	Convey("The sample with the shortest round trip is used until it expires", t, func() {
		m := newMachine()
		clock := NewRemote(m.now)
		exchange := func(roundTrip, ahead time.Duration) {
			asked := m.now()
			m.elapsed += roundTrip
			clock.AddSample(asked, m.now(), asked.Add(roundTrip/2).Add(ahead))
		}
		exchange(20*time.Millisecond, time.Second)
		So(clock.Known(), ShouldBeTrue)
		So(clock.At(m.now()).Sub(m.now().Round(0)), ShouldEqual, time.Second)
		exchange(40*time.Millisecond, 2*time.Second)
		So(clock.At(m.now()).Sub(m.now().Round(0)), ShouldEqual, time.Second)
		exchange(2*time.Millisecond, 1100*time.Millisecond)
		So(clock.At(m.now()).Sub(m.now().Round(0)), ShouldEqual, 1100*time.Millisecond)
		m.elapsed += sampleTTL
		exchange(40*time.Millisecond, 1200*time.Millisecond)
		So(clock.At(m.now()).Sub(m.now().Round(0)), ShouldEqual, 1200*time.Millisecond)
	})
	Convey("A zero time is ignored", t, func() {
		m := newMachine()
		clock := NewRemote(m.now)
		clock.AddSample(m.now(), m.now(), time.Time{})
		So(clock.Known(), ShouldBeFalse)
	})
}
