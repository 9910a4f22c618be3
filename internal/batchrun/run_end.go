package batchrun

import (
	"time"

	"github.com/go-kit/log/level"

	"github.com/covelink/covelink/internal/batch"
	"github.com/covelink/covelink/internal/itemwork"
)

// streamEnded frees the engine of a run whose stream has ended, and decides what comes next for the item. The mutex must be held.
func (r *Runner) streamEnded(ended *run, report *itemwork.Report) {
	it := ended.item
	verdict := report.End.Verdict
	ended.streaming = false
	if report.End.Withheld {
		// The engine got nothing, so the verdict says nothing about it.
		r.engine(ended.engine).running--
	} else {
		r.engine(ended.engine).end(verdict, r.now())
	}
	r.leaveEngine(ended)
	r.Observer.AttemptEnded(verdict.String(), report.End.Took)
	r.logStreamEnd(ended, report)
	r.poke()
	switch {
	case r.isDetached(ended):
		ended.over = true
		it.text.Whole = verdict == itemwork.VerdictWhole
		r.settle(ended)
	case ended.current():
		ended.over = verdict != itemwork.VerdictWhole
		r.continueItem(ended, report.End)
	default:
		ended.over = true
	}
}

// logStreamEnd logs the end of a stream; at level debug if there is nothing to look at.
func (r *Runner) logStreamEnd(ended *run, report *itemwork.Report) {
	it := ended.item
	verdict := report.End.Verdict
	line := level.Info(r.Logger)
	if verdict == itemwork.VerdictWhole || verdict == itemwork.VerdictCanceled {
		line = level.Debug(r.Logger)
	}
	line.Log("msg", "attempt ended", "request", it.ID, "job", it.job.ID, "run", ended.id, "worker", ended.worker, "engine", ended.engine,
		"verdict", verdict, "version", report.Version, "text_events", it.text.Len(), "expected_tokens", it.ExpectedLength, "took", report.End.Took.Round(time.Millisecond),
		"err", report.End.Cause)
}

// continueItem decides by the end of a run's stream whether its item is judged, tried again or given up. The mutex must be held.
func (r *Runner) continueItem(ended *run, end itemwork.End) {
	it := ended.item
	now := r.now()
	switch end.Verdict {
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
		if end.Withheld {
			it.notBefore = now.Add(withheldPause)
		}
	}
}

// leaveEngine frees the engine of an ended run for other items that must run apart. The mutex must be held.
func (r *Runner) leaveEngine(ended *run) {
	if ended.apart {
		ended.apart = false
		r.engine(ended.engine).apart--
	}
}

// judged lists an item whose reward call has ended. A call that broke off is made again. The mutex must be held.
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

// loseUnheard gives up the runs whose workers have not reported on them for maxUnheard. The mutex must be held.
func (r *Runner) loseUnheard() {
	now := r.now()
	for _, known := range r.runs {
		if known.worker != "" && known.streaming && now.Sub(known.heard) > maxUnheard {
			known.cancel()
			r.lose(known)
		}
	}
}

// lose gives up a run on which no further report is expected. The mutex must be held.
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

// maxAttempts returns how many times an engine may fail an item (status 500) before the item is given up.
func (r *Runner) maxAttempts(it *item) int {
	if route := r.route(it); route != nil {
		return route.MaxAttempts
	}
	return 1
}

// retry makes the item wait for an engine again, after failurePause.
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

// list hands an item's result to the committer, and drops its text unless a later job may use it. The mutex must be held.
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
