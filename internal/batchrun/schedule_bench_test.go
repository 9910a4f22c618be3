package batchrun

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/covelink/covelink/internal/batch"
	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/routing"
)

// BenchmarkSchedulingPass measures one scheduling pass that chooses an engine for 1,000 items, with 610 engines in 8 zones.
func BenchmarkSchedulingPass(b *testing.B) {
	for _, c := range []struct {
		name    string
		allowed []string
	}{{"no_bound", nil}, {"residency", []string{"region-0"}}} {
		b.Run(c.name, func(b *testing.B) {
			state := fleet.NewState()
			regions := make(map[string]string)
			var engines []*fleet.Engine
			for i := range 610 {
				zone := fmt.Sprintf("zone-%d", i%8)
				regions[zone] = fmt.Sprintf("region-%d", i%2)
				engines = append(engines, &fleet.Engine{ID: fmt.Sprintf("engine-%03d", i), Service: "pool", Zone: zone, Slots: 6, Ready: true})
			}
			state.SetTopology(fleet.NewTopology(regions))
			state.SetEngineList(engines)
			route := routing.Route{Host: "h", Prefix: "/", Kind: routing.KindBatch, Targets: []routing.Target{{Service: "pool", Weight: 1}}, AllowedRegions: c.allowed}
			state.SetRoutes(routing.NewTable(1, []routing.Route{route}, []routing.Service{{Name: "pool"}}, routing.Limits{}))
			matched := state.View().Routes.Match("h", "/")
			runner := New(Params{State: state, Logger: log.NewNopLogger()})
			runner.engines, runner.now = make(map[string]*engineRecord), time.Now
			var items []*item
			for i := range 1000 {
				items = append(items, &item{Item: batch.Item{ID: fmt.Sprint(i)}, job: &job{Job: batch.Job{Model: fmt.Sprint("model-", i%3), Tenant: "t"}}})
			}
			b.ReportAllocs()
			for b.Loop() {
				pass := runner.newSchedulingPass(state.View())
				for _, it := range items {
					if chosen, _ := pass.choose(matched, it, 0); chosen == nil {
						b.Fatal("no engine is permitted")
					}
				}
			}
		})
	}
}
