package keeper

import "github.com/prometheus/client_golang/prometheus"

const (
	refusedZone = "zone"
	refusedFull = "full"
)

type metrics struct {
	logs    prometheus.Gauge
	corrupt prometheus.Counter
	refused *prometheus.CounterVec
}

// newMetrics registers the metrics; a nil registerer registers none.
func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		logs: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: "covelink", Subsystem: "keeper", Name: "logs", Help: "Ledgers that this node was asked about or keeps."}),
		corrupt: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: "covelink", Subsystem: "keeper", Name: "corrupt_total", Help: "Replicas lost for a failed check of their storage."}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "covelink", Subsystem: "keeper", Name: "refused_total", Help: "Messages refused, by reason."}, []string{"reason"}),
	}
	if registerer != nil {
		registerer.MustRegister(m.logs, m.corrupt, m.refused)
	}
	return m
}
