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
	// eventTimeout is how long an engine may send no event before the run is aborted.
	eventTimeout      = 1600 * time.Millisecond
	rewardCallTimeout = 3 * time.Second
	// minRewardCallTime is the minimum time that must be left to start a reward call.
	minRewardCallTime = 250 * time.Millisecond
	// rewardRetryPause is the minimum pause between two attempts of a reward call.
	rewardRetryPause = 100 * time.Millisecond
	// rewardHandBackTime is how long a worker tries a reward call whose first send was lost before the coordinator makes it. As a retry the call needs
	// the worker's retry budget, which a worker with few calls refills once in 5 s, while the whole step waits for the call.
	rewardHandBackTime = 2 * time.Second
	// rewardRepeatTime is how long after its last send a reward call counts as a retry. Later it counts as a first send, which needs a free engine but no
	// retry budget: a process that makes few calls refills its budget once in 5 s, while engines that exit together lose many calls at once.
	rewardRepeatTime = 2 * time.Second
)

// errSendDeadline reports a run that was not sent because LeaveBy, the end of its grant for a cold engine, had passed.
var errSendDeadline = errors.New("itemwork: run not sent: send deadline passed")

// Event is one event of an engine's stream.
type Event struct {
	ID   int64
	Data string
	// Version is the weight version that produced it.
	Version int64
	// Pause is the time since the previous event; zero for the first event of a run.
	Pause time.Duration
}

// Sink receives the progress of a run. Its methods are called sequentially.
type Sink interface {
	// StreamStarted is called with the engine's weight version when its answer begins, and again if another version makes the run outdated.
	StreamStarted(version int64)
	// EventReceived is called for each event of the stream.
	EventReceived(event Event)
	// Restarted is called if the text so far cannot be used.
	Restarted()
	// StreamEnded is called once when the stream ends; never if the assignment's text was already complete. It returns whether to make the reward
	// call for a complete text.
	StreamEnded(end End) (callReward bool)
	// RewardCallEnded is called once the reward call of a complete text has ended; never for items without one.
	RewardCallEnded(judgement Judgement)
}

// Executor carries out assignments.
type Executor struct {
	State     *fleet.State
	Transport forward.Transport
	Forwarder *forward.Forwarder
	// Guard records which runs broke their engines and which did not; it may be nil.
	Guard *quarantine.Guard
	// PermittedUntil returns the moment of boottime until which a reward call may run; nil sets no bound.
	PermittedUntil func() time.Time
}

// errEventTimeout reports an engine that sent no event within eventTimeout.
var errEventTimeout = errors.New("itemwork: engine sent no event within the event timeout")

// Run carries out an assignment. It aborts when ctx ends.
func (e *Executor) Run(ctx context.Context, assignment *Assignment, sink Sink) {
	if !assignment.Text.Whole {
		started := time.Now()
		verdict, engineRuns, err := e.stream(ctx, assignment, sink)
		if ctx.Err() != nil && verdict != VerdictComplete && verdict != VerdictOutdated {
			verdict = VerdictCanceled
		}
		end := End{Verdict: verdict, NoOutcome: engineRuns || noOutcome(verdict, err), Took: time.Since(started)}
		if err != nil {
			end.Cause = err.Error()
		}
		var withheld *withheldError
		end.Withheld = errors.As(err, &withheld) && withheld.reason != placement.EngineDraining
		callReward := sink.StreamEnded(end)
		if verdict != VerdictComplete || !callReward {
			return
		}
	}
	if assignment.Reward == nil {
		return
	}
	sink.RewardCallEnded(e.callReward(ctx, assignment.Reward))
}

// noOutcome reports whether a run with this verdict and error shows nothing about whether its item crashes engines: it did not complete, and neither
// broke its connection nor fell silent.
func noOutcome(verdict Verdict, err error) bool {
	switch verdict {
	case VerdictComplete, VerdictImpossible:
		return false
	case VerdictBroken:
		return !errors.Is(err, forward.ErrConnectionBroken) && !errors.Is(err, errEventTimeout)
	}
	return true
}

// stream sends a run to its engine and reads the stream. engineRuns is true if the connection broke while the engine kept running.
func (e *Executor) stream(ctx context.Context, assignment *Assignment, sink Sink) (verdict Verdict, engineRuns bool, err error) {
	if reason := e.check(assignment); reason != placement.Permitted {
		return VerdictRefused, false, &withheldError{reason: reason}
	}
	if leaveBy := assignment.LeaveBy; !leaveBy.IsZero() && !boottime.Now().Before(leaveBy) {
		return VerdictRefused, false, errSendDeadline
	}
	attemptCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	eventTimer := time.AfterFunc(eventTimeout, cancel)
	defer eventTimer.Stop()
	verdict, err = e.send(attemptCtx, assignment, eventTimer, sink)
	if err != nil && !eventTimer.Stop() {
		return VerdictBroken, false, errEventTimeout
	}
	return verdict, e.updateGuard(ctx, assignment, verdict, err), err
}

// withheldError reports a run that was not sent because the placement filter refused its engine.
type withheldError struct{ reason placement.Reason }

func (e *withheldError) Error() string {
	return "itemwork: run not sent, engine refused by the placement filter: " + string(e.reason)
}

// check returns why the placement filter refuses the engine by this process's view, or Permitted. It checks the residencies of both the assignment
// and the local route table, as either may be outdated.
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

// updateGuard records in the guard whether the run completed or may have crashed its engine. If ctx has ended, the run was aborted locally and a
// broken stream is not counted. It reports whether the connection broke while the engine kept running.
func (e *Executor) updateGuard(ctx context.Context, assignment *Assignment, verdict Verdict, err error) (engineRuns bool) {
	switch {
	case verdict == VerdictComplete || verdict == VerdictImpossible:
		e.Guard.Completed(assignment.Item, assignment.Fingerprint)
	case errors.Is(err, forward.ErrConnectionBroken) && ctx.Err() == nil:
		lost := quarantine.Loss{Request: assignment.Item, Fingerprint: assignment.Fingerprint(), Engine: assignment.engine(), Deferred: true}
		_, engineRuns = e.Guard.ConnectionLost(lost)
	}
	return engineRuns
}

func (e *Executor) send(ctx context.Context, assignment *Assignment, eventTimer *time.Timer, sink Sink) (Verdict, error) {
	answer, err := e.Transport.Send(ctx, assignment.engine(), assignment.request(), assignment.options())
	if err != nil {
		return VerdictBroken, err
	}
	defer answer.Body.Close()
	switch {
	case answer.Misdirected:
		return VerdictMisdirected, nil
	case answer.NotRun:
		return VerdictRefused, nil
	case answer.Status == http.StatusUnprocessableEntity:
		return VerdictImpossible, nil
	case answer.Status >= http.StatusInternalServerError && answer.Signature != "":
		return VerdictFailed, nil
	case answer.Status != http.StatusOK || !answer.Valid:
		return VerdictBroken, nil
	}
	reader := streamReader{
		sink:      sink,
		bounds:    assignment.Bounds,
		version:   assignment.Engine.Version,
		lastID:    assignment.Text.LastID,
		events:    assignment.Text.Len(),
		bytes:     assignment.Text.Size(),
		maxEvents: assignment.MaxEvents,
	}
	if segments := assignment.Text.Segments; len(segments) > 0 {
		reader.hasEvents, reader.firstVersion = true, segments[0].Version
	}
	if answer.WeightVersion > 0 {
		reader.version = answer.WeightVersion
	}
	sink.StreamStarted(reader.version)
	return reader.read(answer, eventTimer)
}

func (a *Assignment) engine() *fleet.Engine {
	return &fleet.Engine{ID: a.Engine.ID, Name: a.Engine.Name, Service: a.Engine.Service, Address: a.Engine.Address, Zone: a.Engine.Zone, Ready: true}
}

// Fingerprint identifies the item among the requests of its tenant.
func (a *Assignment) Fingerprint() quarantine.Fingerprint {
	return quarantine.FingerprintOf(a.Tenant, http.MethodPost, a.Host, a.Path, a.Body)
}

func (a *Assignment) request() *forward.Request {
	header := make(http.Header, len(a.Header))
	for name, value := range a.Header {
		header.Set(name, value)
	}
	return &forward.Request{ID: a.Item, Method: http.MethodPost, Host: a.Host, Target: a.Path, Header: header, Body: a.Body, Tenant: a.Tenant}
}

func (a *Assignment) options() forward.SendOptions {
	options := forward.SendOptions{TimeLeft: a.TimeLeft, LeaveBy: a.LeaveBy, Assigned: true}
	if a.Text.Len() > 0 {
		options.Resume, options.LastEventID = true, a.Text.LastID
	}
	return options
}

// streamReader reads and checks the events of one answer.
type streamReader struct {
	sink   Sink
	bounds Bounds
	// version is the engine's current weight version, and firstVersion that of the text's first event, zero if it has none.
	version, firstVersion int64
	// hasEvents is true once the text has an event; lastID is the ID of the last one.
	hasEvents bool
	lastID    int64
	// events and bytes are the size of the text, and maxEvents is the bound of the assignment.
	events, bytes, maxEvents int
}

// errTextTooLong reports a text beyond the bounds of its item. None of it can be used.
var errTextTooLong = errors.New("itemwork: text too long")

func (r *streamReader) read(answer *forward.Answer, eventTimer *time.Timer) (Verdict, error) {
	events := eventstream.NewReader(answer.Body, answer.VersionField)
	var last time.Time
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) && answer.UntilClose && !r.hasEvents {
			err = eventstream.ErrCutOff
		}
		if errors.Is(err, io.EOF) {
			return VerdictComplete, nil
		}
		if err != nil {
			return VerdictBroken, fmt.Errorf("%w: %w", forward.ErrConnectionBroken, err)
		}
		eventTimer.Reset(eventTimeout)
		now := time.Now()
		var pause time.Duration
		if !last.IsZero() {
			pause = now.Sub(last)
		}
		last = now
		if verdict, err := r.handleEvent(event, pause); verdict != VerdictNone {
			return verdict, err
		}
	}
}

// handleEvent checks an event and passes it to the sink. It returns a verdict other than VerdictNone if the event cannot be used and the run must
// end.
func (r *streamReader) handleEvent(event eventstream.Event, pause time.Duration) (Verdict, error) {
	if event.Extra != "" {
		version, err := strconv.ParseInt(event.Extra, 10, 64)
		if err != nil {
			return VerdictBroken, err
		}
		r.version = version
	}
	if r.version < r.bounds.MinVersion {
		r.sink.StreamStarted(r.version)
		return VerdictOutdated, nil
	}
	if r.bounds.SingleVersion && r.hasEvents && r.firstVersion != r.version {
		r.sink.StreamStarted(r.version)
		r.sink.Restarted()
		return VerdictOutdated, nil
	}
	if !event.HasID || (r.hasEvents && event.ID != r.lastID+1) {
		return VerdictBroken, nil
	}
	r.events++
	r.bytes += len(event.Data)
	if r.bytes > MaxTextBytes || r.maxEvents > 0 && r.events > r.maxEvents {
		r.sink.Restarted()
		return VerdictBroken, fmt.Errorf("%w: %d events, %d bytes", errTextTooLong, r.events, r.bytes)
	}
	if !r.hasEvents {
		r.hasEvents, r.firstVersion = true, r.version
	}
	r.lastID = event.ID
	r.sink.EventReceived(Event{ID: event.ID, Data: event.Data, Version: r.version, Pause: pause})
	return VerdictNone, nil
}

// callReward makes the reward call, with retries, until it returns a score or has failed as often as its route allows. The judgement is aborted if
// ctx ends first, or if a worker should hand the call back to the coordinator.
func (e *Executor) callReward(ctx context.Context, reward *batch.Reward) Judgement {
	failures, sent, arrived := 0, false, boottime.Now()
	var lastSent time.Time
	for ctx.Err() == nil {
		route := e.State.View().Routes.Match(reward.Host, reward.Path)
		deadline := e.rewardDeadline(boottime.Now())
		if route == nil || boottime.Until(deadline) < minRewardCallTime {
			pause.For(ctx, rewardRetryPause)
			continue
		}
		request := &forward.Request{
			ID:     reward.ID,
			Method: http.MethodPost,
			Host:   reward.Host,
			Target: reward.Path,
			Header: http.Header{},
			Body:   reward.Body,
			// Waits in the forwarder's queue while the service is at capacity; Arrived keeps the place in the queue over retries.
			QueueTimeout: rewardQueueTimeout(boottime.Until(deadline), route.LatencyObjective),
			Arrived:      arrived,
			Repeated:     sent && boottime.Since(lastSent) < rewardRepeatTime,
			BodyUnused:   true,
			Deferred:     true,
		}
		result := e.Forwarder.Do(ctx, route, request, deadline)
		failures += result.FailedAttempts
		if result.Sent {
			sent, lastSent = true, boottime.Now()
		}
		if result.Outcome == forward.Completed && result.Status >= 200 && result.Status < 300 {
			return Judgement{State: JudgementScored, Score: result.Signature, Failures: failures}
		}
		if failures >= route.MaxAttempts {
			return Judgement{State: JudgementFailed, Failures: failures}
		}
		// A call that engines failed stays here, so that its failures are counted.
		if sent && failures == 0 && result.Outcome == forward.NotRun && e.isWorker() && boottime.Since(arrived) >= rewardHandBackTime {
			break
		}
		pause.For(ctx, max(rewardRetryPause, result.RetryAfter))
	}
	return Judgement{State: JudgementAborted, Failures: failures}
}

// isWorker reports whether the executor runs assignments of another process, which permits its reward calls.
func (e *Executor) isWorker() bool { return e.PermittedUntil != nil }

// rewardQueueTimeout returns how long a reward call may queue of the time that it has left. It reserves the latency objective for the call itself, up to
// half of the time: a call of 0.3 s that was sent after the queue with minRewardCallTime left failed for 9 s, and its step waited.
func rewardQueueTimeout(left, objective time.Duration) time.Duration {
	reserved := max(minRewardCallTime, min(objective, left/2))
	return max(left-reserved, time.Millisecond)
}

// rewardDeadline returns the deadline of a reward call that starts at a moment.
func (e *Executor) rewardDeadline(now time.Time) time.Time {
	deadline := now.Add(rewardCallTimeout)
	if e.PermittedUntil == nil {
		return deadline
	}
	if until := e.PermittedUntil(); until.Before(deadline) {
		return until
	}
	return deadline
}
