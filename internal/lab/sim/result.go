package sim

import (
	"time"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/lab/invariant"
)

// Result is what a simulation found out. Times are durations since the start.
type Result struct {
	Scenario string
	Policy   string
	Seed     uint64
	// End is the virtual time at the end.
	End time.Duration
	// Finished is true when every trainer had all its batches and every request its outcome before the scenario's duration.
	Finished bool
	// Trainers stand in the order of the scenario.
	Trainers []TrainerResult
	// Samples stand in the order of hand-over; a sample that was never handed over is not among them.
	Samples []SampleResult
	// Requests stand in the order of arrival.
	Requests    []RequestResult
	Interactive InteractiveResult
	// ProducedTokens counts every token that an engine produced, DeliveredTokens those of the samples learnt from and of
	// completed answers; the rest was wasted.
	ProducedTokens  int64
	DeliveredTokens int64
	// Attempts counts the requests to engines; Executions those that an engine accepted.
	Attempts   int64
	Executions int64
	// Events counts the events simulated.
	Events int64
	// Report tells whether every promise was kept, unless the scenario skips it.
	Report invariant.Report
	// History is what the report was made of, for further checks; nil where the scenario skips it.
	History *invariant.History `json:"-"`
}

// TrainerResult is what a trainer measured.
type TrainerResult struct {
	Name string
	// Idle is the time without a sample to learn from, Wall that from the first batch to the last sample learnt.
	Idle time.Duration
	Wall time.Duration
	// Batches and Samples count what was consumed, Versions what was published.
	Batches  int
	Samples  int
	Versions int
	// Staleness is the trainer's version less the oldest version of a sample, at its hand-over.
	Staleness Staleness
	// Reruns count by reason.
	RerunsStale, RerunsFailed, RerunsUnstamped int
	// Hedges counts second attempts of stragglers.
	Hedges int
	// WastedTokens were produced for the trainer and not used, as its owners counted.
	WastedTokens int
	// TakeOvers counts the owners after the first.
	TakeOvers int
}

// Staleness sums up the staleness of samples, in versions.
type Staleness struct {
	P50, P99, Max int64
	// OverBound counts the samples over the bound.
	OverBound int
}

// SampleResult is one sample as it was handed over.
type SampleResult struct {
	Trainer string
	Batch   string
	Index   int
	// At is the time of the hand-over, Opened that of the batch's submission.
	At        time.Duration
	Opened    time.Duration
	Tokens    int
	Staleness int64
	// Attempt is the number of the attempt that was committed.
	Engines []string
}

// RequestResult is one interactive request.
type RequestResult struct {
	ID          string
	Application string
	Pool        string
	Outcome     v1.Outcome
	// Code is the code of the error of a request that did not complete.
	Code    v1.ErrorCode
	Arrived time.Duration
	// FirstToken is the time of the first token, or 0 for none.
	FirstToken time.Duration
	Ended      time.Duration
	Tokens     int
	Attempts   int
	Engine     string
	// Node is the node that took the request in; empty if none did.
	Node string
}

// InteractiveResult sums up the interactive requests.
type InteractiveResult struct {
	Completed, NotRun, Unknown int
	// Latency is the time from arrival to the end of completed requests, FirstToken that to their first token.
	Latency    Percentiles
	FirstToken Percentiles
	// PerAttempts counts the requests by the number of engines they were written to.
	PerAttempts []int
}

// Percentiles sum up a set of durations.
type Percentiles struct {
	P50, P99, P999, Max time.Duration
}
