package forward

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/covelink/covelink/internal/boottime"
	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/retrybudget"
	"github.com/covelink/covelink/internal/routing"
)

// maxWaiting bounds the requests that wait for one service: they are held in memory with their bodies. At 60 responses a second, the last of them
// would wait for half a minute, longer than any caller does.
const maxWaiting = 2048

// waitQueues holds this process's requests that wait for full services, one queue per service, ordered by rank, then by the fair shares of tenants,
// then by arrival (fairQueue). A queue releases requests while the service has capacity; otherwise it releases single requests as probes, at increasing
// intervals. Retries are released only within the retry budget. The caller must call end once for each request that wait released or begin counted.
// Safe for concurrent use.
type waitQueues struct {
	// reported returns the capacity that the engines of a service report.
	reported func(service string) capacity
	budget   *retrybudget.Budget
	logger   log.Logger
	mu       sync.Mutex
	services map[string]*serviceQueue
}

// serviceQueue holds the load of one service and the requests queued for it.
type serviceQueue struct {
	load    *serviceLoad
	demand  tenantDemand
	waiters fairQueue
	// unsent counts the released requests whose engine is not selected yet. Reported free slots do not show them.
	unsent int
	// hasReports is true once the service's engines have reported their load.
	hasReports bool
	// timer fires when a probe may be due; nil until a request waits.
	timer *time.Timer
}

// waiter is a queued request.
type waiter struct {
	rank    routing.Rank
	tenant  string
	arrived time.Time
	// until is the boottime after which the request is refused.
	until time.Time
	// needsRetryBudget is true if sending must first take from the retry budget.
	needsRetryBudget bool
	// hasQueueTimeout is true if the request sets its own QueueTimeout.
	hasQueueTimeout bool
	// released is closed when the request may be sent, or has been refused.
	released chan struct{}
	// refused is why the queue refused the request; empty if it released it. It is set before released is closed.
	refused Cause
}

func newWaitQueues(budget *retrybudget.Budget, reported func(service string) capacity, logger log.Logger) *waitQueues {
	return &waitQueues{reported: reported, budget: budget, logger: logger, services: make(map[string]*serviceQueue)}
}

// queue returns the queue of a service. The mutex must be held.
func (w *waitQueues) queue(service string) *serviceQueue {
	queue, ok := w.services[service]
	if !ok {
		queue = &serviceQueue{load: newServiceLoad(boottime.Now())}
		w.services[service] = queue
	}
	return queue
}

// begin counts a request that is sent without queueing as in flight.
func (w *waitQueues) begin(service string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.queue(service).load.inFlight++
}

// arrived counts a request of a tenant in its demand.
func (w *waitQueues) arrived(service, tenant string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.queue(service).demand.record(boottime.Now(), tenant)
}

// availability is what a process knows of a service when it decides about a request.
type availability struct {
	// load is the load as learned and as the engines report it.
	load Load
	// open are the engines that are not backing off after a refusal.
	open []*fleet.Engine
	// slotsFollow is true if the engines report that they are full and this process has requests in progress, whose answers will tell of free slots.
	slotsFollow bool
	// mustQueue is true if the request's tenant surges and the service has no capacity beside that which is left to other tenants.
	mustQueue bool
}

// available returns what is known of a service and some of its engines for a request of a tenant.
func (w *waitQueues) available(service, tenant string, engines []*fleet.Engine, reported capacity) availability {
	w.mu.Lock()
	defer w.mu.Unlock()
	queue, now := w.queue(service), boottime.Now()
	load := queue.load
	found := availability{load: reported.judge(load.state, queue.waiters.size > 0), open: engines, slotsFollow: reported.full() && load.inFlight > 0}
	if reported.known || load.state != LoadNormal {
		surging := queue.demand.surging(now)(tenant)
		found.mustQueue = surging && (found.load != LoadNormal || !queue.hasHeadroom(reported))
	}
	if len(load.refusals) == 0 {
		return found
	}
	var open []*fleet.Engine
	for _, engine := range engines {
		if !load.backingOff(now, engine.ID) {
			open = append(open, engine)
		}
	}
	found.open = open
	return found
}

// queuePosition is what a request of a tenant that arrives now finds in a service's queue.
type queuePosition struct {
	// tenantWaiting and waiting count the tenant's waiting requests and those of all tenants.
	tenantWaiting, waiting int
	// expectedWait is how long the request would wait. observed is true if that follows from enough recent responses.
	expectedWait time.Duration
	observed     bool
}

func (w *waitQueues) position(service string, rank routing.Rank, tenant string) queuePosition {
	w.mu.Lock()
	defer w.mu.Unlock()
	queue, now := w.queue(service), boottime.Now()
	position := queuePosition{tenantWaiting: queue.waiters.waiting(tenant), waiting: queue.waiters.size}
	position.expectedWait = queue.load.expectedWait(now, queue.waiters.ahead(rank, tenant))
	position.observed = queue.load.rateKnown(now)
	return position
}

// wait blocks until the request is released or refused by the queue, or until its time (on the boot-time clock) is over or ctx ends. It reports whether
// the request may be sent. If so, it is counted as in flight, and a retry has been taken from the budget.
func (w *waitQueues) wait(ctx context.Context, service string, entry *waiter) bool {
	entry.released = make(chan struct{})
	w.enter(service, entry)
	timer := time.NewTimer(boottime.Until(entry.until))
	defer timer.Stop()
	select {
	case <-entry.released:
		return entry.refused == ""
	case <-timer.C:
	case <-ctx.Done():
	}
	return !w.leave(service, entry) && entry.refused == ""
}

func (w *waitQueues) enter(service string, entry *waiter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	queue, now := w.queue(service), boottime.Now()
	if queue.waiters.size == 0 && queue.load.probeDue(now) && w.reported(service).full() {
		// The engines have just reported that they are full: a probe now would tell nothing new.
		queue.load.postponeProbe(now)
	}
	queue.waiters.push(entry)
	queue.refuseExcess(now)
	w.release(service, queue)
}

// refuseExcess refuses the requests that the queue has no place for, and those that are expected to wait too long behind other tenants' requests. Both
// are requests of the tenant with the most waiting.
func (q *serviceQueue) refuseExcess(now time.Time) {
	for q.waiters.size > maxWaiting {
		q.refuse(q.waiters.longest(), CauseQueueFull)
	}
	if !q.load.rateKnown(now) {
		return
	}
	tooLate := func(entry *waiter, ahead int) bool {
		return now.Add(q.load.expectedWait(now, ahead)).After(entry.until)
	}
	for entry := q.waiters.lateWaiter(tooLate); entry != nil; entry = q.waiters.lateWaiter(tooLate) {
		q.refuse(entry, CauseDisplaced)
	}
}

func (q *serviceQueue) refuse(entry *waiter, cause Cause) {
	q.waiters.remove(entry)
	entry.refused = cause
	close(entry.released)
}

// leave removes a waiter from the queue. It returns false if the waiter was already released or refused.
func (w *waitQueues) leave(service string, entry *waiter) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.queue(service).waiters.remove(entry)
}

// engineSelected records that the engine of a released request is selected.
func (w *waitQueues) engineSelected(service string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.queue(service).unsent--
}

// endUnused gives up the in-flight slot of a released request that was not sent.
func (w *waitQueues) endUnused(service string) {
	w.engineSelected(service)
	w.end(service, nil)
}

// end stops counting a request as in flight. record updates the load from the outcome of the request and reports whether the load state changed; nil
// if the outcome says nothing about the load.
func (w *waitQueues) end(service string, record func(load *serviceLoad, now time.Time, numWaiting int) (changed bool)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	queue, now := w.queue(service), boottime.Now()
	queue.load.inFlight--
	before, since := queue.load.state, queue.load.since
	if record != nil && record(queue.load, now, queue.waiters.size) {
		w.logChange(service, queue, before, now.Sub(since), now)
	}
	w.release(service, queue)
}

// noCapacity records that no engine can take a request now: all are cold, and the quota granted none.
func (w *waitQueues) noCapacity(service string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	queue, now := w.queue(service), boottime.Now()
	before, since := queue.load.state, queue.load.since
	if queue.load.recordNoCapacity(now) {
		w.logChange(service, queue, before, now.Sub(since), now)
	}
}

func (w *waitQueues) logChange(service string, queue *serviceQueue, before Load, lasted time.Duration, now time.Time) {
	load := queue.load
	refusing, unreachable := load.countRefusing(now)
	reported := w.reported(service)
	level.Info(w.logger).Log("msg", "service load changed", "service", service, "load", load.state, "before", before, "lasted", lasted.Round(time.Millisecond),
		"refused", load.refused.Sum(now), "served", load.served.Sum(now), "window", rateWindow, "engines_refusing", refusing, "engines_unreachable", unreachable,
		"waiting", queue.waiters.size, "in_flight", load.inFlight, "limit", int(load.limit),
		"engines_reporting", reported.reporting, "free_slots", reported.free)
}

// release releases as many waiters as the service has capacity for, and one more as a probe if one is due. The mutex must be held.
func (w *waitQueues) release(service string, queue *serviceQueue) {
	if queue.waiters.size == 0 {
		return
	}
	now, reported := boottime.Now(), w.reported(service)
	queue.hasReports = queue.hasReports || reported.known
	surging := queue.demand.surging(now)
	admits := func(tenant string) bool { return !surging(tenant) || queue.hasHeadroom(reported) }
	for queue.mayRelease(reported) && w.releaseOne(service, queue, admits, func(*waiter) bool { return true }) {
	}
	if queue.waiters.size > 0 && queue.load.probeDue(now) {
		w.probe(service, queue, reported, surging, now)
	}
	if queue.waiters.size > 0 {
		next := queue.load.probeAt
		if reported.known && reported.until.Before(next) {
			next = reported.until
		}
		w.scheduleRelease(service, queue, next.Sub(now))
	}
}

// hasHeadroom reports whether the service has capacity for another request beside that which is left to other tenants during a surge.
func (q *serviceQueue) hasHeadroom(reported capacity) bool {
	if reported.known {
		return reported.hasHeadroom(q.unsent)
	}
	return q.load.state == LoadNormal || float64(q.load.inFlight+1) <= max((1-headroom)*q.load.limit, 1)
}

// mayRelease reports whether the service has capacity for another request: by the reported free slots if they are known, unless an engine refused
// since the last response; else by the learned limit.
func (q *serviceQueue) mayRelease(reported capacity) bool {
	if reported.known {
		return reported.usable > q.unsent && !q.load.refusedAt.After(q.load.servedAt)
	}
	if q.hasReports && q.load.state == LoadNormal && q.load.refusedAt.IsZero() {
		// Only reports, which are too old now, have kept the requests.
		return true
	}
	return q.load.hasCapacity()
}

// probe releases the first waiter that may be sent as a probe. While the engines report their load and this process's requests are in progress, the
// answers will tell of free slots: then only requests of tenants that do not surge are sent, and none to full engines. The mutex must be held.
func (w *waitQueues) probe(service string, queue *serviceQueue, reported capacity, surging func(tenant string) bool, now time.Time) {
	told := reported.known && queue.load.inFlight > 0
	admits := func(tenant string) bool { return !told || (reported.free > 0 && !surging(tenant)) }
	sent := w.releaseOne(service, queue, admits, func(entry *waiter) bool {
		return !entry.needsRetryBudget || queue.load.mayProbeWithRetry(now, entry.hasQueueTimeout)
	})
	if !sent {
		queue.load.postponeProbe(now)
		return
	}
	queue.load.recordProbe(now)
}

// releaseOne releases the first waiter that may be sent, of the tenants that admits accepts. It returns false if there is none. The mutex must be held.
func (w *waitQueues) releaseOne(service string, queue *serviceQueue, admits func(tenant string) bool, eligible func(entry *waiter) bool) bool {
	entry := queue.waiters.take(admits, func(entry *waiter) bool {
		return eligible(entry) && (!entry.needsRetryBudget || w.budget.Take(service))
	})
	if entry == nil {
		return false
	}
	queue.load.inFlight++
	queue.unsent++
	close(entry.released)
	return true
}

// scheduleRelease calls release after a delay. The mutex must be held.
func (w *waitQueues) scheduleRelease(service string, queue *serviceQueue, after time.Duration) {
	if queue.timer == nil {
		queue.timer = time.AfterFunc(after, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.release(service, queue)
		})
		return
	}
	queue.timer.Reset(after)
}

// ServiceStatus describes a service's load as observed by this process.
type ServiceStatus struct {
	Service string
	Load    Load
	// Since is the time of the last change of Load, on the boot-time clock.
	Since time.Time
	// Waiting and InFlight count this process's queued requests and its requests in flight.
	Waiting, InFlight int
	// ReportingEngines counts the engines whose reported load is young enough to count, and FreeSlots their free slots.
	ReportingEngines, FreeSlots int
	// RetryRatio is the ratio of retries to first attempts in the retry budget's window.
	RetryRatio float64
}

func (w *waitQueues) statuses() []ServiceStatus {
	w.mu.Lock()
	defer w.mu.Unlock()
	var all []ServiceStatus
	for service, queue := range w.services {
		reported := w.reported(service)
		all = append(all, ServiceStatus{
			Service:    service,
			Load:       queue.load.state,
			Since:      queue.load.since,
			Waiting:    queue.waiters.size,
			InFlight:   queue.load.inFlight,
			RetryRatio: w.budget.Ratio(service),

			ReportingEngines: reported.reporting,
			FreeSlots:        reported.free,
		})
	}
	return all
}
