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
	// commitInterval is the minimum delay between two writes of a job's results.
	commitInterval = 150 * time.Millisecond
	// maxBatchDelay bounds how long a result waits to be stored together with others of its job. A result that completes a group does not wait.
	// The delay is about a sixth of an item's time, and saves half of the writes to the store.
	maxBatchDelay = 500 * time.Millisecond
	// commitRetryDelay is the delay before a failed write is retried.
	commitRetryDelay = 100 * time.Millisecond
)

// commit stores the results of a job and then lists them, until the job's log is sealed or ctx ends.
func (r *Runner) commit(ctx context.Context, j *job) {
	for ctx.Err() == nil {
		select {
		case <-j.commitWake:
		case <-ctx.Done():
			return
		}
		r.awaitDue(ctx, j)
		for ctx.Err() == nil && r.commitPending(ctx, j) {
		}
		if j.stored.Sealed {
			r.markSealed(ctx, j)
			return
		}
		pause.For(ctx, commitInterval)
	}
}

// awaitDue waits until pending results are due to be stored.
func (r *Runner) awaitDue(ctx context.Context, j *job) {
	for ctx.Err() == nil {
		r.mu.Lock()
		remaining := j.untilDue(r.now())
		r.mu.Unlock()
		if remaining <= 0 {
			return
		}
		timer := time.NewTimer(remaining)
		select {
		case <-j.commitWake:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// untilDue returns how much longer pending results may wait for others. The runner's mutex must be held.
func (j *job) untilDue(now time.Time) time.Duration {
	if j.ended || j.groupPending || len(j.pending) == 0 {
		return 0
	}
	return maxBatchDelay - now.Sub(j.pendingSince)
}

// addPending passes a result to the committer. groupComplete is true if it was the last of its group. The runner's mutex must be held.
func (j *job) addPending(result batch.Result, groupComplete bool, now time.Time) {
	if len(j.pending) == 0 {
		j.pendingSince = now
	}
	j.pending = append(j.pending, result)
	j.groupPending = j.groupPending || groupComplete
	j.wakeCommitter()
}

// commitPending stores pending results, and the end of the job if it was requested. It reports whether more work is left.
func (r *Runner) commitPending(ctx context.Context, j *job) (more bool) {
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
		level.Warn(r.Logger).Log("msg", "results not written: job log is fenced by a later term", "request", j.ID)
		r.endTerm()
		return false
	case errors.Is(err, batchlog.ErrSealed):
		appended = len(pending)
	case err != nil:
		// The retry does not wait for further results.
		level.Warn(r.Logger).Log("msg", "results not kept", "request", j.ID, "err", err)
		pause.For(ctx, commitRetryDelay)
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
	held := j.bytes
	j.publish(j.stored.Results, j.stored.Sealed)
	r.openBytes -= held - j.bytes
	level.Debug(r.Logger).Log("msg", "results listed", "request", j.ID, "listed", len(j.listed), "items", len(j.items), "sealed", j.sealed)
	return !j.sealed && (len(j.pending) > 0 || j.ended)
}

// markSealed marks the job in the store, so that later terms need not read it.
func (r *Runner) markSealed(ctx context.Context, j *job) {
	r.mu.Lock()
	r.recordEnd(j)
	r.mu.Unlock()
	if err := j.stored.MarkSealed(ctx); err != nil {
		level.Info(r.Logger).Log("msg", "failed to mark job as sealed in store", "request", j.ID, "err", err)
	}
}
