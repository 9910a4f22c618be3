package batchrun

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestJobEnds(t *testing.T) {
	Convey("The latest end among the other items", t, func() {
		a, b := &item{}, &item{}
		ends := jobEnds{latest: 3 * time.Second, second: 2 * time.Second, latestItem: a}
		So(ends.without(a), ShouldEqual, 2*time.Second)
		So(ends.without(b), ShouldEqual, 3*time.Second)
	})
}

func TestChooseObserved(t *testing.T) {
	// Guards against items that stay at a slow engine because an engine without observations looks cheapest.
	Convey("The cheapest engine that was observed is found beside one that was not", t, func() {
		runner, _ := newSpeedRunner(26*time.Millisecond, 25*time.Millisecond, 40*time.Millisecond)
		runner.engines["engine-00002"] = &engineRecord{fleetInterval: &runner.fleetInterval, prefixes: make(map[string]struct{})}
		pass := runner.newSchedulingPass(runner.State.View())
		route := pass.view.Routes.Match("h", "/")
		cheapest, _ := pass.choose(route, itemOf("", 0), 0)
		So(cheapest.engine.ID, ShouldEqual, "engine-00002")
		So(cheapest.observed, ShouldBeFalse)
		So(pass.chooseObserved(route, itemOf("", 0), 0).engine.ID, ShouldEqual, "engine-00001")
		So(pass.chooseObserved(route, itemOf("", 0), 2), ShouldBeNil)
	})
}
