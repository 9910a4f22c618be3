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

// attempt sends the request to the engine of a turn and ends the turn. A send that needed a grant leaves within GrantedSendTime of it. engines is
// how many engines may run the request. again is true if another attempt may be made.
func (j *job) attempt(ctx context.Context, chosen turn, engines int) (result Result, again bool) {
	engine := chosen.engine
	_, triedBefore := j.tried[engine.ID]
	j.tried[engine.ID] = struct{}{}
	attemptCtx, cancel := context.WithTimeout(ctx, boottime.Until(j.attemptDeadline()))
	defer func() {
		if result.Stream == nil {
			cancel()
		}
	}()
	sent := boottime.Now()
	options := SendOptions{TimeLeft: boottime.Until(j.deadline), Once: !j.route.Repeatable()}
	if !chosen.grantedAt.IsZero() {
		options.LeaveBy = chosen.grantedAt.Add(GrantedSendTime)
	}
	answer, err := j.transport.Send(attemptCtx, engine, j.request, options)
	if err == nil {
		result, err = j.read(attemptCtx, engine, answer, cancel)
	}
	took := boottime.Since(sent)
	if err != nil {
		attempt := lostAttempt{engine: engine, err: err, sent: sent, broke: errors.Is(err, ErrBroken) && attemptCtx.Err() == nil, repeated: triedBefore, engines: engines}
		attempt.withdrawn = ctx.Err() != nil || (!options.LeaveBy.IsZero() && !boottime.Now().Before(options.LeaveBy))
		return j.lost(ctx, attempt)
	}
	j.countSend()
	if answer.NotRun {
		j.unreachable = false
		// At a misdirected address another engine has started: the one that was meant is gone, which is no sign of a full service.
		j.endRefused(refusedSend{engine: engine.ID, unreachable: answer.Misdirected, engines: engines})
		j.picker.Release(engine, busyVerdict(answer), took)
		return Result{}, true
	}
	j.endServed(engine)
	j.noteBegan(sent)
	if answer.Status == http.StatusInternalServerError {
		j.failed++
		j.picker.Release(engine, VerdictFailed, took)
		j.last = &result
		return result, j.route.Repeatable()
	}
	j.picker.Release(engine, VerdictServed, took)
	return result, false
}

func busyVerdict(answer *Answer) Verdict {
	if answer.Misdirected {
		return VerdictGone
	}
	return VerdictBusy
}

// lostAttempt is an attempt without a usable answer.
type lostAttempt struct {
	engine *fleet.Engine
	err    error
	sent   time.Time
	// broke is true if the connection broke without a cause on this side.
	broke bool
	// repeated is true if the request had been sent to the engine before.
	repeated bool
	// engines is how many engines may run the request.
	engines int
	// withdrawn is true if the caller left or the send's grant lapsed: a send that was not made for that reason tells nothing of the engine.
	withdrawn bool
}

// lost handles an attempt without a usable answer.
func (j *job) lost(ctx context.Context, attempt lostAttempt) (Result, bool) {
	engine, err := attempt.engine, attempt.err
	took := boottime.Since(attempt.sent)
	verdict := VerdictFailed
	if ctx.Err() != nil || (attempt.withdrawn && errors.Is(err, ErrNotSent)) {
		verdict = VerdictCanceled
	}
	j.picker.Release(engine, verdict, took)
	if !attempt.repeated {
		// A request that waits for engines that are gone dials each of them many times: one line for each engine is enough.
		level.Debug(j.logger).Log("msg", "attempt lost", "request", j.request.ID, "engine", engine.ID, "took", took, "err", err)
	}
	if errors.Is(err, ErrNotSent) && attempt.withdrawn {
		j.returnRetry()
		j.waiting.end(j.service, nil)
		return Result{}, true
	}
	if errors.Is(err, ErrNotSent) {
		j.unreachable = true
		// A send of which no byte left loads nobody: it is not counted.
		j.returnRetry()
		j.endRefused(refusedSend{engine: engine.ID, unreachable: true, engines: attempt.engines})
		return Result{}, true
	}
	j.countSend()
	// A lost answer tells nothing about the service's capacity.
	j.waiting.end(j.service, nil)
	if attempt.broke && !j.Guard.Broke(j.request.ID, j.fingerprint(), engine) {
		// Retries of one try are how a request that ends engines reaches the next one soonest: two ended 57 ms apart.
		j.once = true
	}
	j.mayHaveRun = true
	j.noteBegan(attempt.sent)
	if !j.route.Repeatable() {
		return j.giveUp(ReasonAnswerLost, false), false
	}
	return Result{}, true
}

// attemptDeadline leaves time for another engine where there may be another attempt.
func (j *job) attemptDeadline() time.Time {
	if !j.route.Repeatable() || len(j.tried) >= j.route.MaxAttempts || len(j.permitted()) < 2 {
		return j.deadline
	}
	patience := max(minPatience, time.Duration(patienceObjectives*float64(j.route.LatencyObjective)))
	patience = min(patience, boottime.Until(j.deadline)/2)
	return boottime.Now().Add(patience)
}
