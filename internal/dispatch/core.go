package dispatch

import (
	"slices"
	"time"

	v1 "github.com/covelink/covelink/api/v1"

	"github.com/covelink/covelink/api/enginev1"
	"github.com/covelink/covelink/internal/cluster"
	"github.com/covelink/covelink/internal/engine"
	"github.com/covelink/covelink/internal/scheduler"
)

// Core is the state machine of a node's dispatch: it places waiting tasks, updates engine state from attempt results and
// keeps the retry budgets. It has no clock, I/O or goroutines: time, views and random numbers are arguments, so that the
// Manager drives it in real time and the simulator in virtual time. It is not safe for concurrent use.
type Core struct {
	zone     string
	snapshot *scheduler.Snapshot
	placer   Placer
	queue    *scheduler.Queue
	waiting  map[uint64]waitingTask
	budgets  map[string]*scheduler.RetryBudget
	inFlight map[Class]int
	// service holds the observed service times by pool and class.
	service map[serviceKey]*scheduler.ServiceTime
	nextID  uint64
}

// Placer chooses the engine of a request. The production implementation is *scheduler.Placer.
type Placer interface {
	// Place decides and, if it places the request, counts it as in flight on the chosen engine.
	Place(now time.Time, snapshot *scheduler.Snapshot, request *scheduler.Request) scheduler.Decision
	// Evaluate makes the same decision as Place without changing any state.
	Evaluate(now time.Time, snapshot *scheduler.Snapshot, request *scheduler.Request) scheduler.Decision
}

type serviceKey struct {
	pool  string
	class Class
}

// waitingTask is a queued task.
type waitingTask struct {
	request scheduler.Request
	class   Class
	since   time.Time
}

// Grant is a slot on an engine for one attempt of a task.
type Grant struct {
	engine cluster.Engine
	state  *scheduler.EngineState
	class  Class
	// waited is the time from the first arrival in the queue to the placement.
	waited time.Duration
	// placed is the time of the placement.
	placed time.Time
	// since is the time of the first arrival in the queue.
	since time.Time
	// resumed is the number of tokens that the attempt resumes from.
	resumed int
}

// Engine returns the engine's entry in the view at the time of the placement.
func (g *Grant) Engine() cluster.Engine { return g.engine }

// Refusal is the error of a task that does not complete. Reason is the value of the metrics label.
type Refusal struct {
	Reason string
	Err    *v1.Error
}

// Placement is the decision on a queued task; exactly one of Grant and Refusal is set.
type Placement struct {
	ID      uint64
	Grant   *Grant
	Refusal *Refusal
}

// NewCore returns a Core for a node in the given zone.
func NewCore(view *cluster.View, zone string, limits scheduler.QueueLimits) *Core {
	return &Core{
		zone:     zone,
		snapshot: scheduler.NewSnapshot(view, zone, nil),
		placer:   &scheduler.Placer{},
		queue:    scheduler.NewQueue(limits),
		waiting:  make(map[uint64]waitingTask),
		budgets:  make(map[string]*scheduler.RetryBudget),
		inFlight: make(map[Class]int),
		service:  make(map[serviceKey]*scheduler.ServiceTime),
	}
}

// SetPlacer replaces the production placer, for experiments that compare placement policies.
func (c *Core) SetPlacer(placer Placer) { c.placer = placer }

// Enqueue admits a task to the queue and returns its id, or refuses it.
func (c *Core) Enqueue(now time.Time, item scheduler.Item, request scheduler.Request, class Class) (uint64, *Refusal) {
	c.nextID++
	item.ID = c.nextID
	item.ServiceTime = c.serviceTime(item.Pool, class).Predict(item.Tokens)
	if item.ArrivedAt.IsZero() {
		item.ArrivedAt = now
	}
	if rejection := c.queue.Push(now, item); rejection != nil {
		return 0, queueRefusal(rejection)
	}
	c.waiting[item.ID] = waitingTask{request: request, class: class, since: item.ArrivedAt}
	return item.ID, nil
}

// Remove removes a task from the queue and reports whether it was queued.
func (c *Core) Remove(id uint64) bool {
	delete(c.waiting, id)
	return c.queue.Remove(id)
}

// Waiting returns the ids of the queued tasks in the order of their arrival.
func (c *Core) Waiting() []uint64 {
	ids := make([]uint64, 0, len(c.waiting))
	for id := range c.waiting {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Refresh applies a view and reports whether it differs from the one in force.
func (c *Core) Refresh(view *cluster.View) bool {
	if view == c.snapshot.View {
		return false
	}
	c.snapshot = scheduler.NewSnapshot(view, c.zone, c.snapshot)
	return true
}

// View returns the view that placements are based on.
func (c *Core) View() *cluster.View { return c.snapshot.View }

// EngineRestarted reports whether, according to the view, the grant's engine has restarted since the placement.
func (c *Core) EngineRestarted(grant *Grant) bool {
	index := c.snapshot.Find(grant.engine.Name)
	if index < 0 {
		return false
	}
	after := &c.snapshot.View.Engines[index]
	return after.Incarnation != "" && after.Incarnation != grant.engine.Incarnation
}

// Place tries to place every queued task and calls onDecision for each one that is granted or refused.
func (c *Core) Place(now time.Time, onDecision func(Placement)) {
	c.queue.Shed(func(item *scheduler.Item) bool { return c.tryShed(now, item, onDecision) })
	c.queue.Scan(now, func(item *scheduler.Item) scheduler.Verdict { return c.tryPlace(now, item, onDecision) })
}

// tryShed refuses a task that cannot finish by its deadline, or that is overdue while every engine is full.
func (c *Core) tryShed(now time.Time, item *scheduler.Item, onDecision func(Placement)) bool {
	if !item.Late(now) && !(item.Overdue(now) && c.waitsForSlot(now, item.ID)) {
		return false
	}
	delete(c.waiting, item.ID)
	onDecision(Placement{ID: item.ID, Refusal: deadlineRefusal(c.Wait(now, *item))})
	return true
}

// waitsForSlot reports whether the lack of a free slot is the only reason why a task is not placed.
func (c *Core) waitsForSlot(now time.Time, id uint64) bool {
	request := c.waiting[id].request
	decision := c.placer.Evaluate(now, c.snapshot, &request)
	return decision.Kind == scheduler.Wait && decision.Reason == scheduler.FilterFull
}

func (c *Core) tryPlace(now time.Time, item *scheduler.Item, onDecision func(Placement)) scheduler.Verdict {
	waiting := c.waiting[item.ID]
	if item.Late(now) {
		delete(c.waiting, item.ID)
		onDecision(Placement{ID: item.ID, Refusal: deadlineRefusal(c.Wait(now, *item))})
		return scheduler.Drop
	}
	decision := c.placer.Place(now, c.snapshot, &waiting.request)
	switch decision.Kind {
	case scheduler.Placed:
		delete(c.waiting, item.ID)
		onDecision(Placement{ID: item.ID, Grant: c.grant(now, waiting, decision.Engine)})
		return scheduler.Take
	case scheduler.Refuse:
		delete(c.waiting, item.ID)
		onDecision(Placement{ID: item.ID, Refusal: placementRefusal(decision)})
		return scheduler.Drop
	}
	if blocksPool(decision) {
		return scheduler.Stop
	}
	return scheduler.Skip
}

// blocksPool reports whether a waiting task is blocked by a condition that applies to every task of its class and pool.
func blocksPool(decision scheduler.Decision) bool {
	removed := &decision.Explanation.Removed
	return removed[scheduler.FilterAvoided] == 0 && removed[scheduler.FilterVersion] == 0
}

func (c *Core) grant(now time.Time, waiting waitingTask, index int) *Grant {
	c.inFlight[waiting.class]++
	return &Grant{
		engine: c.snapshot.View.Engines[index],
		state:  c.snapshot.States[index],
		class:  waiting.class,
		waited: now.Sub(waiting.since),
		placed: now,
		since:  waiting.since,
	}
}

// serviceTime returns the service time estimator of a pool and class.
func (c *Core) serviceTime(pool string, class Class) *scheduler.ServiceTime {
	key := serviceKey{pool: pool, class: class}
	measured, ok := c.service[key]
	if !ok {
		measured = &scheduler.ServiceTime{}
		c.service[key] = measured
	}
	return measured
}

// Explain returns where a request would be placed now, and how many engines each filter removes.
func (c *Core) Explain(now time.Time, request scheduler.Request) scheduler.Decision {
	return c.placer.Evaluate(now, c.snapshot, &request)
}

// Wait estimates the queueing time of a new request of the item's class and pool.
func (c *Core) Wait(now time.Time, item scheduler.Item) time.Duration {
	return c.queue.EstimateWait(now, item.Interactive, item.Pool)
}

// ReleaseUnused releases the slot of a grant without an attempt.
func (c *Core) ReleaseUnused(grant *Grant) {
	grant.state.Breaker.Abandon()
	c.release(grant)
}

func (c *Core) release(grant *Grant) {
	grant.state.Release(grant.class == ClassInteractive)
	c.inFlight[grant.class]--
}

// FinishAttempt records the result of an attempt, releases its slot and reports whether the engine's breaker counted a
// failure. endedLocally is set if this node or the caller ended the attempt; random is uniform in [0, 1).
func (c *Core) FinishAttempt(now time.Time, grant *Grant, result *engine.StreamResult, endedLocally bool, random float64) bool {
	c.observeLoad(now, grant, result.Load)
	engineFailed := false
	switch {
	case result.Outcome == v1.OutcomeCompleted:
		grant.state.Breaker.Succeed()
		c.observeCompletion(grant, result.Load)
		c.serviceTime(grant.engine.Pool, grant.class).Observe(now.Sub(grant.placed), len(result.Tokens)-grant.resumed)
	case result.Refusal != nil:
		grant.state.Breaker.Succeed()
		c.observeRefusal(now, grant, result.Refusal.Reason, random)
	case endedLocally:
		grant.state.Breaker.Abandon()
	default:
		engineFailed = true
		grant.state.Breaker.Fail(now, random)
	}
	c.release(grant)
	return engineFailed
}

// observeRefusal holds off new requests from an engine that refused one, for as long as the reason asks for.
func (c *Core) observeRefusal(now time.Time, grant *Grant, reason enginev1.RefusalReason, random float64) {
	if grant.state.Incarnation != grant.engine.Incarnation {
		return
	}
	switch reason {
	case enginev1.RefusedIncarnation, enginev1.RefusedZone:
		grant.state.Unusable = true
	case enginev1.RefusedDraining:
		grant.state.DrainingUntil = now.Add(drainingHold)
	case enginev1.RefusedFull:
		interactive := grant.class == ClassInteractive
		grant.state.Window(interactive).ObserveRefusal(now, grant.state.InFlightOf(interactive)-1, random)
	default:
		grant.state.HoldUntil = now.Add(busyHold)
	}
}

// observeCompletion grows the node's window on the engine if the reported load is below the slot limit.
func (c *Core) observeCompletion(grant *Grant, load *enginev1.Load) {
	pool := c.snapshot.View.Pools[grant.engine.Pool]
	if load == nil || pool == nil || grant.state.Incarnation != grant.engine.Incarnation {
		return
	}
	interactive := grant.class == ClassInteractive
	limit := scheduler.SlotLimit(pool.Spec.MaxConcurrent, pool.Spec.InteractiveReserve, interactive)
	grant.state.Window(interactive).ObserveAnswer(load.Running+load.Waiting, limit)
}

// observeLoad records a load report, unless it comes from another incarnation than the grant's.
func (c *Core) observeLoad(now time.Time, grant *Grant, load *enginev1.Load) {
	if load == nil || load.Incarnation != grant.engine.Incarnation {
		return
	}
	grant.state.ObserveVersion(load.Incarnation, load.ActiveVersion)
	grant.state.ObserveLoad(now, load.Running+load.Waiting)
}

// ObserveVersion records the weight version of verified tokens. The breaker counts them as a success of the engine.
func (c *Core) ObserveVersion(grant *Grant, version int64) {
	grant.state.ObserveVersion(grant.engine.Incarnation, version)
	grant.state.Breaker.Succeed()
}

// creditRetry adds the share of a completed task to the caller's retry budget.
func (c *Core) creditRetry(caller string) { c.budget(caller).Succeed() }

// withdrawRetry takes one retry from the caller's budget and reports whether the budget allowed it.
func (c *Core) withdrawRetry(caller string) bool { return c.budget(caller).Withdraw() }

func (c *Core) budget(caller string) *scheduler.RetryBudget {
	budget, ok := c.budgets[caller]
	if ok {
		return budget
	}
	if len(c.budgets) >= maxBudgets {
		clear(c.budgets)
	}
	budget = scheduler.NewRetryBudget(scheduler.RetryRatio, scheduler.RetryBurst)
	c.budgets[caller] = budget
	return budget
}

// Permitted reports whether a view, which may be newer than the one used for the placement, still allows the grant. If so,
// it also returns the pool's permitted zones.
func Permitted(now time.Time, view *cluster.View, pool string, grant *Grant) ([]string, bool) {
	known, ok := view.Pools[pool]
	if !ok || !view.ServingAt(now) || !slices.Contains(known.Spec.PermittedZones, grant.engine.Zone) {
		return nil, false
	}
	if zone, found := view.Zones[grant.engine.Zone]; found && zone.Spec.Cordoned {
		return nil, false
	}
	if slices.Contains(known.Spec.DrainingEngines, grant.engine.Name) {
		return nil, false
	}
	index := slices.IndexFunc(view.Engines, func(other cluster.Engine) bool { return other.Name == grant.engine.Name })
	if index < 0 {
		return nil, false
	}
	entry := &view.Engines[index]
	same := entry.Incarnation == grant.engine.Incarnation && entry.Zone == grant.engine.Zone && entry.URL == grant.engine.URL
	return known.Spec.PermittedZones, same && entry.Pool == pool && !entry.Leaving
}

func refuse(reason string, code v1.ErrorCode, retryAfter time.Duration, message string) *Refusal {
	return &Refusal{Reason: reason, Err: v1.NotRun(code, retryAfter, "%s", message)}
}

func queueRefusal(rejection *scheduler.Rejection) *Refusal {
	switch rejection.Reason {
	case scheduler.RejectedDeadline:
		return refuse(string(rejection.Reason), v1.CodeOverloaded, rejection.RetryAfter, "the request cannot meet its deadline")
	case scheduler.RejectedWait:
		return refuse(string(rejection.Reason), v1.CodeOverloaded, rejection.RetryAfter, "the expected wait exceeds the limit")
	}
	return refuse(string(rejection.Reason), v1.CodeOverloaded, rejection.RetryAfter, "the queue is full")
}

// deadlineRefusal refuses a task that cannot finish by its deadline. wait is the estimated queueing time of a new one.
func deadlineRefusal(wait time.Duration) *Refusal {
	return refuse(string(scheduler.RejectedDeadline), v1.CodeOverloaded, max(unavailableRetryAfter, wait),
		"the request cannot meet its deadline")
}

func placementRefusal(decision scheduler.Decision) *Refusal {
	return refuse(reasonNoEngine, v1.CodeUnavailable, decision.RetryAfter,
		"no engine in the pool can run the request: "+decision.Reason.String())
}
