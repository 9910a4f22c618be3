package forward

import (
	"context"
	"time"

	"github.com/covelink/covelink/internal/boottime"
	"github.com/covelink/covelink/internal/fleet"
)

// turn is what a request does next.
type turn struct {
	// engine is to be sent the request at once: it is counted as in flight, and as a retry if it is one.
	engine *fleet.Engine
	// grantedAt is when the send to a cold engine was granted, a moment of boottime; zero for a warm one.
	grantedAt time.Time
	// refusal ends the request. Without an engine and a refusal the request looks at the engines anew.
	refusal Reason
}

// candidates returns those of the engines that the request may be sent to within its route's number of engines: untried ones first, and once
// there is none left, those that refused it.
func (j *job) candidates(permitted []*fleet.Engine) []*fleet.Engine {
	var untried, refusing []*fleet.Engine
	for _, engine := range permitted {
		if _, tried := j.tried[engine.ID]; tried {
			refusing = append(refusing, engine)
		} else {
			untried = append(untried, engine)
		}
	}
	switch {
	case len(j.tried) < j.route.MaxAttempts && len(untried) > 0:
		return untried
	case j.begun():
		// One of the tried engines may have run it.
		return nil
	}
	return refusing
}

// nextTurn chooses an engine, and waits for one if the service is full.
func (j *job) nextTurn(ctx context.Context, candidates []*fleet.Engine) turn {
	warm, cold := j.split(candidates)
	load, open := j.waiting.notFull(j.service, warm)
	if j.begun() {
		return j.anotherEngine(ctx, warm, open, cold)
	}
	if len(open) > 0 && j.mayTryNow(load) {
		if !j.isRetry() {
			return j.sendTo(open)
		}
		if j.takeRetry() {
			return j.sendTo(open)
		}
	}
	return j.wait(ctx, warm, cold)
}

// split tells engines that are sent requests freely from those that need a grant.
func (j *job) split(engines []*fleet.Engine) (warm, cold []*fleet.Engine) {
	if j.Quota == nil {
		return engines, nil
	}
	for _, engine := range engines {
		if j.Quota.Cold(engine) {
			cold = append(cold, engine)
		} else {
			warm = append(warm, engine)
		}
	}
	return warm, cold
}

// mayTryNow reports whether the request may go to an engine that is not known to be full. While the service is not well that is for first tries
// only, and not of those who can wait.
func (j *job) mayTryNow(load Load) bool {
	return load == LoadWell || (!j.isRetry() && j.request.Patience == 0)
}

// isRetry reports whether the next send is one beyond the request's first.
func (j *job) isRetry() bool { return j.sends > 0 || j.request.Repeated }

// takeRetry asks the budget for a retry.
func (j *job) takeRetry() bool {
	granted := j.budget.Take(j.service)
	if !granted && j.LoadObserver != nil {
		j.LoadObserver.RetryDenied(j.service)
	}
	return granted
}

// anotherEngine asks another engine at once after a failure or a lost answer.
func (j *job) anotherEngine(ctx context.Context, warm, open, cold []*fleet.Engine) turn {
	if !j.takeRetry() {
		return turn{refusal: ReasonRetryBudget}
	}
	switch {
	case len(open) > 0:
		return j.sendTo(open)
	case len(warm) > 0:
		return j.sendTo(warm)
	}
	if granted := j.acquireGrant(ctx, cold); granted.engine != nil {
		return j.useGrant(ctx, granted)
	}
	j.budget.Return(j.service)
	return turn{refusal: ReasonEnginesFull}
}

// sendTo takes the best of the engines.
func (j *job) sendTo(engines []*fleet.Engine) turn {
	j.waiting.begin(j.service)
	return turn{engine: j.pick(engines)}
}

func (j *job) pick(engines []*fleet.Engine) *fleet.Engine {
	return j.picker.Acquire(engines, func(*fleet.Engine) bool { return true })
}

// wait waits until a warm engine shows room or a cold one is granted.
func (j *job) wait(ctx context.Context, warm, cold []*fleet.Engine) turn {
	if !boottime.Now().Before(j.waitUntil) {
		return turn{refusal: j.reasonNotTaken()}
	}
	if len(warm) > 0 && len(cold) == 0 && j.request.Patience == 0 && j.waiting.turnAfter(j.service, j.rank) > boottime.Until(j.waitUntil) {
		if j.LoadObserver != nil {
			j.LoadObserver.RefusedAtOnce(j.service)
		}
		return turn{refusal: j.reasonNotTaken()}
	}
	began := boottime.Now()
	if j.LoadObserver != nil {
		defer func() { j.LoadObserver.Waited(j.service, boottime.Since(began)) }()
	}
	if len(cold) > 0 && (!j.isRetry() || j.takeRetry()) {
		return j.waitForEither(ctx, warm, cold)
	}
	return j.waitForRoom(ctx, warm)
}

// waitForRoom waits until the waiting room lets the request out.
func (j *job) waitForRoom(ctx context.Context, warm []*fleet.Engine) turn {
	if len(warm) == 0 && j.request.Patience == 0 {
		return turn{refusal: j.reasonNotTaken()}
	}
	if !j.waiting.wait(ctx, j.service, j.waiter(j.isRetry()), j.waitUntil) {
		return turn{}
	}
	return j.useTurn(ctx)
}

// waiter returns the request as one that waits.
func (j *job) waiter(retry bool) *waiter {
	arrived := j.request.Arrived
	if arrived.IsZero() {
		arrived = j.started
	}
	return &waiter{rank: j.rank, arrived: arrived, retry: retry, patient: j.request.Patience > 0}
}

// waitForEither waits for a warm engine's room and for a grant of a cold one, whichever comes first. A retry is granted already.
func (j *job) waitForEither(ctx context.Context, warm, cold []*fleet.Engine) turn {
	if len(warm) == 0 {
		if granted := j.acquireGrant(ctx, cold); granted.engine != nil {
			return j.useGrant(ctx, granted)
		}
		j.returnRetry()
		if j.request.Patience == 0 {
			return turn{refusal: ReasonEnginesCold}
		}
		j.waiting.noRoom(j.service)
		return j.waitForRoom(ctx, warm)
	}
	granted, shown := j.firstOf(ctx, cold)
	switch {
	case granted.engine != nil:
		if shown {
			j.waiting.unused(j.service)
		}
		return j.useGrant(ctx, granted)
	case shown:
		return j.useTurn(ctx)
	}
	j.returnRetry()
	return turn{}
}

// firstOf waits until one of the cold engines is granted, or the waiting room gives the request its turn. It may be both at the same moment.
func (j *job) firstOf(ctx context.Context, cold []*fleet.Engine) (first grant, shown bool) {
	quotaCtx, endQuota := context.WithCancel(ctx)
	defer endQuota()
	roomCtx, endRoom := context.WithCancel(ctx)
	defer endRoom()
	granted := make(chan grant, 1)
	go func() {
		acquired := j.acquireGrant(quotaCtx, cold)
		if acquired.engine != nil {
			endRoom()
		}
		granted <- acquired
	}()
	shown = j.waiting.wait(roomCtx, j.service, j.waiter(false), j.waitUntil)
	endQuota()
	return <-granted, shown
}

// grant is a send to a cold engine that was granted at a moment of boottime. The zero value is none.
type grant struct {
	engine *fleet.Engine
	at     time.Time
}

// acquireGrant waits for a grant of one of the cold engines.
func (j *job) acquireGrant(ctx context.Context, cold []*fleet.Engine) grant {
	engine := j.Quota.Acquire(ctx, cold, j.rank, j.waitUntil)
	return grant{engine: engine, at: boottime.Now()}
}

// useGrant sends the request to a cold engine unless that may not run it any more.
func (j *job) useGrant(ctx context.Context, granted grant) turn {
	if j.mayStillRun(ctx) {
		for _, permitted := range j.permitted() {
			if permitted.ID == granted.engine.ID {
				next := j.sendTo([]*fleet.Engine{permitted})
				next.grantedAt = granted.at
				return next
			}
		}
	}
	j.returnRetry()
	return turn{}
}

// useTurn sends the request that was let out to a warm engine as things are now: while it waited, engines may have come and gone.
func (j *job) useTurn(ctx context.Context) turn {
	if j.mayStillRun(ctx) {
		warm, _ := j.split(j.candidates(j.permitted()))
		if _, open := j.waiting.notFull(j.service, warm); len(open) > 0 {
			warm = open
		}
		if engine := j.pick(warm); engine != nil {
			return turn{engine: engine}
		}
	}
	j.returnRetry()
	j.waiting.unused(j.service)
	return turn{}
}

// mayStillRun reports whether the caller is there and has time.
func (j *job) mayStillRun(ctx context.Context) bool {
	return ctx.Err() == nil && boottime.Until(j.deadline) >= minAttemptTime
}

// returnRetry gives back the retry that was granted for a send which is not made.
func (j *job) returnRetry() {
	if j.isRetry() {
		j.budget.Return(j.service)
	}
}

// countSend counts a send that reached an engine.
func (j *job) countSend() {
	if !j.isRetry() {
		j.budget.First(j.service)
	} else if j.LoadObserver != nil {
		j.LoadObserver.Retried(j.service)
	}
	j.sends++
}

// uncountSend takes back a send of which no byte left: it is no load to anybody.
func (j *job) uncountSend() { j.returnRetry() }

// endServed ends a turn in which an engine took the request.
func (j *job) endServed(engine *fleet.Engine) {
	j.waiting.ended(j.service, func(load *serviceLoad, now time.Time, waiting int) bool {
		return load.noteServed(now, engine.ID, waiting)
	})
}

// endRefused ends a turn in which an engine, one of so many, did not take the request.
func (j *job) endRefused(engine *fleet.Engine, unreachable bool, engines int) {
	// One refusal of one engine tells little of a service of many.
	exhausted := !unreachable && len(j.tried) >= 2 && len(j.tried) >= min(j.route.MaxAttempts, engines)
	j.waiting.ended(j.service, func(load *serviceLoad, now time.Time, _ int) bool {
		return load.noteRefused(now, engine.ID, unreachable, exhausted, engines)
	})
}
