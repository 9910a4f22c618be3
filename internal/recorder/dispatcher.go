package recorder

import (
	"context"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/dispatch"
	"github.com/covelink/covelink/internal/rollout"
	"github.com/covelink/covelink/internal/scheduler"
)

// Explainer tells where a task would be placed now.
type Explainer interface {
	Explain(task dispatch.Task) scheduler.Decision
}

// Dispatcher records the tasks on their way to another Dispatcher.
type Dispatcher struct {
	recorder  *Recorder
	inner     dispatch.Dispatcher
	explainer Explainer
}

// NewDispatcher returns a Dispatcher that records.
func NewDispatcher(recorder *Recorder, inner dispatch.Dispatcher, explainer Explainer) *Dispatcher {
	return &Dispatcher{recorder: recorder, inner: inner, explainer: explainer}
}

// Dispatch implements dispatch.Dispatcher.
func (d *Dispatcher) Dispatch(ctx context.Context, task dispatch.Task, progress func(dispatch.Progress) error) dispatch.Result {
	started := d.recorder.now()
	record := Record{
		Kind: KindTask, At: started, ID: task.RequestID, Class: task.Class.String(), Pool: task.Pool, Caller: task.Caller,
		Attempt: task.Attempt, PromptHash: d.recorder.hash(task.Prompt), PromptBytes: len(task.Prompt),
		MaxTokens: task.MaxTokens, NotRepeatable: !task.Repeatable, MinVersion: task.MinVersion,
		ResumedTokens: len(task.Resume), Decision: d.decision(task),
	}
	if !task.Deadline.IsZero() {
		record.TimeoutMillis = task.Deadline.Sub(started).Milliseconds()
	}
	number := d.recorder.add(record)
	result := d.inner.Dispatch(ctx, task, progress)
	d.recorder.finish(number, outcomeOf(result, d.recorder.now().Sub(started).Milliseconds()))
	return result
}

// decision explains where the task would go now.
func (d *Dispatcher) decision(task dispatch.Task) *Decision {
	decided := d.explainer.Explain(task)
	decision := &Decision{Engines: decided.Explanation.Engines}
	for filter, removed := range decided.Explanation.Removed {
		if removed > 0 {
			decision.Removed = append(decision.Removed, Removal{Rule: scheduler.Filter(filter).String(), Engines: removed})
		}
	}
	switch decided.Kind {
	case scheduler.Placed:
		decision.Kind = "placed"
	case scheduler.Wait:
		decision.Kind, decision.Reason = "wait", decided.Reason.String()
	default:
		decision.Kind, decision.Reason = "refuse", decided.Reason.String()
	}
	return decision
}

func outcomeOf(result dispatch.Result, elapsedMillis int64) Outcome {
	outcome := Outcome{
		Outcome: result.Outcome, Engine: result.Engine, Attempts: result.Attempts, Tokens: len(result.Tokens),
		FinishReason: result.FinishReason, Segments: result.Segments, ElapsedMillis: elapsedMillis,
	}
	if result.Err != nil {
		outcome.Code, outcome.Message = result.Err.Code, result.Err.Message
	}
	return outcome
}

// Service records batches and publications on their way to another rollout.Service.
type Service struct {
	rollout.Service
	recorder *Recorder
}

// NewService returns a Service that records.
func NewService(recorder *Recorder, inner rollout.Service) *Service {
	return &Service{Service: inner, recorder: recorder}
}

// PutBatch implements rollout.Service.
func (s *Service) PutBatch(ctx context.Context, trainer, batch string, spec v1.BatchSpec) (v1.BatchStatus, error) {
	record := Record{Kind: KindBatch, At: s.recorder.now(), Caller: trainer, Batch: batch, Samples: len(spec.Samples)}
	for _, sample := range spec.Samples {
		record.SampleMaxTokens = append(record.SampleMaxTokens, sample.MaxTokens)
	}
	status, err := s.Service.PutBatch(ctx, trainer, batch, spec)
	if err == nil {
		s.recorder.add(record)
	}
	return status, err
}

// PutVersion implements rollout.Service.
func (s *Service) PutVersion(ctx context.Context, trainer string, version v1.WeightVersion) error {
	record := Record{Kind: KindPublish, At: s.recorder.now(), Caller: trainer, Version: version.Version}
	err := s.Service.PutVersion(ctx, trainer, version)
	if err == nil {
		s.recorder.add(record)
	}
	return err
}
