package forward_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/forward"
	"github.com/covelink/covelink/internal/placement"
)

const (
	benchEngines = 610
	benchZones   = 8
)

// benchState returns the state of a deployment of 610 engines in 8 zones of 2 regions.
func benchState(evacuated ...string) *fleet.State {
	regions := make(map[string]string, benchZones)
	for i := range benchZones {
		regions[fmt.Sprintf("zone-%d", i)] = fmt.Sprintf("region-%d", i%2)
	}
	state := fleet.NewState()
	state.SetTopology(fleet.NewTopology(regions))
	var engines []*fleet.Engine
	for i := range benchEngines {
		zone := fmt.Sprintf("zone-%d", i%benchZones)
		engines = append(engines, &fleet.Engine{ID: fmt.Sprintf("engine-%03d", i), Service: "pool", Zone: zone, Slots: 6, Ready: true})
	}
	state.SetEngineList(engines)
	since := make(map[string]int64, len(evacuated))
	for _, zone := range evacuated {
		since[zone] = 1
	}
	state.SetEvacuations(fleet.NewEvacuations(1, since))
	return state
}

// BenchmarkSelection measures the selection of an engine for a lookup, with and without the placement filter.
func BenchmarkSelection(b *testing.B) {
	bound := placement.Residency{Route: []string{"region-0"}, Tenant: []string{"region-0", "region-1"}}
	filtered := func(residency placement.Residency) func(view *fleet.View) []*fleet.Engine {
		return func(view *fleet.View) []*fleet.Engine { return placement.NewFilter(view, residency).Engines("pool") }
	}
	for _, c := range []struct {
		name    string
		state   *fleet.State
		engines func(view *fleet.View) []*fleet.Engine
	}{
		{"unfiltered", benchState(), func(view *fleet.View) []*fleet.Engine { return view.Ready("pool") }},
		{"no_bound", benchState(), filtered(placement.Residency{})},
		{"residency", benchState(), filtered(bound)},
		{"evacuation", benchState("zone-0"), filtered(placement.Residency{})},
		{"residency_and_evacuation", benchState("zone-0"), filtered(bound)},
	} {
		b.Run("filter/"+c.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if len(c.engines(c.state.View())) == 0 {
					b.Fatal("no engine is permitted")
				}
			}
		})
		b.Run("choice/"+c.name, func(b *testing.B) {
			picker := forward.NewPicker(time.Now)
			all := func(*fleet.Engine) bool { return true }
			b.ReportAllocs()
			for b.Loop() {
				engine := picker.Acquire(c.engines(c.state.View()), all)
				picker.Release(engine, forward.VerdictServed, time.Millisecond)
			}
		})
	}
}
