package coldstart

import (
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/routing"
)

// scene is a Warmth with a clock and a state that a test sets.
type scene struct {
	*Warmth
	clock time.Time
}

func newScene() *scene {
	s := &scene{clock: time.Unix(1000, 0)}
	s.Warmth = NewWarmth(fleet.NewState(), func() time.Time { return s.clock }, log.NewNopLogger())
	s.state.SetRoutes(routing.NewTable(1, nil, []routing.Service{{Name: "s", ColdStart: 4 * time.Second, ColdRate: 3}, {Name: "always-warm"}}, routing.Limits{}))
	return s
}

func listed(id string, rest time.Duration) *fleet.Engine {
	return &fleet.Engine{ID: id, Service: "s", Zone: "z", Ready: true, ColdRemaining: rest}
}

// list shows engines and returns whether each is cold.
func (s *scene) list(engines ...*fleet.Engine) map[string]bool {
	s.state.SetEngineList(engines)
	return s.cold(engines...)
}

func (s *scene) cold(engines ...*fleet.Engine) map[string]bool {
	found := make(map[string]bool)
	for _, engine := range engines {
		found[engine.ID] = s.Cold(engine)
	}
	return found
}

func (s *scene) pass(length time.Duration) { s.clock = s.clock.Add(length) }

func TestWarmth(t *testing.T) {
	Convey("Engines of the first list are judged by their entries, whose age is not known", t, func() {
		s := newScene()
		a, b := listed("a", 0), listed("b", time.Second)
		So(s.list(a, b), ShouldResemble, map[string]bool{"a": false, "b": true})
		s.pass(time.Second)
		So(s.cold(a, b), ShouldResemble, map[string]bool{"a": false, "b": true})
		s.pass(entryMargin)
		So(s.cold(a, b), ShouldResemble, map[string]bool{"a": false, "b": false})
	})
	Convey("An engine that appears among others is cold, also before its entry tells it", t, func() {
		s := newScene()
		a, b := listed("a", 0), listed("b", 0)
		s.list(a)
		So(s.list(a, b), ShouldResemble, map[string]bool{"a": false, "b": true})
		s.pass(3900 * time.Millisecond)
		So(s.Cold(b), ShouldBeTrue)
		s.pass(100 * time.Millisecond)
		So(s.Cold(b), ShouldBeFalse)
	})
	Convey("Its entry ends that sooner once it has told that it was cold", t, func() {
		s := newScene()
		s.list(listed("a", 0))
		So(s.list(listed("a", 0), listed("b", 900*time.Millisecond))["b"], ShouldBeTrue)
		s.pass(500 * time.Millisecond)
		So(s.list(listed("a", 0), listed("b", 0))["b"], ShouldBeFalse)
	})
	Convey("An engine may turn cold again; an entry that did not change counts once", t, func() {
		s := newScene()
		a := listed("a", 0)
		s.list(a)
		So(s.list(listed("a", 2*time.Second))["a"], ShouldBeTrue)
		s.pass(2100 * time.Millisecond)
		So(s.list(listed("a", 2*time.Second))["a"], ShouldBeTrue)
		s.pass(100 * time.Millisecond)
		So(s.list(listed("a", 2*time.Second))["a"], ShouldBeFalse)
		So(s.list(listed("a", 3*time.Second))["a"], ShouldBeTrue)
	})
	Convey("Engines of a zone that was evacuated are cold, unless an entry from after that says otherwise", t, func() {
		s := newScene()
		s.list(listed("a", time.Second))
		s.pass(5 * time.Second)
		s.state.SetEvacuations(fleet.NewEvacuations(5, map[string]int64{"z": 5}))
		So(s.Cold(listed("a", time.Second)), ShouldBeFalse)
		s.state.SetEvacuations(fleet.NewEvacuations(6, nil))
		So(s.Cold(listed("a", time.Second)), ShouldBeTrue)
		s.pass(500 * time.Millisecond)
		// An entry that was on its way before.
		So(s.list(listed("a", 0))["a"], ShouldBeTrue)
		So(s.list(listed("a", 300*time.Millisecond))["a"], ShouldBeTrue)
		So(s.list(listed("a", 0))["a"], ShouldBeFalse)
	})
	Convey("A process that follows the deployment anew does not take all engines for started", t, func() {
		s := newScene()
		s.list(listed("a", 0))
		s.pass(time.Hour)
		s.state.Reset()
		s.Relist()
		s.state.SetRoutes(routing.NewTable(1, nil, []routing.Service{{Name: "s", ColdStart: 4 * time.Second, ColdRate: 3}}, routing.Limits{}))
		So(s.list(listed("a", 0), listed("b", 0)), ShouldResemble, map[string]bool{"a": false, "b": false})
	})
	Convey("A short list does not make the engines that it lacks start again", t, func() {
		s := newScene()
		s.list(listed("a", 0), listed("b", 0))
		s.list(listed("a", 0))
		s.pass(time.Second)
		So(s.list(listed("a", 0), listed("b", 0))["b"], ShouldBeFalse)
	})
	Convey("Engines of services without a cold rate are never cold, and nothing is kept of them", t, func() {
		s := newScene()
		engine := &fleet.Engine{ID: "w", Service: "always-warm", Ready: true, ColdRemaining: time.Hour}
		So(s.list(engine)["w"], ShouldBeFalse)
		So(s.engines, ShouldBeEmpty)
		So(s.Rate("always-warm"), ShouldEqual, 0)
		So(s.Rate("s"), ShouldEqual, 3)
	})
}
