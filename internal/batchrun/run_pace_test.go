package batchrun

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestRunPace(t *testing.T) {
	const usual = 24 * time.Millisecond
	// observe adds events with the given pauses, and returns the time until the pace was known to be at least the threshold.
	observe := func(pace *runPace, threshold time.Duration, pauses ...time.Duration) (after time.Duration, known bool) {
		for _, pause := range pauses {
			pace.observe(pause, 1)
			after += pause
			if pace.certain(time.Time{}) && pace.atLeast(time.Time{}) >= threshold {
				return after, true
			}
		}
		return after, false
	}
	repeat := func(pause time.Duration, count int) (pauses []time.Duration) {
		for range count {
			pauses = append(pauses, pause)
		}
		return pauses
	}
	// Guards against moves that follow the pauses at the start of a step, which were most of the moves.
	Convey("One to six pauses of 56 to 140 ms at the start do not make a run slow", t, func() {
		noise := []time.Duration{56, 140, 90, 120, 70, 110}
		for count := range noise {
			var pace runPace
			for _, pause := range noise[:count+1] {
				pace.observe(pause*time.Millisecond, 1)
				So(pace.certain(time.Time{}), ShouldBeFalse)
			}
			_, slow := observe(&pace, 1200*usual/1000, repeat(usual, 30)...)
			So(slow, ShouldBeFalse)
			So(pace.atLeast(time.Time{}), ShouldEqual, usual)
		}
	})
	Convey("Single pauses in the middle do not make a run slow, however long", t, func() {
		var pace runPace
		for _, pause := range []time.Duration{140 * time.Millisecond, time.Second} {
			_, slow := observe(&pace, 2*usual, append(repeat(usual, 20), pause)...)
			So(slow, ShouldBeFalse)
		}
	})
	// Guards against long items that stay at an engine that became slow.
	Convey("A run that becomes slower is recognized in time, at any speed", t, func() {
		for _, c := range []struct {
			before, after, within time.Duration
		}{
			{usual, 3 * usual, 250 * time.Millisecond},
			{usual, 84 * time.Millisecond, 300 * time.Millisecond},
			{usual, 10 * usual, 500 * time.Millisecond},
			{42 * time.Millisecond, 126 * time.Millisecond, 400 * time.Millisecond},
		} {
			var pace runPace
			observe(&pace, time.Hour, repeat(c.before, 20)...)
			after, slow := observe(&pace, c.after, repeat(c.after, 20)...)
			So(slow, ShouldBeTrue)
			So(after, ShouldBeLessThanOrEqualTo, c.within)
		}
	})
	Convey("A run that is slow from its start is recognized within about a second", t, func() {
		for _, pause := range []time.Duration{53, 72, 84, 126, 150, 240, 420} {
			var pace runPace
			after, slow := observe(&pace, pause*time.Millisecond, repeat(pause*time.Millisecond, 20)...)
			So(slow, ShouldBeTrue)
			So(after, ShouldBeLessThanOrEqualTo, 1100*time.Millisecond)
		}
	})
	Convey("A worker's reports of several events count as much as the events", t, func() {
		var pace runPace
		for range 5 {
			pace.observe(usual, 4)
		}
		So(pace.certain(time.Time{}), ShouldBeTrue)
		for _, count := range []int{1, 2, 1, 2} {
			pace.observe(3*usual, count)
		}
		So(pace.atLeast(time.Time{}), ShouldEqual, 3*usual)
	})
	// Guards against moves that follow the mean of a report, which one pause can double.
	Convey("A worker's report that contains a pause of 140 ms does not make a run slow", t, func() {
		var pace runPace
		pace.observe(75*time.Millisecond, 4)
		pace.observe(50*time.Millisecond, 6)
		So(pace.atLeast(time.Time{}), ShouldEqual, time.Duration(0))
		pace.observe(usual, 12)
		pace.observe(39*time.Millisecond, 7)
		So(pace.atLeast(time.Time{}), ShouldEqual, usual)
	})
	// Guards against runs whose engine is known to be slow, and that stay until their next event, more than a second later.
	Convey("A pause in progress counts once it is longer than pauses and reports", t, func() {
		var pace runPace
		now := time.Unix(1000, 0)
		observe(&pace, time.Hour, repeat(3*usual, 3)...)
		pace.lastEvent = now
		So(pace.certain(now.Add(450*time.Millisecond)), ShouldBeFalse)
		So(pace.certain(now.Add(600*time.Millisecond)), ShouldBeTrue)
		So(pace.atLeast(now.Add(600*time.Millisecond)), ShouldEqual, 600*time.Millisecond)
		observe(&pace, time.Hour, repeat(usual, 20)...)
		So(pace.atLeast(now.Add(time.Second)), ShouldEqual, usual)
	})
	Convey("Without events nothing is known", t, func() {
		var pace runPace
		So(pace.certain(time.Time{}), ShouldBeFalse)
		So(pace.starting(), ShouldBeTrue)
		So(pace.atLeast(time.Time{}), ShouldEqual, time.Duration(0))
	})
}
