package batchrun

import (
	"time"

	"github.com/go-kit/log/level"

	"github.com/covelink/covelink/internal/batch"
	"github.com/covelink/covelink/internal/itemwork"
)

// streamEnded frees the engine slot of a run whose stream has ended, and determines the next step of the item. The mutex must be held.
func (r *Runner) streamEnded(ended *run, report *itemwork.Report) {
	it := ended.item
	verdict := report.End.Verdict
	ended.streaming = false
	if report.End.Withheld {
		// The engine received nothing, so the verdict does not apply to it.
		r.recordOf(ended.engine).running--
	} else {
		r.recordOf(ended.engine).runEnded(verdict, r.now())
	}
	r.logStreamEnd(ended, report)
	r.endIsolation(ended)
	if report.End.NoOutcome {
		r.Guard.ReturnTrial(ended.trial)
	}
	r.Observer.AttemptEnded(verdict.String(), report.End.Took)
	r.wakeScheduler()
	switch {
	case r.isDetached(ended):
		ended.finished = true
		it.text.Whole = verdict == itemwork.VerdictComplete
		r.endDetached(ended)
	case ended.current():
		ended.finished = verdict != itemwork.VerdictComplete
		r.continueItem(ended, report.End)
	default:
		ended.finished = true
	}
}

// logStreamEnd logs the end of a stream, at debug level if it is complete or canceled, unless it was a trial.
func (r *Runner) logStreamEnd(ended *run, report *itemwork.Report) {
	it := ended.item
	verdict := report.End.Verdict
	line := level.Info(r.Logger)
	if !ended.trial.Granted() && (verdict == itemwork.VerdictComplete || verdict == itemwork.VerdictCanceled) {
		line = level.Debug(r.Logger)
	}
	line.Log("msg", "attempt ended", "request", it.ID, "job", it.job.ID, "run", ended.id, "worker", ended.worker, "engine", ended.engine,
		"verdict", verdict, "isolated", ended.isolated, "trial", ended.trial.Number, "version", report.Version, "text_events", it.text.Len(),
		"expected_tokens", it.ExpectedLength, "took", report.End.Took.Round(time.Millisecond), "err", report.End.Cause)
}

// continueItem starts the reward call of an item, retries the item or gives it up, after its run's stream has ended. The mutex must be held.
func (r *Runner) continueItem(ended *run, end itemwork.End) {
	it := ended.item
	now := r.now()
	switch end.Verdict {
	case itemwork.VerdictComplete:
		r.lengths.observe(it.ExpectedLength, it.text.Len())
		it.text.Whole = true
		it.phase = phaseScoring
		if it.Reward == nil || ended.noRewardCall {
			ended.finished = true
			r.startRewardCall(it)
		}
	case itemwork.VerdictImpossible:
		r.giveUp(it, "engine rejected the item permanently")
	case itemwork.VerdictFailed:
		it.failures++
		if it.failures >= r.maxAttempts(it) {
			r.giveUp(it, "engines failed the item as often as the route allows")
			return
		}
		it.retry(now)
	case itemwork.VerdictCanceled:
		it.phase = phaseWaiting
		if it.renewing {
			it.renewing, it.text = false, checkpointedText{}
		}
	default:
		it.retry(now)
		if end.Withheld {
			it.notBefore = now.Add(withheldRetryDelay)
		}
	}
}

// endIsolation frees the engine of an ended run for other isolated items. The mutex must be held.
func (r *Runner) endIsolation(ended *run) {
	if ended.isolated {
		ended.isolated = false
		r.recordOf(ended.engine).isolated--
	}
}

// rewardCallEnded lists the result of an item whose reward call has ended. An aborted call is repeated. The mutex must be held.
func (r *Runner) rewardCallEnded(ended *run, judgement itemwork.Judgement) {
	it := ended.item
	ended.finished = true
	switch judgement.State {
	case itemwork.JudgementScored:
		r.listResult(it, it.result(judgement.Score))
	case itemwork.JudgementFailed:
		level.Info(r.Logger).Log("msg", "item given up", "request", it.ID, "job", it.job.ID, "reason", "reward call failed too often",
			"call", it.Reward.ID, "failures", judgement.Failures)
		r.listResult(it, batch.Result{ID: it.ID, State: batch.Dead})
	default:
		level.Info(r.Logger).Log("msg", "reward call not made by worker; repeated", "request", it.ID, "job", it.job.ID, "call", it.Reward.ID, "worker", ended.worker)
		r.startRewardCall(it)
	}
}

// WorkerLost implements itemwork.Handler.
func (r *Runner) WorkerLost(worker string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, rn := range r.runs {
		if rn.worker == worker && !rn.finished {
			r.markLost(rn)
		}
	}
	r.wakeScheduler()
}

// expireRuns gives up runs that have not been reported for reportTimeout. The mutex must be held.
func (r *Runner) expireRuns() {
	now := r.now()
	for _, rn := range r.runs {
		if rn.worker != "" && rn.streaming && now.Sub(rn.lastReport) > reportTimeout {
			rn.cancel()
			r.markLost(rn)
		}
	}
}

// markLost gives up a run on which no further report is expected. The mutex must be held.
func (r *Runner) markLost(lost *run) {
	it := lost.item
	lost.finished = true
	if lost.streaming {
		lost.streaming = false
		r.recordOf(lost.engine).running--
		r.endIsolation(lost)
		r.Observer.AttemptEnded(lostVerdict, r.now().Sub(lost.started))
	}
	level.Info(r.Logger).Log("msg", "attempt ended", "request", it.ID, "job", it.job.ID, "run", lost.id, "worker", lost.worker, "engine", lost.engine,
		"verdict", lostVerdict, "text_events", it.text.Len(), "took", r.now().Sub(lost.started).Round(time.Millisecond))
	switch {
	case r.isDetached(lost):
		r.endDetached(lost)
	case !lost.current() || !r.leads():
	case it.text.Whole:
		r.startRewardCall(it)
	default:
		it.phase = phaseWaiting
	}
}

// maxAttempts returns how many times engines may fail an item (status 500) before it is given up.
func (r *Runner) maxAttempts(it *item) int {
	if route := r.route(it); route != nil {
		return route.MaxAttempts
	}
	return 1
}

// retry returns an item to the queue after retryDelay.
func (it *item) retry(now time.Time) {
	it.phase = phaseWaiting
	it.notBefore = now.Add(retryDelay)
}

// result returns the result of an item whose text is complete.
func (it *item) result(score string) batch.Result {
	return batch.Result{ID: it.ID, State: batch.Done, Text: it.text.Joined(), Versions: it.text.Versions(), Score: score}
}

// giveUp lists an item as dead, without a text. The mutex must be held.
func (r *Runner) giveUp(it *item, reason string) {
	level.Info(r.Logger).Log("msg", "item given up", "request", it.ID, "job", it.job.ID, "reason", reason, "failures", it.failures)
	r.listResult(it, batch.Result{ID: it.ID, State: batch.Dead})
}

// listResult passes an item's result to the committer, and drops the item's text unless a later job may use it. The mutex must be held.
func (r *Runner) listResult(it *item, result batch.Result) {
	it.phase = phaseFinished
	r.returnUnusedTrial(it)
	if result.State != batch.Done || !it.text.Fits(itemwork.Bounds{MinVersion: r.carryOverVersion(it.job)}) {
		it.text = checkpointedText{}
	}
	if result.State == batch.Dead {
		it.job.dead++
	}
	it.job.addPending(result, it.group.finished(), r.now())
}
