package forward

import (
	"context"
	"time"

	"github.com/covelink/covelink/internal/boottime"
	"github.com/covelink/covelink/internal/fleet"
)

// turn is the next step of a request: a send, a refusal, or, if it has neither, another look at the engines.
type turn struct {
	// engine is to be sent the request at once. The send counts as in flight already, and its retry, if it is one, as granted.
	engine *fleet.Engine
	// grantedAt is when the send to a cold engine was granted, a moment of boottime; zero for a warm one.
	grantedAt time.Time
	// refusal ends the request.
	refusal Reason
}

// candidates returns the engines that the request may be sent to within its route's MaxAttempts: those that it was not sent to yet, or, once there
// is none left, those that refused it.
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
		// An engine that it was sent to may have run it: none of them is sent it twice.
		return nil
	}
	return refusing
}

// firstTry chooses among few engines of a large service, for the first send of a request while the service is well. It returns the zero turn if that is
// not the case, or if none of them is warm and open: all engines are looked at then, so that a subset is never why a request waits or is refused.
func (j *job) firstTry(permitted []*fleet.Engine) turn {
	if len(permitted) <= wholeService || len(j.tried) > 0 || j.route.MaxAttempts < 1 || j.isRetry() || j.begun() {
		return turn{}
	}
	warm, _ := j.split(j.picker.Few(permitted))
	load, open := j.waiting.notFull(j.service, warm)
	if load != LoadWell || len(open) == 0 {
		return turn{}
	}
	return j.sendTo(open)
}

// nextTurn chooses one of the candidates, and waits first if the service is full.
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

// split separates the warm engines from the cold ones, which need a grant.
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

// mayTryNow reports whether the request may skip the queue. While the service is not well only the first try of a request without patience may:
// a person waits for it, and it serves as a probe.
func (j *job) mayTryNow(load Load) bool {
	return load == LoadWell || (!j.isRetry() && j.request.Patience == 0)
}

// isRetry reports whether the next send is one beyond the request's first.
func (j *job) isRetry() bool { return j.sends > 0 || j.request.Repeated }

// takeRetry reports whether the retry budget grants a retry.
func (j *job) takeRetry() bool {
	granted := j.budget.Take(j.service)
	if !granted && j.LoadObserver != nil {
		j.LoadObserver.RetryDenied(j.service)
	}
	return granted
}

// anotherEngine returns the turn of a request that an engine failed, or whose answer was lost. It does not wait in the queue.
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
	return turn{refusal: ReasonEnginesCold}
}

// sendTo returns a turn with the best of the engines, without waiting.
func (j *job) sendTo(engines []*fleet.Engine) turn {
	j.waiting.begin(j.service)
	return turn{engine: j.pick(engines)}
}

func (j *job) pick(engines []*fleet.Engine) *fleet.Engine {
	return j.picker.Acquire(engines, func(*fleet.Engine) bool { return true })
}

// wait waits for capacity of a warm engine or a grant of a cold one. It refuses a request whose turn would come too late.
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
	return j.waitForCapacity(ctx, warm)
}

// waitForCapacity waits in the service's queue.
func (j *job) waitForCapacity(ctx context.Context, warm []*fleet.Engine) turn {
	if len(warm) == 0 && j.request.Patience == 0 {
		return turn{refusal: j.reasonNotTaken()}
	}
	if !j.waiting.wait(ctx, j.service, j.waiter(j.isRetry()), j.waitUntil) {
		return turn{}
	}
	return j.useTurn(ctx)
}

// waiter returns the request's place in the queue; retry is true if its send has yet to be granted by the retry budget.
func (j *job) waiter(retry bool) *waiter {
	arrived := j.request.Arrived
	if arrived.IsZero() {
		arrived = j.started
	}
	return &waiter{rank: j.rank, arrived: arrived, retry: retry, patient: j.request.Patience > 0}
}

// waitForEither waits for capacity of a warm engine or a grant of a cold one, whichever comes first. If the send is a retry, the retry budget
// has granted it.
func (j *job) waitForEither(ctx context.Context, warm, cold []*fleet.Engine) turn {
	if len(warm) == 0 {
		if granted := j.acquireGrant(ctx, cold); granted.engine != nil {
			return j.useGrant(ctx, granted)
		}
		j.returnRetry()
		if j.request.Patience == 0 {
			return turn{refusal: ReasonEnginesCold}
		}
		j.waiting.noCapacity(j.service)
		return j.waitForCapacity(ctx, warm)
	}
	granted, released := j.firstOf(ctx, cold)
	switch {
	case granted.engine != nil:
		if released {
			j.waiting.endUnused(j.service)
		}
		return j.useGrant(ctx, granted)
	case released:
		return j.useTurn(ctx)
	}
	j.returnRetry()
	return turn{}
}

// firstOf waits until a cold engine is granted or the queue releases the request. Both may happen at the same moment.
func (j *job) firstOf(ctx context.Context, cold []*fleet.Engine) (first grant, released bool) {
	quotaCtx, endQuota := context.WithCancel(ctx)
	defer endQuota()
	queueCtx, endQueue := context.WithCancel(ctx)
	defer endQueue()
	granted := make(chan grant, 1)
	go func() {
		acquired := j.acquireGrant(quotaCtx, cold)
		if acquired.engine != nil {
			endQueue()
		}
		granted <- acquired
	}()
	released = j.waiting.wait(queueCtx, j.service, j.waiter(false), j.waitUntil)
	endQuota()
	return <-granted, released
}

// grant permits one send to a cold engine. at is the moment of boottime at which it was received. The zero value is no grant.
type grant struct {
	engine *fleet.Engine
	at     time.Time
}

// acquireGrant waits for a grant of one of the cold engines.
func (j *job) acquireGrant(ctx context.Context, cold []*fleet.Engine) grant {
	engine := j.Quota.Acquire(ctx, cold, j.rank, j.waitUntil)
	return grant{engine: engine, at: boottime.Now()}
}

// useGrant returns the turn of a granted send, unless the engine may no longer run the request.
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

// useTurn returns the turn of a request that the queue released. It looks at the engines again: while the request waited, some may have come
// or gone.
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
	j.waiting.endUnused(j.service)
	return turn{}
}

// mayStillRun reports whether the caller still waits and enough time is left for an attempt.
func (j *job) mayStillRun(ctx context.Context) bool {
	return ctx.Err() == nil && boottime.Until(j.deadline) >= minAttemptTime
}

// returnRetry gives a granted retry back to the budget, for a send that was not made.
func (j *job) returnRetry() {
	if j.isRetry() {
		j.budget.Return(j.service)
	}
}

// countSend counts a send of which a byte left.
func (j *job) countSend() {
	if !j.isRetry() {
		j.budget.First(j.service)
	} else if j.LoadObserver != nil {
		j.LoadObserver.Retried(j.service)
	}
	j.sends++
}

// endServed ends a turn in which an engine took the request.
func (j *job) endServed(engine *fleet.Engine) {
	j.waiting.end(j.service, func(load *serviceLoad, now time.Time, waiting int) bool {
		return load.noteServed(now, engine.ID, waiting)
	})
}

// endRefused ends a turn in which an engine did not take the request. It sets whether all engines have refused.
func (j *job) endRefused(send refusedSend) {
	// A refusal by one engine alone says little about a service of many.
	send.exhausted = !send.unreachable && len(j.tried) >= 2 && len(j.tried) >= min(j.route.MaxAttempts, send.engines)
	j.waiting.end(j.service, func(load *serviceLoad, now time.Time, _ int) bool {
		return load.noteRefused(now, send)
	})
}
