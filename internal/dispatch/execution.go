package dispatch

import (
	"context"
	"errors"
	"time"

	v1 "github.com/covelink/covelink/api/v1"

	"github.com/covelink/covelink/api/enginev1"
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

// execution runs one task to its result.
type execution struct {
	manager  *Manager
	task     Task
	progress func(Progress) error

	tokens   []string
	segments []v1.Segment
	// reported is the number of tokens that progress was told, those of task.Resume included.
	reported int
	// unknown counts the attempts of an unknown outcome; after one of them the task can only complete or stay unknown.
	unknown  int
	failures int
	admitted bool
	last     string
	engine   string
	attempts int
}

func newExecution(manager *Manager, task Task, progress func(Progress) error) *execution {
	return &execution{
		manager:  manager,
		task:     task,
		progress: progress,
		tokens:   task.Resume,
		segments: task.ResumeSegments,
		reported: len(task.Resume),
	}
}

// step says what follows an attempt.
type step struct {
	// result is final when it is not nil.
	result *Result
	delay  time.Duration
}

func (e *execution) run(ctx context.Context) Result {
	for {
		request := schedulerRequest(&e.task, e.last)
		held, refused := e.manager.acquire(ctx, e.item(), request, e.task.Class)
		if refused != nil {
			return e.giveUp(refused)
		}
		e.admitted = true
		next := e.attempt(ctx, held)
		if next.result != nil {
			return *next.result
		}
		if !sleep(ctx, next.delay) {
			return e.giveUp(e.manager.ended(ctx, e.item()))
		}
	}
}

func (e *execution) item() scheduler.Item {
	return scheduler.Item{
		Interactive: e.task.Class == ClassInteractive,
		Pool:        e.task.Pool,
		Caller:      e.task.Caller,
		Weight:      e.task.Weight,
		Tokens:      max(e.task.ExpectedTokens-len(e.tokens), 0),
		Deadline:    e.task.Deadline,
		Readmitted:  e.admitted,
	}
}

// attempt uses a granted slot once.
func (e *execution) attempt(ctx context.Context, held *grant) step {
	zones, ok := e.manager.permitted(&e.task, held)
	if !ok {
		// The view has moved on since the placement; the next one follows the new view.
		e.manager.giveBack(held)
		return step{}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	e.manager.started(held, cancel)
	request := e.request(held, zones)
	target := engine.Target{Name: held.engine.Name, URL: held.engine.URL, ResumeSegments: e.segments}
	result := e.manager.params.Engines.Stream(ctx, target, request, func(chunk engine.Chunk) error {
		return e.chunk(held, chunk)
	})
	e.take(held, &result)
	own := ctx.Err() != nil && !errors.Is(context.Cause(ctx), errReplaced)
	e.manager.finished(held, &result, own || errors.Is(result.Err, engine.ErrConsumer))
	e.manager.cancelAttempt(held, &request, &result)
	return e.judge(ctx, own, &result)
}

func (e *execution) request(held *grant, zones []string) enginev1.CompletionRequest {
	priority := enginev1.PriorityRollout
	if e.task.Class == ClassInteractive {
		priority = enginev1.PriorityInteractive
	}
	pool := e.manager.poolSpec(e.task.Pool)
	return enginev1.CompletionRequest{
		Model:          pool.Model,
		RequestID:      e.task.RequestID,
		Attempt:        EngineAttempt(e.task.Attempt, e.unknown),
		Incarnation:    held.engine.Incarnation,
		Prompt:         e.task.Prompt,
		Resume:         e.tokens,
		MaxTokens:      boundedTokens(e.task.MaxTokens, pool.MaxTokens),
		Seed:           e.task.Seed,
		Priority:       priority,
		MinVersion:     e.task.MinVersion,
		PermittedZones: zones,
		Stream:         true,
	}
}

// chunk passes verified tokens on. It runs on the goroutine of Dispatch.
func (e *execution) chunk(held *grant, chunk engine.Chunk) error {
	e.manager.observeVersion(held, chunk.Version)
	if e.progress == nil {
		return nil
	}
	err := e.progress(Progress{
		Index:   chunk.Index,
		Tokens:  chunk.Tokens,
		Version: chunk.Version,
		Engine:  held.engine.Name,
	})
	e.reported = chunk.Index + len(chunk.Tokens)
	return err
}

// take takes over what an attempt has verified.
func (e *execution) take(held *grant, result *engine.StreamResult) {
	e.tokens = result.Tokens
	e.segments = result.Segments
	if result.Outcome != v1.OutcomeNotRun || result.Refusal != nil {
		e.engine = held.engine.Name
		e.attempts++
	}
	e.last = held.engine.Name
}

// judge decides what follows an attempt. own tells that the task itself ended the attempt.
func (e *execution) judge(ctx context.Context, own bool, result *engine.StreamResult) step {
	switch result.Outcome {
	case v1.OutcomeCompleted:
		e.manager.succeeded(e.task.Caller)
		final := e.result(v1.OutcomeCompleted, nil)
		final.FinishReason = result.FinishReason
		return step{result: &final}
	case v1.OutcomeNotRun:
		return e.afterNotRun(ctx, own, result)
	default:
		e.unknown++
		return e.afterUnknown(ctx, own, result)
	}
}

func (e *execution) afterNotRun(ctx context.Context, own bool, result *engine.StreamResult) step {
	if own {
		return e.end(e.manager.ended(ctx, e.item()))
	}
	if result.Refusal != nil && result.Refusal.Reason == enginev1.RefusedInvalid {
		return e.end(refuse(reasonInvalid, v1.CodeInvalid, 0, "the engine refused the request as invalid"))
	}
	return e.again()
}

func (e *execution) afterUnknown(ctx context.Context, own bool, result *engine.StreamResult) step {
	switch {
	case own:
		return e.end(e.manager.ended(ctx, e.item()))
	case errors.Is(result.Err, engine.ErrConsumer):
		return e.end(refuse(reasonCancelled, v1.CodeUnavailable, 0, "the consumer of the answer ended it"))
	case e.reported > len(e.tokens):
		// The failed checksum covers tokens that were passed on already; they cannot be taken back.
		return e.end(refuse(reasonBroken, v1.CodeInternal, 0, "the answer failed its checksum"))
	case !e.task.Repeatable:
		return e.end(refuse(reasonLost, v1.CodeUnavailable, 0, "the engine was lost and the request must not be repeated"))
	case e.unknown >= maxUnknown || !e.manager.mayRetry(e.task.Caller):
		return e.end(refuse(reasonBudget, v1.CodeUnavailable, 0, "the engine was lost and the retry budget is spent"))
	}
	return e.again()
}

func (e *execution) again() step {
	delay := scheduler.FullJitter(retryBaseDelay, retryMaxDelay, e.failures, e.manager.params.Rand())
	e.failures++
	return step{delay: delay}
}

func (e *execution) end(refused *refusal) step {
	result := e.giveUp(refused)
	return step{result: &result}
}

// giveUp is the final result of a task that does not complete. It is not run only when no attempt has an unknown outcome.
func (e *execution) giveUp(refused *refusal) Result {
	e.manager.metrics.refused(refused.reason)
	final := *refused.err
	if e.unknown > 0 {
		final.Outcome = v1.OutcomeUnknown
		final.RetryAfter = 0
	}
	return e.result(final.Outcome, &final)
}

func (e *execution) result(outcome v1.Outcome, err *v1.Error) Result {
	return Result{
		Outcome:  outcome,
		Tokens:   e.tokens,
		Segments: e.segments,
		Engine:   e.engine,
		Attempts: e.attempts,
		Err:      err,
	}
}

// sleep waits for the delay and reports whether ctx is still alive.
func sleep(ctx context.Context, delay time.Duration) bool {
	if delay <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
