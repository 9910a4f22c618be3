package itemwork

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/covelink/covelink/internal/batch"
	"github.com/covelink/covelink/internal/boottime"
	"github.com/covelink/covelink/internal/eventstream"
	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/forward"
	"github.com/covelink/covelink/internal/pause"
	"github.com/covelink/covelink/internal/placement"
	"github.com/covelink/covelink/internal/quarantine"
)

const (
	// silenceLimit is how long an engine may make no event before the run is ended.
	silenceLimit = 1600 * time.Millisecond
	// judgeTimeout bounds one reward call.
	judgeTimeout = 3 * time.Second
	// minJudgeTime is the least time for a reward call to be worth making.
	minJudgeTime = 250 * time.Millisecond
	// judgePause is the pause after a reward call that was not completed.
	judgePause = 100 * time.Millisecond
)

// errTooLate reports a run that was not sent because its LeaveBy had passed: its grant for a cold engine was over.
var errTooLate = errors.New("itemwork: the run came too late to be sent")

// Event is one event of a stream.
type Event struct {
	ID   int64
	Data string
	// Version is the weight version that made it.
	Version int64
	// Pause is the time since the event before it; zero for the first of a run.
	Pause time.Duration
}

// Sink takes in what a run yields, one call at a time.
type Sink interface {
	// Begun tells the weight version with which the engine begins its answer.
	Begun(version int64)
	// Made takes in an event.
	Made(event Event)
	// Restarted tells that the text so far cannot be used.
	Restarted()
	// StreamEnded is called once, unless the text was whole from the start. It returns whether a whole text is to be judged.
	StreamEnded(end End) (judge bool)
	// Judged is called once the reward call of a whole text has ended; never for items without one.
	Judged(judgement Judgement)
}

// Executor carries out assignments.
type Executor struct {
	State     *fleet.State
	Transport forward.Transport
	Forwarder *forward.Forwarder
	// Guard is told which runs ended their engines, and which did not; nil for nobody.
	Guard *quarantine.Guard
	// PermittedUntil returns until when, by boottime, a reward call may run; nil means without end.
	PermittedUntil func() time.Time
}

// errSilent reports an engine that made no event for too long.
var errSilent = errors.New("itemwork: engine silent")

// Run carries out an assignment. The end of ctx ends it.
func (e *Executor) Run(ctx context.Context, assignment *Assignment, sink Sink) {
	if !assignment.Text.Whole {
		started := time.Now()
		verdict, err := e.stream(ctx, assignment, sink)
		if ctx.Err() != nil && verdict != VerdictWhole && verdict != VerdictOutdated {
			verdict = VerdictCanceled
		}
		end := End{Verdict: verdict, Took: time.Since(started)}
		if err != nil {
			end.Cause = err.Error()
		}
		var withheld *withheldError
		end.Withheld = errors.As(err, &withheld) && withheld.reason != placement.EngineLeaving
		judge := sink.StreamEnded(end)
		if verdict != VerdictWhole || !judge {
			return
		}
	}
	if assignment.Reward == nil {
		return
	}
	sink.Judged(e.judge(ctx, assignment.Reward))
}

// stream runs the item at its engine.
func (e *Executor) stream(ctx context.Context, assignment *Assignment, sink Sink) (Verdict, error) {
	if reason := e.check(assignment); reason != placement.Permitted {
		return VerdictRefused, &withheldError{reason: reason}
	}
	if leaveBy := assignment.LeaveBy; !leaveBy.IsZero() && !boottime.Now().Before(leaveBy) {
		return VerdictRefused, errTooLate
	}
	attemptCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(silenceLimit, cancel)
	defer silence.Stop()
	verdict, err := e.send(attemptCtx, assignment, silence, sink)
	if err != nil && !silence.Stop() {
		return VerdictBroken, errSilent
	}
	e.tellGuard(ctx, assignment, verdict, err)
	return verdict, err
}

// withheldError reports a run that was not sent because the placement filter refused its engine.
type withheldError struct{ reason placement.Reason }

func (e *withheldError) Error() string { return "itemwork: not sent: " + string(e.reason) }

// check returns why the engine may not run the item now, by this process's own view, or Permitted. Both the assignment's residency and that of
// this process's tables must allow the engine, as either may be the older one.
func (e *Executor) check(assignment *Assignment) placement.Reason {
	view := e.State.View()
	engine, listed := view.Engines.Get(assignment.Engine.ID)
	if !listed {
		engine = assignment.engine()
	}
	if reason := placement.NewFilter(view, assignment.Residency).Check(engine); reason != placement.Permitted {
		return reason
	}
	route := view.Routes.Match(assignment.Host, assignment.Path)
	if route == nil {
		return placement.Permitted
	}
	return placement.NewFilter(view, placement.ResidencyOf(view.Routes, route, assignment.Tenant)).Check(engine)
}

// tellGuard tells whether the run ended well, or may have ended its engine. The end of ctx means that the run was ended from here.
func (e *Executor) tellGuard(ctx context.Context, assignment *Assignment, verdict Verdict, err error) {
	switch {
	case verdict == VerdictWhole || verdict == VerdictImpossible:
		e.Guard.Completed(assignment.Item, assignment.Fingerprint)
	case errors.Is(err, forward.ErrBroken) && ctx.Err() == nil:
		e.Guard.Broke(assignment.Item, assignment.Fingerprint(), assignment.engine())
	}
}

func (e *Executor) send(ctx context.Context, assignment *Assignment, silence *time.Timer, sink Sink) (Verdict, error) {
	answer, err := e.Transport.Send(ctx, assignment.engine(), assignment.request(), assignment.options())
	if err != nil {
		return VerdictBroken, err
	}
	defer answer.Body.Close()
	switch {
	case answer.Misdirected:
		return VerdictGone, nil
	case answer.NotRun:
		return VerdictRefused, nil
	case answer.Status == http.StatusUnprocessableEntity:
		return VerdictImpossible, nil
	case answer.Status >= http.StatusInternalServerError && answer.Signature != "":
		return VerdictFailed, nil
	case answer.Status != http.StatusOK || !answer.Valid:
		return VerdictBroken, nil
	}
	reading := reading{sink: sink, bounds: assignment.Bounds, version: assignment.Engine.Version, lastID: assignment.Text.LastID}
	if segments := assignment.Text.Segments; len(segments) > 0 {
		reading.begun, reading.firstVersion = true, segments[0].Version
	}
	if answer.WeightVersion > 0 {
		reading.version = answer.WeightVersion
	}
	sink.Begun(reading.version)
	return reading.read(answer, silence)
}

// engine returns the engine of the run.
func (a *Assignment) engine() *fleet.Engine {
	return &fleet.Engine{ID: a.Engine.ID, Name: a.Engine.Name, Service: a.Engine.Service, Address: a.Engine.Address, Zone: a.Engine.Zone, Ready: true}
}

// Fingerprint identifies the item among all that its tenant sends.
func (a *Assignment) Fingerprint() quarantine.Fingerprint {
	return quarantine.FingerprintOf(a.Tenant, http.MethodPost, a.Host, a.Path, a.Body)
}

// request returns what an engine is sent for the item.
func (a *Assignment) request() *forward.Request {
	header := make(http.Header, len(a.Header))
	for name, value := range a.Header {
		header.Set(name, value)
	}
	return &forward.Request{ID: a.Item, Method: http.MethodPost, Host: a.Host, Target: a.Path, Header: header, Body: a.Body, Tenant: a.Tenant}
}

func (a *Assignment) options() forward.SendOptions {
	options := forward.SendOptions{TimeLeft: a.TimeLeft, LeaveBy: a.LeaveBy}
	if a.Text.Len() > 0 {
		options.Resume, options.LastEventID = true, a.Text.LastID
	}
	return options
}

// reading takes in the events of one answer.
type reading struct {
	sink   Sink
	bounds Bounds
	// version is the engine's, and firstVersion that of the text's first event; zero if it has none.
	version, firstVersion int64
	// begun is true once the text has an event, of which lastID is the ID of the last.
	begun  bool
	lastID int64
}

// read takes in events until the stream ends.
func (r *reading) read(answer *forward.Answer, silence *time.Timer) (Verdict, error) {
	events := eventstream.NewReader(answer.Body, answer.VersionField)
	var last time.Time
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			return VerdictWhole, nil
		}
		if err != nil {
			return VerdictBroken, fmt.Errorf("%w: %w", forward.ErrBroken, err)
		}
		silence.Reset(silenceLimit)
		now := time.Now()
		var pause time.Duration
		if !last.IsZero() {
			pause = now.Sub(last)
		}
		last = now
		if verdict, err := r.take(event, pause); verdict != VerdictNone {
			return verdict, err
		}
	}
}

// take hands on an event. It returns how the run ends if the event cannot be used.
func (r *reading) take(event eventstream.Event, pause time.Duration) (Verdict, error) {
	if event.Extra != "" {
		version, err := strconv.ParseInt(event.Extra, 10, 64)
		if err != nil {
			return VerdictBroken, err
		}
		r.version = version
	}
	if r.version < r.bounds.MinVersion {
		r.sink.Begun(r.version)
		return VerdictOutdated, nil
	}
	if r.bounds.SingleVersion && r.begun && r.firstVersion != r.version {
		r.sink.Begun(r.version)
		r.sink.Restarted()
		return VerdictOutdated, nil
	}
	if !event.HasID || (r.begun && event.ID != r.lastID+1) {
		return VerdictBroken, nil
	}
	if !r.begun {
		r.begun, r.firstVersion = true, r.version
	}
	r.lastID = event.ID
	r.sink.Made(Event{ID: event.ID, Data: event.Data, Version: r.version, Pause: pause})
	return VerdictNone, nil
}

// judge calls until the text has a score or the call has failed as often as its route allows. The judgement is aborted if
// ctx ends first.
func (e *Executor) judge(ctx context.Context, reward *batch.Reward) Judgement {
	failures, sent, arrived := 0, false, boottime.Now()
	for ctx.Err() == nil {
		route := e.State.View().Routes.Match(reward.Host, reward.Path)
		deadline := e.judgeDeadline(boottime.Now())
		if route == nil || boottime.Until(deadline) < minJudgeTime {
			pause.For(ctx, judgePause)
			continue
		}
		request := &forward.Request{
			ID:     reward.ID,
			Method: http.MethodPost,
			Host:   reward.Host,
			Target: reward.Path,
			Header: http.Header{},
			Body:   reward.Body,
			// The call waits for a full service in the forwarder's queue, and Arrived keeps its place there over rounds. minJudgeTime is left for the
			// call itself.
			Patience: max(boottime.Until(deadline)-minJudgeTime, time.Millisecond),
			Arrived:  arrived,
			Repeated: sent,
		}
		result := e.Forwarder.Do(ctx, route, request, deadline)
		failures += result.FailedAttempts
		sent = sent || result.Sent
		if result.Outcome == forward.Completed && result.Status >= 200 && result.Status < 300 {
			return Judgement{State: JudgementReached, Score: result.Signature, Failures: failures}
		}
		if failures >= route.MaxAttempts {
			return Judgement{State: JudgementFailed, Failures: failures}
		}
		pause.For(ctx, max(judgePause, result.RetryAfter))
	}
	return Judgement{State: JudgementAborted, Failures: failures}
}

// judgeDeadline returns when a reward call that begins now must have ended.
func (e *Executor) judgeDeadline(now time.Time) time.Time {
	deadline := now.Add(judgeTimeout)
	if e.PermittedUntil == nil {
		return deadline
	}
	if until := e.PermittedUntil(); until.Before(deadline) {
		return until
	}
	return deadline
}
