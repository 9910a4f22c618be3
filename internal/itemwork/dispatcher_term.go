package itemwork

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"github.com/covelink/covelink/internal/pause"
)

// reportHold bounds how long a report waits for the handler, well within the callMargin of workers.
const reportHold = callMargin / 2

// Lead serves workers for a term until ctx ends. Workers register at once, and the handler is told of lost ones, but it gets no report
// before ready is closed: until then reports are held, up to reportHold, and refused.
func (d *Dispatcher) Lead(ctx context.Context, term int64, handler Handler, ready <-chan struct{}) {
	d.mu.Lock()
	d.term, d.handler, d.ready, d.orderCount = term, handler, ready, 0
	d.workers = make(map[string]*workerState)
	d.workerByEngine = make(map[string]*workerState)
	d.mu.Unlock()
	for ctx.Err() == nil {
		sleepStart := time.Now()
		pause.For(ctx, expiryInterval)
		d.extendDeadlines(time.Since(sleepStart) - expiryInterval)
		for _, lost := range d.removeExpired() {
			handler.WorkerLost(lost)
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, worker := range d.workers {
		// Polls must return now: a worker that kept waiting would receive the next term only after that term has stopped adopting runs.
		if len(worker.orders) == 0 {
			close(worker.ready)
		}
	}
	d.handler, d.workers, d.workerByEngine = nil, nil, nil
}

// extendDeadlines extends all deadlines by the time for which this process was stalled and could not receive calls.
func (d *Dispatcher) extendDeadlines(stall time.Duration) {
	if stall < expiryInterval {
		return
	}
	level.Info(d.logger).Log("msg", "process stalled, worker deadlines extended", "for", stall.Round(time.Millisecond))
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, worker := range d.workers {
		worker.deadline = worker.deadline.Add(stall)
	}
}

// removeExpired removes the workers whose deadline has passed and returns their keys.
func (d *Dispatcher) removeExpired() []string {
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

// awaitReady waits until the handler of the term takes reports, if there is a term. It returns false after reportHold.
func (d *Dispatcher) awaitReady() bool {
	d.mu.Lock()
	leading, ready := d.handler != nil, d.ready
	d.mu.Unlock()
	if !leading {
		return true
	}
	timer := time.NewTimer(reportHold)
	defer timer.Stop()
	select {
	case <-ready:
		return true
	case <-timer.C:
		return false
	}
}
