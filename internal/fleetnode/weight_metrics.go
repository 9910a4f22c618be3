package fleetnode

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/covelink/covelink/internal/weightorder"
)

// loadStats exports the state of weight loads at each scrape. It exports no loads, and no series by model or service, while this process does not
// coordinate.
type loadStats struct {
	stats                             func() weightorder.Stats
	engines, upToDate, loads, windows *prometheus.Desc
}

func newLoadStats(stats func() weightorder.Stats) *loadStats {
	describe := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc(prometheus.BuildFQName(namespace, "", name), help, labels, nil)
	}
	return &loadStats{
		stats:    stats,
		engines:  describe("model_engines", "Engines that keep a model up to date.", "model"),
		upToDate: describe("model_engines_up_to_date", "Engines of those that hold the model's newest weight version.", "model"),
		loads:    describe("weight_loads", "Loads of weights in progress."),
		windows:  describe("weight_load_window", "Loads of weights that may run at once in a service.", "service"),
	}
}

// Describe implements prometheus.Collector.
func (l *loadStats) Describe(out chan<- *prometheus.Desc) {
	out <- l.engines
	out <- l.upToDate
	out <- l.loads
	out <- l.windows
}

// Collect implements prometheus.Collector.
func (l *loadStats) Collect(out chan<- prometheus.Metric) {
	stats := l.stats()
	export := func(desc *prometheus.Desc, value int, labels ...string) {
		out <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, float64(value), labels...)
	}
	for model, engines := range stats.Engines {
		export(l.engines, engines, model)
		export(l.upToDate, stats.UpToDate[model], model)
	}
	export(l.loads, stats.Loads)
	for service, window := range stats.Windows {
		export(l.windows, window, service)
	}
}
