package forward

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/covelink/covelink/internal/boottime"
	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/retrybudget"
	"github.com/covelink/covelink/internal/routing"
)

// waitQueues holds this process's requests that wait for full services, one queue per service, ordered by rank and then by arrival. A queue
// releases requests while the service has capacity; otherwise it releases single requests as probes, at increasing intervals. Retries are released
// only within the retry budget. The caller must call end once for each request that wait released or begin counted. Safe for concurrent use.
type waitQueues struct {
	budget   *retrybudget.Budget
	logger   log.Logger
	mu       sync.Mutex
	services map[string]*serviceQueue
}

// serviceQueue holds the load of one service and the requests queued for it.
type serviceQueue struct {
	load *serviceLoad
	// waiters are in release order.
	waiters []*waiter
	// timer fires when a probe may be due; nil until a request waits.
	timer *time.Timer
}

// waiter is a queued request.
type waiter struct {
	rank    routing.Rank
	arrived time.Time
	// needsRetryBudget is true if sending must first take from the retry budget.
	needsRetryBudget bool
	// hasQueueTimeout is true if the request sets its own QueueTimeout.
	hasQueueTimeout bool
	// released is closed when the request may be sent.
	released chan struct{}
}

func newWaitQueues(budget *retrybudget.Budget, logger log.Logger) *waitQueues {
	return &waitQueues{budget: budget, logger: logger, services: make(map[string]*serviceQueue)}
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

// availableEngines returns a service's load state and the engines that are not backing off after a refusal.
func (w *waitQueues) availableEngines(service string, engines []*fleet.Engine) (Load, []*fleet.Engine) {
	w.mu.Lock()
	defer w.mu.Unlock()
	load, now := w.queue(service).load, boottime.Now()
	if len(load.refusals) == 0 {
		return load.state, engines
	}
	var open []*fleet.Engine
	for _, engine := range engines {
		if !load.backingOff(now, engine.ID) {
			open = append(open, engine)
		}
	}
	return load.state, open
}

// expectedWait estimates how long a request that is queued now will wait.
func (w *waitQueues) expectedWait(service string, rank routing.Rank) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	queue, ahead := w.queue(service), 0
	for _, waiter := range queue.waiters {
		if waiter.rank.Compare(rank) <= 0 {
			ahead++
		}
	}
	return queue.load.expectedWait(boottime.Now(), ahead)
}

// wait blocks until the request is released, or until the deadline (on the boot-time clock) passes or ctx ends. It reports whether the request may be
// sent. If so, it is counted as in flight, and a retry has been taken from the budget.
func (w *waitQueues) wait(ctx context.Context, service string, entry *waiter, deadline time.Time) bool {
	entry.released = make(chan struct{})
	w.enter(service, entry)
	timer := time.NewTimer(boottime.Until(deadline))
	defer timer.Stop()
	select {
	case <-entry.released:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return !w.leave(service, entry)
}

func (w *waitQueues) enter(service string, entry *waiter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	queue := w.queue(service)
	position, _ := slices.BinarySearchFunc(queue.waiters, entry, func(other, own *waiter) int {
		if order := other.rank.Compare(own.rank); order != 0 {
			return order
		}
		if order := other.arrived.Compare(own.arrived); order != 0 {
			return order
		}
		return -1
	})
	queue.waiters = slices.Insert(queue.waiters, position, entry)
	w.release(service, queue)
}

// leave removes a waiter from the queue. It returns false if the waiter was already released.
func (w *waitQueues) leave(service string, entry *waiter) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	queue := w.queue(service)
	position := slices.Index(queue.waiters, entry)
	if position < 0 {
		return false
	}
	queue.waiters = slices.Delete(queue.waiters, position, position+1)
	return true
}

// endUnused gives up the in-flight slot of a released request that was not sent.
func (w *waitQueues) endUnused(service string) { w.end(service, nil) }

// end stops counting a request as in flight. record updates the load from the outcome of the request and reports whether the load state changed; nil
// if the outcome says nothing about the load.
func (w *waitQueues) end(service string, record func(load *serviceLoad, now time.Time, numWaiting int) (changed bool)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	queue, now := w.queue(service), boottime.Now()
	queue.load.inFlight--
	before, since := queue.load.state, queue.load.since
	if record != nil && record(queue.load, now, len(queue.waiters)) {
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
	level.Info(w.logger).Log("msg", "service load changed", "service", service, "load", load.state, "before", before, "lasted", lasted.Round(time.Millisecond),
		"refused", load.refused.Sum(now), "served", load.served.Sum(now), "window", rateWindow, "engines_refusing", refusing, "engines_unreachable", unreachable,
		"waiting", len(queue.waiters), "in_flight", load.inFlight, "limit", int(load.limit))
}

// release releases as many waiters as the service has capacity for, and one more as a probe if one is due. The mutex must be held.
func (w *waitQueues) release(service string, queue *serviceQueue) {
	now := boottime.Now()
	for queue.load.hasCapacity() && w.releaseOne(service, queue, func(*waiter) bool { return true }) {
	}
	if len(queue.waiters) > 0 && queue.load.probeDue(now) {
		w.probe(service, queue, now)
	}
	if len(queue.waiters) > 0 {
		w.scheduleRelease(service, queue, queue.load.probeAt.Sub(now))
	}
}

// probe releases the first waiter that may be sent as a probe. The mutex must be held.
func (w *waitQueues) probe(service string, queue *serviceQueue, now time.Time) {
	sent := w.releaseOne(service, queue, func(entry *waiter) bool {
		return !entry.needsRetryBudget || queue.load.mayProbeWithRetry(now, entry.hasQueueTimeout)
	})
	if !sent {
		queue.load.postponeProbe(now)
		return
	}
	queue.load.recordProbe(now)
}

// releaseOne releases the first waiter that may be sent. It returns false if there is none. The mutex must be held.
func (w *waitQueues) releaseOne(service string, queue *serviceQueue, eligible func(entry *waiter) bool) bool {
	for i, entry := range queue.waiters {
		if !eligible(entry) || entry.needsRetryBudget && !w.budget.Take(service) {
			continue
		}
		queue.waiters = slices.Delete(queue.waiters, i, i+1)
		queue.load.inFlight++
		close(entry.released)
		return true
	}
	return false
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
	// RetryRatio is the ratio of retries to first attempts in the retry budget's window.
	RetryRatio float64
}

func (w *waitQueues) statuses() []ServiceStatus {
	w.mu.Lock()
	defer w.mu.Unlock()
	var all []ServiceStatus
	for service, queue := range w.services {
		all = append(all, ServiceStatus{
			Service:    service,
			Load:       queue.load.state,
			Since:      queue.load.since,
			Waiting:    len(queue.waiters),
			InFlight:   queue.load.inFlight,
			RetryRatio: w.budget.Ratio(service),
		})
	}
	return all
}
