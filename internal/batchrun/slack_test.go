package batchrun

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/batch"
)

// newSpeedRunner returns a runner with one engine per interval. Each has run for 10 s at that interval.
func newSpeedRunner(intervals ...time.Duration) (*Runner, *schedulingPass) {
	runner, _ := newSubsetRunner(len(intervals), 0)
	runner.lengths = newLengthModel()
	now := time.Unix(1000, 0)
	for i, interval := range intervals {
		record := runner.recordOf(fmt.Sprintf("engine-%05d", i))
		for at := time.Duration(0); at < 10*time.Second; at += interval {
			record.profile.observe(interval, 1, false, usualInterval, now.Add(at))
		}
	}
	runner.fleetInterval.observe(usualInterval, 0)
	runner.now = func() time.Time { return now.Add(10 * time.Second) }
	return runner, runner.newSchedulingPass(runner.State.View())
}

func TestChooseWithSlack(t *testing.T) {
	intervals := []time.Duration{24 * time.Millisecond, 32 * time.Millisecond, 40 * time.Millisecond, 53 * time.Millisecond}
	// place returns the engine chosen for an item with an estimate, or none if it is zero, of a job with 4 s left.
	place := func(runner *Runner, pass *schedulingPass, tokens int) string {
		route := pass.view.Routes.Match("h", "/")
		it := &item{Item: batch.Item{ID: "i", ExpectedLength: tokens}, job: &job{longest: 4 * time.Second}, group: &itemGroup{}}
		chosen := runner.place(pass, waitingItem{item: it, route: route}, false)
		if chosen == nil {
			return ""
		}
		return chosen.engine.ID
	}
	Convey("Items go to the slowest engine at which they end in time, long ones to the fastest", t, func() {
		runner, pass := newSpeedRunner(intervals...)
		for i := range 1000 {
			runner.lengths.observe(50*(1+i%100), 1+i%100)
		}
		So(place(runner, pass, 50*20), ShouldEqual, "engine-00003")
		So(place(runner, pass, 50*34), ShouldEqual, "engine-00002")
		So(place(runner, pass, 50*43), ShouldEqual, "engine-00001")
		So(place(runner, pass, 50*90), ShouldEqual, "engine-00000")
	})
	// Guards against an item without an estimate that ends its job because it runs at a slow engine.
	Convey("An item of unknown length goes to a slow engine only if even a long text ends in time", t, func() {
		runner, pass := newSpeedRunner(intervals...)
		for i := range 1000 {
			events := 15
			if i%20 == 0 {
				events = 75
			}
			runner.lengths.observe(0, events)
		}
		So(runner.lengths.remaining(0, 0)*0.053, ShouldBeLessThan, 2)
		So(place(runner, pass, 0), ShouldNotEqual, "engine-00003")
	})
	// Guards against short items that follow the noise, and long ones that avoid an engine because of it.
	Convey("The last pauses do not make an engine slow hardware", t, func() {
		runner, _ := newSpeedRunner(24*time.Millisecond, 24*time.Millisecond, 24*time.Millisecond)
		record := runner.recordOf("engine-00001")
		for range 6 {
			record.profile.observe(100*time.Millisecond, 1, true, usualInterval, runner.now())
		}
		pass := runner.newSchedulingPass(runner.State.View())
		So(place(runner, pass, 50), ShouldEqual, "engine-00000")
		So(pass.pool("pool", "", pass.residencyOf(pass.view.Routes.Match("h", "/"), itemOf("", 0))).byID["engine-00001"].speedClass, ShouldEqual, 0)
	})
	Convey("An engine that has become much slower gets no item with slack that would end late there", t, func() {
		runner, _ := newSpeedRunner(24*time.Millisecond, 40*time.Millisecond)
		record := runner.recordOf("engine-00001")
		for range 30 {
			record.profile.observe(140*time.Millisecond, 1, false, usualInterval, runner.now())
		}
		So(place(runner, runner.newSchedulingPass(runner.State.View()), 50*20), ShouldEqual, "engine-00000")
	})
}
