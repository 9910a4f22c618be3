package batchrun

import (
	"context"
	"errors"
	"time"

	"github.com/go-kit/log/level"

	"github.com/covelink/covelink/internal/batch"
	"github.com/covelink/covelink/internal/batchlog"
)

const (
	// commitInterval is the least time between two writes of a job's results.
	commitInterval = 150 * time.Millisecond
	// commitPause is the pause after a write that failed.
	commitPause = 100 * time.Millisecond
)

// commit keeps the results of a job and then lists them, until the job's log is sealed or ctx ends.
func (r *Runner) commit(ctx context.Context, j *job) {
	for {
		select {
		case <-j.wake:
		case <-ctx.Done():
			return
		}
		for {
			more, err := r.commitOnce(ctx, j)
			if errors.Is(err, batchlog.ErrNotAlone) {
				level.Warn(r.Logger).Log("msg", "another process writes the results of the job", "request", j.ID)
				return
			}
			if err != nil {
				level.Warn(r.Logger).Log("msg", "results not kept", "request", j.ID, "err", err)
				sleep(ctx, commitPause)
			}
			if ctx.Err() != nil {
				return
			}
			if !more {
				break
			}
		}
		if r.sealed(j) {
			return
		}
		sleep(ctx, commitInterval)
	}
}

func (r *Runner) sealed(j *job) bool {
	j.storeMu.Lock()
	defer j.storeMu.Unlock()
	return j.stored.Sealed
}

// commitOnce keeps what is pending, or seals the log of a job that has ended. more is true if it must be called again.
func (r *Runner) commitOnce(ctx context.Context, j *job) (more bool, err error) {
	r.mu.Lock()
	pending := j.pending
	ended := j.ended
	r.mu.Unlock()
	j.storeMu.Lock()
	defer j.storeMu.Unlock()
	if len(pending) > 0 {
		appended, err := j.stored.Append(ctx, pending)
		if err != nil {
			return true, err
		}
		r.listed(j, pending[:appended])
		return true, nil
	}
	if !ended || !j.stored.Ended || j.stored.Sealed {
		return false, nil
	}
	if err := j.stored.Seal(ctx); err != nil {
		return true, err
	}
	return false, j.stored.MarkSealed(ctx)
}

// listed makes results visible that are kept.
func (r *Runner) listed(j *job, results []batch.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j.pending = j.pending[len(results):]
	j.publish(results)
	level.Debug(r.Logger).Log("msg", "results listed", "request", j.ID, "results", len(results), "listed", len(j.listed), "items", len(j.items))
}
