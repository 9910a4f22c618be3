package batchrun

import (
	"context"
	"slices"
	"time"

	"github.com/covelink/covelink/internal/boottime"
	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/itemwork"
	"github.com/covelink/covelink/internal/jobresidency"
	"github.com/covelink/covelink/internal/routing"
)

const (
	// failurePause is the pause before an item that failed is tried again.
	failurePause = 50 * time.Millisecond
	// adoptTime is how long the items of an earlier term wait for workers that hold a run of them: nine workers tell it some 110 ms
	// after a term has begun, seventy within 400 ms.
	adoptTime = 400 * time.Millisecond
	// withheldPause is the pause before an item that a worker did not send to its engine, because the placement filter forbade it there, is placed
	// again. This process learns what the worker knew within one to three seconds, and until then may choose the same engine again.
	withheldPause = 250 * time.Millisecond
	// lostVerdict is the name in logs and metrics of runs whose worker is not heard of any more.
	lostVerdict = "lost"
	// maxUnheard is how long a stream at a worker may go without a report: longer than an engine may be silent.
	maxUnheard = 3500 * time.Millisecond
)

// run is one run of an item at an engine. The runner's mutex guards it.
type run struct {
	id     itemwork.RunID
	item   *item
	engine string
	// zone is that of the engine; empty while it is not known.
	zone string
	// worker carries the run out; empty if this process does.
	worker string
	cancel func()
	// release makes the run end without a reward call, and released is true once it was called.
	release  func()
	released bool
	// resumed is the number of events that the text had when the run began.
	resumed int
	// detachedAt is when the job of the run ended while it went on.
	detachedAt time.Time
	started    time.Time
	// heard is when the run was last reported.
	heard time.Time
	// streaming is true until the stream has ended, and over once nothing more is expected of the run.
	streaming bool
	over      bool
	// apart is true if the run shares no engine with others for which it is true.
	apart bool
	// moving is true once the run was ended so that the item goes on elsewhere.
	moving bool
}

// current reports whether the item still relies on the run.
func (current *run) current() bool {
	it := current.item
	return it.run == current && !it.job.ended && (it.phase == phaseRunning || it.phase == phaseJudging)
}

// placing are the conditions under which a run is placed at an engine.
type placing struct {
	// apart is true if the run shares the engine with no other run for which it is true.
	apart bool
	// within is how soon the run must be sent; zero for no bound.
	within time.Duration
}

// start begins a run at an engine. The mutex must be held.
func (r *Runner) start(it *item, route *routing.Route, engine *fleet.Engine, how placing) {
	record := r.engine(engine.ID)
	record.running++
	r.noteHolder(it.Prefix, engine.ID, record)
	assignment := r.assignment(it, itemwork.Bounds{MinVersion: it.job.MinVersion, SingleVersion: route.SingleVersion})
	assignment.Engine = itemwork.Target{
		ID:      engine.ID,
		Name:    engine.Name,
		Service: engine.Service,
		Address: engine.Address,
		Zone:    engine.Zone,
		Version: record.version(engine, it.job.Model, r.now()),
	}
	if route.MaxQueue > 0 {
		assignment.TimeLeft = max(route.MaxQueue-r.now().Sub(it.job.accepted), time.Second)
	}
	begun := r.newRun(assignment.Run, it, engine.ID)
	begun.streaming, begun.zone = true, engine.Zone
	if how.apart {
		begun.apart = true
		record.apart++
	}
	it.phase = phaseRunning
	if how.within > 0 {
		assignment.LeaveBy = boottime.Now().Add(how.within)
	}
	if !r.carry(begun, engine, assignment) {
		r.lose(begun)
	}
}

// assignment returns a run of an item, without an engine. The mutex must be held.
func (r *Runner) assignment(it *item, bounds itemwork.Bounds) *itemwork.Assignment {
	r.runCount++
	return &itemwork.Assignment{
		Run:    itemwork.RunID{Term: r.token, Number: r.runCount},
		Job:    it.job.ID,
		Item:   it.ID,
		Host:   it.job.Host,
		Path:   it.Path,
		Tenant: it.job.Tenant,
		Header: it.Header,
		Body:   it.Body,
		Bounds: bounds,
		Text:   it.text.Clone(),
		Reward: it.Reward,

		Residency: jobresidency.OfItem(r.State.View().Routes, &it.job.Job, &it.Item),
	}
}

// newRun notes a run on which an item relies. The mutex must be held.
func (r *Runner) newRun(id itemwork.RunID, it *item, engine string) *run {
	begun := &run{id: id, item: it, engine: engine, started: r.now(), heard: r.now(), cancel: func() {}, release: func() {}, resumed: it.text.Len()}
	it.run = begun
	it.job.runs = append(it.job.runs, id)
	r.runs[id] = begun
	return begun
}

// hand notes the worker that carries a run out.
func (r *Runner) hand(handed *run, worker string) {
	handed.worker = worker
	handed.cancel = func() { r.Desk.Cancel(worker, handed.id) }
	handed.release = func() { r.Desk.Release(worker, handed.id) }
}

// forgetRuns drops the runs of an ended job whose streams have ended. The mutex must be held.
func (r *Runner) forgetRuns(j *job) {
	j.runs = slices.DeleteFunc(j.runs, func(id itemwork.RunID) bool {
		if known := r.runs[id]; known != nil && known.streaming {
			return false
		}
		delete(r.runs, id)
		return true
	})
}

// runHere carries a run out in this process. The mutex must be held.
func (r *Runner) runHere(begun *run, assignment *itemwork.Assignment) {
	ctx, cancel := context.WithCancel(r.term)
	sink := &localSink{runner: r, assignment: assignment, told: assignment.Text.Len(), cancel: cancel}
	begun.cancel = cancel
	begun.release = func() { sink.released.Store(true) }
	r.running.Go(func() {
		defer cancel()
		r.executor.Run(ctx, assignment, sink)
	})
}

// judgeHere makes the reward call of an item whose text is whole, or lists the item if it needs none. If the item's residency excludes this process's
// region, a worker makes the call; without such a worker the item waits. The mutex must be held.
func (r *Runner) judgeHere(it *item) {
	it.phase = phaseJudging
	if it.Reward == nil {
		r.list(it, it.result(""))
		return
	}
	if !r.canCarry(it) {
		it.phase = phaseWaiting
		return
	}
	assignment := r.assignment(it, itemwork.Bounds{})
	begun := r.newRun(assignment.Run, it, "")
	if r.allowedHere(r.runResidency(it)) {
		r.runHere(begun, assignment)
		return
	}
	if !r.carry(begun, &fleet.Engine{ID: it.ID}, assignment) {
		begun.over = true
		it.phase = phaseWaiting
	}
}
