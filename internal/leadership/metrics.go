package leadership

import "github.com/prometheus/client_golang/prometheus"

// metrics counts term changes and messages between electors.
type metrics struct {
	acquired, lost, sent, dropped, failed prometheus.Counter
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Namespace: "covelink", Subsystem: "lease", Name: name, Help: help})
	}
	m := &metrics{
		acquired: counter("acquired_total", "Leases acquired by this node."),
		lost:     counter("lost_total", "Leases of this node that lapsed or were found below a higher token."),
		sent:     counter("messages_sent_total", "Messages sent to other nodes."),
		dropped:  counter("messages_dropped_total", "Messages not sent: unknown node or too many on their way."),
		failed:   counter("messages_failed_total", "Messages without an answer."),
	}
	if registerer != nil {
		registerer.MustRegister(m.acquired, m.lost, m.sent, m.dropped, m.failed)
	}
	return m
}
