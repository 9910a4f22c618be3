// Package dispatch runs requests on engines: it queues a request, places it on an engine through the scheduler, streams
// the answer and tracks the load of the engine.
package dispatch

import (
	"context"
	"time"

	v1 "github.com/covelink/covelink/api/v1"
)

// Class is the priority class of a task: interactive lookups are placed before rollouts.
type Class int

// Priority classes.
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
	// Caller is the trainer or application; limits and fair shares apply per caller.
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
	// Repeatable permits another attempt after an unknown outcome. A task that is not repeatable is sent to at most one
	// engine, not counting engines that refused it.
	Repeatable bool
	// Rank orders the rollouts of a caller; a lower rank goes first, regardless of length.
	Rank int64
	// ExpectedTokens is the predicted length, used for longest-first order; 0 means unknown.
	ExpectedTokens int
	// Deadline bounds the whole task; a task that cannot start before its deadline is refused as not run.
	Deadline time.Time
}

// Progress is a chunk of verified tokens of a task; chunks arrive in order and without gaps.
type Progress struct {
	// Index is the index of the first token within the answer, including resumed tokens.
	Index   int
	Tokens  []string
	Version int64
	Engine  string
}

// Result is the outcome of a task.
type Result struct {
	Outcome v1.Outcome
	// Tokens is the whole answer if Outcome is completed, else the verified tokens so far, including resumed ones.
	Tokens       []string
	Segments     []v1.Segment
	FinishReason string
	// Engine is the last engine that the request was sent to; empty if none.
	Engine string
	// Attempts is the number of times that the request was sent to an engine.
	Attempts int
	// Err is nil when Outcome is completed.
	Err *v1.Error
}

// Dispatcher runs tasks.
type Dispatcher interface {
	// Dispatch blocks until the task's outcome is known or ctx ends, which cancels the engine's stream. progress, if not
	// nil, is called in order from one goroutine, and an error from it cancels the task. It is not called again for tokens
	// already reported, because a later attempt resumes from them.
	Dispatch(ctx context.Context, task Task, progress func(Progress) error) Result
}
