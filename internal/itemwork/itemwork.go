// Package itemwork carries runs of batch items from the coordinating process, which decides, to workers, which speak with the
// engines.
//
// A Desk stands in the coordinating process and hands assignments to workers; a Worker stands in each gateway, fetches them
// with a poll that waits, carries them out with an Executor, and reports what the engines make in batches.
//
// Guarantees: assignments and cancellations reach a worker in order and each takes effect at most once. A worker obeys one term
// at a time, the highest that it knows. What a run has made outlives the coordinating process: a worker tells everything it
// holds to the next term, ended runs for keepEnded. No request of a worker's own, such as a reward call, runs later than
// permitLife after it has heard from the coordinating process. No run is sent to an engine that the
// placement filter refuses by the worker's own view, whatever the coordinating process knows.
package itemwork

import (
	"fmt"
	"time"

	"github.com/covelink/covelink/internal/batch"
	"github.com/covelink/covelink/internal/placement"
)

// RunID names a run of an item: the term that began it and its number there.
type RunID struct {
	Term   int64
	Number uint64
}

// String returns the ID's form in logs.
func (id RunID) String() string { return fmt.Sprintf("%d.%d", id.Term, id.Number) }

// Bounds are the weight versions that a job allows for a text.
type Bounds struct {
	// MinVersion is the oldest that may make an event.
	MinVersion int64
	// SingleVersion is true if one version must make all of them.
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
	// Version is the weight version that the engine is believed to hold.
	Version int64
}

// Assignment is a run that a worker is to carry out: the stream, unless the text is whole already, and then the reward call.
type Assignment struct {
	Run  RunID
	Job  string
	Item string
	Host string
	Path string
	// Tenant names whose item it is; empty for nobody's.
	Tenant string
	// Residency is where the item's data may be by the coordinating process's tables, which may be newer than the worker's.
	Residency placement.Residency
	Header    map[string]string
	Body      []byte
	Engine    Target
	Bounds    Bounds
	// TimeLeft is what the engine may take; zero sets no bound.
	TimeLeft time.Duration
	// LeaveBy is the moment of this process's boottime by which the run must be sent, else it is refused. Zero sets no bound. From the desk to the
	// worker it travels as Order.LeaveWithin, as their clocks differ.
	LeaveBy time.Time
	// Text is what earlier runs have made; the stream goes on after it.
	Text   Text
	Reward *batch.Reward
}

// Verdict is how the stream of a run ended.
type Verdict int

// The verdicts.
const (
	// VerdictNone: the stream lasts.
	VerdictNone Verdict = iota
	// VerdictWhole: the text is complete.
	VerdictWhole
	// VerdictBroken: the stream broke off or never began; the item goes on elsewhere.
	VerdictBroken
	// VerdictRefused: the engine did not take the item, or the item was not sent to it.
	VerdictRefused
	// VerdictGone: the address belongs to another engine.
	VerdictGone
	// VerdictFailed: the engine answered 500.
	VerdictFailed
	// VerdictImpossible: the item can never be done.
	VerdictImpossible
	// VerdictOutdated: the engine's weights are too old for the item.
	VerdictOutdated
	// VerdictCanceled: the run was ended from here.
	VerdictCanceled
)

var verdictNames = [...]string{"none", "whole", "broken", "refused", "gone", "failed", "impossible", "outdated", "canceled"}

// String returns the verdict's name in logs and metrics.
func (v Verdict) String() string { return verdictNames[v] }

// End is how the stream of a run ended.
type End struct {
	Verdict Verdict
	// Cause is the error that ended it, for logs.
	Cause string
	// Withheld is true if the run was not sent because the placement filter of the process that carries it out refused the engine for a reason
	// other than that the engine is leaving. It is no sign against the engine.
	Withheld bool
	// Took is the time from the start of the run to its end.
	Took time.Duration
}

// JudgementState is how far the reward call of a whole text has come.
type JudgementState int

// The states.
const (
	// JudgementOpen: the call has not ended.
	JudgementOpen JudgementState = iota
	// JudgementReached: the text has its score.
	JudgementReached
	// JudgementFailed: the call failed as often as its route allows.
	JudgementFailed
	// JudgementAborted: the call was ended from here; it may be made again.
	JudgementAborted
)

// Judgement is the end of the reward call of a whole text.
type Judgement struct {
	State JudgementState
	// Score is the signature of the answer, if reached.
	Score string
	// Failures counts the failed calls.
	Failures int
}

// Report tells what is new of a run since what its receiver has taken in.
type Report struct {
	Run    RunID
	Job    string
	Item   string
	Tenant string
	Engine string
	// Released is true if the run makes no reward call, because its job has ended. A later job may use its text.
	Released bool
	// From is the number of events of the text that the receiver holds already.
	From     int
	Segments []Segment
	// LastID is the ID of the last event of the text.
	LastID int64
	// Restarted is true if the text so far cannot be used; the run has ended then.
	Restarted bool
	// Version is the engine's weight version, as far as it is known.
	Version int64
	// Pauses is the time between the new events, and PauseCount the number of pauses.
	Pauses     time.Duration
	PauseCount int
	End        End
	Judgement  Judgement
}
