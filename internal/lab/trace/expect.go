package trace

import "time"

// AllPromises is the Promise of an expectation that covers every promise.
const AllPromises = "all"

// The promises that an expectation can name beside AllPromises.
const (
	PromiseWhole       = "whole"         // a sample is the whole answer to its own request
	PromiseOnce        = "once"          // no sample is handed over twice
	PromiseDelivered   = "delivered"     // every sample of a batch is handed over
	PromiseFresh       = "fresh"         // no sample is older than the staleness bound
	PromiseVersions    = "versions"      // every segment names the version that produced it
	PromiseZones       = "zones"         // nothing runs outside the permitted zones
	PromiseNotRun      = "not-run"       // a request refused as not run was not executed
	PromiseAtMostOnce  = "at-most-once"  // a request that is not repeatable runs at most once
	PromiseOwnAnswer   = "own-answer"    // a client has the whole answer to its own request
	PromiseEngine      = "engine"        // the engine models emit what their weights say
	PromiseLeaving     = "leaving"       // an engine that is leaving gets nothing new after a few seconds
	PromisePlannedStop = "planned-stop"  // a planned stop cuts off nothing in flight
	PromiseInForce     = "in-force"      // no node serves by a revision older than one that its zone acknowledged
	PromiseNoRevert    = "no-revert"     // no node's revision and no acceptance goes back
	PromiseNoLostWrite = "no-lost-write" // no accepted write is overwritten unseen
)

// Promises lists the promises in the order of reports.
var Promises = []string{
	PromiseWhole, PromiseOnce, PromiseDelivered, PromiseFresh, PromiseVersions, PromiseZones, PromiseNotRun,
	PromiseAtMostOnce, PromiseOwnAnswer, PromiseEngine, PromiseLeaving, PromisePlannedStop, PromiseInForce,
	PromiseNoRevert, PromiseNoLostWrite,
}

// The outcomes of requests.
const (
	OutcomeCompleted = "completed"
	OutcomeNotRun    = "not_run"
	OutcomeUnknown   = "unknown"
)

// The results of writes.
const (
	ResultAccepted = "accepted" // in force in every zone of its scope
	ResultPending  = "pending"  // stored, and not in force everywhere at the end of the run
	ResultConflict = "conflict" // refused since the object had changed; nothing was stored
	ResultRefused  = "refused"  // refused for another reason; nothing was stored
	ResultUnknown  = "unknown"  // the operator could not be told whether it was stored
)

// Range bounds a number; a nil end is open.
type Range struct {
	Min *int64 `json:"min,omitempty"`
	Max *int64 `json:"max,omitempty"`
}

// Holds reports whether the number is within the bounds.
func (r *Range) Holds(number int64) bool {
	return r == nil || (r.Min == nil || number >= *r.Min) && (r.Max == nil || number <= *r.Max)
}

// DurationRange bounds a length of time; a nil end is open.
type DurationRange struct {
	Min *Duration `json:"min,omitempty"`
	Max *Duration `json:"max,omitempty"`
}

// Holds reports whether the length is within the bounds.
func (r *DurationRange) Holds(length time.Duration) bool {
	return r == nil || (r.Min == nil || length >= time.Duration(*r.Min)) && (r.Max == nil || length <= time.Duration(*r.Max))
}

// Expect is a stated outcome of one subject: exactly one of the first six fields is set, and at least one of the bounds
// that apply to it.
type Expect struct {
	Type string `json:"type"`

	// Promise names a promise; Violations bounds its breaches and means none where it is left out.
	Promise string `json:"promise,omitempty"`
	// Request is the ID of a request; Load that of a stream of requests.
	Request string `json:"request,omitempty"`
	Load    string `json:"load,omitempty"`
	// Sample is TRAINER/BATCH/INDEX; Batch is TRAINER/BATCH.
	Sample  string `json:"sample,omitempty"`
	Batch   string `json:"batch,omitempty"`
	Trainer string `json:"trainer,omitempty"`
	// Write is the ID of a write.
	Write string `json:"write,omitempty"`

	// Violations bounds the breaches of a promise.
	Violations *Range `json:"violations,omitempty"`
	// Outcomes are those that a request may have.
	Outcomes []string `json:"outcomes,omitempty"`
	// Attempts bounds how often a request was written to an engine.
	Attempts *Range `json:"attempts,omitempty"`
	// Elapsed bounds the time to a request's outcome, to a batch's last hand-over, or to a write's being in force.
	Elapsed *DurationRange `json:"elapsed,omitempty"`
	// Completed, NotRun and Unknown bound the requests of a load by outcome.
	Completed *Range `json:"completed,omitempty"`
	NotRun    *Range `json:"notRun,omitempty"`
	Unknown   *Range `json:"unknown,omitempty"`
	// P99 bounds the 99th percentile of the time to completion of a load's completed requests.
	P99 *DurationRange `json:"p99,omitempty"`
	// Delivered bounds how many distinct samples of a batch, or how many times a sample, reached the trainer.
	Delivered *Range `json:"delivered,omitempty"`
	// Staleness bounds the staleness at hand-over: of a sample, or the greatest of a trainer.
	Staleness *Range `json:"staleness,omitempty"`
	// Idle bounds the time that a trainer waited with nothing to learn from.
	Idle *DurationRange `json:"idle,omitempty"`
	// Result is a write's result.
	Result string `json:"result,omitempty"`
}

// subject is what an expectation is about.
type subject struct {
	field string
	name  string
	// bounds are the fields that apply.
	bounds []string
}

// subjects returns the subjects that are set: one, in a sound expectation.
func (e *Expect) subjects() []subject {
	all := []subject{
		{"promise", e.Promise, []string{"violations"}},
		{"request", e.Request, []string{"outcomes", "attempts", "elapsed"}},
		{"load", e.Load, []string{"completed", "notRun", "unknown", "p99"}},
		{"sample", e.Sample, []string{"delivered", "staleness"}},
		{"batch", e.Batch, []string{"delivered", "elapsed"}},
		{"trainer", e.Trainer, []string{"staleness", "idle"}},
		{"write", e.Write, []string{"result", "elapsed"}},
	}
	var set []subject
	for _, s := range all {
		if s.name != "" {
			set = append(set, s)
		}
	}
	return set
}

// bounds returns the names of the bounds that are set, in order.
func (e *Expect) bounds() []string {
	var set []string
	add := func(name string, present bool) {
		if present {
			set = append(set, name)
		}
	}
	add("violations", e.Violations != nil)
	add("outcomes", e.Outcomes != nil)
	add("attempts", e.Attempts != nil)
	add("elapsed", e.Elapsed != nil)
	add("completed", e.Completed != nil)
	add("notRun", e.NotRun != nil)
	add("unknown", e.Unknown != nil)
	add("p99", e.P99 != nil)
	add("delivered", e.Delivered != nil)
	add("staleness", e.Staleness != nil)
	add("idle", e.Idle != nil)
	add("result", e.Result != "")
	return set
}
