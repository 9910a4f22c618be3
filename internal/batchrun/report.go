package batchrun

import (
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"github.com/covelink/covelink/internal/itemwork"
)

// HandleReport implements itemwork.Handler.
func (r *Runner) HandleReport(worker string, report *itemwork.Report) itemwork.Disposition {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.leads() {
		return itemwork.Wanted
	}
	rn, ok := r.runs[report.Run]
	if !ok {
		rn = r.adopt(worker, report)
	}
	if rn == nil {
		return itemwork.Unwanted
	}
	if rn.finished {
		return dispositionWhenFinished(report)
	}
	rn.lastReport = r.now()
	r.observeReport(rn, report)
	if (rn.current() || r.isDetached(rn)) && !rn.item.text.Merge(report) {
		level.Warn(r.Logger).Log("msg", "report leaves a gap in the item's text", "request", rn.item.ID, "run", rn.id, "from", report.From)
		r.markLost(rn)
		return itemwork.Unwanted
	}
	if rn.streaming && report.End.Verdict != itemwork.VerdictNone {
		r.streamEnded(rn, report)
	}
	if rn.current() && report.Judgement.State != itemwork.JudgementOpen {
		r.rewardCallEnded(rn, report.Judgement)
	}
	switch {
	case r.isDetached(rn):
		return itemwork.TextOnly
	case rn.item.job.ended:
		r.pruneRuns(rn.item.job)
		return itemwork.Unwanted
	case rn.noRewardCall:
		return itemwork.TextOnly
	}
	return itemwork.Wanted
}

// dispositionWhenFinished returns what a worker may do with a finished run. The worker must cancel an open stream, because the item has another run.
// It must not start a reward call, because nothing would cancel that call when the job ends. A run that has nothing left to do stays Wanted, so that
// the worker keeps its result for the coordinator of a later term.
func dispositionWhenFinished(report *itemwork.Report) itemwork.Disposition {
	switch {
	case report.End.Verdict == itemwork.VerdictNone:
		return itemwork.Unwanted
	case report.End.Verdict == itemwork.VerdictComplete && report.Judgement.State == itemwork.JudgementOpen:
		return itemwork.TextOnly
	}
	return itemwork.Wanted
}

// observeReport records the engine's weight version and event intervals from a report. The mutex must be held.
func (r *Runner) observeReport(rn *run, report *itemwork.Report) {
	if rn.engine == "" {
		return
	}
	record := r.recordOf(rn.engine)
	if report.Version > 0 {
		record.setVersion(rn.item.job.Model, report.Version, r.now())
	}
	if len(report.Segments) > 0 {
		rn.pace.lastEvent = r.now()
	}
	if report.PauseCount > 0 {
		interval := report.Pauses / time.Duration(report.PauseCount)
		record.observeInterval(interval, report.PauseCount, rn.pace.starting(), r.now())
		r.fleetInterval.observe(interval, record.companyOf(record.running-1))
		rn.pace.observe(interval, report.PauseCount)
	}
}

// adopt continues a run that an earlier term started or that was given up as lost. It returns nil if its text cannot be used for the item. The
// mutex must be held.
func (r *Runner) adopt(worker string, report *itemwork.Report) *run {
	it := r.reportedItem(report)
	if it == nil || report.From > 0 || (it.phase != phaseWaiting && it.phase != phaseRunning) {
		return nil
	}
	j := it.job
	var text itemwork.Text
	text.Merge(report)
	// A worker that reports late may have more text than the run that replaced its own.
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
	r.returnUnusedTrial(it)
	it.text = newText(text)
	adopted := r.addRun(report.Run, it, report.Engine)
	r.assignWorker(adopted, worker)
	adopted.streaming, adopted.noRewardCall = true, report.Released
	if j.ID != report.Job && !report.Released {
		// The run must not make the reward call of its ended job; the later job makes its own.
		adopted.dropRewardCall()
		adopted.noRewardCall = true
	}
	it.phase = phaseRunning
	r.recordOf(report.Engine).running++
	return adopted
}

// reportedItem returns the item that a run's text belongs to, or nil. If its job has ended, the run belongs to the item with the same ID in a later
// job of the same tenant, so that a new coordinator continues the text instead of restarting it.
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
