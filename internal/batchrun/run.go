package batchrun

import (
	"context"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"github.com/covelink/covelink/internal/batch"
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
	// withheldPause is the pause before an item that a worker has withheld from its engine is placed again: what the worker knows is in force
	// everywhere within one to three seconds, and until then the same engine may seem to be the best one.
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

// placing is how a run is placed at an engine.
type placing struct {
	// apart is true if it shares the engine with no other such run.
	apart bool
	// within is how soon the run must be sent; zero sets no bound.
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

// judgeHere makes the reward call of an item whose text is whole, and lists items that need none. Where the item's data may not be here, a
// worker makes the call; the item waits for one. The mutex must be held.
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
	if r.hosts(r.carriage(it)) {
		r.runHere(begun, assignment)
		return
	}
	if !r.carry(begun, &fleet.Engine{ID: it.ID}, assignment) {
		begun.over = true
		it.phase = phaseWaiting
	}
}

// Reported implements itemwork.Handler.
func (r *Runner) Reported(worker string, report *itemwork.Report) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.leads() {
		return true
	}
	known, ok := r.runs[report.Run]
	if !ok {
		known = r.adopt(worker, report)
	}
	if known == nil {
		return false
	}
	if known.over {
		// A stream that was given up need not go on.
		return report.End.Verdict != itemwork.VerdictNone
	}
	known.heard = r.now()
	r.observe(known, report)
	if (known.current() || r.isDetached(known)) && !known.item.text.Merge(report) {
		level.Warn(r.Logger).Log("msg", "report does not fit", "request", known.item.ID, "run", known.id, "from", report.From)
		r.lose(known)
		return false
	}
	if known.streaming && report.End.Verdict != itemwork.VerdictNone {
		r.streamEnded(known, report)
	}
	if known.current() && report.Judgement.State != itemwork.JudgementOpen {
		r.judged(known, report.Judgement)
	}
	if r.isDetached(known) {
		return true
	}
	if known.item.job.ended {
		r.forgetRuns(known.item.job)
		return false
	}
	return true
}

// observe takes in what a report tells of its engine.
func (r *Runner) observe(known *run, report *itemwork.Report) {
	if known.engine == "" {
		return
	}
	record := r.engine(known.engine)
	if report.Version > 0 {
		record.noteVersion(known.item.job.Model, report.Version, r.now())
	}
	if report.PauseCount > 0 {
		pause := report.Pauses / time.Duration(report.PauseCount)
		record.observe(pause, report.PauseCount, r.now())
		r.usual.observe(pause)
	}
}

// adopt takes over a run that an earlier term began, or that was taken for lost. It returns nil if the run is of no use.
func (r *Runner) adopt(worker string, report *itemwork.Report) *run {
	it := r.reportedItem(report)
	if it == nil || report.From > 0 || (it.phase != phaseWaiting && it.phase != phaseRunning) {
		return nil
	}
	j := it.job
	var text itemwork.Text
	text.Merge(report)
	// A worker that is heard late may hold more than what was begun anew meanwhile.
	if it.phase == phaseRunning && text.Len() <= it.text.Len() {
		return nil
	}
	if text.Len() < it.text.Len() || !text.Fits(itemwork.Bounds{MinVersion: j.MinVersion, SingleVersion: r.singleVersion(it)}) {
		return nil
	}
	level.Info(r.Logger).Log("msg", "run adopted", "request", it.ID, "job", j.ID, "run", report.Run, "worker", worker, "engine", report.Engine,
		"events", text.Len(), "verdict", report.End.Verdict)
	r.Observer.HandedOver(HandOverAdopted)
	it.stop()
	it.text = text
	adopted := r.newRun(report.Run, it, report.Engine)
	r.hand(adopted, worker)
	adopted.streaming, adopted.released = true, report.Released
	if j.ID != report.Job && !report.Released {
		// The reward call is that of the later job's item.
		adopted.release()
		adopted.released = true
	}
	it.phase = phaseRunning
	r.engine(report.Engine).running++
	return adopted
}

// reportedItem returns the item that the text of a run is for; nil if there is none. A run that went on after the end of its job is for the
// item of that name in a later job of the tenant: without this, a change of coordinator began the longest texts anew, which made a step of
// 88 items last 12.4 s instead of 6 s.
func (r *Runner) reportedItem(report *itemwork.Report) *item {
	if j, ok := r.jobs[report.Job]; ok && !j.ended {
		return j.byID[report.Item]
	}
	for _, j := range slices.Backward(r.order) {
		if j.ended || j.Tenant != report.Tenant {
			continue
		}
		if it, ok := j.byID[report.Item]; ok {
			return it
		}
	}
	return nil
}

// streamEnded decides what comes next for the item of a run whose stream has ended.
func (r *Runner) streamEnded(ended *run, report *itemwork.Report) {
	it := ended.item
	verdict := report.End.Verdict
	now := r.now()
	ended.streaming = false
	if report.End.Withheld {
		r.engine(ended.engine).running--
	} else {
		r.engine(ended.engine).end(verdict, now)
	}
	r.leaveEngine(ended)
	r.Observer.AttemptEnded(verdict.String(), report.End.Took)
	line := level.Info(r.Logger)
	if verdict == itemwork.VerdictWhole || verdict == itemwork.VerdictCanceled {
		line = level.Debug(r.Logger)
	}
	line.Log("msg", "attempt ended", "request", it.ID, "job", it.job.ID, "run", ended.id, "worker", ended.worker, "engine", ended.engine,
		"verdict", verdict, "version", report.Version, "text_events", it.text.Len(), "expected_tokens", it.ExpectedLength, "took", report.End.Took.Round(time.Millisecond),
		"err", report.End.Cause)
	r.poke()
	if r.isDetached(ended) {
		ended.over = true
		it.text.Whole = verdict == itemwork.VerdictWhole
		r.settle(ended)
		return
	}
	if !ended.current() {
		ended.over = true
		return
	}
	ended.over = verdict != itemwork.VerdictWhole
	switch verdict {
	case itemwork.VerdictWhole:
		r.lengths.observe(it.ExpectedLength, it.text.Len())
		it.text.Whole = true
		it.phase = phaseJudging
		if it.Reward == nil || ended.released {
			ended.over = true
			r.judgeHere(it)
		}
	case itemwork.VerdictImpossible:
		r.giveUp(it, "engine says it can never be done")
	case itemwork.VerdictFailed:
		it.failures++
		if it.failures >= r.maxAttempts(it) {
			r.giveUp(it, "failed too often")
			return
		}
		it.retry(now)
	case itemwork.VerdictCanceled:
		it.phase = phaseWaiting
		if it.renewing {
			it.renewing, it.text = false, itemwork.Text{}
		}
	default:
		it.retry(now)
		if report.End.Withheld {
			it.notBefore = now.Add(withheldPause)
		}
	}
}

// leaveEngine lets others that must run apart use the engine of a run whose stream has ended. The mutex must be held.
func (r *Runner) leaveEngine(ended *run) {
	if ended.apart {
		ended.apart = false
		r.engine(ended.engine).apart--
	}
}

// judged lists an item whose reward call has ended. A call that was broken off is made again from here.
func (r *Runner) judged(ended *run, judgement itemwork.Judgement) {
	it := ended.item
	ended.over = true
	switch judgement.State {
	case itemwork.JudgementReached:
		r.list(it, it.result(judgement.Score))
	case itemwork.JudgementFailed:
		level.Info(r.Logger).Log("msg", "item given up", "request", it.ID, "job", it.job.ID, "reason", "reward call failed too often",
			"call", it.Reward.ID, "failures", judgement.Failures)
		r.list(it, batch.Result{ID: it.ID, State: batch.Dead})
	default:
		r.judgeHere(it)
	}
}

// WorkerLost implements itemwork.Handler.
func (r *Runner) WorkerLost(worker string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, known := range r.runs {
		if known.worker == worker && !known.over {
			r.lose(known)
		}
	}
	r.poke()
}

// loseUnheard gives up the runs whose worker has told nothing of them for too long. The mutex must be held.
func (r *Runner) loseUnheard() {
	now := r.now()
	for _, known := range r.runs {
		if known.worker != "" && known.streaming && now.Sub(known.heard) > maxUnheard {
			known.cancel()
			r.lose(known)
		}
	}
}

// lose gives a run up of which nothing more will be heard. The mutex must be held.
func (r *Runner) lose(lost *run) {
	it := lost.item
	lost.over = true
	if lost.streaming {
		lost.streaming = false
		r.engine(lost.engine).running--
		r.leaveEngine(lost)
		r.Observer.AttemptEnded(lostVerdict, r.now().Sub(lost.started))
	}
	level.Info(r.Logger).Log("msg", "attempt ended", "request", it.ID, "job", it.job.ID, "run", lost.id, "worker", lost.worker, "engine", lost.engine,
		"verdict", lostVerdict, "text_events", it.text.Len(), "took", r.now().Sub(lost.started).Round(time.Millisecond))
	switch {
	case r.isDetached(lost):
		r.settle(lost)
	case !lost.current() || !r.leads():
	case it.text.Whole:
		r.judgeHere(it)
	default:
		it.phase = phaseWaiting
	}
}

// maxAttempts returns how many answers of 500 an item may get.
func (r *Runner) maxAttempts(it *item) int {
	if route := r.route(it); route != nil {
		return route.MaxAttempts
	}
	return 1
}

// retry makes the item wait for another engine.
func (it *item) retry(now time.Time) {
	it.phase = phaseWaiting
	it.notBefore = now.Add(failurePause)
}

// result returns the result of an item whose text is whole.
func (it *item) result(score string) batch.Result {
	return batch.Result{ID: it.ID, State: batch.Done, Text: it.text.Joined(), Versions: it.text.Versions(), Score: score}
}

// giveUp ends an item without a text. The mutex must be held.
func (r *Runner) giveUp(it *item, reason string) {
	level.Info(r.Logger).Log("msg", "item given up", "request", it.ID, "job", it.job.ID, "reason", reason, "failures", it.failures)
	r.list(it, batch.Result{ID: it.ID, State: batch.Dead})
}

// list hands an item's result to the committer, and lets go of its text unless a later job may use it. The mutex must be held.
func (r *Runner) list(it *item, result batch.Result) {
	it.phase = phaseFinished
	if result.State != batch.Done || !it.text.Fits(itemwork.Bounds{MinVersion: r.returnVersion(it.job)}) {
		it.text = itemwork.Text{}
	}
	if result.State == batch.Dead {
		it.job.dead++
	}
	it.job.addPending(result, it.group.finished(), r.now())
}
