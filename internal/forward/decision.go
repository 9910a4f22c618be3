package forward

import (
	"context"
	"time"

	"github.com/covelink/covelink/internal/boottime"
	"github.com/covelink/covelink/internal/fleet"
)

// decision is the next step of a request: a send, a refusal, or, if neither is set, another evaluation of the engines.
type decision struct {
	// engine is to be sent the request at once. The send already counts as in flight, and a retry as granted.
	engine *fleet.Engine
	// grantedAt is the boottime of the grant for a cold engine; zero for a warm one.
	grantedAt time.Time
	// refusal, if set, ends the request.
	refusal Reason
}

// candidates returns the engines that the request may be sent to within its route's MaxAttempts: untried ones, or, if there are none, those that
// refused it.
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
	case j.mayHaveExecuted():
		// An engine that was sent the request may have run it: send it to none of them twice.
		return nil
	}
	return refusing
}

// trySampled selects among a sample of the engines of a large service, for the first send of a request while the load is normal. It returns the
// zero decision if no sampled engine is warm and available; all engines are then considered, so that sampling never causes a wait or a refusal.
func (j *job) trySampled(permitted []*fleet.Engine) decision {
	if len(permitted) <= sampleThreshold || len(j.tried) > 0 || j.route.MaxAttempts < 1 || j.isRetry() || j.mayHaveExecuted() {
		return decision{}
	}
	warm, _ := j.partitionCold(j.picker.Sample(permitted))
	load, open := j.waiting.availableEngines(j.service, warm)
	if load != LoadNormal || len(open) == 0 {
		return decision{}
	}
	return j.sendTo(open)
}

// nextDecision selects one of the candidates, and queues first if the service is full.
func (j *job) nextDecision(ctx context.Context, candidates []*fleet.Engine) decision {
	warm, cold := j.partitionCold(candidates)
	load, open := j.waiting.availableEngines(j.service, warm)
	if j.mayHaveExecuted() {
		return j.failover(ctx, warm, open, cold)
	}
	if len(open) > 0 && j.maySkipQueue(load) {
		if !j.isRetry() {
			return j.sendTo(open)
		}
		if j.takeRetry() {
			return j.sendTo(open)
		}
	}
	return j.wait(ctx, warm, cold)
}

// partitionCold separates the warm engines from the cold ones, which need a grant.
func (j *job) partitionCold(engines []*fleet.Engine) (warm, cold []*fleet.Engine) {
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

// maySkipQueue reports whether the request may be sent without queueing. If the load is not normal, only the first send of an interactive request
// may, one without its own queue timeout; it also serves as a probe.
func (j *job) maySkipQueue(load Load) bool {
	return load == LoadNormal || (!j.isRetry() && j.request.QueueTimeout == 0)
}

func (j *job) isRetry() bool { return j.sends > 0 || j.request.Repeated }

func (j *job) takeRetry() bool {
	granted := j.budget.Take(j.service)
	if !granted && j.LoadObserver != nil {
		j.LoadObserver.RetryDenied(j.service)
	}
	return granted
}

// failover returns the decision for a request that an engine failed or whose response was lost. It does not queue.
func (j *job) failover(ctx context.Context, warm, open, cold []*fleet.Engine) decision {
	if !j.takeRetry() {
		return decision{refusal: ReasonRetryBudget}
	}
	switch {
	case len(open) > 0:
		return j.sendTo(open)
	case len(warm) > 0:
		return j.sendTo(warm)
	}
	if granted := j.acquireGrant(ctx, cold); granted.engine != nil {
		return j.sendGranted(ctx, granted)
	}
	j.budget.Return(j.service)
	return decision{refusal: ReasonEnginesCold}
}

// sendTo returns a decision to send to the best of the engines without queueing.
func (j *job) sendTo(engines []*fleet.Engine) decision {
	j.waiting.begin(j.service)
	return decision{engine: j.pick(engines)}
}

func (j *job) pick(engines []*fleet.Engine) *fleet.Engine {
	return j.picker.Acquire(engines, func(*fleet.Engine) bool { return true })
}

// wait waits for capacity of a warm engine or for a grant of a cold one. It refuses a request whose expected wait exceeds its queue timeout.
func (j *job) wait(ctx context.Context, warm, cold []*fleet.Engine) decision {
	if !boottime.Now().Before(j.queueDeadline) {
		return decision{refusal: j.notAcceptedReason()}
	}
	if len(warm) > 0 && len(cold) == 0 && j.request.QueueTimeout == 0 && j.waiting.expectedWait(j.service, j.rank) > boottime.Until(j.queueDeadline) {
		if j.LoadObserver != nil {
			j.LoadObserver.RefusedAtOnce(j.service)
		}
		return decision{refusal: j.notAcceptedReason()}
	}
	began := boottime.Now()
	if j.LoadObserver != nil {
		defer func() { j.LoadObserver.Waited(j.service, boottime.Since(began)) }()
	}
	if len(cold) > 0 && (!j.isRetry() || j.takeRetry()) {
		return j.waitForCapacityOrGrant(ctx, warm, cold)
	}
	return j.waitForCapacity(ctx, warm)
}

func (j *job) waitForCapacity(ctx context.Context, warm []*fleet.Engine) decision {
	if len(warm) == 0 && j.request.QueueTimeout == 0 {
		return decision{refusal: j.notAcceptedReason()}
	}
	if !j.waiting.wait(ctx, j.service, j.newWaiter(j.isRetry()), j.queueDeadline) {
		return decision{}
	}
	return j.sendReleased(ctx)
}

// newWaiter returns the request's queue entry. retry is true if the retry budget has yet to grant the send.
func (j *job) newWaiter(retry bool) *waiter {
	arrived := j.request.Arrived
	if arrived.IsZero() {
		arrived = j.started
	}
	return &waiter{rank: j.rank, arrived: arrived, needsRetryBudget: retry, hasQueueTimeout: j.request.QueueTimeout > 0}
}

// waitForCapacityOrGrant waits for capacity of a warm engine or for a grant of a cold one, whichever comes first. If the send is a retry, the
// retry budget has already granted it.
func (j *job) waitForCapacityOrGrant(ctx context.Context, warm, cold []*fleet.Engine) decision {
	if len(warm) == 0 {
		if granted := j.acquireGrant(ctx, cold); granted.engine != nil {
			return j.sendGranted(ctx, granted)
		}
		j.returnRetry()
		if j.request.QueueTimeout == 0 {
			return decision{refusal: ReasonEnginesCold}
		}
		j.waiting.noCapacity(j.service)
		return j.waitForCapacity(ctx, warm)
	}
	granted, released := j.awaitFirst(ctx, cold)
	switch {
	case granted.engine != nil:
		if released {
			j.waiting.endUnused(j.service)
		}
		return j.sendGranted(ctx, granted)
	case released:
		return j.sendReleased(ctx)
	}
	j.returnRetry()
	return decision{}
}

// awaitFirst waits until a cold engine is granted or the queue releases the request. Both may happen at the same time.
func (j *job) awaitFirst(ctx context.Context, cold []*fleet.Engine) (first grant, released bool) {
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
	released = j.waiting.wait(queueCtx, j.service, j.newWaiter(false), j.queueDeadline)
	endQuota()
	return <-granted, released
}

// grant permits one send to a cold engine. at is the boottime at which it was received. The zero value is no grant.
type grant struct {
	engine *fleet.Engine
	at     time.Time
}

func (j *job) acquireGrant(ctx context.Context, cold []*fleet.Engine) grant {
	engine := j.Quota.Acquire(ctx, cold, j.rank, j.queueDeadline)
	return grant{engine: engine, at: boottime.Now()}
}

// sendGranted returns the decision for a granted send, unless the engine may no longer run the request.
func (j *job) sendGranted(ctx context.Context, granted grant) decision {
	if j.canStillSend(ctx) {
		for _, permitted := range j.permitted() {
			if permitted.ID == granted.engine.ID {
				next := j.sendTo([]*fleet.Engine{permitted})
				next.grantedAt = granted.at
				return next
			}
		}
	}
	j.returnRetry()
	return decision{}
}

// sendReleased returns the decision for a request that the queue released. It evaluates the engines again, since they may have changed meanwhile.
func (j *job) sendReleased(ctx context.Context) decision {
	if j.canStillSend(ctx) {
		warm, _ := j.partitionCold(j.candidates(j.permitted()))
		if _, open := j.waiting.availableEngines(j.service, warm); len(open) > 0 {
			warm = open
		}
		if engine := j.pick(warm); engine != nil {
			return decision{engine: engine}
		}
	}
	j.returnRetry()
	j.waiting.endUnused(j.service)
	return decision{}
}

// canStillSend reports whether the caller is still waiting and enough time is left for an attempt.
func (j *job) canStillSend(ctx context.Context) bool {
	return ctx.Err() == nil && boottime.Until(j.deadline) >= minAttemptTime
}

// returnRetry returns a granted retry that was not sent to the budget.
func (j *job) returnRetry() {
	if j.isRetry() {
		j.budget.Return(j.service)
	}
}

// countSend counts a send of which at least one byte was sent.
func (j *job) countSend() {
	if !j.isRetry() {
		j.budget.RecordFirst(j.service)
	} else if j.LoadObserver != nil {
		j.LoadObserver.Retried(j.service)
	}
	j.sends++
}

func (j *job) endServed(engine *fleet.Engine) {
	j.waiting.end(j.service, func(load *serviceLoad, now time.Time, waiting int) bool {
		return load.recordServed(now, engine.ID, waiting)
	})
}

// endRefused ends a send that an engine did not accept. It sets whether all engines have refused.
func (j *job) endRefused(send refusedSend) {
	// A refusal by a single engine is weak evidence for a service with many.
	send.exhausted = !send.unreachable && len(j.tried) >= 2 && len(j.tried) >= min(j.route.MaxAttempts, send.engines)
	j.waiting.end(j.service, func(load *serviceLoad, now time.Time, _ int) bool {
		return load.recordRefused(now, send)
	})
}
