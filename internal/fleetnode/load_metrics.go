package fleetnode

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/covelink/covelink/internal/forward"
)

// loadMetrics count what became of requests under the load of services, and export how this process judges each service. They implement
// forward.LoadObserver and prometheus.Collector.
type loadMetrics struct {
	retries, retriesDenied, refusedAtOnce *prometheus.CounterVec
	waits                                 *prometheus.HistogramVec
	load, retryRatio, waiting             *prometheus.Desc
	services                              func() []forward.ServiceStatus
}

// registerLoadMetrics registers the metrics of a forwarder's services and makes the forwarder report to them.
func registerLoadMetrics(registry *prometheus.Registry, forwarder *forward.Forwarder) {
	counter := func(name, help string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, []string{"service"})
	}
	m := &loadMetrics{
		retries:       counter("retries_total", "Sends of requests beyond their first."),
		retriesDenied: counter("retries_denied_total", "Times that a request asked to be sent again and the budget of retries was used."),
		refusedAtOnce: counter("requests_refused_at_once_total", "Requests that were refused because their turn would have come too late."),
		waits: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "service_wait_seconds", Help: "Time that requests waited for a service's room.", Buckets: prometheus.ExponentialBuckets(0.001, 2, 13),
		}, []string{"service"}),
		load:       newGaugeDesc("service_load", "What this process takes a service for: 0 well, 1 full, 2 down.", "service"),
		retryRatio: newGaugeDesc("service_retry_ratio", "Retries paid by the share, for each first send, of the last seconds.", "service"),
		waiting:    newGaugeDesc("service_waiting", "Requests that wait for a service's room.", "service"),
		services:   forwarder.Services,
	}
	registry.MustRegister(m.retries, m.retriesDenied, m.refusedAtOnce, m.waits, m)
	forwarder.LoadObserver = m
}

// Retried implements forward.LoadObserver.
func (m *loadMetrics) Retried(service string) { m.retries.WithLabelValues(service).Inc() }

// RetryDenied implements forward.LoadObserver.
func (m *loadMetrics) RetryDenied(service string) { m.retriesDenied.WithLabelValues(service).Inc() }

// Waited implements forward.LoadObserver.
func (m *loadMetrics) Waited(service string, took time.Duration) {
	m.waits.WithLabelValues(service).Observe(took.Seconds())
}

// RefusedAtOnce implements forward.LoadObserver.
func (m *loadMetrics) RefusedAtOnce(service string) { m.refusedAtOnce.WithLabelValues(service).Inc() }

// Describe implements prometheus.Collector.
func (m *loadMetrics) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- m.load
	descriptions <- m.retryRatio
	descriptions <- m.waiting
}

// Collect implements prometheus.Collector.
func (m *loadMetrics) Collect(values chan<- prometheus.Metric) {
	for _, status := range m.services() {
		sendGauge(values, m.load, float64(status.Load), status.Service)
		sendGauge(values, m.retryRatio, status.RetryRatio, status.Service)
		sendGauge(values, m.waiting, float64(status.Waiting), status.Service)
	}
}
