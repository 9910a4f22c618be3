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
	gauge := func(name, help string) *prometheus.Desc {
		return prometheus.NewDesc(prometheus.BuildFQName(namespace, "", name), help, []string{"service"}, nil)
	}
	return &demandMetrics{
		offered:      gauge("engine_slots_offered", "Engine slots that the submitted batch items of a service occupy on average."),
		needed:       gauge("engines_needed", "Engines of a service that the offered load requires, without limits."),
		loadingShare: gauge("engine_loading_ratio", "Share of time that engines of a service spend on loads of weights."),
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
		gauge := func(description *prometheus.Desc, value float64) {
			values <- prometheus.MustNewConstMetric(description, prometheus.GaugeValue, value, demand.Service)
		}
		gauge(m.offered, demand.Offered)
		gauge(m.needed, float64(demand.Needed))
		gauge(m.loadingShare, demand.LoadingShare)
	}
}
