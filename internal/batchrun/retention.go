package batchrun

import (
	"context"
	"errors"
	"time"

	"github.com/go-kit/log/level"

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
func (r *Runner) retain(ctx context.Context, sealed []string) {
	ends := make(map[string]time.Time, len(sealed))
	for _, id := range sealed {
		ends[id] = r.now()
	}
	for ctx.Err() == nil {
		pause.For(ctx, retentionInterval)
		r.forgetEngines()
		for _, id := range r.sealedJobs() {
			if _, known := ends[id]; !known {
				ends[id] = r.now()
			}
		}
		for id, end := range ends {
			if r.now().Sub(end) < r.Retention || ctx.Err() != nil {
				continue
			}
			if r.remove(ctx, id) {
				delete(ends, id)
			}
		}
	}
}

// forgetEngines drops the records of engines that are not listed any more.
func (r *Runner) forgetEngines() {
	listed := r.State.View().Engines
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, record := range r.engines {
		if _, ok := listed[id]; !ok && record.running == 0 {
			delete(r.engines, id)
		}
	}
}

// sealedJobs returns the IDs of the jobs in memory whose end is kept for good.
func (r *Runner) sealedJobs() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ids []string
	for _, j := range r.order {
		if j.sealed {
			ids = append(ids, j.ID)
		}
	}
	return ids
}

// remove forgets a job and deletes it. It reports whether the job is gone.
func (r *Runner) remove(ctx context.Context, id string) bool {
	ctx, cancel := context.WithTimeout(ctx, removeTimeout)
	defer cancel()
	r.mu.Lock()
	log := r.log
	delete(r.jobs, id)
	for i, j := range r.order {
		if j.ID == id {
			r.order = append(r.order[:i:i], r.order[i+1:]...)
			break
		}
	}
	r.mu.Unlock()
	stored, err := log.Find(ctx, id)
	if errors.Is(err, metastore.ErrNotFound) {
		return true
	}
	if err == nil {
		err = stored.Remove(ctx)
	}
	level.Info(r.Logger).Log("msg", "job removed", "request", id, "err", err)
	return err == nil
}
