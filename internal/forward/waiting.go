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

// waitQueues holds the requests of this process that wait for full services, one queue a service. A queue releases requests one by one, by rank
// and then by arrival: while the service shows capacity, or else as probes at a rising interval that all its requests share. It is safe for
// concurrent use.
//
// Guarantees: a retry is released only if the retry budget grants it; the caller ends each release, and each begin, by one call of end.
type waitQueues struct {
	budget   *retrybudget.Budget
	logger   log.Logger
	mu       sync.Mutex
	services map[string]*serviceQueue
}

// serviceQueue is the load of one service and the requests that wait for it.
type serviceQueue struct {
	load *serviceLoad
	// waiters are in the order in which they are released.
	waiters []*waiter
	// timer fires when a probe may be due; nil until one waits.
	timer *time.Timer
}

// waiter is a request that waits.
type waiter struct {
	rank    routing.Rank
	arrived time.Time
	// retry is true if the send has yet to be granted by the retry budget.
	retry bool
	// patient is true if the request sets its own Patience.
	patient bool
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

// begin counts as in flight a request that is sent without waiting here.
func (w *waitQueues) begin(service string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.queue(service).load.inFlight++
}

// notFull returns a service's load, and those of the engines that did not just refuse.
func (w *waitQueues) notFull(service string, engines []*fleet.Engine) (Load, []*fleet.Engine) {
	w.mu.Lock()
	defer w.mu.Unlock()
	load, now := w.queue(service).load, boottime.Now()
	if len(load.refusals) == 0 {
		return load.load, engines
	}
	var open []*fleet.Engine
	for _, engine := range engines {
		if !load.knownFull(now, engine.ID) {
			open = append(open, engine)
		}
	}
	return load.load, open
}

// turnAfter returns how long a request that enters now is expected to wait.
func (w *waitQueues) turnAfter(service string, rank routing.Rank) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	queue, ahead := w.queue(service), 0
	for _, waiter := range queue.waiters {
		if waiter.rank.Compare(rank) <= 0 {
			ahead++
		}
	}
	return queue.load.turnAfter(boottime.Now(), ahead)
}

// wait waits until the request is released, at most until a moment of boottime. It reports whether the request may be sent: it then counts as in
// flight, and its retry, if it is one, as granted.
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

// leave takes a waiter out of the queue. It reports false if the waiter was released already.
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

// end ends a send that counted as in flight. note records its outcome, and reports whether the load changed; nil if the outcome says nothing
// about the load.
func (w *waitQueues) end(service string, note func(load *serviceLoad, now time.Time, waiting int) (changed bool)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	queue, now := w.queue(service), boottime.Now()
	queue.load.inFlight--
	before, since := queue.load.load, queue.load.since
	if note != nil && note(queue.load, now, len(queue.waiters)) {
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
	if queue.load.noteNoCapacity(now) {
		w.logChange(service, queue, before, now.Sub(since), now)
	}
}

// logChange logs that a service's load changed.
func (w *waitQueues) logChange(service string, queue *serviceQueue, before Load, lasted time.Duration, now time.Time) {
	load := queue.load
	refusing, unreachable := load.refusing(now)
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
		w.arm(service, queue, queue.load.probeAt.Sub(now))
	}
}

// probe releases the first waiter that may be sent as a probe. The mutex must be held.
func (w *waitQueues) probe(service string, queue *serviceQueue, now time.Time) {
	sent := w.releaseOne(service, queue, func(waiting *waiter) bool {
		return !waiting.retry || queue.load.mayProbeAgain(now, waiting.patient)
	})
	if !sent {
		queue.load.postponeProbe(now)
		return
	}
	queue.load.noteProbe(now)
}

// releaseOne releases the first waiter that may be sent. It reports false if there is none. The mutex must be held.
func (w *waitQueues) releaseOne(service string, queue *serviceQueue, may func(waiting *waiter) bool) bool {
	for i, waiting := range queue.waiters {
		if !may(waiting) || waiting.retry && !w.budget.Take(service) {
			continue
		}
		queue.waiters = slices.Delete(queue.waiters, i, i+1)
		queue.load.inFlight++
		close(waiting.released)
		return true
	}
	return false
}

// arm calls release again after a time. The mutex must be held.
func (w *waitQueues) arm(service string, queue *serviceQueue, after time.Duration) {
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
	// Since is the moment of boottime since which the load has been the same.
	Since time.Time
	// Waiting and InFlight count this process's requests.
	Waiting, InFlight int
	// RetryRatio is the retries for each first send within the retry budget's window.
	RetryRatio float64
}

// statuses returns the status of each service that a request came for.
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
