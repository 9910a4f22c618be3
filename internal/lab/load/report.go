package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	v1 "github.com/covelink/covelink/api/v1"
)

const (
	// maxLatency is the highest latency that the histograms tell apart.
	maxLatency = 10 * time.Minute
	// latencyDigits is the number of significant digits of the histograms.
	latencyDigits = 3
)

// Report is what a load measured. Latencies count from the moment a request was due, in microseconds.
type Report struct {
	Sent, Completed, NotRun, Unknown int
	// NotRepeatable counts the requests sent that were marked as not repeatable, and NotRepeatableCompleted those of
	// them that were completed.
	NotRepeatable, NotRepeatableCompleted int
	// Shed counts arrivals that were not sent because too many requests were in flight.
	Shed int
	// FirstToken and Whole are the latencies of completed requests to their first token and to their end.
	FirstToken, Whole *hdrhistogram.Histogram
}

// meter collects a report from several goroutines.
type meter struct {
	mu     sync.Mutex
	report Report
}

func newMeter() *meter {
	histogram := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(1, maxLatency.Microseconds(), latencyDigits)
	}
	return &meter{report: Report{FirstToken: histogram(), Whole: histogram()}}
}

func (m *meter) shed() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.report.Shed++
}

func (m *meter) add(question question, answer *answer, due time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.report.Sent++
	m.countNotRepeatable(question, answer)
	switch answer.outcome {
	case v1.OutcomeCompleted:
		m.report.Completed++
		record(m.report.FirstToken, answer.firstToken.Sub(due))
		record(m.report.Whole, answer.ended.Sub(due))
	case v1.OutcomeNotRun:
		m.report.NotRun++
	default:
		m.report.Unknown++
	}
}

func (m *meter) countNotRepeatable(question question, answer *answer) {
	if !question.notRepeatable {
		return
	}
	m.report.NotRepeatable++
	if answer.outcome == v1.OutcomeCompleted {
		m.report.NotRepeatableCompleted++
	}
}

func record(histogram *hdrhistogram.Histogram, latency time.Duration) {
	_ = histogram.RecordValue(max(1, min(latency, maxLatency).Microseconds()))
}

func (m *meter) result() Report {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.report
}
