package batchrun

import (
	"context"
	"slices"
	"time"

	"github.com/covelink/covelink/internal/boottime"
	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/itemwork"
	"github.com/covelink/covelink/internal/jobresidency"
	"github.com/covelink/covelink/internal/quarantine"
	"github.com/covelink/covelink/internal/routing"
)

const (
	// retryDelay is the delay before an item is placed again after a failed run.
	retryDelay = 50 * time.Millisecond
	// adoptionWait is how long after the begin of a term, from which on workers register, items of an earlier term wait for workers that still run
	// them to report.
	adoptionWait = 400 * time.Millisecond
	// reportWait is how long such items wait at least after the jobs were read. A worker whose report was refused until then repeats it after 150 ms.
	reportWait = 250 * time.Millisecond
	// heldReportWait is how long items of a new job wait for the reports that the dispatcher held while the jobs were read: they may carry on texts
	// of these items.
	heldReportWait = 20 * time.Millisecond
	// withheldRetryDelay is the delay before an item is placed again after a worker's placement filter refused its engine. Until this process has
	// received the worker's newer view, it may choose the same engine again.
	withheldRetryDelay = 250 * time.Millisecond
	// lostVerdict is the verdict, in logs and metrics, of a run whose worker no longer reports.
	lostVerdict = "lost"
	// reportTimeout is how long a stream at a worker may go without a report. It exceeds the time that an engine's stream may be silent.
	reportTimeout = 3500 * time.Millisecond
)

// run is one run of an item at an engine. The runner's mutex guards it.
type run struct {
	id     itemwork.RunID
	item   *item
	engine string
	// zone is the engine's zone; empty while unknown.
	zone string
	// worker executes the run; empty if this process does.
	worker string
	cancel func()
	// dropRewardCall makes the run end without a reward call. noRewardCall is true if the run must make none.
	dropRewardCall func()
	noRewardCall   bool
	// initialEvents is the number of events in the text when the run started.
	initialEvents int
	// detachedAt is when the run's job ended, if the run continued beyond that.
	detachedAt time.Time
	started    time.Time
	// lastReport is when the run was last reported.
	lastReport time.Time
	// pace holds the recent intervals between the run's events, and stayed the last reason why the run was not moved, for the log.
	pace   runPace
	stayed moveReason
	// streaming is true until the stream has ended. finished is true once neither a stream nor a reward call is left.
	streaming bool
	finished  bool
	// isolated is true if the run shares no engine with other isolated runs.
	isolated bool
	// trial is the trial that the run is, if its item is held.
	trial quarantine.TrialRun
	// moving is true once the run was canceled so that its item resumes elsewhere, or because its detachedTTL passed.
	moving bool
}

// current reports whether the item still depends on the run.
func (rn *run) current() bool {
	it := rn.item
	return it.run == rn && !it.job.ended && (it.phase == phaseRunning || it.phase == phaseScoring)
}

// startOptions holds the conditions under which a run is started at an engine.
type startOptions struct {
	// isolated is true if the run must not share the engine with other isolated runs.
	isolated bool
	// trial is the trial that the run is, if its item is held.
	trial quarantine.TrialRun
	// sendWithin is the time limit for sending the run; zero for none.
	sendWithin time.Duration
}

// start starts a run at an engine. The mutex must be held.
func (r *Runner) start(it *item, route *routing.Route, engine *fleet.Engine, options startOptions) {
	record := r.recordOf(engine.ID)
	record.running++
	record.slots = engine.SlotCount()
	r.addPrefixHolder(it.Prefix, engine.ID, record)
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
	newRun := r.addRun(assignment.Run, it, engine.ID)
	newRun.streaming, newRun.zone, newRun.trial = true, engine.Zone, options.trial
	it.isolatedSince = time.Time{}
	if options.isolated {
		newRun.isolated = true
		record.isolated++
	}
	it.phase = phaseRunning
	if options.sendWithin > 0 {
		assignment.LeaveBy = boottime.Now().Add(options.sendWithin)
	}
	if !r.dispatch(newRun, engine, assignment) {
		r.Guard.ReturnTrial(newRun.trial)
		r.markLost(newRun)
	}
}

// assignment returns a new run of an item, without an engine. The mutex must be held.
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
		// An event holds one token or more.
		MaxEvents: it.Tokens,

		Residency: jobresidency.OfItem(r.State.View().Routes, &it.job.Job, &it.Item),
	}
}

// addRun records a run that an item depends on. The mutex must be held.
func (r *Runner) addRun(id itemwork.RunID, it *item, engine string) *run {
	newRun := &run{id: id, item: it, engine: engine, started: r.now(), lastReport: r.now(), cancel: func() {}, dropRewardCall: func() {}, initialEvents: it.text.Len()}
	it.run = newRun
	it.job.runs = append(it.job.runs, id)
	r.runs[id] = newRun
	return newRun
}

// assignWorker records the worker that executes a run.
func (r *Runner) assignWorker(assigned *run, worker string) {
	assigned.worker = worker
	assigned.cancel = func() { r.Dispatcher.Cancel(worker, assigned.id) }
	assigned.dropRewardCall = func() { r.Dispatcher.Release(worker, assigned.id) }
}

// pruneRuns removes those runs of an ended job whose streams have ended. The mutex must be held.
func (r *Runner) pruneRuns(j *job) {
	j.runs = slices.DeleteFunc(j.runs, func(id itemwork.RunID) bool {
		if rn := r.runs[id]; rn != nil && rn.streaming {
			return false
		}
		delete(r.runs, id)
		return true
	})
}

// runLocally executes a run in this process. The mutex must be held.
func (r *Runner) runLocally(newRun *run, assignment *itemwork.Assignment) {
	ctx, cancel := context.WithCancel(r.term)
	sink := &localSink{runner: r, assignment: assignment, reported: assignment.Text.Len(), cancel: cancel}
	newRun.cancel = cancel
	newRun.dropRewardCall = func() { sink.noRewardCall.Store(true) }
	r.goroutines.Go(func() {
		defer cancel()
		r.executor.Run(ctx, assignment, sink)
	})
}

// startRewardCall makes the reward call of an item whose text is complete, or lists the result if the item has no reward call. The call needs a
// process in a region that the item's residency allows; while there is none, the item waits. The mutex must be held.
func (r *Runner) startRewardCall(it *item) {
	it.phase = phaseScoring
	if it.Reward == nil {
		r.listResult(it, it.result(""))
		return
	}
	if !r.canExecute(it) {
		it.phase = phaseWaiting
		return
	}
	assignment := r.assignment(it, itemwork.Bounds{})
	newRun := r.addRun(assignment.Run, it, "")
	if r.allowedHere(r.runResidency(it)) {
		r.runLocally(newRun, assignment)
		return
	}
	if !r.dispatch(newRun, &fleet.Engine{ID: it.ID}, assignment) {
		newRun.finished = true
		it.phase = phaseWaiting
	}
}
