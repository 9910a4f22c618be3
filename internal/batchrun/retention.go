package batchrun

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"github.com/covelink/covelink/internal/batchlog"
	"github.com/covelink/covelink/internal/metastore"
	"github.com/covelink/covelink/internal/pause"
)

const (
	// DefaultRetention is how long a job is kept after its end.
	DefaultRetention = 2 * time.Minute
	// retentionInterval is the pause between two looks for jobs whose time is over.
	retentionInterval = 10 * time.Second
	// removeTimeout bounds the removal of one job.
	removeTimeout = 10 * time.Second
)

// retain removes jobs, from memory and from the store, once their retention is over, until ctx ends. The time since the end of
// jobs that ended in an earlier term is not known: theirs counts from the start of this one.
func (r *Runner) retain(ctx context.Context) {
	for ctx.Err() == nil {
		pause.For(ctx, retentionInterval)
		r.forgetEngines()
		for _, id := range r.outdated() {
			if ctx.Err() == nil && r.remove(ctx, id) {
				r.mu.Lock()
				delete(r.ends, id)
				r.mu.Unlock()
			}
		}
	}
}

// outdated returns the IDs of the jobs whose retention is over.
func (r *Runner) outdated() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ids []string
	for id, end := range r.ends {
		if r.now().Sub(end) >= r.Retention {
			ids = append(ids, id)
		}
	}
	return ids
}

// noteEnd takes in that a job's end is kept for good, and drops the longest ended jobs from memory while they are too large
// together. The mutex must be held.
func (r *Runner) noteEnd(j *job) {
	if _, known := r.ends[j.ID]; !known {
		r.ends[j.ID] = r.now()
	}
	r.endedBytes += j.resultBytes()
	for _, old := range slices.Clone(r.order) {
		if r.endedBytes <= r.MaxEndedBytes {
			return
		}
		if old.sealed && old != j {
			r.drop(old)
		}
	}
}

// drop takes an ended job out of memory. The mutex must be held.
func (r *Runner) drop(j *job) {
	delete(r.jobs, j.ID)
	r.order = slices.DeleteFunc(r.order, func(known *job) bool { return known == j })
	r.endedBytes -= j.resultBytes()
}

// resultBytes is the size of the texts of a job's results.
func (j *job) resultBytes() int {
	size := 0
	for _, result := range j.listed {
		size += len(result.Text)
	}
	return size
}

// forgetEngines drops the records of engines that are not listed any more.
func (r *Runner) forgetEngines() {
	listed := r.State.View().Engines
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, record := range r.engines {
		if _, ok := listed.Get(id); !ok && record.running == 0 {
			delete(r.engines, id)
		}
	}
	r.forgetHolders()
}

// remove forgets a job and deletes it. It reports whether the job is gone.
func (r *Runner) remove(ctx context.Context, id string) bool {
	ctx, cancel := context.WithTimeout(ctx, removeTimeout)
	defer cancel()
	r.mu.Lock()
	log := r.log
	if known, ok := r.jobs[id]; ok {
		r.drop(known)
	}
	r.mu.Unlock()
	stored, err := log.Find(ctx, id)
	if errors.Is(err, metastore.ErrNotFound) {
		return true
	}
	if errors.Is(err, batchlog.ErrWithheld) {
		// A later term in an allowed region removes it.
		level.Info(r.Logger).Log("msg", "job not removed", "request", id, "err", err)
		return true
	}
	if err == nil {
		err = stored.Remove(ctx)
	}
	level.Info(r.Logger).Log("msg", "job removed", "request", id, "err", err)
	return err == nil
}
