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

// waitingRoom holds the requests of this process that wait for a full service. It lets them out one by one, the most urgent first and of those
// the one that came first, as engines show room, or else as probes at a rising interval that they share. It is safe for concurrent use.
//
// Guarantees: a retry is let out only with a grant of the budget; every turn that is given ends by one call of ended.
type waitingRoom struct {
	budget   *retrybudget.Budget
	logger   log.Logger
	mu       sync.Mutex
	services map[string]*serviceRoom
}

// serviceRoom is the room of one service.
type serviceRoom struct {
	load *serviceLoad
	// queue is in the order in which the requests are let out.
	queue []*waiter
	// timer fires when a probe may be due; nil until one waits.
	timer *time.Timer
}

// waiter is a request that waits.
type waiter struct {
	rank    routing.Rank
	arrived time.Time
	// retry is true if a send of the request needs a grant of the budget.
	retry bool
	// patient is true if the request's caller has said how long it may wait.
	patient bool
	// turn is closed when the request may be sent, once.
	turn chan struct{}
}

func newWaitingRoom(budget *retrybudget.Budget, logger log.Logger) *waitingRoom {
	return &waitingRoom{budget: budget, logger: logger, services: make(map[string]*serviceRoom)}
}

// of returns the room of a service. The mutex must be held.
func (w *waitingRoom) of(service string) *serviceRoom {
	room, ok := w.services[service]
	if !ok {
		room = &serviceRoom{load: newServiceLoad(boottime.Now())}
		w.services[service] = room
	}
	return room
}

// begin counts a request that is about to be sent without having waited.
func (w *waitingRoom) begin(service string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.of(service).load.inFlight++
}

// notFull returns what a service is taken for, and those of the engines that are not known to be full.
func (w *waitingRoom) notFull(service string, engines []*fleet.Engine) (Load, []*fleet.Engine) {
	w.mu.Lock()
	defer w.mu.Unlock()
	load, now := w.of(service).load, boottime.Now()
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
func (w *waitingRoom) turnAfter(service string, rank routing.Rank) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	room, ahead := w.of(service), 0
	for _, waiter := range room.queue {
		if waiter.rank.Compare(rank) <= 0 {
			ahead++
		}
	}
	return room.load.turnAfter(boottime.Now(), ahead)
}

// wait waits until it is the waiter's turn, at most until a moment of boottime. It reports whether the request may be sent; that is counted as
// in flight then, and its retry as granted.
func (w *waitingRoom) wait(ctx context.Context, service string, waiting *waiter, until time.Time) bool {
	waiting.turn = make(chan struct{})
	w.enter(service, waiting)
	timer := time.NewTimer(boottime.Until(until))
	defer timer.Stop()
	select {
	case <-waiting.turn:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return !w.leave(service, waiting)
}

func (w *waitingRoom) enter(service string, waiting *waiter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	room := w.of(service)
	position, _ := slices.BinarySearchFunc(room.queue, waiting, func(other, own *waiter) int {
		if order := other.rank.Compare(own.rank); order != 0 {
			return order
		}
		if order := other.arrived.Compare(own.arrived); order != 0 {
			return order
		}
		return -1
	})
	room.queue = slices.Insert(room.queue, position, waiting)
	w.letOut(service, room)
}

// leave takes a waiter out of the queue. It reports false if that had its turn already.
func (w *waitingRoom) leave(service string, waiting *waiter) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	room := w.of(service)
	position := slices.Index(room.queue, waiting)
	if position < 0 {
		return false
	}
	room.queue = slices.Delete(room.queue, position, position+1)
	return true
}

// unused ends a turn of which nothing was sent.
func (w *waitingRoom) unused(service string) { w.ended(service, nil) }

// ended ends a turn. note takes in what the engine did; nil if that tells nothing of its room.
func (w *waitingRoom) ended(service string, note func(load *serviceLoad, now time.Time, waiting int) (changed bool)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	room, now := w.of(service), boottime.Now()
	room.load.inFlight--
	before, since := room.load.load, room.load.since
	if note != nil && note(room.load, now, len(room.queue)) {
		w.tell(service, room, before, now.Sub(since), now)
	}
	w.letOut(service, room)
}

// noRoom takes in that no cold engine bears a request.
func (w *waitingRoom) noRoom(service string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	room, now := w.of(service), boottime.Now()
	before, since := room.load.load, room.load.since
	if room.load.noteNoRoom(now) {
		w.tell(service, room, before, now.Sub(since), now)
	}
}

// tell logs that a service is taken for something else than before.
func (w *waitingRoom) tell(service string, room *serviceRoom, before Load, lasted time.Duration, now time.Time) {
	load := room.load
	refusing, unreachable := load.refusing(now)
	level.Info(w.logger).Log("msg", "service load changed", "service", service, "load", load.load, "before", before, "lasted", lasted.Round(time.Millisecond),
		"refused", load.refused.Sum(now), "served", load.served.Sum(now), "window", rateWindow, "engines_refusing", refusing, "engines_unreachable", unreachable,
		"waiting", len(room.queue), "in_flight", load.inFlight, "limit", int(load.limit))
}

// letOut gives turns to as many waiters as there is room for, or to one as a probe. The mutex must be held.
func (w *waitingRoom) letOut(service string, room *serviceRoom) {
	now := boottime.Now()
	for room.load.roomShown() && w.letOutOne(service, room, func(*waiter) bool { return true }) {
	}
	if len(room.queue) > 0 && room.load.probeDue(now) {
		w.probe(service, room, now)
	}
	if len(room.queue) > 0 {
		w.arm(service, room, room.load.probeAt.Sub(now))
	}
}

// probe gives the turn to the first waiter that may be sent to find out whether there is room.
func (w *waitingRoom) probe(service string, room *serviceRoom, now time.Time) {
	sent := w.letOutOne(service, room, func(waiting *waiter) bool {
		return !waiting.retry || room.load.mayProbeAgain(now, waiting.patient)
	})
	if !sent {
		room.load.postponeProbe(now)
		return
	}
	room.load.noteProbe(now)
}

// letOutOne gives the turn to the first waiter that may be sent. It reports false if there is none.
func (w *waitingRoom) letOutOne(service string, room *serviceRoom, may func(waiting *waiter) bool) bool {
	for i, waiting := range room.queue {
		if !may(waiting) || waiting.retry && !w.budget.Take(service) {
			continue
		}
		room.queue = slices.Delete(room.queue, i, i+1)
		room.load.inFlight++
		close(waiting.turn)
		return true
	}
	return false
}

// arm looks for who may be let out after a time.
func (w *waitingRoom) arm(service string, room *serviceRoom, after time.Duration) {
	if room.timer == nil {
		room.timer = time.AfterFunc(after, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.letOut(service, room)
		})
		return
	}
	room.timer.Reset(after)
}

// ServiceStatus is what a process knows of a service's load.
type ServiceStatus struct {
	Service string
	Load    Load
	// Since is when it was first taken for that, a moment of boottime.
	Since time.Time
	// Waiting and InFlight count this process's requests.
	Waiting, InFlight int
	// RetryRatio is the retries for each first send of late.
	RetryRatio float64
}

// statuses returns what is known of all services that requests were sent to.
func (w *waitingRoom) statuses() []ServiceStatus {
	w.mu.Lock()
	defer w.mu.Unlock()
	var all []ServiceStatus
	for service, room := range w.services {
		all = append(all, ServiceStatus{
			Service:    service,
			Load:       room.load.load,
			Since:      room.load.since,
			Waiting:    len(room.queue),
			InFlight:   room.load.inFlight,
			RetryRatio: w.budget.Ratio(service),
		})
	}
	return all
}
