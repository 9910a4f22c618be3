package batchrun

import (
	"time"

	"github.com/go-kit/log/level"

	"github.com/covelink/covelink/internal/batch"
	"github.com/covelink/covelink/internal/itemwork"
)

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
