package itemwork

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/covelink/covelink/coord/rendezvous"
	"github.com/covelink/covelink/internal/boottime"
	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/placement"
)

const (
	// workerTimeout is how long after its last expected call a worker is considered lost.
	workerTimeout = 1200 * time.Millisecond
	// disconnectTimeout replaces workerTimeout once the worker's connection has broken.
	disconnectTimeout = 400 * time.Millisecond
	// expiryInterval is the pause between two checks for lost workers.
	expiryInterval = 150 * time.Millisecond
	// maxCachedEngines bounds the cache of the worker chosen for each engine, which also holds engines that have left.
	maxCachedEngines = 8192
	// minReportInterval is the minimum time between two reports of a worker; reportIntervalPerWorker is added for each worker.
	minReportInterval       = 10 * time.Millisecond
	reportIntervalPerWorker = 400 * time.Microsecond
)

// Handler processes run reports for the coordinator.
type Handler interface {
	// HandleReport applies a report and returns what the worker may still do with the run.
	HandleReport(worker string, report *Report) Disposition
	// WorkerLost is called when a worker is considered lost, with all its runs.
	WorkerLost(worker string)
}

// Disposition is what a worker may still do with a run that it has reported.
type Disposition int

// The dispositions.
const (
	// Wanted: the run continues.
	Wanted Disposition = iota
	// TextOnly: the stream continues and its text is kept, but no reward call is made.
	TextOnly
	// Unwanted: the run is canceled.
	Unwanted
)

// Dispatcher assigns runs to workers and receives their reports. It is safe for concurrent use.
type Dispatcher struct {
	// Region returns the region of a zone, or an empty string if it is unknown; nil means that no region is known. Assignments bound to regions go
	// only to workers in those regions. Region must be set before first use.
	Region func(zone string) string
	logger log.Logger

	mu sync.Mutex
	// term, handler and ready belong to the current term; handler is nil outside a term. Reports wait until ready is closed.
	term    int64
	handler Handler
	ready   <-chan struct{}
	workers map[string]*workerState
	// orderCount is the number of the newest order of the term across all workers. It is not counted for each worker, as a worker that registers
	// again would skip new orders as already carried out.
	orderCount uint64
	// registrations counts worker registrations.
	registrations uint64
	// workerByEngine caches the worker chosen for each engine, by engine ID.
	workerByEngine map[string]*workerState
}

// workerState is the dispatcher's state of one worker.
type workerState struct {
	WorkerID
	hash uint64
	// registration is the number of the worker's registration, and registrationSent is true once a reply has carried it.
	registration     uint64
	registrationSent bool
	// deadline is when the worker is considered lost unless it calls.
	deadline time.Time
	orders   []Order
	// ready is closed when there are orders.
	ready chan struct{}
}

// key identifies this start of the worker.
func (w WorkerID) key() string { return w.Name + keySeparator + w.Instance }

// keySeparator does not occur in an Instance.
const keySeparator = "/"

// NewDispatcher returns a Dispatcher that serves no term.
func NewDispatcher(logger log.Logger) *Dispatcher { return &Dispatcher{logger: logger} }

// Workers returns the number of registered workers.
func (d *Dispatcher) Workers() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.workers)
}

// remove drops a worker. The mutex must be held.
func (d *Dispatcher) remove(worker *workerState) {
	delete(d.workers, worker.Name)
	clear(d.workerByEngine)
}

// register returns the state of the calling worker, which it creates if needed. If that replaces an earlier start of the worker, it also returns
// the key of the lost one. The mutex must be held.
func (d *Dispatcher) register(id WorkerID) (worker *workerState, lost string) {
	worker, ok := d.workers[id.Name]
	if ok && worker.Instance != id.Instance {
		lost = worker.key()
		d.remove(worker)
		ok = false
	}
	if !ok {
		d.registrations++
		worker = &workerState{WorkerID: id, hash: rendezvous.Hash(id.Name), registration: d.registrations, ready: make(chan struct{})}
		d.workers[id.Name] = worker
		clear(d.workerByEngine)
		level.Info(d.logger).Log("msg", "worker registered", "worker", id.Name, "zone", id.Zone)
	}
	if worker.Leaving != id.Leaving {
		worker.Leaving = id.Leaving
		clear(d.workerByEngine)
	}
	worker.deadline = time.Now().Add(workerTimeout)
	return worker, lost
}

// Assign queues an assignment for the engine's default worker, or for the best eligible one if the residency excludes that worker's region. It
// returns false if there is none.
func (d *Dispatcher) Assign(residency placement.Residency, engine *fleet.Engine, assignment *Assignment) (worker string, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.handler == nil {
		return "", false
	}
	chosen := d.defaultWorker(engine)
	if chosen != nil && !d.allows(residency, chosen) {
		chosen = d.selectWorker(engine, residency)
	}
	if chosen == nil {
		return "", false
	}
	d.enqueue(chosen, Order{Start: assignment})
	return chosen.key(), true
}

// HasEligibleWorker reports whether the residency allows the region of at least one worker that accepts assignments.
func (d *Dispatcher) HasEligibleWorker(residency placement.Residency) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, worker := range d.workers {
		if !worker.Leaving && d.allows(residency, worker) {
			return true
		}
	}
	return false
}

func (d *Dispatcher) allows(residency placement.Residency, worker *workerState) bool {
	if !residency.Restricted() {
		return true
	}
	return d.Region != nil && residency.Allows(d.Region(worker.Zone))
}

// defaultWorker returns the cached worker of an engine for assignments without a residency bound, choosing one if needed; nil if there is none. The
// mutex must be held.
func (d *Dispatcher) defaultWorker(engine *fleet.Engine) *workerState {
	chosen, ok := d.workerByEngine[engine.ID]
	if !ok {
		if len(d.workerByEngine) >= maxCachedEngines {
			clear(d.workerByEngine)
		}
		chosen = d.selectWorker(engine, placement.Residency{})
		d.workerByEngine[engine.ID] = chosen
	}
	return chosen
}

// selectWorker chooses the worker of an engine by rendezvous hashing among those that a residency allows, preferring the engine's zone; nil if
// there is none. The mutex must be held.
func (d *Dispatcher) selectWorker(engine *fleet.Engine, residency placement.Residency) *workerState {
	key := rendezvous.Hash(engine.ID)
	var best *workerState
	var bestScore uint64
	for _, worker := range d.workers {
		if worker.Leaving || !d.allows(residency, worker) {
			continue
		}
		sameZone, bestSameZone := worker.Zone == engine.Zone, best != nil && best.Zone == engine.Zone
		score := rendezvous.Mix(key, worker.hash)
		if best == nil || (sameZone && !bestSameZone) || (sameZone == bestSameZone && score > bestScore) {
			best, bestScore = worker, score
		}
	}
	return best
}

// Cancel orders a worker to cancel a run.
func (d *Dispatcher) Cancel(worker string, run RunID) { d.enqueueFor(worker, Order{Cancel: run}) }

// Release orders a worker to make no reward call for a run.
func (d *Dispatcher) Release(worker string, run RunID) { d.enqueueFor(worker, Order{Release: run}) }

// enqueueFor queues an order for the worker with a key, if it is registered.
func (d *Dispatcher) enqueueFor(worker string, order Order) {
	d.mu.Lock()
	defer d.mu.Unlock()
	// Looks the worker up by name instead of scanning all: the end of a step queues an order for each item.
	name := worker[:max(strings.LastIndex(worker, keySeparator), 0)]
	if known, ok := d.workers[name]; ok && known.key() == worker {
		d.enqueue(known, order)
	}
}

// enqueue queues an order. The mutex must be held.
func (d *Dispatcher) enqueue(w *workerState, order Order) {
	d.orderCount++
	order.Number = d.orderCount
	w.orders = append(w.orders, order)
	if len(w.orders) == 1 {
		close(w.ready)
	}
}

// confirm drops the orders up to a number, which the worker has carried out. The dispatcher's mutex must be held.
func (w *workerState) confirm(upTo uint64) {
	if len(w.orders) == 0 {
		return
	}
	w.orders = slices.DeleteFunc(w.orders, func(order Order) bool { return order.Number <= upTo })
	if len(w.orders) == 0 {
		w.ready = make(chan struct{})
	}
}

// Poll returns a worker's unconfirmed orders. It waits up to pollWait if there are none.
func (d *Dispatcher) Poll(ctx context.Context, request PollRequest) PollReply {
	started := boottime.Now()
	d.mu.Lock()
	if d.handler == nil {
		d.mu.Unlock()
		return PollReply{}
	}
	handler, term := d.handler, d.term
	worker, lost := d.register(request.Worker)
	if request.Term == term {
		worker.confirm(request.Taken)
	}
	worker.deadline = worker.deadline.Add(pollWait)
	ready, first := worker.ready, !worker.registrationSent
	worker.registrationSent = true
	d.mu.Unlock()
	if lost != "" {
		handler.WorkerLost(lost)
	}
	wait := pollWait
	if request.Term != term || first {
		// Answers at once so that the worker receives the new term or registration.
		wait = 0
	}
	disconnected := awaitOrders(ctx, ready, wait)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.handler == nil || d.term != term {
		return PollReply{}
	}
	reply := PollReply{Leading: true, Term: term, Meeting: worker.registration}
	if d.workers[request.Worker.Name] != worker {
		// The worker was removed during the wait; its runs continue elsewhere.
		return reply
	}
	worker.deadline = time.Now().Add(workerTimeout)
	if disconnected {
		worker.deadline = time.Now().Add(disconnectTimeout)
	}
	now := boottime.Now()
	reply.Held = now.Sub(started)
	reply.Orders = ordersForReply(firstOf(worker.orders), now)
	return reply
}

// maxReplyBytes bounds the assignments of one reply, unless the first alone is larger. The next poll returns the orders that are left.
const maxReplyBytes = 1 << 20

// size returns about how many bytes an assignment takes in a reply.
func (a *Assignment) size() int {
	const fixed = 512
	size := fixed + len(a.Body)
	for name, value := range a.Header {
		size += len(name) + len(value)
	}
	if a.Reward != nil {
		size += len(a.Reward.Body)
	}
	return size
}

// firstOf returns the first orders, up to maxReplyBytes.
func firstOf(orders []Order) []Order {
	size := 0
	for i, order := range orders {
		if order.Start != nil {
			size += order.Start.size()
		}
		if i > 0 && size > maxReplyBytes {
			return orders[:i]
		}
	}
	return orders
}

// ordersForReply returns a copy of orders in which LeaveBy, a moment of this machine's boottime, is replaced by LeaveWithin.
func ordersForReply(orders []Order, now time.Time) []Order {
	copied := slices.Clone(orders)
	for i, order := range copied {
		if order.Start == nil || order.Start.LeaveBy.IsZero() {
			continue
		}
		start := *order.Start
		copied[i].LeaveWithin = start.LeaveBy.Sub(now)
		if copied[i].LeaveWithin == 0 {
			// Zero would mean no bound.
			copied[i].LeaveWithin = -1
		}
		start.LeaveBy = time.Time{}
		copied[i].Start = &start
	}
	return copied
}

// awaitOrders waits until there are orders or the wait is over. It reports whether the caller has disconnected.
func awaitOrders(ctx context.Context, ready <-chan struct{}, wait time.Duration) (disconnected bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ready:
	case <-timer.C:
	case <-ctx.Done():
		return true
	}
	return false
}

// Report passes a worker's reports to the handler of the term, once it is ready.
func (d *Dispatcher) Report(request ReportRequest) ReportReply {
	if !d.awaitReady() {
		return ReportReply{}
	}
	d.mu.Lock()
	if d.handler == nil {
		d.mu.Unlock()
		return ReportReply{}
	}
	handler, term := d.handler, d.term
	worker, lost := d.register(request.Worker)
	reply := ReportReply{Leading: true, Term: term, Meeting: worker.registration, Interval: minReportInterval + time.Duration(len(d.workers))*reportIntervalPerWorker}
	key := worker.key()
	d.mu.Unlock()
	if lost != "" {
		handler.WorkerLost(lost)
	}
	if request.Term != term {
		return reply
	}
	for i := range request.Reports {
		report := &request.Reports[i]
		switch handler.HandleReport(key, report) {
		case Unwanted:
			reply.Unwanted = append(reply.Unwanted, report.Run)
		case TextOnly:
			reply.Released = append(reply.Released, report.Run)
		case Wanted:
		}
	}
	return reply
}
