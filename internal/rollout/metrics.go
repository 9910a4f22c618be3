package rollout

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Observer is told what the owner does, for metrics.
type Observer interface {
	Commit()
	HandOver()
	Tombstone()
	Rerun(reason Reason)
	// Wasted counts tokens that were produced and not used.
	Wasted(tokens int)
	// BatchComplete reports the time from a batch's opening, or the owner's start, to its last commit.
	BatchComplete(elapsed time.Duration)
}

// Metrics holds the Prometheus metrics of the batch owners of a node. It implements Observer.
type Metrics struct {
	commits      prometheus.Counter
	handOvers    prometheus.Counter
	tombstones   prometheus.Counter
	reruns       *prometheus.CounterVec
	wastedTokens prometheus.Counter
	batchTime    prometheus.Histogram
	commitTime   prometheus.Histogram
}

// NewMetrics registers the metrics; a nil registerer registers none.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Namespace: "covelink", Subsystem: "rollout", Name: name, Help: help})
	}
	histogram := func(name, help string, start float64) prometheus.Histogram {
		return prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: "covelink", Subsystem: "rollout", Name: name, Help: help,
			Buckets: prometheus.ExponentialBuckets(start, 2, 16),
		})
	}
	m := &Metrics{
		commits:      counter("samples_committed_total", "Samples committed."),
		handOvers:    counter("hand_overs_total", "Positions given to samples."),
		tombstones:   counter("tombstones_total", "Committed samples withdrawn before acknowledgement."),
		wastedTokens: counter("wasted_tokens_total", "Tokens produced and not used."),
		reruns: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "covelink", Subsystem: "rollout", Name: "reruns_total", Help: "Samples run again, by reason.",
		}, []string{"reason"}),
		batchTime:  histogram("batch_seconds", "Time from a batch's opening to its last commit.", 0.1),
		commitTime: histogram("commit_seconds", "Time to make a group of entries durable.", 0.0001),
	}
	if registerer != nil {
		registerer.MustRegister(m.commits, m.handOvers, m.tombstones, m.wastedTokens, m.reruns, m.batchTime, m.commitTime)
	}
	return m
}

// Commit implements Observer.
func (m *Metrics) Commit() { m.commits.Inc() }

// HandOver implements Observer.
func (m *Metrics) HandOver() { m.handOvers.Inc() }

// Tombstone implements Observer.
func (m *Metrics) Tombstone() { m.tombstones.Inc() }

// Rerun implements Observer.
func (m *Metrics) Rerun(reason Reason) { m.reruns.WithLabelValues(string(reason)).Inc() }

// Wasted implements Observer.
func (m *Metrics) Wasted(tokens int) { m.wastedTokens.Add(float64(max(tokens, 0))) }

// BatchComplete implements Observer.
func (m *Metrics) BatchComplete(elapsed time.Duration) { m.batchTime.Observe(elapsed.Seconds()) }
