package batchrun

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"github.com/covelink/covelink/internal/batch"
	"github.com/covelink/covelink/internal/forward"
	"github.com/covelink/covelink/internal/pause"
)

const (
	// judgeTimeout bounds one reward call.
	judgeTimeout = 3 * time.Second
	// judgePause is the pause after a reward call that was not completed.
	judgePause = 100 * time.Millisecond
)

// judge begins the reward call of an item whose text is whole. The mutex must be held.
func (r *Runner) judge(it *item) {
	it.phase = phaseJudging
	if it.Reward == nil {
		r.list(it, it.result(""))
		return
	}
	ctx, cancel := context.WithCancel(r.term)
	it.cancel = cancel
	reward := *it.Reward
	r.running.Go(func() {
		defer cancel()
		r.callReward(ctx, it, reward)
	})
}

// result returns the result of an item whose text is whole.
func (it *item) result(score string) batch.Result {
	versions := slices.Clone(it.versions)
	slices.Sort(versions)
	return batch.Result{
		ID:       it.ID,
		State:    batch.Done,
		Text:     strings.Join(it.events, "\n"),
		Versions: slices.Compact(versions),
		Score:    score,
	}
}

// callReward calls until the item has a score or the call has failed as often as its route allows.
func (r *Runner) callReward(ctx context.Context, it *item, reward batch.Reward) {
	failures := 0
	for ctx.Err() == nil {
		route := r.State.View().Routes.Match(reward.Host, reward.Path)
		if route == nil {
			pause.For(ctx, judgePause)
			continue
		}
		request := &forward.Request{
			ID:     reward.ID,
			Method: http.MethodPost,
			Host:   reward.Host,
			Target: reward.Path,
			Header: http.Header{},
			Body:   reward.Body,
		}
		result := r.Forwarder.Do(ctx, route, request, r.now().Add(judgeTimeout))
		failures += result.FailedAttempts
		if result.Outcome == forward.Completed && result.Status >= 200 && result.Status < 300 {
			r.judged(it, reward, it.result(result.Signature), failures)
			return
		}
		if failures >= route.MaxAttempts {
			r.judged(it, reward, batch.Result{ID: it.ID, State: batch.Dead}, failures)
			return
		}
		pause.For(ctx, max(judgePause, result.RetryAfter))
	}
}

func (r *Runner) judged(it *item, reward batch.Reward, result batch.Result, failures int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if it.job.ended || it.phase != phaseJudging || !r.leads() {
		return
	}
	if result.State == batch.Dead {
		level.Info(r.Logger).Log("msg", "item given up", "request", it.ID, "job", it.job.ID, "reason", "reward call failed too often",
			"call", reward.ID, "failures", failures)
	}
	r.list(it, result)
}
