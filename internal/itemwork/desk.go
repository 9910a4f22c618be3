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
	"github.com/covelink/covelink/internal/pause"
	"github.com/covelink/covelink/internal/placement"
)

const (
	// silentAfter is how long a worker may leave out a call that is due before its runs count as lost.
	silentAfter = 1200 * time.Millisecond
	// brokenAfter is that time once its connection has broken.
	brokenAfter = 400 * time.Millisecond
	// watchInterval is the pause between two looks for workers that are silent.
	watchInterval = 150 * time.Millisecond
	// maxCarriers bounds the engines whose worker is remembered; those that left are among them.
	maxCarriers = 8192
	// minInterval is the least time between two reports of a worker; intervalPerWorker is added for each worker.
	minInterval       = 10 * time.Millisecond
	intervalPerWorker = 400 * time.Microsecond
)

// Handler takes in what becomes of runs.
type Handler interface {
	// Reported takes in a report. It returns what the worker may do further with the run.
	Reported(worker string, report *Report) Disposition
	// WorkerLost is told that the runs of a worker are not heard of any more.
	WorkerLost(worker string)
}

// Disposition is what a worker may do further with a run that it has reported.
type Disposition int

// The dispositions.
const (
	// Wanted: the run goes on.
	Wanted Disposition = iota
	// TextOnly: the stream goes on and the text is kept, but no reward call is made.
	TextOnly
	// Unwanted: the run ends.
	Unwanted
)

// Desk hands assignments to workers. It is safe for concurrent use.
type Desk struct {
	// Region returns the region of a zone, empty if it is not known; nil knows none. An assignment that is bound to regions is handed only to
	// workers in them. It must be set before the desk is used.
	Region func(zone string) string
	logger log.Logger

	mu sync.Mutex
	// term and handler are those of the term that lasts; handler is nil while there is none.
	term    int64
	handler Handler
	workers map[string]*deskWorker
	// orderCount is the number of the newest order of the term, of whichever worker: one that is met again has carried out
	// earlier ones.
	orderCount uint64
	// meetings counts the times at which a worker was met.
	meetings uint64
	// carriers are the workers of engines, by the engine's ID.
	carriers map[string]*deskWorker
}

// deskWorker is a worker as the desk knows it.
type deskWorker struct {
	WorkerID
	hash uint64
	// meeting is the number of the time at which the worker was met, and meetingTold is true once a reply has told it.
	meeting     uint64
	meetingTold bool
	// deadline is when the worker counts as lost unless it calls.
	deadline time.Time
	// orders are those that it is not known to have carried out.
	orders []Order
	// ready is closed when there are orders.
	ready chan struct{}
}

// key names a start of a worker.
func (w WorkerID) key() string { return w.Name + keySeparator + w.Instance }

// keySeparator occurs in no Instance.
const keySeparator = "/"

// NewDesk returns a Desk that leads nothing.
func NewDesk(logger log.Logger) *Desk { return &Desk{logger: logger} }

// Lead serves workers for a term until ctx ends.
func (d *Desk) Lead(ctx context.Context, term int64, handler Handler) {
	d.mu.Lock()
	d.term, d.handler, d.orderCount = term, handler, 0
	d.workers = make(map[string]*deskWorker)
	d.carriers = make(map[string]*deskWorker)
	d.mu.Unlock()
	for ctx.Err() == nil {
		slept := time.Now()
		pause.For(ctx, watchInterval)
		d.excuse(time.Since(slept) - watchInterval)
		for _, lost := range d.silent() {
			handler.WorkerLost(lost)
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, worker := range d.workers {
		// Polls end at once: a worker that waited on would hear of the next term after that has stopped waiting for runs to adopt.
		if len(worker.orders) == 0 {
			close(worker.ready)
		}
	}
	d.handler, d.workers, d.carriers = nil, nil, nil
}

// Workers returns the number of workers that are heard of.
func (d *Desk) Workers() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.workers)
}

// excuse grants workers the time for which this process itself stood still: nobody could be heard.
func (d *Desk) excuse(stall time.Duration) {
	if stall < watchInterval {
		return
	}
	level.Info(d.logger).Log("msg", "process stood still", "for", stall.Round(time.Millisecond))
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, worker := range d.workers {
		worker.deadline = worker.deadline.Add(stall)
	}
}

// silent removes the workers that are not heard of any more and returns them.
func (d *Desk) silent() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var lost []string
	for name, worker := range d.workers {
		if time.Now().Before(worker.deadline) {
			continue
		}
		level.Info(d.logger).Log("msg", "worker lost", "worker", name, "orders", len(worker.orders))
		d.remove(worker)
		lost = append(lost, worker.key())
	}
	return lost
}

// remove forgets a worker. The mutex must be held.
func (d *Desk) remove(worker *deskWorker) {
	delete(d.workers, worker.Name)
	clear(d.carriers)
}

// meet returns the worker that calls. The mutex must be held. An earlier start of it that was lost is returned as well.
func (d *Desk) meet(id WorkerID) (worker *deskWorker, lost string) {
	worker, ok := d.workers[id.Name]
	if ok && worker.Instance != id.Instance {
		lost = worker.key()
		d.remove(worker)
		ok = false
	}
	if !ok {
		d.meetings++
		worker = &deskWorker{WorkerID: id, hash: rendezvous.Hash(id.Name), meeting: d.meetings, ready: make(chan struct{})}
		d.workers[id.Name] = worker
		clear(d.carriers)
		level.Info(d.logger).Log("msg", "worker met", "worker", id.Name, "zone", id.Zone)
	}
	if worker.Leaving != id.Leaving {
		worker.Leaving = id.Leaving
		clear(d.carriers)
	}
	worker.deadline = time.Now().Add(silentAfter)
	return worker, lost
}

// Assign hands an assignment to the engine's usual worker, or, if the residency excludes that worker's region, to the next best one that it
// allows. It returns false if there is none.
func (d *Desk) Assign(residency placement.Residency, engine *fleet.Engine, assignment *Assignment) (worker string, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.handler == nil {
		return "", false
	}
	carrier := d.usualCarrier(engine)
	if carrier != nil && !d.allows(residency, carrier) {
		carrier = d.carrier(engine, residency)
	}
	if carrier == nil {
		return "", false
	}
	d.add(carrier, Order{Start: assignment})
	return carrier.key(), true
}

// Reaches reports whether the residency allows the region of any worker.
func (d *Desk) Reaches(residency placement.Residency) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, worker := range d.workers {
		if !worker.Leaving && d.allows(residency, worker) {
			return true
		}
	}
	return false
}

// allows reports whether a residency allows the region of a worker.
func (d *Desk) allows(residency placement.Residency, worker *deskWorker) bool {
	if !residency.Bounded() {
		return true
	}
	return d.Region != nil && residency.Allows(d.Region(worker.Zone))
}

// usualCarrier returns the worker of an engine for assignments that are not bound to regions; nil if there is none. It remembers the choice. The
// mutex must be held.
func (d *Desk) usualCarrier(engine *fleet.Engine) *deskWorker {
	carrier, ok := d.carriers[engine.ID]
	if !ok {
		if len(d.carriers) >= maxCarriers {
			clear(d.carriers)
		}
		carrier = d.carrier(engine, placement.Residency{})
		d.carriers[engine.ID] = carrier
	}
	return carrier
}

// carrier chooses the worker of an engine among those that a residency allows, preferring the engine's zone; nil if there is none. The mutex must
// be held.
func (d *Desk) carrier(engine *fleet.Engine, residency placement.Residency) *deskWorker {
	key := rendezvous.Hash(engine.ID)
	var best *deskWorker
	var bestScore uint64
	for _, worker := range d.workers {
		if worker.Leaving || !d.allows(residency, worker) {
			continue
		}
		near, bestNear := worker.Zone == engine.Zone, best != nil && best.Zone == engine.Zone
		score := rendezvous.Mix(key, worker.hash)
		if best == nil || (near && !bestNear) || (near == bestNear && score > bestScore) {
			best, bestScore = worker, score
		}
	}
	return best
}

// Cancel tells a worker to end a run.
func (d *Desk) Cancel(worker string, run RunID) { d.tell(worker, Order{Cancel: run}) }

// Release tells a worker that a run is to make no reward call.
func (d *Desk) Release(worker string, run RunID) { d.tell(worker, Order{Release: run}) }

// tell queues an order for a worker that is heard of.
func (d *Desk) tell(worker string, order Order) {
	d.mu.Lock()
	defer d.mu.Unlock()
	// Not a look at each worker: a step's end cancels and releases a run of each item.
	name := worker[:max(strings.LastIndex(worker, keySeparator), 0)]
	if known, ok := d.workers[name]; ok && known.key() == worker {
		d.add(known, order)
	}
}

// add queues an order. The mutex must be held.
func (d *Desk) add(w *deskWorker, order Order) {
	d.orderCount++
	order.Number = d.orderCount
	w.orders = append(w.orders, order)
	if len(w.orders) == 1 {
		close(w.ready)
	}
}

// confirm drops the orders that the worker has carried out. The desk's mutex must be held.
func (w *deskWorker) confirm(taken uint64) {
	if len(w.orders) == 0 {
		return
	}
	w.orders = slices.DeleteFunc(w.orders, func(order Order) bool { return order.Number <= taken })
	if len(w.orders) == 0 {
		w.ready = make(chan struct{})
	}
}

// Poll returns a worker's orders, as soon as there are some or the wait is over.
func (d *Desk) Poll(ctx context.Context, request PollRequest) PollReply {
	started := boottime.Now()
	d.mu.Lock()
	if d.handler == nil {
		d.mu.Unlock()
		return PollReply{}
	}
	handler, term := d.handler, d.term
	worker, lost := d.meet(request.Worker)
	if request.Term == term {
		worker.confirm(request.Taken)
	}
	worker.deadline = worker.deadline.Add(pollWait)
	ready, first := worker.ready, !worker.meetingTold
	worker.meetingTold = true
	d.mu.Unlock()
	if lost != "" {
		handler.WorkerLost(lost)
	}
	wait := pollWait
	if request.Term != term || first {
		// The worker learns of the term, or that it was lost, first.
		wait = 0
	}
	broken := awaitOrders(ctx, ready, wait)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.handler == nil || d.term != term {
		return PollReply{}
	}
	reply := PollReply{Leading: true, Term: term, Meeting: worker.meeting}
	if d.workers[request.Worker.Name] != worker {
		// The worker was lost meanwhile: its runs go on elsewhere.
		return reply
	}
	worker.deadline = time.Now().Add(silentAfter)
	if broken {
		worker.deadline = time.Now().Add(brokenAfter)
	}
	now := boottime.Now()
	reply.Held = now.Sub(started)
	reply.Orders = forReply(worker.orders, now)
	return reply
}

// forReply returns a copy of orders for a reply at a moment of boottime: LeaveBy, a moment of this machine's clock, becomes LeaveWithin.
func forReply(orders []Order, now time.Time) []Order {
	copied := slices.Clone(orders)
	for i, order := range copied {
		if order.Start == nil || order.Start.LeaveBy.IsZero() {
			continue
		}
		start := *order.Start
		copied[i].LeaveWithin = start.LeaveBy.Sub(now)
		if copied[i].LeaveWithin == 0 {
			// Zero means no bound; a negative time is over as well.
			copied[i].LeaveWithin = -1
		}
		start.LeaveBy = time.Time{}
		copied[i].Start = &start
	}
	return copied
}

// awaitOrders waits until there are orders or the wait is over. It reports whether the caller has gone.
func awaitOrders(ctx context.Context, ready <-chan struct{}, wait time.Duration) (gone bool) {
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

// Report takes in what a worker tells of its runs.
func (d *Desk) Report(request ReportRequest) ReportReply {
	d.mu.Lock()
	if d.handler == nil {
		d.mu.Unlock()
		return ReportReply{}
	}
	handler, term := d.handler, d.term
	worker, lost := d.meet(request.Worker)
	reply := ReportReply{Leading: true, Term: term, Meeting: worker.meeting, Interval: minInterval + time.Duration(len(d.workers))*intervalPerWorker}
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
		switch handler.Reported(key, report) {
		case Unwanted:
			reply.Unwanted = append(reply.Unwanted, report.Run)
		case TextOnly:
			reply.Released = append(reply.Released, report.Run)
		case Wanted:
		}
	}
	return reply
}
