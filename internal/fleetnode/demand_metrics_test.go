package fleetnode

import (
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/covelink/covelink/internal/enginescale"
)

// Guards against gauges that show each other's values, or that stay when this process no longer coordinates.
func TestDemandMetrics(t *testing.T) {
	demands := []enginescale.ServiceDemand{{Service: "pool", Offered: 84, LoadingShare: 0.25, Needed: 47}}
	registry := prometheus.NewRegistry()
	registry.MustRegister(newDemandMetrics(func() []enginescale.ServiceDemand { return demands }))
	gather := func() map[string]float64 {
		families, err := registry.Gather()
		if err != nil {
			t.Fatal(err)
		}
		values := make(map[string]float64)
		for _, family := range families {
			values[strings.TrimPrefix(family.GetName(), namespace+"_")] = family.GetMetric()[0].GetGauge().GetValue()
		}
		return values
	}
	values := gather()
	for name, want := range map[string]float64{"engine_slots_offered": 84, "engine_loading_ratio": 0.25, "engines_needed": 47} {
		if values[name] != want {
			t.Errorf("%s is %v, want %v", name, values[name], want)
		}
	}
	demands = nil
	if values := gather(); len(values) != 0 {
		t.Errorf("values %v without a known load", values)
	}
}
