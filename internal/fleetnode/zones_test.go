package fleetnode

import (
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/forward"
	"github.com/covelink/covelink/internal/placement"
	"github.com/covelink/covelink/internal/telemetry"
)

// valuesOf returns the values of a metric by the values of its labels, joined.
func valuesOf(registry *prometheus.Registry, name string) map[string]float64 {
	families, err := registry.Gather()
	So(err, ShouldBeNil)
	values := make(map[string]float64)
	for _, family := range families {
		if family.GetName() != name {
			continue
		}
		for _, metric := range family.GetMetric() {
			labels := ""
			for _, label := range metric.GetLabel() {
				labels += "/" + label.GetValue()
			}
			values[labels] = metric.GetGauge().GetValue() + metric.GetCounter().GetValue()
		}
	}
	return values
}

func TestZoneMetrics(t *testing.T) {
	Convey("Zones are told by name, those that the settings do not name together", t, func() {
		state := fleet.NewState()
		state.SetTopology(fleet.NewTopology(map[string]string{"zone-a": "north"}))
		state.SetEngineList([]*fleet.Engine{
			{ID: "1", Zone: "zone-a", Ready: true, ColdRemaining: time.Second}, {ID: "2", Zone: "zone-a"},
			{ID: "3", Zone: "unnamed-1", Ready: true}, {ID: "4", Zone: "unnamed-2", Ready: true},
		})
		state.SetEvacuations(fleet.NewEvacuations(12, map[string]int64{"zone-a": 9}))
		registry := prometheus.NewRegistry()
		registry.MustRegister(newZoneMetrics(state))
		So(valuesOf(registry, "covelink_zone_engines"), ShouldResemble, map[string]float64{
			"/ready/zone-a": 1, "/cold/zone-a": 1, "/leaving/zone-a": 1, "/ready/other": 2, "/cold/other": 0, "/leaving/other": 0,
		})
		So(valuesOf(registry, "covelink_zones_evacuated"), ShouldResemble, map[string]float64{"": 1})
		So(valuesOf(registry, "covelink_evacuations_revision"), ShouldResemble, map[string]float64{"": 12})
	})
}

func TestRefusedRequests(t *testing.T) {
	Convey("Refusals are counted by reason where they are because of where the request may run, and only then", t, func() {
		registry := prometheus.NewRegistry()
		observed := newMetrics(registry, fleet.NewState(), &telemetry.AsyncWriter{})
		observed.requestRefused(forward.Reason(placement.ZoneEvacuated))
		observed.requestRefused(forward.Reason(placement.ZoneEvacuated))
		observed.requestRefused(forward.Reason(placement.NoRegionAllowed))
		observed.requestRefused(forward.ReasonEnginesFull)
		So(valuesOf(registry, "covelink_requests_refused_total"), ShouldResemble, map[string]float64{"/zone_evacuated": 2, "/no_region_allowed": 1})
	})
}
