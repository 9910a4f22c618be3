package dispatch

import (
	"errors"
	"time"

	v1 "github.com/covelink/covelink/api/v1"

	"github.com/covelink/covelink/api/enginev1"
	"github.com/covelink/covelink/coord/rendezvous"
	"github.com/covelink/covelink/internal/engine"
	"github.com/covelink/covelink/internal/scheduler"
)

const (
	// retryBaseDelay and retryMaxDelay bound the backoff between attempts.
	retryBaseDelay = 10 * time.Millisecond
	retryMaxDelay  = time.Second
	// maxUnknown is the maximum number of attempts with an unknown outcome; it is the largest count that fits attemptBits.
	maxUnknown = 1<<attemptBits - 1
	// attemptBits is the number of low bits of an engine's attempt number that count the attempts within a task.
	attemptBits = 8
)

// EngineAttempt returns the attempt number sent to engines: the task's attempt number and, in the low eight bits, the
// number of times the task was resumed. It keeps frames of an earlier attempt from matching a later one.
func EngineAttempt(taskAttempt uint32, resumed int) uint32 {
	return taskAttempt<<attemptBits | uint32(resumed)
}

// Run is the state of one task across its attempts and decides what follows each of them. Like Core it has no clock or I/O
// and is not safe for concurrent use.
type Run struct {
	Task     Task
	tokens   []string
	segments []v1.Segment
	// reported is the number of tokens passed to the consumer, including those of Task.Resume.
	reported int
	// unknown counts attempts with an unknown outcome. After the first, the task's outcome is completed or unknown.
	unknown    int
	failures   int
	admitted   bool
	lastEngine string
	// since is the time of the task's first arrival in the queue; zero before the first attempt.
	since    time.Time
	engine   string
	attempts int
}

// NewRun returns the Run of a task before its first attempt.
func NewRun(task Task) *Run {
	return &Run{Task: task, tokens: task.Resume, segments: task.ResumeSegments, reported: len(task.Resume)}
}

// Step is what follows an attempt: a final result, or another attempt after a delay.
type Step struct {
	// Result is the final result; nil means that another attempt follows.
	Result *Result
	// Reason is the metrics reason of a final result other than a completion.
	Reason string
	// Delay is the wait before the next attempt.
	Delay time.Duration
}

// Item returns the queue item for the current state of the task.
func (r *Run) Item() scheduler.Item {
	return scheduler.Item{
		Interactive: r.Task.Class == ClassInteractive,
		Pool:        r.Task.Pool,
		Caller:      r.Task.Caller,
		Weight:      r.Task.Weight,
		Rank:        r.Task.Rank,
		Tokens:      max(r.Task.ExpectedTokens-len(r.tokens), 0),
		Deadline:    r.Task.Deadline,
		ArrivedAt:   r.since,
		Started:     r.unknown > 0 || len(r.tokens) > 0,
		Readmitted:  r.admitted,
	}
}

// SchedulerRequest returns the scheduler request for the current state of the task.
func (r *Run) SchedulerRequest() scheduler.Request {
	return scheduler.Request{
		Pool:          r.Task.Pool,
		Interactive:   r.Task.Class == ClassInteractive,
		MinVersion:    r.Task.MinVersion,
		PreferVersion: r.Task.PreferVersion,
		PrefixKey:     r.Task.PrefixKey,
		TieKey:        rendezvous.Hash(r.Task.RequestID),
		Avoid:         r.Task.AvoidEngines,
		LastFailed:    r.lastEngine,
	}
}

// MarkGranted records that the task has been granted a slot, so that it is queued as readmitted from now on.
func (r *Run) MarkGranted() { r.admitted = true }

// Request returns the completion request of the next attempt, addressed to the grant's engine.
func (r *Run) Request(grant *Grant, pool v1.PoolSpec, zones []string) enginev1.CompletionRequest {
	grant.resumed = len(r.tokens)
	priority := enginev1.PriorityRollout
	if r.Task.Class == ClassInteractive {
		priority = enginev1.PriorityInteractive
	}
	return enginev1.CompletionRequest{
		Model:          pool.Model,
		RequestID:      r.Task.RequestID,
		Attempt:        EngineAttempt(r.Task.Attempt, r.unknown),
		Incarnation:    grant.engine.Incarnation,
		Prompt:         r.Task.Prompt,
		Resume:         r.tokens,
		MaxTokens:      boundedTokens(r.Task.MaxTokens, pool.MaxTokens),
		Seed:           r.Task.Seed,
		Priority:       priority,
		MinVersion:     r.Task.MinVersion,
		PermittedZones: zones,
		Stream:         true,
		MaxInFlight:    scheduler.SlotLimit(pool.MaxConcurrent, pool.InteractiveReserve, r.Task.Class == ClassInteractive),
	}
}

// ResumeSegments returns the weight versions of the tokens that the next attempt resumes from.
func (r *Run) ResumeSegments() []v1.Segment { return r.segments }

// SetReported records the number of tokens of the answer that were passed to the consumer.
func (r *Run) SetReported(tokens int) { r.reported = tokens }

// RecordAttempt records the verified tokens and segments of an attempt, and its engine.
func (r *Run) RecordAttempt(grant *Grant, result *engine.StreamResult) {
	r.tokens = result.Tokens
	r.segments = result.Segments
	if result.Outcome != v1.OutcomeNotRun || result.Refusal != nil {
		r.engine = grant.engine.Name
		r.attempts++
	}
	r.lastEngine = grant.engine.Name
	r.since = grant.since
}

// NextStep decides what follows an attempt that Take has recorded. aborted is the reason if the task itself ended
// the attempt, else nil. random is uniform in [0, 1).
func (r *Run) NextStep(core *Core, aborted *Refusal, result *engine.StreamResult, random float64) Step {
	switch result.Outcome {
	case v1.OutcomeCompleted:
		core.creditRetry(r.Task.Caller)
		final := r.result(v1.OutcomeCompleted, nil)
		final.FinishReason = result.FinishReason
		return Step{Result: &final}
	case v1.OutcomeNotRun:
		return r.afterNotRun(aborted, result, random)
	default:
		r.unknown++
		return r.afterUnknown(core, aborted, result, random)
	}
}

func (r *Run) afterNotRun(aborted *Refusal, result *engine.StreamResult, random float64) Step {
	if aborted != nil {
		return r.GiveUp(aborted)
	}
	if result.Refusal != nil && result.Refusal.Reason == enginev1.RefusedInvalid {
		return r.GiveUp(refuse(reasonInvalid, v1.CodeInvalid, 0, "the engine refused the request as invalid"))
	}
	if result.Refusal != nil && result.Refusal.Reason == enginev1.RefusedFull {
		// No backoff: the engine's window keeps the next attempt off it, and another engine may have a free slot.
		return Step{}
	}
	return r.retry(random)
}

func (r *Run) afterUnknown(core *Core, aborted *Refusal, result *engine.StreamResult, random float64) Step {
	switch {
	case aborted != nil:
		return r.GiveUp(aborted)
	case errors.Is(result.Err, engine.ErrConsumer):
		return r.GiveUp(refuse(reasonCancelled, v1.CodeUnavailable, 0, "the consumer of the answer cancelled the request"))
	case r.reported > len(r.tokens):
		// The checksum failed for tokens that the consumer already has, so the answer cannot be restarted.
		return r.GiveUp(refuse(reasonChecksum, v1.CodeInternal, 0, "the answer failed its checksum"))
	case !r.Task.Repeatable:
		return r.GiveUp(refuse(reasonEngineLost, v1.CodeUnavailable, 0, "engine connection lost; the request is not repeatable"))
	case r.unknown >= maxUnknown || !core.withdrawRetry(r.Task.Caller):
		return r.GiveUp(refuse(reasonBudget, v1.CodeUnavailable, 0, "engine connection lost; the retry budget is exhausted"))
	}
	return r.retry(random)
}

func (r *Run) retry(random float64) Step {
	delay := scheduler.FullJitter(retryBaseDelay, retryMaxDelay, r.failures, random)
	r.failures++
	return Step{Delay: delay}
}

// GiveUp returns the final step of a task that does not complete. If any attempt had an unknown outcome, so has the task.
func (r *Run) GiveUp(refused *Refusal) Step {
	final := *refused.Err
	if r.unknown > 0 {
		final.Outcome = v1.OutcomeUnknown
		final.RetryAfter = 0
	}
	result := r.result(final.Outcome, &final)
	return Step{Result: &result, Reason: refused.Reason}
}

func (r *Run) result(outcome v1.Outcome, err *v1.Error) Result {
	return Result{
		Outcome:  outcome,
		Tokens:   r.tokens,
		Segments: r.segments,
		Engine:   r.engine,
		Attempts: r.attempts,
		Err:      err,
	}
}

// boundedTokens caps the requested number of tokens at the limit of the pool, which is also the default if none is
// requested. A limit of 0 means no cap.
func boundedTokens(requested, limit int) int {
	if limit > 0 && (requested <= 0 || requested > limit) {
		return limit
	}
	return requested
}
