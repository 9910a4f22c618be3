package dispatch

import (
	"context"
	"errors"
	"time"

	v1 "github.com/covelink/covelink/api/v1"

	"github.com/covelink/covelink/internal/engine"
)

// execution carries one task through its attempts in real time; its Run decides.
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
		held, refused := e.manager.acquire(ctx, e.run)
		if refused != nil {
			return e.final(e.run.GiveUp(refused))
		}
		e.run.Granted()
		next := e.attempt(ctx, held)
		if next.Result != nil {
			return e.final(next)
		}
		if !sleep(ctx, next.Delay) {
			return e.final(e.run.GiveUp(e.manager.ended(ctx, e.run.Item())))
		}
	}
}

// final counts the reason of a task that does not complete.
func (e *execution) final(step Step) Result {
	if step.Result.Outcome != v1.OutcomeCompleted {
		e.manager.metrics.refused(step.Reason)
	}
	return *step.Result
}

// attempt uses a granted slot once.
func (e *execution) attempt(ctx context.Context, held *Grant) Step {
	zones, ok := e.manager.permitted(&e.run.Task, held)
	if !ok {
		// The view has moved on since the placement; the next one follows the new view.
		e.manager.giveBack(held)
		return Step{}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	e.manager.started(held, cancel)
	request := e.run.Request(held, e.manager.poolSpec(e.run.Task.Pool), zones)
	target := engine.Target{Name: held.engine.Name, URL: held.engine.URL, ResumeSegments: e.run.ResumeSegments()}
	result := e.manager.params.Engines.Stream(ctx, target, request, func(chunk engine.Chunk) error {
		return e.chunk(held, chunk)
	})
	e.run.Take(held, &result)
	own := ctx.Err() != nil && !errors.Is(context.Cause(ctx), errReplaced)
	e.manager.finished(held, &result, own || errors.Is(result.Err, engine.ErrConsumer))
	e.manager.cancelAttempt(held, &request, &result)
	var ended *Refusal
	if own {
		ended = e.manager.ended(ctx, e.run.Item())
	}
	return e.manager.judge(e.run, ended, &result)
}

// chunk passes verified tokens on. It runs on the goroutine of Dispatch.
func (e *execution) chunk(held *Grant, chunk engine.Chunk) error {
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
	e.run.Reported(chunk.Index + len(chunk.Tokens))
	return err
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
