package weights

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/api/enginev1"
	"github.com/covelink/covelink/internal/cluster"
)

func viewOf(incarnation string, active int64, prepared ...int64) *cluster.View {
	return &cluster.View{Engines: []cluster.Engine{{
		Name: "a", URL: "http://a", Incarnation: incarnation, Pool: "pool", Zone: "z1",
		ActiveVersion: active, PreparedVersions: prepared,
	}}}
}

func TestTracker(t *testing.T) {
	Convey("With an activation in flight", t, func() {
		tracker := newTracker("z1", DefaultLimits())
		tracker.applyView(start, viewOf("i1", 4, 5))
		tracker.applyReport(start, "a", "http://a", enginev1.Load{Incarnation: "i1", ActiveVersion: 4, PreparedVersions: []int64{5}})
		order := Order{Engine: "a", URL: "http://a", Order: enginev1.Order{Kind: enginev1.OrderActivate, Version: 5, Incarnation: "i1"}}
		id := tracker.begin(start, order)
		state := func(now time.Time) EngineState {
			return tracker.snapshot(now, 1, viewOf("i1", 4), nil).Engines[0]
		}
		done := outcome{load: &enginev1.Load{Incarnation: "i1", ActiveVersion: 5}}
		So(state(start).Activating, ShouldBeTrue)

		Convey("its answer counts and outweighs lagging reports and views", func() {
			So(tracker.finish(start, "a", id, done), ShouldBeTrue)
			So(state(start).Activating, ShouldBeFalse)
			soon := start.Add(time.Second)
			So(tracker.applyReport(soon, "a", "http://a", enginev1.Load{Incarnation: "i1", ActiveVersion: 4}), ShouldBeFalse)
			tracker.applyView(soon, viewOf("i1", 4))
			So(state(soon).ActiveVersion, ShouldEqual, 5)
			later := start.Add(2 * time.Second)
			tracker.applyView(later, viewOf("i1", 4))
			So(state(later).ActiveVersion, ShouldEqual, 4)
		})
		Convey("a new incarnation voids it", func() {
			tracker.applyView(start, viewOf("i2", 1))
			So(state(start).Busy, ShouldBeFalse)
			So(tracker.finish(start, "a", id, done), ShouldBeFalse)
			So(state(start).ActiveVersion, ShouldEqual, 1)
			So(state(start).Observed, ShouldBeFalse)
			tracker.begin(start, order)
			So(tracker.finish(start, "a", id, done), ShouldBeFalse)
			So(state(start).Busy, ShouldBeTrue)
		})
		Convey("a new address voids it", func() {
			moved := viewOf("i1", 4)
			moved.Engines[0].URL = "http://b"
			tracker.applyView(start, moved)
			So(tracker.finish(start, "a", id, done), ShouldBeFalse)
		})
		Convey("an answer that does not show the swap is a failure", func() {
			load := enginev1.Load{Incarnation: "i1", ActiveVersion: 4, PreparedVersions: []int64{5}}
			So(tracker.finish(start, "a", id, outcome{load: &load}), ShouldBeTrue)
			So(state(start).RetryAt, ShouldHappenAfter, start)
		})
		Convey("without an answer it counts until the next attempt", func() {
			So(tracker.finish(start, "a", id, outcome{err: errSimLost}), ShouldBeTrue)
			So(state(start).Activating, ShouldBeTrue)
			So(state(state(start).RetryAt).Activating, ShouldBeFalse)
		})
		Convey("a report asked for before a restart does not bring the incarnation back", func() {
			tracker.applyView(start.Add(time.Second), viewOf("i2", 1))
			So(tracker.applyReport(start, "a", "http://a", enginev1.Load{Incarnation: "i1", ActiveVersion: 5}), ShouldBeFalse)
		})
	})
	Convey("A copy that ended without the version sends the engine to the store", t, func() {
		tracker := newTracker("z1", DefaultLimits())
		tracker.applyView(start, viewOf("i1", 4))
		order := Order{Engine: "a", URL: "http://a", Order: enginev1.Order{Kind: enginev1.OrderPrepare, Version: 5, Source: "http://b"}}
		id := tracker.begin(start, order)
		load := enginev1.Load{Incarnation: "i1", ActiveVersion: 4, Preparing: 5}
		So(tracker.finish(start, "a", id, outcome{load: &load}), ShouldBeTrue)
		load.Preparing = 0
		after := start.Add(DefaultLimits().ReportLag)
		So(tracker.applyReport(after, "a", "http://a", load), ShouldBeTrue)
		state := tracker.snapshot(after, 1, viewOf("i1", 4), nil).Engines[0]
		So(state.StoreNext, ShouldBeTrue)
		So(state.Copy, ShouldBeNil)
		So(state.RetryAt, ShouldHappenAfter, after)
	})
}
