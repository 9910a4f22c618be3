package configsync

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	revision prometheus.Gauge
	acked    prometheus.Gauge
	serving  prometheus.Gauge
	pushes   *prometheus.CounterVec
}

// newMetrics registers the metrics of a Manager. A nil registerer leaves them unregistered.
func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		revision: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "covelink_configsync_revision",
			Help: "Store revision that the node applies.",
		}),
		acked: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "covelink_configsync_zone_acked_revision",
			Help: "Store revision that the node's zone has acknowledged.",
		}),
		serving: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "covelink_configsync_serving",
			Help: "1 while the node may take new work.",
		}),
		pushes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "covelink_configsync_pushes_total",
			Help: "States pushed to nodes of the zone, by result.",
		}, []string{"result"}),
	}
	if registerer != nil {
		registerer.MustRegister(m.revision, m.acked, m.serving, m.pushes)
	}
	return m
}

func (m *metrics) observe(zone string, state State, serving bool) {
	m.revision.Set(float64(state.Revision))
	m.acked.Set(float64(state.Acks[zone]))
	m.serving.Set(0)
	if serving {
		m.serving.Set(1)
	}
}

func (m *metrics) pushed(err error) {
	result := "ok"
	if err != nil {
		result = "failed"
	}
	m.pushes.WithLabelValues(result).Inc()
}
