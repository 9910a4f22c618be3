package dispatch

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	v1 "github.com/covelink/covelink/api/v1"
)

// Values of the reason label, besides the rejection reasons of the queue.
const (
	reasonDraining     = "draining"
	reasonNotServing   = "not_serving"
	reasonPoolNotFound = "pool"
	reasonDeadline     = "deadline"
	reasonCancelled    = "cancelled"
	reasonNoEngine     = "no_engine"
	reasonInvalid      = "invalid"
	reasonChecksum     = "broken"
	reasonEngineLost   = "lost"
	reasonBudget       = "retry_budget"
)

// String returns the name of the class in metrics and logs.
func (c Class) String() string {
	if c == ClassInteractive {
		return "interactive"
	}
	return "rollout"
}

// EngineObservation is the Manager's own state of one engine, as opposed to its entry in the view.
type EngineObservation struct {
	Name     string
	InFlight int
	Version  int64
	// Usable is false while the engine gets no new requests because of failures or refusals.
	Usable bool
}

// Observations is a snapshot of the state of a Manager.
type Observations struct {
	InFlightInteractive int
	InFlightRollout     int
	QueuedInteractive   int
	QueuedRollout       int
	// QueuedTokens is the expected number of tokens of the queued tasks.
	QueuedTokens int64
	Engines      []EngineObservation
}

// Observations returns a snapshot of the current state.
func (m *Manager) Observations() Observations {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.params.Now()
	observations := Observations{
		InFlightInteractive: m.core.inFlight[ClassInteractive],
		InFlightRollout:     m.core.inFlight[ClassRollout],
		QueuedInteractive:   m.core.queue.Len(true),
		QueuedRollout:       m.core.queue.Len(false),
		QueuedTokens:        m.core.queue.Tokens(),
	}
	for index, state := range m.core.snapshot.States {
		observations.Engines = append(observations.Engines, EngineObservation{
			Name:     m.core.snapshot.View.Engines[index].Name,
			InFlight: state.InFlight,
			Version:  state.Version,
			Usable:   state.Usable(now),
		})
	}
	return observations
}

type metrics struct {
	attempts  *prometheus.CounterVec
	refusals  *prometheus.CounterVec
	durations *prometheus.HistogramVec
	waits     *prometheus.HistogramVec
}

func newMetrics(m *Manager, registerer prometheus.Registerer) *metrics {
	buckets := prometheus.ExponentialBuckets(0.001, 2, 20)
	created := &metrics{
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "covelink_dispatch_attempts_total", Help: "Attempts on engines by outcome.",
		}, []string{"outcome"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "covelink_dispatch_refusals_total", Help: "Tasks that did not complete by reason.",
		}, []string{"reason"}),
		durations: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "covelink_dispatch_duration_seconds", Help: "Time from arrival to result.", Buckets: buckets,
		}, []string{"class", "outcome"}),
		waits: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "covelink_dispatch_wait_seconds", Help: "Time from arrival in the queue to placement.", Buckets: buckets,
		}, []string{"class"}),
	}
	if registerer != nil {
		registerer.MustRegister(created.attempts, created.refusals, created.durations, created.waits)
		registerer.MustRegister(gauges(m)...)
	}
	return created
}

func gauges(m *Manager) []prometheus.Collector {
	return []prometheus.Collector{
		gauge("covelink_dispatch_in_flight", "Tasks on engines.", ClassInteractive,
			func() float64 { return float64(m.readLocked(func() int { return m.core.inFlight[ClassInteractive] })) }),
		gauge("covelink_dispatch_in_flight", "Tasks on engines.", ClassRollout,
			func() float64 { return float64(m.readLocked(func() int { return m.core.inFlight[ClassRollout] })) }),
		gauge("covelink_dispatch_queue_length", "Tasks that wait.", ClassInteractive,
			func() float64 { return float64(m.readLocked(func() int { return m.core.queue.Len(true) })) }),
		gauge("covelink_dispatch_queue_length", "Tasks that wait.", ClassRollout,
			func() float64 { return float64(m.readLocked(func() int { return m.core.queue.Len(false) })) }),
	}
}

func gauge(name, help string, class Class, read func() float64) prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: name, Help: help, ConstLabels: prometheus.Labels{"class": class.String()},
	}, read)
}

func (m *Manager) readLocked(read func() int) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return read()
}

func (m *metrics) recordAttempt(outcome v1.Outcome) {
	m.attempts.WithLabelValues(string(outcome)).Inc()
}

func (m *metrics) recordRefusal(reason string) { m.refusals.WithLabelValues(reason).Inc() }

func (m *metrics) recordWait(class Class, wait time.Duration) {
	m.waits.WithLabelValues(class.String()).Observe(wait.Seconds())
}

func (m *metrics) recordResult(class Class, outcome v1.Outcome, duration time.Duration) {
	m.durations.WithLabelValues(class.String(), string(outcome)).Observe(duration.Seconds())
}
