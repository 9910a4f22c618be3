package dispatch

import (
	"context"
	"errors"
	"time"

	v1 "github.com/covelink/covelink/api/v1"

	"github.com/covelink/covelink/internal/engine"
)

// execution runs the attempts of one task in real time, following the decisions of its Run.
type execution struct {
	manager  *Manager
	run      *Run
	progress func(Progress) error
}

func newExecution(manager *Manager, task Task, progress func(Progress) error) *execution {
	return &execution{manager: manager, run: NewRun(task), progress: progress}
}

func (e *execution) complete(ctx context.Context) Result {
	for {
		grant, refused := e.manager.acquire(ctx, e.run)
		if refused != nil {
			return e.final(e.run.GiveUp(refused))
		}
		e.run.MarkGranted()
		next := e.attempt(ctx, grant)
		if next.Result != nil {
			return e.final(next)
		}
		if !sleep(ctx, next.Delay) {
			return e.final(e.run.GiveUp(e.manager.contextRefusal(ctx, e.run.Item())))
		}
	}
}

// final returns the result of a final step and counts the reason if the task did not complete.
func (e *execution) final(step Step) Result {
	if step.Result.Outcome != v1.OutcomeCompleted {
		e.manager.metrics.recordRefusal(step.Reason)
	}
	return *step.Result
}

// attempt makes one attempt on the grant's engine and releases the slot.
func (e *execution) attempt(ctx context.Context, grant *Grant) Step {
	zones, ok := e.manager.permitted(&e.run.Task, grant)
	if !ok {
		// The view has changed since the placement and no longer permits it; place the task again.
		e.manager.releaseUnused(grant)
		return Step{}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	e.manager.trackAttempt(grant, cancel)
	request := e.run.Request(grant, e.manager.poolSpec(e.run.Task.Pool), zones)
	target := engine.Target{Name: grant.engine.Name, URL: grant.engine.URL, ResumeSegments: e.run.ResumeSegments()}
	result := e.manager.params.Engines.Stream(ctx, target, request, func(chunk engine.Chunk) error {
		return e.chunk(grant, chunk)
	})
	e.run.RecordAttempt(grant, &result)
	endedLocally := ctx.Err() != nil && !errors.Is(context.Cause(ctx), errEngineRestarted)
	e.manager.finishAttempt(grant, &result, endedLocally || errors.Is(result.Err, engine.ErrConsumer))
	e.manager.cancelAttempt(grant, &request, &result)
	var aborted *Refusal
	if endedLocally {
		aborted = e.manager.contextRefusal(ctx, e.run.Item())
	}
	return e.manager.nextStep(e.run, aborted, &result)
}

// chunk forwards verified tokens to the consumer. It runs on the goroutine of Dispatch.
func (e *execution) chunk(grant *Grant, chunk engine.Chunk) error {
	e.manager.observeVersion(grant, chunk.Version)
	if e.progress == nil {
		return nil
	}
	err := e.progress(Progress{
		Index:   chunk.Index,
		Tokens:  chunk.Tokens,
		Version: chunk.Version,
		Engine:  grant.engine.Name,
	})
	e.run.SetReported(chunk.Index + len(chunk.Tokens))
	return err
}

// sleep waits for the delay and reports whether it elapsed before ctx ended.
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
