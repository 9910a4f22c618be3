package batchrun

import (
	"context"
	"errors"
	"time"

	"github.com/go-kit/log/level"

	"github.com/covelink/covelink/internal/batch"
	"github.com/covelink/covelink/internal/batchlog"
	"github.com/covelink/covelink/internal/pause"
)

const (
	// commitInterval is the least time between two writes of a job's results.
	commitInterval = 150 * time.Millisecond
	// listingDelay is how long a result waits, at the most, for others of its job, unless it makes a group whole, of which a trainer
	// can make use: about a sixth of what an item takes, in which half of the writes to the store are saved.
	listingDelay = 500 * time.Millisecond
	// commitPause is the pause after a write that failed.
	commitPause = 100 * time.Millisecond
)

// commit keeps the results of a job and then lists them, until the job's log is sealed or ctx ends.
func (r *Runner) commit(ctx context.Context, j *job) {
	for ctx.Err() == nil {
		select {
		case <-j.wake:
		case <-ctx.Done():
			return
		}
		r.awaitDue(ctx, j)
		for ctx.Err() == nil && r.commitOnce(ctx, j) {
		}
		if j.stored.Sealed {
			r.noteSealed(ctx, j)
			return
		}
		pause.For(ctx, commitInterval)
	}
}

// awaitDue waits until what is pending is to be kept.
func (r *Runner) awaitDue(ctx context.Context, j *job) {
	for ctx.Err() == nil {
		r.mu.Lock()
		rest := j.untilDue(r.now())
		r.mu.Unlock()
		if rest <= 0 {
			return
		}
		timer := time.NewTimer(rest)
		select {
		case <-j.wake:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// untilDue returns how long what is pending may still wait for more. The runner's mutex must be held.
func (j *job) untilDue(now time.Time) time.Duration {
	if j.ended || j.groupPending || len(j.pending) == 0 {
		return 0
	}
	return listingDelay - now.Sub(j.pendingSince)
}

// addPending hands a result to the committer; groupWhole is true if its group lacks no other. The runner's mutex must be held.
func (j *job) addPending(result batch.Result, groupWhole bool, now time.Time) {
	if len(j.pending) == 0 {
		j.pendingSince = now
	}
	j.pending = append(j.pending, result)
	j.groupPending = j.groupPending || groupWhole
	j.signal()
}

// commitOnce keeps what is pending, with the end of the job if that was asked for. It reports whether there is more to do.
func (r *Runner) commitOnce(ctx context.Context, j *job) (more bool) {
	r.mu.Lock()
	pending := j.pending
	ended := j.ended
	j.groupPending = false
	r.mu.Unlock()
	if len(pending) == 0 && !ended {
		return false
	}
	started := r.now()
	appended, err := j.stored.Append(ctx, pending, ended)
	switch {
	case errors.Is(err, batchlog.ErrFenced):
		level.Warn(r.Logger).Log("msg", "results are another process's to write", "request", j.ID)
		r.depose()
		return false
	case errors.Is(err, batchlog.ErrSealed):
		appended = len(pending)
	case err != nil:
		// What is pending is tried again without a wait for more.
		level.Warn(r.Logger).Log("msg", "results not kept", "request", j.ID, "err", err)
		pause.For(ctx, commitPause)
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Observer.Committed(r.now().Sub(started))
	for _, result := range j.stored.Results[len(j.listed):] {
		r.Observer.Listed(result.State)
	}
	j.pending = j.pending[appended:]
	j.pendingSince = r.now()
	j.publish(j.stored.Results, j.stored.Sealed)
	level.Debug(r.Logger).Log("msg", "results listed", "request", j.ID, "listed", len(j.listed), "items", len(j.items), "sealed", j.sealed)
	return !j.sealed && (len(j.pending) > 0 || j.ended)
}

// noteSealed tells later terms that they need not read the job.
func (r *Runner) noteSealed(ctx context.Context, j *job) {
	r.mu.Lock()
	r.noteEnd(j)
	r.mu.Unlock()
	if err := j.stored.MarkSealed(ctx); err != nil {
		level.Info(r.Logger).Log("msg", "sealed job not marked", "request", j.ID, "err", err)
	}
}
