package forward

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/go-kit/log/level"

	"github.com/covelink/covelink/internal/boottime"
	"github.com/covelink/covelink/internal/fleet"
)

// attempt sends the request to the engine of a decision and ends its in-flight count. A send under a grant must leave within GrantedSendTime of
// the grant. engines is the number of engines permitted to run the request. again is true if another attempt may be made.
func (j *job) attempt(ctx context.Context, chosen decision, engines int) (result Result, retry bool) {
	engine := chosen.engine
	_, triedBefore := j.tried[engine.ID]
	j.tried[engine.ID] = struct{}{}
	attemptCtx, cancel := j.attemptContext(ctx)
	timer := startAnswerTimer(j.attemptTimeout(), func() { cancel(errAnswerTimeout) })
	defer func() {
		timer.stop()
		if result.Stream == nil {
			cancel(nil)
		}
	}()
	sent := boottime.Now()
	options := SendOptions{TimeLeft: boottime.Until(j.deadline), NoReplay: !j.route.Repeatable()}
	if !chosen.grantedAt.IsZero() {
		options.LeaveBy = chosen.grantedAt.Add(GrantedSendTime)
	}
	answer, err := j.transport.Send(attemptCtx, engine, j.request, options)
	if err == nil {
		result, err = j.readAnswer(attemptCtx, engine, answer, timer, func() { cancel(nil) })
	}
	took := boottime.Since(sent)
	if err != nil {
		attempt := lostAttempt{engine: engine, err: err, sent: sent, broke: errors.Is(err, ErrConnectionBroken) && attemptCtx.Err() == nil, repeated: triedBefore, engines: engines}
		attempt.canceled = ctx.Err() != nil || (!options.LeaveBy.IsZero() && !boottime.Now().Before(options.LeaveBy))
		return j.handleLost(ctx, attempt)
	}
	j.countSend()
	if answer.NotRun {
		j.unreachable = false
		// A misdirected response means that the intended engine has ended and another listens at its address, not that the service is full.
		j.endRefused(refusedSend{engine: engine.ID, unreachable: answer.Misdirected, engines: engines})
		j.picker.Release(engine, refusalVerdict(answer), took)
		return Result{}, true
	}
	j.endServed(engine)
	j.recordExecution(sent)
	if answer.Status == http.StatusInternalServerError {
		j.failedAttempts++
		j.picker.Release(engine, VerdictFailed, took)
		j.lastFailure = &result
		return result, j.route.Repeatable()
	}
	j.picker.Release(engine, VerdictServed, took)
	return result, false
}

func refusalVerdict(answer *Answer) Verdict {
	if answer.Misdirected {
		return VerdictMisdirected
	}
	return VerdictBusy
}

// lostAttempt is an attempt without a usable response.
type lostAttempt struct {
	engine *fleet.Engine
	err    error
	sent   time.Time
	// broke is true if the connection broke before the attempt's context ended.
	broke bool
	// repeated is true if the request was sent to this engine before.
	repeated bool
	// engines is the number of engines permitted to run the request.
	engines int
	// canceled is true if the caller left or the grant expired; if nothing was sent, the attempt has no bearing on the engine's health.
	canceled bool
}

func (j *job) handleLost(ctx context.Context, attempt lostAttempt) (Result, bool) {
	engine, err := attempt.engine, attempt.err
	took := boottime.Since(attempt.sent)
	verdict := VerdictFailed
	if ctx.Err() != nil || (attempt.canceled && errors.Is(err, ErrNotSent)) {
		verdict = VerdictCanceled
	}
	j.picker.Release(engine, verdict, took)
	if !attempt.repeated {
		// A queued request may dial an unreachable engine many times: log each engine once.
		level.Debug(j.logger).Log("msg", "attempt failed", "request", j.request.ID, "engine", engine.ID, "took", took, "err", err)
	}
	if errors.Is(err, ErrNotSent) && attempt.canceled {
		j.returnRetry()
		j.waiting.end(j.service, nil)
		return Result{}, true
	}
	if errors.Is(err, ErrNotSent) {
		j.unreachable = true
		// Nothing was sent, so the retry does not count against the budget.
		j.returnRetry()
		j.endRefused(refusedSend{engine: engine.ID, unreachable: true, engines: attempt.engines})
		return Result{}, true
	}
	j.countSend()
	// A lost response is no evidence of the service's capacity.
	j.waiting.end(j.service, nil)
	if attempt.broke {
		var retry bool
		retry, j.engineRuns = j.Guard.ConnectionLost(j.loss(engine))
		// Failover would take a request that crashes engines to the next engine.
		j.noFailover = j.noFailover || !retry
	}
	j.attemptLost = true
	j.recordExecution(attempt.sent)
	if !j.route.Repeatable() {
		return j.giveUp(ReasonAnswerLost, false), false
	}
	return Result{}, true
}

// attemptContext returns the context of an attempt, which ends with the request's deadline.
func (j *job) attemptContext(ctx context.Context) (context.Context, context.CancelCauseFunc) {
	bounded, release := context.WithTimeout(ctx, boottime.Until(j.deadline))
	attemptCtx, cancel := context.WithCancelCause(bounded)
	return attemptCtx, func(cause error) {
		cancel(cause)
		release()
	}
}

// attemptTimeout returns how long the next attempt waits for a response; zero for as long as the request has. It leaves time for a later attempt.
func (j *job) attemptTimeout() time.Duration {
	if !j.route.Repeatable() || len(j.tried) >= j.route.MaxAttempts || len(j.permitted()) < 2 {
		return 0
	}
	timeout := max(minAttemptTimeout, time.Duration(attemptTimeoutFactor*float64(j.route.LatencyObjective)))
	return max(min(timeout, boottime.Until(j.deadline)/2), time.Nanosecond)
}
