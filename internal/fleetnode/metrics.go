package fleetnode

import (
	"errors"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/covelink/covelink/internal/batch"
	"github.com/covelink/covelink/internal/batchrun"
	"github.com/covelink/covelink/internal/coldstart"
	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/forward"
	"github.com/covelink/covelink/internal/intake"
	"github.com/covelink/covelink/internal/metastore"
	"github.com/covelink/covelink/internal/placement"
	"github.com/covelink/covelink/internal/quarantine"
	"github.com/covelink/covelink/internal/routing"
	"github.com/covelink/covelink/internal/telemetry"
)

const namespace = "covelink"

// metrics are the counters and histograms of a process.
type metrics struct {
	requests     *prometheus.CounterVec
	requestTime  *prometheus.HistogramVec
	engines      prometheus.Counter
	storeCalls   *prometheus.CounterVec
	tally        *callTally
	storeTime    *prometheus.HistogramVec
	itemAttempts *prometheus.CounterVec
	itemTime     prometheus.Histogram
	handOvers    *prometheus.CounterVec
	checkpoints  prometheus.Counter
	jobTime      prometheus.Histogram
	// textsRestored and eventsRestored count texts that were not made again, and their events.
	textsRestored, eventsRestored prometheus.Counter
	// checkpointFailures counts writes.
	checkpointFailures prometheus.Counter
	results            *prometheus.CounterVec
	commitTime         prometheus.Histogram
	orders             *prometheus.CounterVec
	orderTime          prometheus.Histogram
	leadingTerms       prometheus.Counter
	configRefused      prometheus.Counter
	configVersion      prometheus.GaugeFunc
	// usageReports counts windows, usageLost requests, and dutyCalls calls to the platform.
	usageReports *prometheus.CounterVec
	usageLost    prometheus.Counter
	dutyCalls    *prometheus.CounterVec
	// attemptsDisconnected counts the attempts whose connection broke, by the evidence of an engine crash.
	attemptsDisconnected *prometheus.CounterVec
	// guarded counts decisions on requests under which engines have ended.
	guarded *prometheus.CounterVec
	// trials counts answers to requests for a trial run of a held request.
	trials *prometheus.CounterVec
	// refused counts requests that no engine may run now, by reason.
	refused *prometheus.CounterVec
	// coldAnswers counts attempts that needed a grant for a cold engine, by answer; only granted ones were sent.
	coldAnswers *prometheus.CounterVec
	// callerLimits counts the limits that callers met, by limit.
	callerLimits *prometheus.CounterVec
	// answersRefused counts answers that could not be used, by sender and reason.
	answersRefused *prometheus.CounterVec
}

func newMetrics(registry *prometheus.Registry, state *fleet.State, lines *telemetry.AsyncWriter) *metrics {
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
	}
	histogram := func(name, help string, labels ...string) *prometheus.HistogramVec {
		buckets := prometheus.ExponentialBuckets(0.001, 2, 15)
		return prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: buckets}, labels)
	}
	m := &metrics{
		requests:     counter("requests_total", "Requests that were forwarded, by kind of route and outcome.", "kind", "outcome"),
		requestTime:  histogram("request_duration_seconds", "Time from a request's arrival to its answer.", "kind"),
		tally:        newCallTally(),
		storeCalls:   counter("store_calls_total", "Calls to the metadata store.", "operation", "kind", "result"),
		storeTime:    histogram("store_call_duration_seconds", "Time of calls to the metadata store; watches are left out.", "operation"),
		itemAttempts: counter("item_attempts_total", "Runs of batch items at engines, by their end.", "verdict"),
		handOvers:    counter("run_handovers_total", "Batch items and runs of them that go on otherwise than they began, by reason.", "reason"),
		results:      counter("results_listed_total", "Results of batch items that were listed.", "state"),
		orders:       counter("engine_moves_total", "Engines that were moved to a weight version.", "result"),
	}
	m.usageReports = counter("usage_reports_total", "Windows of time whose use was reported, by whether that was in time.", "result")
	m.usageLost = prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "usage_requests_lost_total", Help: "Requests that were told after the counts of their window were fixed."})
	m.dutyCalls = counter("duty_calls_total", "Calls to the deployment's platform, by duty and result.", "duty", "result")
	m.attemptsDisconnected = counter("attempts_broken_total", "Attempts at engines whose connection broke, by whether the engine had ended.", "evidence")
	m.guarded = counter("quarantine_decisions_total", "Decisions on requests under which engines have ended.", "decision")
	m.trials = counter("quarantine_trials_total", "Answers to requests for a trial run of a held request.", "answer")
	m.refused = counter("requests_refused_total", "Callers' requests that were refused because they may run at no engine, by reason.", "reason")
	m.coldAnswers = counter("cold_requests_total", "Attempts of requests that only cold engines could run, by what became of them; all but the granted ones were not sent.", "answer")
	m.callerLimits = counter("caller_limits_total", "Callers' connections that were closed and requests that were refused because of a limit, by limit.", "reason")
	m.answersRefused = counter("answers_refused_total", "Answers of other processes that could not be used, by sender and reason.", "sender", "reason")
	m.engines = prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "request_engines_total", Help: "Engines that requests were sent to."})
	m.textsRestored = prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "texts_restored_total", Help: "Batch items that go on after a text which an ended job or an earlier process has left."})
	m.eventsRestored = prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "text_events_restored_total", Help: "Events of such texts, which engines need not make again."})
	m.checkpoints = prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "text_checkpoints_total", Help: "Unfinished texts that were kept on this process's disk."})
	m.checkpointFailures = prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "text_checkpoint_failures_total", Help: "Writes of unfinished texts to this process's disk that failed."})
	m.leadingTerms = prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "terms_total", Help: "Terms in which this process coordinated."})
	m.configRefused = prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "config_refused_total", Help: "Configurations that could not be used."})
	jobTime := histogram("job_duration_seconds", "Time from the acceptance of a batch job, or the start of the term, to its end.")
	itemTime := histogram("item_attempt_duration_seconds", "Time of a run of a batch item at an engine.")
	commitTime := histogram("commit_duration_seconds", "Time to keep results of a batch job.")
	orderTime := histogram("engine_move_duration_seconds", "Time to move an engine to a weight version.")
	m.jobTime = jobTime.WithLabelValues().(prometheus.Histogram)
	m.itemTime = itemTime.WithLabelValues().(prometheus.Histogram)
	m.commitTime = commitTime.WithLabelValues().(prometheus.Histogram)
	m.orderTime = orderTime.WithLabelValues().(prometheus.Histogram)
	m.configVersion = prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: "config_version", Help: "Version of the configuration in force; 0 for none."}, func() float64 {
		if routes := state.View().Routes; routes != nil {
			return float64(routes.Version)
		}
		return 0
	})
	registry.MustRegister(m.requests, m.requestTime, m.engines, m.storeCalls, m.storeTime, m.itemAttempts, itemTime, m.handOvers, jobTime, m.textsRestored, m.eventsRestored, m.checkpoints, m.checkpointFailures, m.results,
		commitTime, m.orders, orderTime, m.leadingTerms, m.configRefused, m.configVersion, m.usageReports, m.usageLost, m.dutyCalls, m.attemptsDisconnected, m.guarded, m.trials, m.refused,
		m.coldAnswers, m.callerLimits, m.answersRefused,
		newLinesDropped(lines))
	return m
}

// RequestEnded implements forward.Observer.
func (m *metrics) RequestEnded(kind routing.Kind, outcome forward.Outcome, engines int, took time.Duration) {
	m.requests.WithLabelValues(kind.String(), outcome.String()).Inc()
	m.requestTime.WithLabelValues(kind.String()).Observe(took.Seconds())
	m.engines.Add(float64(engines))
}

// callerLimitMet counts a limit that a caller met.
func (m *metrics) callerLimitMet(reason intake.Reason) {
	m.callerLimits.WithLabelValues(string(reason)).Inc()
}

// AttemptEnded implements batchrun.Observer.
func (m *metrics) AttemptEnded(verdict string, took time.Duration) {
	m.itemAttempts.WithLabelValues(verdict).Inc()
	m.itemTime.Observe(took.Seconds())
}

// HandedOver implements batchrun.Observer.
func (m *metrics) HandedOver(reason batchrun.HandOver) {
	m.handOvers.WithLabelValues(string(reason)).Inc()
}

// Listed implements batchrun.Observer.
func (m *metrics) Listed(state batch.State) {
	name := "done"
	if state == batch.Dead {
		name = "dead"
	}
	m.results.WithLabelValues(name).Inc()
}

// JobEnded implements batchrun.Observer.
func (m *metrics) JobEnded(after time.Duration) { m.jobTime.Observe(after.Seconds()) }

// Restored implements batchrun.Observer.
func (m *metrics) Restored(events int) {
	m.textsRestored.Inc()
	m.eventsRestored.Add(float64(events))
}

// Checkpointed implements batchrun.Observer.
func (m *metrics) Checkpointed(texts int, err error) {
	if err != nil {
		m.checkpointFailures.Inc()
		return
	}
	m.checkpoints.Add(float64(texts))
}

// Committed implements batchrun.Observer.
func (m *metrics) Committed(took time.Duration) { m.commitTime.Observe(took.Seconds()) }

// engineMoved counts the end of a move to a weight version.
func (m *metrics) engineMoved(err error, took time.Duration) {
	m.orders.WithLabelValues(resultOf(err)).Inc()
	m.orderTime.Observe(took.Seconds())
}

// storeCalled counts a call to the metadata store.
func (m *metrics) storeCalled(operation, kind string, err error, took time.Duration) {
	kind = kindFamily(kind)
	m.tally.add(operation, kind)
	m.storeCalls.WithLabelValues(operation, kind, resultOf(err)).Inc()
	if operation != "watch" {
		m.storeTime.WithLabelValues(operation).Observe(took.Seconds())
	}
}

// Reported implements usage.Observer.
func (m *metrics) Reported(_ time.Duration, inTime bool) {
	result := "in_time"
	if !inTime {
		result = "late"
	}
	m.usageReports.WithLabelValues(result).Inc()
}

// CountsLost implements usage.Observer.
func (m *metrics) CountsLost(requests int64) { m.usageLost.Add(float64(requests)) }

// dutyCalled counts a call to the deployment's platform.
func (m *metrics) dutyCalled(subject string, err error, _ time.Duration) {
	name, _, _ := strings.Cut(subject, "/")
	m.dutyCalls.WithLabelValues(name, resultOf(err)).Inc()
}

// attemptDisconnected counts an attempt whose connection broke.
func (m *metrics) attemptDisconnected(evidence quarantine.Evidence) {
	m.attemptsDisconnected.WithLabelValues(evidence.String()).Inc()
}

// guardDecided counts a decision on a request that crashed engines.
func (m *metrics) guardDecided(decision quarantine.Decision) {
	m.guarded.WithLabelValues(string(decision)).Inc()
}

// trialAnswered counts an answer to a request for a trial run.
func (m *metrics) trialAnswered(answer quarantine.TrialAnswer) {
	m.trials.WithLabelValues(string(answer)).Inc()
}

// requestRefused counts a caller's request that was not run, if the placement filter is the reason.
func (m *metrics) requestRefused(reason forward.Reason) {
	switch where := placement.Reason(reason); where {
	case placement.EngineDraining, placement.ZoneEvacuated, placement.EvacuationsUnknown, placement.RegionNotAllowed, placement.NoRegionAllowed:
		m.refused.WithLabelValues(strings.ReplaceAll(string(where), " ", "_")).Inc()
	}
}

// grantAnswered counts an attempt that needed a grant for a cold engine.
func (m *metrics) grantAnswered(answer coldstart.Answer) {
	m.coldAnswers.WithLabelValues(string(answer)).Inc()
}

// resultOf names how a call ended.
func resultOf(err error) string {
	var conflict *metastore.ConflictError
	switch {
	case err == nil:
		return "ok"
	case errors.As(err, &conflict):
		return "conflict"
	case errors.Is(err, metastore.ErrNotFound):
		return "not_found"
	case errors.Is(err, metastore.ErrCompacted):
		return "compacted"
	case errors.Is(err, metastore.ErrNotDone):
		return "not_done"
	case errors.Is(err, metastore.ErrUnknown):
		return "unknown"
	}
	return "failed"
}

// newLinesDropped counts the lines of the log that were not written.
func newLinesDropped(lines *telemetry.AsyncWriter) prometheus.CounterFunc {
	options := prometheus.CounterOpts{Namespace: namespace, Name: "log_lines_dropped_total", Help: "Lines of the log that were not written."}
	return prometheus.NewCounterFunc(options, func() float64 { return float64(lines.Dropped()) })
}

// newGaugeDesc describes a gauge whose values are read at each scrape.
func newGaugeDesc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc(prometheus.BuildFQName(namespace, "", name), help, labels, nil)
}

// sendGauge sends a value of a gauge with the values of its labels to a scrape.
func sendGauge(metrics chan<- prometheus.Metric, gauge *prometheus.Desc, value float64, labels ...string) {
	metrics <- prometheus.MustNewConstMetric(gauge, prometheus.GaugeValue, value, labels...)
}

// registerGauge tells a count that is read when it is asked for.
func registerGauge(registry *prometheus.Registry, name, help string, count func() int) {
	options := prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}
	registry.MustRegister(prometheus.NewGaugeFunc(options, func() float64 { return float64(count()) }))
}

// registerCount exports a count that only grows, read at each scrape.
func registerCount(registry *prometheus.Registry, name, help string, count func() int64) {
	options := prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}
	registry.MustRegister(prometheus.NewCounterFunc(options, func() float64 { return float64(count()) }))
}
