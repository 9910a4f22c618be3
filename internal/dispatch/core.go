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

// Core holds the decisions of a node's dispatch: which waiting task starts where, what an attempt tells of its engine,
// and which callers may retry. It is pure: no clock, no I/O, no goroutine; the present time, views and random numbers are
// arguments. The Manager drives it in real time and the simulator in virtual time. It is not safe for concurrent use.
type Core struct {
	zone     string
	snapshot *scheduler.Snapshot
	placer   Placer
	queue    *scheduler.Queue
	waiting  map[uint64]waitingTask
	budgets  map[string]*scheduler.RetryBudget
	inFlight map[Class]int
	// service holds what was measured of answers by pool and class.
	service map[serviceKey]*scheduler.ServiceTime
	nextID  uint64
}

// Placer chooses the engine of a request; the product's is *scheduler.Placer, whose contract this is.
type Placer interface {
	// Place decides and counts the request as in flight on the engine it is placed on.
	Place(now time.Time, snapshot *scheduler.Snapshot, request *scheduler.Request) scheduler.Decision
	// Evaluate decides as Place does and counts nothing.
	Evaluate(now time.Time, snapshot *scheduler.Snapshot, request *scheduler.Request) scheduler.Decision
}

type serviceKey struct {
	pool  string
	class Class
}

// waitingTask is a task that waits for a placement.
type waitingTask struct {
	request scheduler.Request
	class   Class
	since   time.Time
}

// Grant is a slot on an engine.
type Grant struct {
	engine cluster.Engine
	state  *scheduler.EngineState
	class  Class
	// waited is the time from the arrival in the queue to the placement, and placed the time of that.
	waited time.Duration
	placed time.Time
	since  time.Time
	// resumed is the number of tokens that the attempt did not have to produce.
	resumed int
}

// Engine returns the view's entry of the engine at the time of the placement.
func (g *Grant) Engine() cluster.Engine { return g.engine }

// Refusal is the end of a task that does not complete, with the reason that the metrics count it by.
type Refusal struct {
	Reason string
	Err    *v1.Error
}

// Placement is the decision on a waiting task: a Grant or a Refusal.
type Placement struct {
	ID      uint64
	Grant   *Grant
	Refusal *Refusal
}

// NewCore returns the Core of a node in a zone.
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

// UsePlacer replaces the product's placer, so that an experiment can compare.
func (c *Core) UsePlacer(placer Placer) { c.placer = placer }

// Enqueue admits a task to the queue and returns its number there, or refuses it.
func (c *Core) Enqueue(now time.Time, item scheduler.Item, request scheduler.Request, class Class) (uint64, *Refusal) {
	c.nextID++
	item.ID = c.nextID
	item.ServiceTime = c.serviceTime(item.Pool, class).Predict(item.Tokens)
	if item.ArrivedAt.IsZero() {
		item.ArrivedAt = now
	}
	if rejection := c.queue.Push(now, item); rejection != nil {
		return 0, rejected(rejection)
	}
	c.waiting[item.ID] = waitingTask{request: request, class: class, since: item.ArrivedAt}
	return item.ID, nil
}

// Remove takes a task out of the queue and reports whether it was there.
func (c *Core) Remove(id uint64) bool {
	delete(c.waiting, id)
	return c.queue.Remove(id)
}

// Waiting returns the numbers of the tasks that wait, in the order of their arrival.
func (c *Core) Waiting() []uint64 {
	ids := make([]uint64, 0, len(c.waiting))
	for id := range c.waiting {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Refresh takes over a view and reports whether it is a new one.
func (c *Core) Refresh(view *cluster.View) bool {
	if view == c.snapshot.View {
		return false
	}
	c.snapshot = scheduler.NewSnapshot(view, c.zone, c.snapshot)
	return true
}

// View returns the view in force.
func (c *Core) View() *cluster.View { return c.snapshot.View }

// Replaced reports whether the view shows that the grant's engine has restarted since.
func (c *Core) Replaced(held *Grant) bool {
	index := c.snapshot.Find(held.engine.Name)
	if index < 0 {
		return false
	}
	after := &c.snapshot.View.Engines[index]
	return after.Incarnation != "" && after.Incarnation != held.engine.Incarnation
}

// Place decides on every waiting task and tells of each that is granted or refused.
func (c *Core) Place(now time.Time, decided func(Placement)) {
	c.queue.Shed(func(item *scheduler.Item) bool { return c.tryShed(now, item, decided) })
	c.queue.Scan(now, func(item *scheduler.Item) scheduler.Verdict { return c.tryPlace(now, item, decided) })
}

// tryShed refuses a task that can no longer end by its deadline, or that has waited too long while every engine is full.
func (c *Core) tryShed(now time.Time, item *scheduler.Item, decided func(Placement)) bool {
	if !item.Late(now) && !(item.Overdue(now) && c.full(now, item.ID)) {
		return false
	}
	delete(c.waiting, item.ID)
	decided(Placement{ID: item.ID, Refusal: late(c.Wait(now, *item))})
	return true
}

// full reports whether a task waits for nothing but a slot.
func (c *Core) full(now time.Time, id uint64) bool {
	request := c.waiting[id].request
	decision := c.placer.Evaluate(now, c.snapshot, &request)
	return decision.Kind == scheduler.Wait && decision.Reason == scheduler.FilterFull
}

func (c *Core) tryPlace(now time.Time, item *scheduler.Item, decided func(Placement)) scheduler.Verdict {
	waiting := c.waiting[item.ID]
	if item.Late(now) {
		delete(c.waiting, item.ID)
		decided(Placement{ID: item.ID, Refusal: late(c.Wait(now, *item))})
		return scheduler.Drop
	}
	decision := c.placer.Place(now, c.snapshot, &waiting.request)
	switch decision.Kind {
	case scheduler.Placed:
		delete(c.waiting, item.ID)
		decided(Placement{ID: item.ID, Grant: c.grant(now, waiting, decision.Engine)})
		return scheduler.Take
	case scheduler.Refuse:
		delete(c.waiting, item.ID)
		decided(Placement{ID: item.ID, Refusal: unplaceable(decision)})
		return scheduler.Drop
	}
	if wholePoolFull(decision) {
		return scheduler.Stop
	}
	return scheduler.Skip
}

// wholePoolFull reports that what keeps this task waiting keeps every other task of its class and pool waiting too.
func wholePoolFull(decision scheduler.Decision) bool {
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

// serviceTime returns what was measured of the answers of a pool and class.
func (c *Core) serviceTime(pool string, class Class) *scheduler.ServiceTime {
	key := serviceKey{pool: pool, class: class}
	measured, ok := c.service[key]
	if !ok {
		measured = &scheduler.ServiceTime{}
		c.service[key] = measured
	}
	return measured
}

// Explain tells where a request would be placed now, and which filter removes how many engines.
func (c *Core) Explain(now time.Time, request scheduler.Request) scheduler.Decision {
	return c.placer.Evaluate(now, c.snapshot, &request)
}

// Wait estimates how long a new request of the class and pool would wait.
func (c *Core) Wait(now time.Time, item scheduler.Item) time.Duration {
	return c.queue.EstimateWait(now, item.Interactive, item.Pool)
}

// GiveBack returns a slot that was not used.
func (c *Core) GiveBack(held *Grant) {
	held.state.Breaker.Abandon()
	c.release(held)
}

func (c *Core) release(held *Grant) {
	held.state.Release(held.class == ClassInteractive)
	c.inFlight[held.class]--
}

// Finished accounts for an attempt and gives its slot back. own tells that the engine is not to blame for the end; random
// is uniform in [0, 1). It reports whether the engine is to blame.
func (c *Core) Finished(now time.Time, held *Grant, result *engine.StreamResult, own bool, random float64) bool {
	c.observeLoad(now, held, result.Load)
	blamed := false
	switch {
	case result.Outcome == v1.OutcomeCompleted:
		held.state.Breaker.Succeed()
		c.observeAnswer(held, result.Load)
		c.serviceTime(held.engine.Pool, held.class).Observe(now.Sub(held.placed), len(result.Tokens)-held.resumed)
	case result.Refusal != nil:
		held.state.Breaker.Succeed()
		c.observeRefusal(now, held, result.Refusal.Reason, random)
	case own:
		held.state.Breaker.Abandon()
	default:
		blamed = true
		held.state.Breaker.Fail(now, random)
	}
	c.release(held)
	return blamed
}

// observeRefusal keeps new requests off an engine that refused one.
func (c *Core) observeRefusal(now time.Time, held *Grant, reason enginev1.RefusalReason, random float64) {
	if held.state.Incarnation != held.engine.Incarnation {
		return
	}
	switch reason {
	case enginev1.RefusedIncarnation, enginev1.RefusedZone:
		held.state.Unusable = true
	case enginev1.RefusedDraining:
		held.state.DrainingUntil = now.Add(drainingHold)
	case enginev1.RefusedFull:
		interactive := held.class == ClassInteractive
		held.state.Window(interactive).ObserveRefusal(now, held.state.InFlightOf(interactive)-1, random)
	default:
		held.state.HoldUntil = now.Add(busyHold)
	}
}

// observeAnswer lets the node's share of the engine grow when an answer left room there.
func (c *Core) observeAnswer(held *Grant, load *enginev1.Load) {
	pool := c.snapshot.View.Pools[held.engine.Pool]
	if load == nil || pool == nil || held.state.Incarnation != held.engine.Incarnation {
		return
	}
	interactive := held.class == ClassInteractive
	limit := scheduler.SlotLimit(pool.Spec.MaxConcurrent, pool.Spec.InteractiveReserve, interactive)
	held.state.Window(interactive).ObserveAnswer(load.Running+load.Waiting, limit)
}

// observeLoad takes over a report that came with a reply of the grant's incarnation.
func (c *Core) observeLoad(now time.Time, held *Grant, load *enginev1.Load) {
	if load == nil || load.Incarnation != held.engine.Incarnation {
		return
	}
	held.state.ObserveVersion(load.Incarnation, load.ActiveVersion)
	held.state.ObserveLoad(now, load.Running+load.Waiting)
}

// ObserveVersion takes over the version of verified tokens. They also prove that the engine works.
func (c *Core) ObserveVersion(held *Grant, version int64) {
	held.state.ObserveVersion(held.engine.Incarnation, version)
	held.state.Breaker.Succeed()
}

// succeeded earns the caller a share of a retry.
func (c *Core) succeeded(caller string) { c.budget(caller).Succeed() }

// mayRetry takes a retry from the caller's budget.
func (c *Core) mayRetry(caller string) bool { return c.budget(caller).Withdraw() }

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

// Permitted checks a grant against a view, which may be newer than the one it was decided on, and returns the pool's
// permitted zones.
func Permitted(now time.Time, view *cluster.View, pool string, held *Grant) ([]string, bool) {
	known, ok := view.Pools[pool]
	if !ok || !view.ServingAt(now) || !slices.Contains(known.Spec.PermittedZones, held.engine.Zone) {
		return nil, false
	}
	if zone, found := view.Zones[held.engine.Zone]; found && zone.Spec.Cordoned {
		return nil, false
	}
	if slices.Contains(known.Spec.DrainingEngines, held.engine.Name) {
		return nil, false
	}
	at := slices.IndexFunc(view.Engines, func(other cluster.Engine) bool { return other.Name == held.engine.Name })
	if at < 0 {
		return nil, false
	}
	entry := &view.Engines[at]
	same := entry.Incarnation == held.engine.Incarnation && entry.Zone == held.engine.Zone && entry.URL == held.engine.URL
	return known.Spec.PermittedZones, same && entry.Pool == pool && !entry.Leaving
}

func refuse(reason string, code v1.ErrorCode, retryAfter time.Duration, message string) *Refusal {
	return &Refusal{Reason: reason, Err: v1.NotRun(code, retryAfter, "%s", message)}
}

func rejected(rejection *scheduler.Rejection) *Refusal {
	switch rejection.Reason {
	case scheduler.RejectedDeadline:
		return refuse(string(rejection.Reason), v1.CodeOverloaded, rejection.RetryAfter, "the deadline cannot be met")
	case scheduler.RejectedWait:
		return refuse(string(rejection.Reason), v1.CodeOverloaded, rejection.RetryAfter, "the request would wait too long")
	}
	return refuse(string(rejection.Reason), v1.CodeOverloaded, rejection.RetryAfter, "the queue is full")
}

// late refuses a task that can no longer end by its deadline. wait is what a new one would wait.
func late(wait time.Duration) *Refusal {
	return refuse(string(scheduler.RejectedDeadline), v1.CodeOverloaded, max(unavailableRetryAfter, wait),
		"the deadline cannot be met")
}

func unplaceable(decision scheduler.Decision) *Refusal {
	return refuse(reasonNoEngine, v1.CodeUnavailable, decision.RetryAfter,
		"no engine of the pool can take the request: "+decision.Reason.String())
}
