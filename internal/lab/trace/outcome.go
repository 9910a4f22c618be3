package trace

import (
	"cmp"
	"slices"
	"time"
)

// Outcome is what a replay showed.
type Outcome struct {
	// Violations are the breaches of every promise that the replay checked.
	Violations []Violation
	// Unchecked names the promises that this replay could not check.
	Unchecked []string
	Requests  map[string]RequestOutcome
	// Loads maps the ID of a load to its requests.
	Loads    map[string]LoadOutcome
	Samples  map[string]SampleOutcome
	Batches  map[string]BatchOutcome
	Trainers map[string]TrainerOutcome
	Writes   map[string]WriteOutcome
}

// Violation is one breach of a promise.
type Violation struct {
	Promise string
	// Subject names the sample, request, execution, node or write.
	Subject string
	Detail  string
}

// RequestOutcome is what became of a request. Where an ID was asked several times, it is that of the last call; Attempts
// counts over all of them.
type RequestOutcome struct {
	Outcome  string
	Attempts int64
	Elapsed  time.Duration
}

// LoadOutcome counts the requests of a load.
type LoadOutcome struct {
	Completed, NotRun, Unknown int64
	// Latencies are the times to completion of the completed requests.
	Latencies []time.Duration
}

// P99 returns the 99th percentile of the latencies by nearest rank; 0 for none.
func (l LoadOutcome) P99() time.Duration {
	if len(l.Latencies) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(l.Latencies))
	rank := (len(sorted)*99 + 99) / 100
	return sorted[rank-1]
}

// SampleOutcome is what a trainer got of a sample.
type SampleOutcome struct {
	// Delivered counts the distinct positions at which the trainer got it.
	Delivered int64
	// Staleness is the greatest at hand-over.
	Staleness int64
}

// BatchOutcome is what a trainer got of a batch.
type BatchOutcome struct {
	// Delivered counts the distinct samples.
	Delivered int64
	// Complete says that every sample was handed over, Elapsed after the submission.
	Complete bool
	Elapsed  time.Duration
}

// TrainerOutcome is how a trainer fared.
type TrainerOutcome struct {
	Idle time.Duration
	// Staleness is the greatest at hand-over.
	Staleness int64
}

// WriteOutcome is what became of a write.
type WriteOutcome struct {
	Result string
	// Elapsed is the time from the write to its acceptance, for an accepted write.
	Elapsed time.Duration
	// Missing names the zones that had not acknowledged a pending write at the end.
	Missing []string
}

// Count returns the number of violations of a promise, or of all.
func (o *Outcome) Count(promise string) int64 {
	count := int64(0)
	for _, violation := range o.Violations {
		if promise == AllPromises || violation.Promise == promise {
			count++
		}
	}
	return count
}

// Sort puts the violations into a fixed order.
func (o *Outcome) Sort() {
	slices.SortStableFunc(o.Violations, func(a, b Violation) int {
		return cmp.Or(
			cmp.Compare(slices.Index(Promises, a.Promise), slices.Index(Promises, b.Promise)),
			cmp.Compare(a.Subject, b.Subject),
			cmp.Compare(a.Detail, b.Detail),
		)
	})
}
