package batchrun

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/covelink/covelink/internal/batch"
	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/placement"
	"github.com/covelink/covelink/internal/routing"
)

// newSubsetRunner returns a runner, and the route of a pool of engines of which the last newer ones hold version 2 of model-0.
func newSubsetRunner(engines, newer int) (*Runner, *routing.Route) {
	state := fleet.NewState()
	var listed []*fleet.Engine
	for i := range engines {
		version := int64(1)
		if i >= engines-newer {
			version = 2
		}
		listed = append(listed, &fleet.Engine{ID: fmt.Sprintf("engine-%05d", i), Service: "pool", Zone: "z", Slots: 6, Ready: true, Versions: map[string]int64{"model-0": version}})
	}
	state.SetEngineList(listed)
	route := routing.Route{Host: "h", Prefix: "/", Kind: routing.KindBatch, Targets: []routing.Target{{Service: "pool", Weight: 1}}}
	state.SetRoutes(routing.NewTable(1, []routing.Route{route}, []routing.Service{{Name: "pool"}}, routing.Limits{}))
	runner := New(Params{State: state, Logger: log.NewNopLogger()})
	runner.engines, runner.now = make(map[string]*engineRecord), time.Now
	return runner, state.View().Routes.Match("h", "/")
}

func itemOf(model string, minVersion int64) *item {
	return &item{Item: batch.Item{ID: "i"}, job: &job{Job: batch.Job{Model: model, MinVersion: minVersion}}}
}

// Guards against scheduling passes whose cost grows with the number of engines.
func TestSchedulingPassUsesSubset(t *testing.T) {
	scanned := func(engines int) int {
		runner, route := newSubsetRunner(engines, 0)
		pass := runner.newSchedulingPass(runner.State.View())
		if chosen, _ := pass.choose(route, itemOf("model-0", 1), 0); chosen == nil {
			t.Fatal("no engine was chosen")
		}
		return len(runner.engines)
	}
	for _, engines := range []int{2000, 10000} {
		if seen := scanned(engines); seen > 2*minSubsetSize {
			t.Errorf("a pass scanned %d of %d engines", seen, engines)
		}
	}
	if seen := scanned(300); seen != 300 {
		t.Errorf("a pass scanned %d of 300 engines", seen)
	}
}

// Guards against items waiting because no engine in the subset can take them.
func TestSubsetWidens(t *testing.T) {
	runner, route := newSubsetRunner(3000, 20)
	view := runner.State.View()
	chosen, _ := runner.newSchedulingPass(view).choose(route, itemOf("model-0", 2), 0)
	if chosen == nil || chosen.version != 2 {
		t.Fatalf("chose %v although 20 engines hold version 2", chosen)
	}
	for _, engine := range view.Ready("pool") {
		if _, focused := runner.subsets.byPool[poolKey{service: "pool", model: "model-0"}].ids[engine.ID]; focused {
			runner.recordOf(engine.ID).running = 6
		}
	}
	if chosen, _ := runner.newSchedulingPass(view).choose(route, itemOf("model-0", 1), 0); chosen == nil {
		t.Error("an item waits although engines outside the subset have free slots")
	}
}

// Guards against ignoring an engine with newly loaded weights until the engine list shows them.
func TestSubsetAddsLoadedEngines(t *testing.T) {
	runner, route := newSubsetRunner(3000, 0)
	view := runner.State.View()
	pass := runner.newSchedulingPass(view)
	pass.pool("pool", "model-0", placement.Residency{})
	var outside string
	for _, engine := range view.Ready("pool") {
		if _, focused := runner.subsets.byPool[poolKey{service: "pool", model: "model-0"}].ids[engine.ID]; !focused {
			outside = engine.ID
		}
	}
	runner.recordOf(outside).setVersion("model-0", 2, runner.now())
	runner.addToSubsets(outside, "model-0")
	if chosen, _ := runner.newSchedulingPass(view).choose(route, itemOf("model-0", 2), 0); chosen == nil || chosen.engine.ID != outside {
		t.Errorf("chose %v although %s has loaded version 2", chosen, outside)
	}
}

// BenchmarkSchedulingPassBySize measures one scheduling pass for one item of each of eight models.
func BenchmarkSchedulingPassBySize(b *testing.B) {
	for _, engines := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			runner, route := newSubsetRunner(engines, 0)
			b.ReportAllocs()
			for b.Loop() {
				pass := runner.newSchedulingPass(runner.State.View())
				for model := range 8 {
					pass.choose(route, itemOf(fmt.Sprint("model-", model), 0), 0)
				}
			}
		})
	}
}
