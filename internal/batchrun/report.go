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
	known, ok := r.runs[report.Run]
	if !ok {
		known = r.adopt(worker, report)
	}
	if known == nil {
		return itemwork.Unwanted
	}
	if known.over {
		return dispositionWhenOver(report)
	}
	known.lastReport = r.now()
	r.observeReport(known, report)
	if (known.current() || r.isDetached(known)) && !known.item.text.Merge(report) {
		level.Warn(r.Logger).Log("msg", "report does not continue the item's text", "request", known.item.ID, "run", known.id, "from", report.From)
		r.markLost(known)
		return itemwork.Unwanted
	}
	if known.streaming && report.End.Verdict != itemwork.VerdictNone {
		r.streamEnded(known, report)
	}
	if known.current() && report.Judgement.State != itemwork.JudgementOpen {
		r.rewardCallEnded(known, report.Judgement)
	}
	switch {
	case r.isDetached(known):
		return itemwork.TextOnly
	case known.item.job.ended:
		r.pruneRuns(known.item.job)
		return itemwork.Unwanted
	case known.released:
		return itemwork.TextOnly
	}
	return itemwork.Wanted
}

// dispositionWhenOver returns what a worker may do with a run that is over. It must stop a stream and make no reward call: the item has another run,
// and nothing would cancel the call when the job ends. The worker keeps ended runs for a later term.
func dispositionWhenOver(report *itemwork.Report) itemwork.Disposition {
	switch {
	case report.End.Verdict == itemwork.VerdictNone:
		return itemwork.Unwanted
	case report.End.Verdict == itemwork.VerdictWhole && report.Judgement.State == itemwork.JudgementOpen:
		return itemwork.TextOnly
	}
	return itemwork.Wanted
}

// observeReport records the engine's weight version and event intervals from a report. The mutex must be held.
func (r *Runner) observeReport(known *run, report *itemwork.Report) {
	if known.engine == "" {
		return
	}
	record := r.engine(known.engine)
	if report.Version > 0 {
		record.setVersion(known.item.job.Model, report.Version, r.now())
	}
	if report.PauseCount > 0 {
		interval := report.Pauses / time.Duration(report.PauseCount)
		record.observeInterval(interval, report.PauseCount, r.now())
		r.fleetInterval.observe(interval)
	}
}

// adopt takes over a run that an earlier term started or that was given up as lost. It returns nil if the run is of no use. The mutex must be held.
func (r *Runner) adopt(worker string, report *itemwork.Report) *run {
	it := r.reportedItem(report)
	if it == nil || report.From > 0 || (it.phase != phaseWaiting && it.phase != phaseRunning) {
		return nil
	}
	j := it.job
	var text itemwork.Text
	text.Merge(report)
	// A worker that reports late may hold more than the run that replaced it.
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
	adopted := r.addRun(report.Run, it, report.Engine)
	r.assignWorker(adopted, worker)
	adopted.streaming, adopted.released = true, report.Released
	if j.ID != report.Job && !report.Released {
		// The later job's item makes the reward call.
		adopted.release()
		adopted.released = true
	}
	it.phase = phaseRunning
	r.engine(report.Engine).running++
	return adopted
}

// reportedItem returns the item that a run's text belongs to, or nil. A run that outlived its job belongs to the item of that name in a later job of
// the tenant, so that a change of coordinator does not restart carried-over texts.
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
