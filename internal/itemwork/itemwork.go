// Package itemwork dispatches runs of batch items from the coordinator to workers, which send them to engines.
//
// A Dispatcher runs in the coordinator and assigns runs to workers. A Worker runs in each gateway, receives assignments by long poll, carries them
// out with an Executor, and reports the engines' output in batches.
//
// Guarantees: orders reach a worker in sequence and each takes effect at most once. A worker obeys only the highest term that it has seen. Run
// output survives a coordinator failover: a worker reports everything it holds to the next term, and keeps ended runs for endedRunTTL. A worker
// makes no reward call later than permissionTTL after its last contact with the coordinator. A run is never sent to an engine that the placement
// filter refuses by the worker's own view.
package itemwork

import (
	"fmt"
	"time"

	"github.com/covelink/covelink/internal/batch"
	"github.com/covelink/covelink/internal/placement"
)

// RunID identifies a run of an item by the term that started it and its number in that term.
type RunID struct {
	Term   int64
	Number uint64
}

// String returns the ID as it appears in logs.
func (id RunID) String() string { return fmt.Sprintf("%d.%d", id.Term, id.Number) }

// Bounds are the weight versions that a job accepts for a text.
type Bounds struct {
	// MinVersion is the oldest version that may produce an event.
	MinVersion int64
	// SingleVersion is true if a single version must produce all events.
	SingleVersion bool
}

// Target is the engine of a run.
type Target struct {
	ID string
	// Name is fleet.Engine.Name.
	Name    string
	Service string
	Address string
	Zone    string
	// Version is the weight version that the engine is expected to serve.
	Version int64
}

// Assignment is a run for a worker: the stream, unless the text is already complete, followed by the reward call.
type Assignment struct {
	Run  RunID
	Job  string
	Item string
	Host string
	Path string
	// Tenant is the owner of the item; empty if it has none.
	Tenant string
	// Residency is where the item's data may be processed by the coordinator's tables, which may be newer than the worker's.
	Residency placement.Residency
	Header    map[string]string
	Body      []byte
	Engine    Target
	Bounds    Bounds
	// TimeLeft is the engine's time limit; zero sets no bound.
	TimeLeft time.Duration
	// LeaveBy is the moment of this process's boottime by which the run must be sent, else it is refused; zero sets no bound. It is sent to the
	// worker as Order.LeaveWithin, as the clocks of the two machines differ.
	LeaveBy time.Time
	// Text is the output of earlier runs, which the stream continues.
	Text   Text
	Reward *batch.Reward
	// MaxEvents is the most events that the whole text may have; zero sets no bound.
	MaxEvents int
}

// Verdict is how the stream of a run ended.
type Verdict int

// The verdicts.
const (
	// VerdictNone: the stream has not ended.
	VerdictNone Verdict = iota
	// VerdictComplete: the text is complete.
	VerdictComplete
	// VerdictBroken: the stream failed or never started; the item is retried elsewhere.
	VerdictBroken
	// VerdictRefused: the engine refused the item, or the item was not sent.
	VerdictRefused
	// VerdictMisdirected: the address belongs to another engine.
	VerdictMisdirected
	// VerdictFailed: the engine answered with a server error.
	VerdictFailed
	// VerdictImpossible: the engine rejected the item as unprocessable; it is not retried.
	VerdictImpossible
	// VerdictOutdated: the engine's weight version does not fit the item's bounds.
	VerdictOutdated
	// VerdictCanceled: the run was canceled by the coordinator or by the worker's shutdown.
	VerdictCanceled
)

var verdictNames = [...]string{"none", "whole", "broken", "refused", "gone", "failed", "impossible", "outdated", "canceled"}

// String returns the verdict's name in logs and metrics.
func (v Verdict) String() string { return verdictNames[v] }

// End describes how the stream of a run ended.
type End struct {
	Verdict Verdict
	// Cause is the error that ended it, for logs.
	Cause string
	// Withheld is true if the executing process's placement filter refused the engine for a reason other than that the engine is leaving. It does
	// not count against the engine.
	Withheld bool
	// NoOutcome is true if the run shows nothing about whether its item crashes engines: no engine ran it, it was canceled, the engine answered with
	// a failure, or its connection broke while the engine kept running.
	NoOutcome bool
	// Took is the duration of the run.
	Took time.Duration
}

// JudgementState is the state of the reward call of a complete text.
type JudgementState int

// The states.
const (
	// JudgementOpen: the call has not ended.
	JudgementOpen JudgementState = iota
	// JudgementScored: the call returned a score.
	JudgementScored
	// JudgementFailed: the call failed as often as its route allows.
	JudgementFailed
	// JudgementAborted: the call was aborted locally; it may be repeated.
	JudgementAborted
)

// Judgement is the outcome of the reward call of a complete text.
type Judgement struct {
	State JudgementState
	// Score is the signature of the answer, in state JudgementScored.
	Score string
	// Failures is the number of failed attempts.
	Failures int
}

// Report carries the progress of a run since the last report that the coordinator accepted.
type Report struct {
	Run    RunID
	Job    string
	Item   string
	Tenant string
	Engine string
	// Released is true if the run makes no reward call because its job has ended. A later job may reuse its text.
	Released bool
	// From is the number of events that earlier reports have covered.
	From     int
	Segments []Segment
	// LastID is the ID of the last event of the text.
	LastID int64
	// Restarted is true if the text so far cannot be used; the run has ended then.
	Restarted bool
	// Version is the engine's last known weight version.
	Version int64
	// Pauses is the total time between the new events, and PauseCount the number of pauses.
	Pauses     time.Duration
	PauseCount int
	End        End
	Judgement  Judgement
}
