package batchrun_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/batch"
	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/routing"
)

// playRegions plays a scene with a coordinator in the north, engines in the south, and routes that are not bound at first.
func playRegions(t *testing.T, name string, scene func(w *deskWorld)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := &deskWorld{world: newWorld(routing.Route{}), workerZone: "s"}
		w.stop()
		w.zone = "n"
		w.state.SetTopology(fleet.NewTopology(map[string]string{"n": "north", "s": "south"}))
		w.lead(1)
		defer func() { w.stop() }()
		Convey(name, t, func() { scene(w) })
	})
}

// bind sets the allowed regions of the items' route and of the judges' route.
func (w *deskWorld) bind(items, judges []string) {
	old := w.state.View().Routes
	var routes []routing.Route
	for _, route := range old.Routes() {
		bound := *route
		if bound.Kind == routing.KindBatch {
			bound.AllowedRegions = items
		} else {
			bound.AllowedRegions = judges
		}
		routes = append(routes, bound)
	}
	w.state.SetRoutes(routing.NewTable(old.Version+1, routes, []routing.Service{{Name: "pool"}, {Name: "judges"}}, routing.Limits{}))
}

// listEngines lists the engines, in the south.
func (w *deskWorld) listEngines() {
	w.state.SetEngineList([]*fleet.Engine{
		{ID: "a", Service: "pool", Zone: "s", Slots: 8, Ready: true, Versions: map[string]int64{model: 1}},
		{ID: "j", Service: "judges", Zone: "s", Slots: 8, Ready: true},
	})
}

// shouldRunInSouth checks that the three items of job j do not run while the only worker is in the north, and that a worker in the south runs them.
func (w *deskWorld) shouldRunInSouth() {
	w.listEngines()
	w.workerZone = "n"
	defer w.work("north")()
	So(w.results("j", 5*time.Second), ShouldBeEmpty)
	So(w.engines.count(), ShouldEqual, 0)
	w.workerZone = "s"
	defer w.work("south")()
	w.shouldBeWhole(w.results("j", 5*time.Second), 3)
}

func TestResidencyOfRuns(t *testing.T) {
	south := []string{"south"}
	playRegions(t, "Items that this process may not run wait for a worker that may, and no worker elsewhere gets them", func(w *deskWorld) {
		w.state.SetEngineList(nil)
		w.submit("j", 3)
		w.bind(south, nil)
		w.shouldRunInSouth()
		So(len(w.engines.of("j-0")), ShouldEqual, 1)
	})
	playRegions(t, "A reward's route binds who carries the run out as the item's does", func(w *deskWorld) {
		w.state.SetEngineList(nil)
		w.submit("j", 3)
		w.bind(nil, south)
		w.shouldRunInSouth()
	})
	playRegions(t, "A reward call that was broken off is made by a worker that may, not by this process", func(w *deskWorld) {
		w.state.SetEngineList(nil)
		w.submit("j", 1)
		w.bind(south, nil)
		w.listEngines()
		w.engines.set("j", behaviour{hangs: true})
		stop := w.work("south")
		So(w.results("j", 2*time.Second), ShouldBeEmpty)
		calls := len(w.engines.of("reward-j-0"))
		So(calls, ShouldBeGreaterThan, 0)
		stop()
		w.engines.set("j", behaviour{})
		So(w.results("j", 5*time.Second), ShouldBeEmpty)
		So(len(w.engines.of("reward-j-0")), ShouldEqual, calls)
		defer w.work("south again")()
		w.shouldBeWhole(w.results("j", 5*time.Second), 1)
		So(len(w.engines.of("reward-j-0")), ShouldEqual, calls+1)
		So(len(w.engines.of("j-0")), ShouldEqual, 1)
	})
	playRegions(t, "A job whose reward calls may not be in this region is refused", func(w *deskWorld) {
		w.bind(nil, south)
		So(w.runner.Submit(context.Background(), newJob("j", 2)), ShouldEqual, batch.ErrExcluded)
		withoutReward := newJob("k", 1)
		withoutReward.Items[0].Reward = nil
		So(w.runner.Submit(context.Background(), withoutReward), ShouldBeNil)
	})
	playRegions(t, "Before the route table is known no job is taken, as its bounds are not known", func(w *deskWorld) {
		w.stop()
		w.state.Reset()
		w.lead(2)
		So(w.runner.Submit(context.Background(), newJob("j", 2)), ShouldEqual, batch.ErrRefused)
	})
}
