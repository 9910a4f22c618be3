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

// The backoff between attempts, and the greatest number of attempts of an unknown outcome.
const (
	retryBaseDelay = 10 * time.Millisecond
	retryMaxDelay  = time.Second
	maxUnknown     = 1<<attemptBits - 1
	// attemptBits is the number of low bits of an engine's attempt number that count the attempts within a task.
	attemptBits = 8
)

// EngineAttempt returns the attempt number that engines see: that of the task and, in its low eight bits, how often
// the task was resumed. The frames of an attempt that was given up never match those of a later one.
func EngineAttempt(taskAttempt uint32, resumed int) uint32 {
	return taskAttempt<<attemptBits | uint32(resumed)
}

// Run is the state of one task over its attempts, and decides what follows each. Like Core it is pure, and not safe for
// concurrent use.
type Run struct {
	Task     Task
	tokens   []string
	segments []v1.Segment
	// reported is the number of tokens that the consumer was told, those of Task.Resume included.
	reported int
	// unknown counts the attempts of an unknown outcome; after one of them the task can only complete or stay unknown.
	unknown  int
	failures int
	admitted bool
	last     string
	// since is the time of the task's arrival, as its first grant told it.
	since    time.Time
	engine   string
	attempts int
}

// NewRun returns the run of a task that has had no attempt.
func NewRun(task Task) *Run {
	return &Run{Task: task, tokens: task.Resume, segments: task.ResumeSegments, reported: len(task.Resume)}
}

// Step says what follows an attempt.
type Step struct {
	// Result is final when it is not nil.
	Result *Result
	// Reason is that of a final result which is not a completion.
	Reason string
	// Delay is the wait before the next attempt.
	Delay time.Duration
}

// Item returns what the queue needs to know of the task now.
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

// SchedulerRequest returns what the scheduler needs to know of the task now.
func (r *Run) SchedulerRequest() scheduler.Request {
	return scheduler.Request{
		Pool:          r.Task.Pool,
		Interactive:   r.Task.Class == ClassInteractive,
		MinVersion:    r.Task.MinVersion,
		PreferVersion: r.Task.PreferVersion,
		PrefixKey:     r.Task.PrefixKey,
		TieKey:        rendezvous.Hash(r.Task.RequestID),
		Avoid:         r.Task.AvoidEngines,
		LastFailed:    r.last,
	}
}

// Granted takes note that the task has left the queue with a slot.
func (r *Run) Granted() { r.admitted = true }

// Request returns the next attempt on the grant's engine.
func (r *Run) Request(held *Grant, pool v1.PoolSpec, zones []string) enginev1.CompletionRequest {
	held.resumed = len(r.tokens)
	priority := enginev1.PriorityRollout
	if r.Task.Class == ClassInteractive {
		priority = enginev1.PriorityInteractive
	}
	return enginev1.CompletionRequest{
		Model:          pool.Model,
		RequestID:      r.Task.RequestID,
		Attempt:        EngineAttempt(r.Task.Attempt, r.unknown),
		Incarnation:    held.engine.Incarnation,
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

// ResumeSegments returns the versions of the tokens that the next attempt resumes.
func (r *Run) ResumeSegments() []v1.Segment { return r.segments }

// Reported takes note of how many tokens of the answer the consumer was told.
func (r *Run) Reported(tokens int) { r.reported = tokens }

// Take takes over what an attempt has verified.
func (r *Run) Take(held *Grant, result *engine.StreamResult) {
	r.tokens = result.Tokens
	r.segments = result.Segments
	if result.Outcome != v1.OutcomeNotRun || result.Refusal != nil {
		r.engine = held.engine.Name
		r.attempts++
	}
	r.last = held.engine.Name
	r.since = held.since
}

// Judge decides what follows an attempt that Take has taken over. ended is not nil when the task itself ended the
// attempt, and says why. random is uniform in [0, 1).
func (r *Run) Judge(core *Core, ended *Refusal, result *engine.StreamResult, random float64) Step {
	switch result.Outcome {
	case v1.OutcomeCompleted:
		core.succeeded(r.Task.Caller)
		final := r.result(v1.OutcomeCompleted, nil)
		final.FinishReason = result.FinishReason
		return Step{Result: &final}
	case v1.OutcomeNotRun:
		return r.afterNotRun(ended, result, random)
	default:
		r.unknown++
		return r.afterUnknown(core, ended, result, random)
	}
}

func (r *Run) afterNotRun(ended *Refusal, result *engine.StreamResult, random float64) Step {
	if ended != nil {
		return r.GiveUp(ended)
	}
	if result.Refusal != nil && result.Refusal.Reason == enginev1.RefusedInvalid {
		return r.GiveUp(refuse(reasonInvalid, v1.CodeInvalid, 0, "the engine refused the request as invalid"))
	}
	if result.Refusal != nil && result.Refusal.Reason == enginev1.RefusedFull {
		// The engine's window keeps the next attempt off that engine; another one may have room at once.
		return Step{}
	}
	return r.again(random)
}

func (r *Run) afterUnknown(core *Core, ended *Refusal, result *engine.StreamResult, random float64) Step {
	switch {
	case ended != nil:
		return r.GiveUp(ended)
	case errors.Is(result.Err, engine.ErrConsumer):
		return r.GiveUp(refuse(reasonCancelled, v1.CodeUnavailable, 0, "the consumer of the answer ended it"))
	case r.reported > len(r.tokens):
		// The failed checksum covers tokens that were passed on already; they cannot be taken back.
		return r.GiveUp(refuse(reasonBroken, v1.CodeInternal, 0, "the answer failed its checksum"))
	case !r.Task.Repeatable:
		return r.GiveUp(refuse(reasonLost, v1.CodeUnavailable, 0, "the engine was lost and the request must not be repeated"))
	case r.unknown >= maxUnknown || !core.mayRetry(r.Task.Caller):
		return r.GiveUp(refuse(reasonBudget, v1.CodeUnavailable, 0, "the engine was lost and the retry budget is spent"))
	}
	return r.again(random)
}

func (r *Run) again(random float64) Step {
	delay := scheduler.FullJitter(retryBaseDelay, retryMaxDelay, r.failures, random)
	r.failures++
	return Step{Delay: delay}
}

// GiveUp is the final step of a task that does not complete. It is not run only when no attempt has an unknown outcome.
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

// boundedTokens returns the length to ask for: that of the task, but not above the pool's, which also stands in for none.
func boundedTokens(asked, bound int) int {
	if bound > 0 && (asked <= 0 || asked > bound) {
		return bound
	}
	return asked
}
