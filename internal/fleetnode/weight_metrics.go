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
	return &loadStats{
		stats:    stats,
		engines:  newGaugeDesc("model_engines", "Engines that keep a model up to date.", "model"),
		upToDate: newGaugeDesc("model_engines_up_to_date", "Engines of those that hold the model's newest weight version.", "model"),
		loads:    newGaugeDesc("weight_loads", "Loads of weights in progress."),
		windows:  newGaugeDesc("weight_load_window", "Loads of weights that may run at once in a service.", "service"),
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
	for model, engines := range stats.Engines {
		sendGauge(out, l.engines, float64(engines), model)
		sendGauge(out, l.upToDate, float64(stats.UpToDate[model]), model)
	}
	sendGauge(out, l.loads, float64(stats.Loads))
	for service, window := range stats.Windows {
		sendGauge(out, l.windows, float64(window), service)
	}
}
