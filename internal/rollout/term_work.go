package rollout

import (
	"context"
	"fmt"
	"time"

	"github.com/go-kit/log/level"

	"github.com/covelink/covelink/internal/weights"
)

const (
	// maxScoring bounds the calls to scoring services at once.
	maxScoring = 64
	// scoreTimeout bounds one call to a scoring service.
	scoreTimeout = 30 * time.Second
)

// score asks for a score until it has one; the owner drops it if it comes too late.
func (t *term) score(a Score) {
	key := attemptKey{identity: a.Identity, number: a.Attempt}
	if cancel, ok := t.scoring[key]; ok {
		cancel()
	}
	ctx, cancel := context.WithCancel(t.ctx)
	t.scoring[key] = cancel
	t.work.Go(func() {
		score, err := t.askScore(ctx, a)
		if err != nil {
			return // ctx has ended
		}
		_ = t.submit(ctx, func(time.Time) {
			delete(t.scoring, key)
			cancel()
			t.owner.Scored(a.Identity, a.Attempt, score)
		})
	})
}

func (t *term) askScore(ctx context.Context, a Score) (float64, error) {
	requestID := fmt.Sprintf("%s/%d", a.Identity, a.Attempt)
	wait := newBackOff()
	for {
		score, err := t.tryScore(ctx, a, requestID)
		if err == nil {
			return score, nil
		}
		if ctx.Err() != nil {
			return 0, ctx.Err()
		}
		level.Warn(t.manager.logger).Log("msg", "no score", "sample", a.Identity, "err", err)
		sleep(ctx, wait.NextBackOff())
	}
}

func (t *term) tryScore(ctx context.Context, a Score, requestID string) (float64, error) {
	select {
	case t.scoreSlots <- struct{}{}:
		defer func() { <-t.scoreSlots }()
	case <-ctx.Done():
		return 0, ctx.Err()
	}
	ctx, cancel := context.WithTimeout(ctx, scoreTimeout)
	defer cancel()
	return t.manager.params.Scorer.Score(ctx, a.Scorer, requestID, a.Text)
}

// retarget hands newly published weights to the publisher's goroutine, and those found on take-over.
func (t *term) retarget() {
	published := t.owner.Ledger().Weights()
	if last := t.target.Load(); published.Version == 0 || (last != nil && *last == published) {
		return
	}
	t.target.Store(&published)
	select {
	case t.publish <- struct{}{}:
	default:
	}
}

// publishTargets publishes the newest weights until a publication succeeds, for each that comes.
func (t *term) publishTargets() {
	for {
		select {
		case <-t.publish:
			t.publishUntilDone()
		case <-t.ctx.Done():
			return
		}
	}
}

func (t *term) publishUntilDone() {
	wait := newBackOff()
	for t.ctx.Err() == nil {
		config, ok := t.manager.config(t.trainer, t.store)
		if ok {
			target := weights.Target{Pool: config.Pool, Weights: *t.target.Load()}
			err := t.manager.params.Publisher.Publish(t.ctx, target)
			if err == nil {
				return
			}
			level.Warn(t.manager.logger).Log("msg", "weights not published", "trainer", t.trainer, "version", target.Weights.Version, "err", err)
		}
		sleep(t.ctx, wait.NextBackOff())
	}
}
