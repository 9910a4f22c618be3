package fleetnode

import (
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/covelink/covelink/internal/boottime"
	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/forward"
	"github.com/covelink/covelink/internal/routing"
	"github.com/covelink/covelink/platform"
)

func TestLoadMetrics(t *testing.T) {
	state := fleet.NewState()
	route := routing.Route{Host: "h", Prefix: "/", Kind: routing.KindIdempotent, Targets: []routing.Target{{Service: "s", Weight: 1}}, MaxAttempts: 1}
	state.SetRoutes(routing.NewTable(1, []routing.Route{route}, nil, routing.Limits{}))
	// Nothing listens on port 0.
	state.SetEngineList([]*fleet.Engine{{ID: "e", Service: "s", Address: "127.0.0.1:0", Slots: 1, Ready: true}})
	forwarder := forward.New(state, platform.NewEngines(), forward.NewPicker(time.Now), log.NewNopLogger())
	registry := prometheus.NewRegistry()
	registerLoadMetrics(registry, forwarder)
	if result := forwarder.Do(t.Context(), state.View().Routes.Match("h", "/1"), &forward.Request{ID: "r"}, boottime.Now().Add(time.Second)); result.Outcome != forward.NotRun {
		t.Fatalf("ended %+v", result)
	}
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, family := range families {
		if family.GetName() == namespace+"_service_load" {
			if load := family.GetMetric()[0].GetGauge().GetValue(); load != float64(forward.LoadDown) {
				t.Errorf("load %v of a service that cannot be reached", load)
			}
			return
		}
	}
	t.Error("no load of the service")
}
