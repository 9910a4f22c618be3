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
	// retentionInterval is the delay between two scans for expired jobs.
	retentionInterval = 10 * time.Second
	removeTimeout     = 10 * time.Second
)

// enforceRetention removes expired jobs from memory and from the store until ctx ends. For jobs that ended in an earlier term, whose end time is
// unknown, retention counts from the start of this term.
func (r *Runner) enforceRetention(ctx context.Context) {
	for ctx.Err() == nil {
		pause.For(ctx, retentionInterval)
		r.pruneEngines()
		for _, id := range r.expiredJobs() {
			if ctx.Err() == nil && r.remove(ctx, id) {
				r.mu.Lock()
				delete(r.endedAt, id)
				r.mu.Unlock()
			}
		}
	}
}

// expiredJobs returns the IDs of the jobs whose retention has passed.
func (r *Runner) expiredJobs() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ids []string
	for id, end := range r.endedAt {
		if r.now().Sub(end) >= r.Retention {
			ids = append(ids, id)
		}
	}
	return ids
}

// recordEnd records the durable end of a job, and evicts the oldest ended jobs from memory while their results exceed MaxEndedBytes. The mutex must
// be held.
func (r *Runner) recordEnd(j *job) {
	if _, known := r.endedAt[j.ID]; !known {
		r.endedAt[j.ID] = r.now()
	}
	r.endedBytes += j.resultBytes()
	for _, old := range slices.Clone(r.order) {
		if r.endedBytes <= r.MaxEndedBytes {
			return
		}
		if old.sealed && old != j {
			r.evict(old)
		}
	}
}

// evict removes an ended job from memory. The mutex must be held.
func (r *Runner) evict(j *job) {
	delete(r.jobs, j.ID)
	r.order = slices.DeleteFunc(r.order, func(other *job) bool { return other == j })
	r.endedBytes -= j.resultBytes()
}

func (j *job) resultBytes() int {
	size := 0
	for _, result := range j.listed {
		size += len(result.Text)
	}
	return size
}

// pruneEngines drops the records of engines that are no longer listed.
func (r *Runner) pruneEngines() {
	listed := r.State.View().Engines
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, record := range r.engines {
		if _, ok := listed.Get(id); !ok && record.running == 0 {
			delete(r.engines, id)
		}
	}
	r.prunePrefixHolders()
}

// remove deletes a job from memory and from the store. It returns true if nothing is left for this process to remove.
func (r *Runner) remove(ctx context.Context, id string) bool {
	ctx, cancel := context.WithTimeout(ctx, removeTimeout)
	defer cancel()
	r.mu.Lock()
	log := r.log
	if known, ok := r.jobs[id]; ok {
		r.evict(known)
	}
	r.mu.Unlock()
	err := log.Remove(ctx, id)
	if errors.Is(err, metastore.ErrNotFound) {
		return true
	}
	if errors.Is(err, batchlog.ErrWithheld) {
		// A later term in an allowed region removes the job.
		level.Info(r.Logger).Log("msg", "job not removed: residency excludes this region", "request", id, "err", err)
		return true
	}
	level.Info(r.Logger).Log("msg", "job removal finished", "request", id, "err", err)
	return err == nil
}
