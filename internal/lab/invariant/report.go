package invariant

import "fmt"

// Promise names one promise that a run can break.
type Promise string

// The promises.
const (
	// PromiseWhole: a sample or an answer is the whole output of its own request.
	PromiseWhole Promise = "samples not whole"
	// PromiseOnce: no sample is handed over twice.
	PromiseOnce Promise = "duplicates"
	// PromiseDelivered: every sample of an awaited batch is handed over.
	PromiseDelivered Promise = "missing"
	// PromiseFresh: no sample is older than its trainer's staleness bound.
	PromiseFresh Promise = "stale"
	// PromiseVersions: every segment names the version and the engine that produced it.
	PromiseVersions Promise = "wrong versions"
	// PromiseZones: nothing runs outside the permitted zones.
	PromiseZones Promise = "zone violations"
	// PromiseNotRun: a request refused as not run was not executed.
	PromiseNotRun Promise = "not-run lies"
	// PromiseAtMostOnce: a request that is not repeatable runs at most once.
	PromiseAtMostOnce Promise = "double executions"
	// PromiseOwnAnswer: a client that is told of completion has the whole answer to its own request.
	PromiseOwnAnswer Promise = "cut-off or mixed-up answers"
	// PromiseEngine: the engines themselves emitted what their weights say. A breach is a fault of the stand-ins.
	PromiseEngine Promise = "engine faults"
)

// Promises lists every promise in the order of a report.
var Promises = []Promise{
	PromiseWhole, PromiseOnce, PromiseDelivered, PromiseFresh, PromiseVersions,
	PromiseZones, PromiseNotRun, PromiseAtMostOnce, PromiseOwnAnswer, PromiseEngine,
}

// Violation is one breach of a promise.
type Violation struct {
	Promise Promise
	// Subject names the sample, request or execution.
	Subject string
	Detail  string
}

// String implements fmt.Stringer.
func (v Violation) String() string { return fmt.Sprintf("%s: %s: %s", v.Promise, v.Subject, v.Detail) }

// Report is the verdict on a run.
type Report struct {
	// Whole counts the distinct samples that were handed over whole, in time and named truly.
	Whole int
	// Expected counts the samples of awaited batches.
	Expected int
	// Answers, NotRun and Unknown count the interactive calls by outcome.
	Answers, NotRun, Unknown int
	Executions               int
	Violations               []Violation
}

// Count returns the number of violations of one promise.
func (r *Report) Count(promise Promise) int {
	count := 0
	for _, violation := range r.Violations {
		if violation.Promise == promise {
			count++
		}
	}
	return count
}

// Kept reports whether no promise was broken.
func (r *Report) Kept() bool { return len(r.Violations) == 0 }

func (r *Report) add(promise Promise, subject, format string, args ...any) {
	r.Violations = append(r.Violations, Violation{Promise: promise, Subject: subject, Detail: fmt.Sprintf(format, args...)})
}
