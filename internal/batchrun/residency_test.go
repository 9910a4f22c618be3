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

// runRegionScenario runs a scenario with a coordinator in region north, engines in south, and routes without region restrictions at first.
func runRegionScenario(t *testing.T, name string, scenario func(h *workerHarness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		h := &workerHarness{harness: newHarness(routing.Route{}), workerZone: "s"}
		h.stop()
		h.zone = "n"
		h.state.SetTopology(fleet.NewTopology(map[string]string{"n": "north", "s": "south"}))
		h.startTerm(1)
		defer func() { h.stop() }()
		Convey(name, t, func() { scenario(h) })
	})
}

// restrictRegions sets the allowed regions of the items' route and of the judges' route.
func (h *workerHarness) restrictRegions(items, judges []string) {
	old := h.state.View().Routes
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
	h.state.SetRoutes(routing.NewTable(old.Version+1, routes, []routing.Service{{Name: "pool"}, {Name: "judges"}}, routing.Limits{}))
}

// listEngines lists engines in region south.
func (h *workerHarness) listEngines() {
	h.state.SetEngineList([]*fleet.Engine{
		{ID: "a", Service: "pool", Zone: "s", Slots: 8, Ready: true, Versions: map[string]int64{model: 1}},
		{ID: "j", Service: "judges", Zone: "s", Slots: 8, Ready: true},
	})
}

// shouldRunInSouth checks that the three items of job j do not run while the only worker is in north, and that a worker in south runs them.
func (h *workerHarness) shouldRunInSouth() {
	h.listEngines()
	h.workerZone = "n"
	defer h.startWorker("north")()
	So(h.results("j", 5*time.Second), ShouldBeEmpty)
	So(h.engines.count(), ShouldEqual, 0)
	h.workerZone = "s"
	defer h.startWorker("south")()
	h.shouldBeComplete(h.results("j", 5*time.Second), 3)
}

func TestResidencyOfRuns(t *testing.T) {
	south := []string{"south"}
	runRegionScenario(t, "Items that this process may not run wait for a worker that may; workers elsewhere do not receive them", func(h *workerHarness) {
		h.state.SetEngineList(nil)
		h.submit("j", 3)
		h.restrictRegions(south, nil)
		h.shouldRunInSouth()
		So(len(h.engines.executionsOf("j-0")), ShouldEqual, 1)
	})
	runRegionScenario(t, "The reward's route restricts which worker executes the run, like the item's route", func(h *workerHarness) {
		h.state.SetEngineList(nil)
		h.submit("j", 3)
		h.restrictRegions(nil, south)
		h.shouldRunInSouth()
	})
	runRegionScenario(t, "An aborted reward call is made by a worker in an allowed region, not by this process", func(h *workerHarness) {
		h.state.SetEngineList(nil)
		h.submit("j", 1)
		h.restrictRegions(south, nil)
		h.listEngines()
		h.engines.setBehavior("j", engineBehavior{hangs: true})
		stop := h.startWorker("south")
		So(h.results("j", 2*time.Second), ShouldBeEmpty)
		calls := len(h.engines.executionsOf("reward-j-0"))
		So(calls, ShouldBeGreaterThan, 0)
		stop()
		h.engines.setBehavior("j", engineBehavior{})
		So(h.results("j", 5*time.Second), ShouldBeEmpty)
		So(len(h.engines.executionsOf("reward-j-0")), ShouldEqual, calls)
		defer h.startWorker("south again")()
		h.shouldBeComplete(h.results("j", 5*time.Second), 1)
		So(len(h.engines.executionsOf("reward-j-0")), ShouldEqual, calls+1)
		So(len(h.engines.executionsOf("j-0")), ShouldEqual, 1)
	})
	runRegionScenario(t, "A job whose reward calls may not be in this region is refused", func(h *workerHarness) {
		h.restrictRegions(nil, south)
		So(h.runner.Submit(context.Background(), newJob("j", 2)), ShouldEqual, batch.ErrExcluded)
		withoutReward := newJob("k", 1)
		withoutReward.Items[0].Reward = nil
		So(h.runner.Submit(context.Background(), withoutReward), ShouldBeNil)
	})
	runRegionScenario(t, "No job is accepted before the route table is known, because its allowed regions are unknown", func(h *workerHarness) {
		h.stop()
		h.state.Reset()
		h.startTerm(2)
		So(h.runner.Submit(context.Background(), newJob("j", 2)), ShouldEqual, batch.ErrRefused)
	})
}
