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

// newLookRunner returns a runner that leads, and the route of a pool of so many engines, of which the last newer ones hold version 2 of model-0.
func newLookRunner(engines, newer int) (*Runner, *routing.Route) {
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

func itemOf(model string, least int64) *item {
	return &item{Item: batch.Item{ID: "i"}, job: &job{Job: batch.Job{Model: model, MinVersion: least}}}
}

// A look at each of 10,000 engines for each model took 62 ms, a fifth of the coordinating process's core.
func TestLookCostsWhatItemsNeed(t *testing.T) {
	looked := func(engines int) int {
		runner, route := newLookRunner(engines, 0)
		look := runner.newLook(runner.State.View())
		if chosen, _ := look.choose(route, itemOf("model-0", 1), 0); chosen == nil {
			t.Fatal("no engine was chosen")
		}
		return len(runner.engines)
	}
	for _, engines := range []int{2000, 10000} {
		if seen := looked(engines); seen > 2*minFocus {
			t.Errorf("a look went through %d of %d engines", seen, engines)
		}
	}
	if seen := looked(300); seen != 300 {
		t.Errorf("a look went through %d of 300 engines", seen)
	}
}

// A focus must never be why an item waits.
func TestFocusIsNoReasonToWait(t *testing.T) {
	runner, route := newLookRunner(3000, 20)
	view := runner.State.View()
	chosen, _ := runner.newLook(view).choose(route, itemOf("model-0", 2), 0)
	if chosen == nil || chosen.version != 2 {
		t.Fatalf("chose %v where 20 engines hold version 2", chosen)
	}
	for _, engine := range view.Ready("pool") {
		if _, focused := runner.focus.sets[poolKey{service: "pool", model: "model-0"}].ids[engine.ID]; focused {
			runner.engine(engine.ID).running = 6
		}
	}
	if chosen, _ := runner.newLook(view).choose(route, itemOf("model-0", 1), 0); chosen == nil {
		t.Error("an item waits while engines outside the focus have room")
	}
}

// An engine that has loaded weights is chosen at once, though the list of engines does not show them yet.
func TestFocusTakesInLoadedEngines(t *testing.T) {
	runner, route := newLookRunner(3000, 0)
	view := runner.State.View()
	look := runner.newLook(view)
	look.pool("pool", "model-0", placement.Residency{})
	var outside string
	for _, engine := range view.Ready("pool") {
		if _, focused := runner.focus.sets[poolKey{service: "pool", model: "model-0"}].ids[engine.ID]; !focused {
			outside = engine.ID
		}
	}
	runner.engine(outside).noteVersion("model-0", 2, runner.now())
	runner.noteFocus(outside, "model-0")
	if chosen, _ := runner.newLook(view).choose(route, itemOf("model-0", 2), 0); chosen == nil || chosen.engine.ID != outside {
		t.Errorf("chose %v where %s has loaded version 2", chosen, outside)
	}
}

// BenchmarkLookOfSize measures one look for one item of each of eight models.
func BenchmarkLookOfSize(b *testing.B) {
	for _, engines := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			runner, route := newLookRunner(engines, 0)
			b.ReportAllocs()
			for b.Loop() {
				look := runner.newLook(runner.State.View())
				for model := range 8 {
					look.choose(route, itemOf(fmt.Sprint("model-", model), 0), 0)
				}
			}
		})
	}
}
