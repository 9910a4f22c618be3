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
// releases requests one by one while the service shows capacity, else as probes at an increasing interval. Retries are released only within the
// retry budget. Each release and each begin must be followed by one call of end. It is safe for concurrent use.
type waitQueues struct {
	budget   *retrybudget.Budget
	logger   log.Logger
	mu       sync.Mutex
	services map[string]*serviceQueue
}

// serviceQueue is the load of one service and the requests that wait for it.
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
	// retry is true if the retry budget has yet to grant the send.
	retry bool
	// hasQueueTimeout is true if the request sets its own Patience.
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

// begin counts a request as in flight that is sent without queueing.
func (w *waitQueues) begin(service string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.queue(service).load.inFlight++
}

// availableEngines returns a service's load, and those of the engines that are not backing off after a refusal.
func (w *waitQueues) availableEngines(service string, engines []*fleet.Engine) (Load, []*fleet.Engine) {
	w.mu.Lock()
	defer w.mu.Unlock()
	load, now := w.queue(service).load, boottime.Now()
	if len(load.refusals) == 0 {
		return load.load, engines
	}
	var open []*fleet.Engine
	for _, engine := range engines {
		if !load.backingOff(now, engine.ID) {
			open = append(open, engine)
		}
	}
	return load.load, open
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

// wait blocks until the request is released, at most until a boottime. It reports whether the request may be sent: it then counts as in flight,
// and a retry as granted.
func (w *waitQueues) wait(ctx context.Context, service string, waiting *waiter, until time.Time) bool {
	waiting.released = make(chan struct{})
	w.enter(service, waiting)
	timer := time.NewTimer(boottime.Until(until))
	defer timer.Stop()
	select {
	case <-waiting.released:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return !w.leave(service, waiting)
}

func (w *waitQueues) enter(service string, waiting *waiter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	queue := w.queue(service)
	position, _ := slices.BinarySearchFunc(queue.waiters, waiting, func(other, own *waiter) int {
		if order := other.rank.Compare(own.rank); order != 0 {
			return order
		}
		if order := other.arrived.Compare(own.arrived); order != 0 {
			return order
		}
		return -1
	})
	queue.waiters = slices.Insert(queue.waiters, position, waiting)
	w.release(service, queue)
}

// leave removes a waiter from the queue. It returns false if the waiter was already released.
func (w *waitQueues) leave(service string, waiting *waiter) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	queue := w.queue(service)
	position := slices.Index(queue.waiters, waiting)
	if position < 0 {
		return false
	}
	queue.waiters = slices.Delete(queue.waiters, position, position+1)
	return true
}

// endUnused ends a release after which nothing was sent.
func (w *waitQueues) endUnused(service string) { w.end(service, nil) }

// end ends a send that counted as in flight. record records its outcome and reports whether the load changed; it is nil if the outcome says
// nothing about the load.
func (w *waitQueues) end(service string, record func(load *serviceLoad, now time.Time, waiting int) (changed bool)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	queue, now := w.queue(service), boottime.Now()
	queue.load.inFlight--
	before, since := queue.load.load, queue.load.since
	if record != nil && record(queue.load, now, len(queue.waiters)) {
		w.logChange(service, queue, before, now.Sub(since), now)
	}
	w.release(service, queue)
}

// noCapacity records that there are only cold engines, and no grant for any of them.
func (w *waitQueues) noCapacity(service string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	queue, now := w.queue(service), boottime.Now()
	before, since := queue.load.load, queue.load.since
	if queue.load.recordNoCapacity(now) {
		w.logChange(service, queue, before, now.Sub(since), now)
	}
}

func (w *waitQueues) logChange(service string, queue *serviceQueue, before Load, lasted time.Duration, now time.Time) {
	load := queue.load
	refusing, unreachable := load.countRefusing(now)
	level.Info(w.logger).Log("msg", "service load changed", "service", service, "load", load.load, "before", before, "lasted", lasted.Round(time.Millisecond),
		"refused", load.refused.Sum(now), "served", load.served.Sum(now), "window", rateWindow, "engines_refusing", refusing, "engines_unreachable", unreachable,
		"waiting", len(queue.waiters), "in_flight", load.inFlight, "limit", int(load.limit))
}

// release releases as many waiters as the service has capacity for, or one as a probe if one is due. The mutex must be held.
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
	sent := w.releaseOne(service, queue, func(waiting *waiter) bool {
		return !waiting.retry || queue.load.mayProbeWithRetry(now, waiting.hasQueueTimeout)
	})
	if !sent {
		queue.load.postponeProbe(now)
		return
	}
	queue.load.recordProbe(now)
}

// releaseOne releases the first waiter that may be sent. It returns false if there is none. The mutex must be held.
func (w *waitQueues) releaseOne(service string, queue *serviceQueue, eligible func(waiting *waiter) bool) bool {
	for i, waiting := range queue.waiters {
		if !eligible(waiting) || waiting.retry && !w.budget.Take(service) {
			continue
		}
		queue.waiters = slices.Delete(queue.waiters, i, i+1)
		queue.load.inFlight++
		close(waiting.released)
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

// ServiceStatus is this process's view of a service's load.
type ServiceStatus struct {
	Service string
	Load    Load
	// Since is the boottime of the last change of the load.
	Since time.Time
	// Waiting and InFlight count this process's requests.
	Waiting, InFlight int
	// RetryRatio is the number of retries per first send within the retry budget's window.
	RetryRatio float64
}

func (w *waitQueues) statuses() []ServiceStatus {
	w.mu.Lock()
	defer w.mu.Unlock()
	var all []ServiceStatus
	for service, queue := range w.services {
		all = append(all, ServiceStatus{
			Service:    service,
			Load:       queue.load.load,
			Since:      queue.load.since,
			Waiting:    len(queue.waiters),
			InFlight:   queue.load.inFlight,
			RetryRatio: w.budget.Ratio(service),
		})
	}
	return all
}
