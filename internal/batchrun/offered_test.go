package batchrun

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestOfferedLoad(t *testing.T) {
	start := time.Now()
	// A job of 80 s of engine time every 4 s occupies 20 slots on average.
	const interval, duration = 4 * time.Second, 80 * time.Second
	Convey("The rate is not raised by the jobs with which a term begins (guards against engines ordered for a burst)", t, func() {
		load := offeredLoad{since: start}
		load.add(start, duration)
		load.add(start.Add(termStartWindow), duration)
		_, ok := load.slots(start.Add(minObservedLoad - time.Millisecond))
		So(ok, ShouldBeFalse)
		for step := range 50 {
			now := start.Add(time.Duration(step+1) * interval)
			load.add(now, duration)
			slots, ok := load.slots(now)
			So(ok, ShouldBeTrue)
			So(slots, ShouldBeBetween, 19, 25)
		}
		slots, _ := load.slots(start.Add(50*interval + interval/2))
		So(slots, ShouldAlmostEqual, 20, 1)
	})
	Convey("It falls once nothing is submitted (guards against engines kept for trainers that have left)", t, func() {
		load := offeredLoad{since: start}
		load.add(start.Add(interval), duration)
		slots, _ := load.slots(start.Add(2 * time.Minute))
		So(slots, ShouldBeLessThan, 0.1)
	})
}
