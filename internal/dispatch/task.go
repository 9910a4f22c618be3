// Package dispatch runs one request on an engine: it waits for a slot, asks the scheduler for a
// placement, streams the answer and accounts for the engine's load.
package dispatch

import (
	"context"
	"time"

	v1 "github.com/covelink/covelink/api/v1"
)

// Class orders work: interactive lookups go before rollouts.
type Class int

// The classes.
const (
	ClassRollout Class = iota
	ClassInteractive
)

// Task is one attempt to run one request.
type Task struct {
	RequestID string
	Attempt   uint32
	Class     Class
	Pool      string
	// Caller is the trainer or application; limits and fair shares count by it.
	Caller string
	// Weight is the caller's fair share; 0 means 1.
	Weight    int
	Prompt    string
	MaxTokens int
	Seed      int64
	// PrefixKey groups prompts that share a prefix; 0 means none.
	PrefixKey uint64
	// Resume holds tokens already produced, and ResumeSegments their versions.
	Resume         []string
	ResumeSegments []v1.Segment
	// MinVersion is the lowest weight version that may run the task.
	MinVersion int64
	// PreferVersion scores engines at this version or above higher; 0 means no preference.
	PreferVersion int64
	// AvoidEngines names engines that must not be chosen, for example those of other attempts.
	AvoidEngines []string
	// Repeatable tasks may be run again after an unknown outcome. A task that is not repeatable
	// is written to at most one engine, except after that engine's own refusal.
	Repeatable bool
	// Rank orders the rollouts of a caller: a lower one goes first, whatever its length.
	Rank int64
	// ExpectedTokens predicts the length for longest-first order; 0 means unknown.
	ExpectedTokens int
	// Deadline bounds the whole task; a task that cannot start before it is refused as not run.
	Deadline time.Time
}

// Progress is a run of tokens of a task, in order and without gaps, as checked by the stream assembly.
type Progress struct {
	// Index is the index of the first token within the answer, resumed tokens included.
	Index   int
	Tokens  []string
	Version int64
	Engine  string
}

// Result is the outcome of a task.
type Result struct {
	Outcome v1.Outcome
	// Tokens is the whole answer when Outcome is completed, else the verified tokens so far, resumed ones included.
	Tokens       []string
	Segments     []v1.Segment
	FinishReason string
	// Engine is the last engine that the request was written to; empty if none.
	Engine string
	// Attempts counts the engines the request was written to.
	Attempts int
	// Err is nil when Outcome is completed.
	Err *v1.Error
}

// Dispatcher runs tasks. Dispatch blocks until the task's outcome is known or ctx ends; when ctx ends, the
// engine's stream is cancelled. progress, if not nil, is called in order from one goroutine; an error from
// it cancels the task. When an answer is started anew from token zero, progress is not called again for
// tokens already reported: the dispatcher resumes by prefix instead.
type Dispatcher interface {
	Dispatch(ctx context.Context, task Task, progress func(Progress) error) Result
}
