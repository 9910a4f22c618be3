package membership

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	changes prometheus.Counter
	failed  prometheus.Counter
	dropped prometheus.Counter
}

func newMetrics(registerer prometheus.Registerer, m *Manager) *metrics {
	created := &metrics{
		changes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "covelink_membership_changes_total", Help: "Changes of the list of live nodes."}),
		failed: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "covelink_membership_failed_messages_total", Help: "Messages that were not answered."}),
		dropped: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "covelink_membership_dropped_messages_total", Help: "Messages not sent because too many were under way."}),
	}
	if registerer == nil {
		return created
	}
	registerer.MustRegister(created.changes, created.failed, created.dropped,
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "covelink_membership_nodes",
			Help: "Live nodes known: all of the zone and a few of each other zone.",
		}, func() float64 { return float64(len(m.Members())) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "covelink_membership_health_score",
			Help: "How much the node doubts itself; 0 is healthy, and timeouts are widened by one plus it.",
		}, func() float64 { return float64(m.health()) }),
	)
	return created
}

func (m *Manager) health() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.node.Health()
}
