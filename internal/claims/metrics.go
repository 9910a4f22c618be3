package claims

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/covelink/covelink/internal/gateway"
)

// The values of the metric label result.
const (
	resultLabelGranted  = "granted"
	resultLabelExisting = "existing"
	resultLabelNotRun   = "not_run"
)

type metrics struct {
	claims        *prometheus.CounterVec
	seconds       prometheus.Histogram
	verdicts      *prometheus.CounterVec
	renewFailures prometheus.Counter
}

func newMetrics(registerer prometheus.Registerer, k *keeper) *metrics {
	m := &metrics{
		claims: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "covelink_claims_total", Help: "Claims of this gateway by result."}, []string{"result"}),
		seconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "covelink_claim_seconds", Help: "Time from asking the keepers to the result.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 13)}),
		verdicts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "covelink_claims_keeper_verdicts_total", Help: "Answers of this keeper to claims."}, []string{"verdict"}),
		renewFailures: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "covelink_claims_renew_failures_total", Help: "Renewals of running claims that reached no majority."}),
	}
	if registerer != nil {
		registerer.MustRegister(m.claims, m.seconds, m.verdicts, m.renewFailures,
			tableGauge("covelink_claims_table_entries", "Claims and tombstones that this keeper holds.", k,
				func() float64 { return float64(k.table.Entries()) }),
			tableGauge("covelink_claims_answer_bytes", "Size of the answers that this keeper holds.", k,
				func() float64 { return float64(k.table.AnswerBytes()) }),
			tableGauge("covelink_claims_abstaining", "1 while this keeper grants nothing because it may have forgotten claims.", k,
				func() float64 {
					if k.tableComplete {
						return 0
					}
					return 1
				}))
	}
	return m
}

// tableGauge returns a gauge that calls read with the keeper locked.
func tableGauge(name, help string, k *keeper, read func() float64) prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, func() float64 {
		k.mu.Lock()
		defer k.mu.Unlock()
		return read()
	})
}

func (m *metrics) observeClaim(result gateway.ClaimResult, err error, took time.Duration) {
	label := resultLabelNotRun
	switch {
	case err == nil && result.State == gateway.ClaimGranted:
		label = resultLabelGranted
	case err == nil:
		label = resultLabelExisting
	}
	m.claims.WithLabelValues(label).Inc()
	m.seconds.Observe(took.Seconds())
}
