package fleetnode

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/covelink/covelink/internal/enginescale"
)

// demandMetrics exports the demand for engines of each service while this process coordinates. It implements prometheus.Collector.
type demandMetrics struct {
	offered, needed, loadingShare *prometheus.Desc
	demands                       func() []enginescale.ServiceDemand
}

func newDemandMetrics(demands func() []enginescale.ServiceDemand) *demandMetrics {
	return &demandMetrics{
		offered:      newGaugeDesc("engine_slots_offered", "Engine slots that the submitted batch items of a service occupy on average.", "service"),
		needed:       newGaugeDesc("engines_needed", "Engines of a service that the offered load requires, without limits.", "service"),
		loadingShare: newGaugeDesc("engine_loading_ratio", "Share of time that engines of a service spend on loads of weights.", "service"),
		demands:      demands,
	}
}

// Describe implements prometheus.Collector.
func (m *demandMetrics) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- m.offered
	descriptions <- m.needed
	descriptions <- m.loadingShare
}

// Collect implements prometheus.Collector.
func (m *demandMetrics) Collect(values chan<- prometheus.Metric) {
	for _, demand := range m.demands() {
		sendGauge(values, m.offered, demand.Offered, demand.Service)
		sendGauge(values, m.needed, float64(demand.Needed), demand.Service)
		sendGauge(values, m.loadingShare, demand.LoadingShare, demand.Service)
	}
}
