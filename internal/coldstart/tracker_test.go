package coldstart

import (
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/routing"
)

// testTracker is a Tracker with a clock and a state that a test sets.
type testTracker struct {
	*Tracker
	clock time.Time
}

func newTestTracker() *testTracker {
	s := &testTracker{clock: time.Unix(1000, 0)}
	s.Tracker = NewTracker(fleet.NewState(), func() time.Time { return s.clock }, log.NewNopLogger())
	s.state.SetRoutes(routing.NewTable(1, nil, []routing.Service{{Name: "s", ColdStart: 4 * time.Second, ColdRate: 3}, {Name: "always-warm"}}, routing.Limits{}))
	return s
}

func listed(id string, remaining time.Duration) *fleet.Engine {
	return &fleet.Engine{ID: id, Service: "s", Zone: "z", Ready: true, ColdRemaining: remaining}
}

// list sets the listed engines and returns whether each is cold.
func (s *testTracker) list(engines ...*fleet.Engine) map[string]bool {
	s.state.SetEngineList(engines)
	return s.cold(engines...)
}

func (s *testTracker) cold(engines ...*fleet.Engine) map[string]bool {
	found := make(map[string]bool)
	for _, engine := range engines {
		found[engine.ID] = s.Cold(engine)
	}
	return found
}

func (s *testTracker) advance(length time.Duration) { s.clock = s.clock.Add(length) }

func TestTracker(t *testing.T) {
	Convey("Engines of the first list are cold by their entries, whose age is unknown", t, func() {
		s := newTestTracker()
		a, b := listed("a", 0), listed("b", time.Second)
		So(s.list(a, b), ShouldResemble, map[string]bool{"a": false, "b": true})
		s.advance(time.Second)
		So(s.cold(a, b), ShouldResemble, map[string]bool{"a": false, "b": true})
		s.advance(entryMargin)
		So(s.cold(a, b), ShouldResemble, map[string]bool{"a": false, "b": false})
	})
	Convey("An engine that appears after the first list is cold even if its entry does not say so", t, func() {
		s := newTestTracker()
		a, b := listed("a", 0), listed("b", 0)
		s.list(a)
		So(s.list(a, b), ShouldResemble, map[string]bool{"a": false, "b": true})
		s.advance(3900 * time.Millisecond)
		So(s.Cold(b), ShouldBeTrue)
		s.advance(100 * time.Millisecond)
		So(s.Cold(b), ShouldBeFalse)
	})
	Convey("An entry without cold time ends that early once an entry has had cold time", t, func() {
		s := newTestTracker()
		s.list(listed("a", 0))
		So(s.list(listed("a", 0), listed("b", 900*time.Millisecond))["b"], ShouldBeTrue)
		s.advance(500 * time.Millisecond)
		So(s.list(listed("a", 0), listed("b", 0))["b"], ShouldBeFalse)
	})
	Convey("An engine may become cold again; an unchanged entry is applied once", t, func() {
		s := newTestTracker()
		a := listed("a", 0)
		s.list(a)
		So(s.list(listed("a", 2*time.Second))["a"], ShouldBeTrue)
		s.advance(2100 * time.Millisecond)
		So(s.list(listed("a", 2*time.Second))["a"], ShouldBeTrue)
		s.advance(100 * time.Millisecond)
		So(s.list(listed("a", 2*time.Second))["a"], ShouldBeFalse)
		So(s.list(listed("a", 3*time.Second))["a"], ShouldBeTrue)
	})
	Convey("Engines of a restored zone are cold unless a later entry says otherwise", t, func() {
		s := newTestTracker()
		s.list(listed("a", time.Second))
		s.advance(5 * time.Second)
		s.state.SetEvacuations(fleet.NewEvacuations(5, map[string]int64{"z": 5}))
		So(s.Cold(listed("a", time.Second)), ShouldBeFalse)
		s.state.SetEvacuations(fleet.NewEvacuations(6, nil))
		So(s.Cold(listed("a", time.Second)), ShouldBeTrue)
		s.advance(500 * time.Millisecond)
		// An entry written before the zone was restored.
		So(s.list(listed("a", 0))["a"], ShouldBeTrue)
		So(s.list(listed("a", 300*time.Millisecond))["a"], ShouldBeTrue)
		So(s.list(listed("a", 0))["a"], ShouldBeFalse)
	})
	Convey("After a gap in following the deployment, unknown engines do not count as just started", t, func() {
		s := newTestTracker()
		s.list(listed("a", 0))
		s.advance(time.Hour)
		s.state.Reset()
		s.Relist()
		s.state.SetRoutes(routing.NewTable(1, nil, []routing.Service{{Name: "s", ColdStart: 4 * time.Second, ColdRate: 3}}, routing.Limits{}))
		So(s.list(listed("a", 0), listed("b", 0)), ShouldResemble, map[string]bool{"a": false, "b": false})
	})
	Convey("Engines that are missing from one list do not count as restarted", t, func() {
		s := newTestTracker()
		s.list(listed("a", 0), listed("b", 0))
		s.list(listed("a", 0))
		s.advance(time.Second)
		So(s.list(listed("a", 0), listed("b", 0))["b"], ShouldBeFalse)
	})
	Convey("Engines of services without a cold rate are never cold and have no records", t, func() {
		s := newTestTracker()
		engine := &fleet.Engine{ID: "w", Service: "always-warm", Ready: true, ColdRemaining: time.Hour}
		So(s.list(engine)["w"], ShouldBeFalse)
		So(s.engines, ShouldBeEmpty)
		So(s.Rate("always-warm"), ShouldEqual, 0)
		So(s.Rate("s"), ShouldEqual, 3)
	})
}
