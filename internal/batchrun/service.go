package batchrun

import (
	"context"
	"errors"
	"time"

	"github.com/go-kit/log/level"

	"github.com/covelink/covelink/internal/batch"
	"github.com/covelink/covelink/internal/jobresidency"
	"github.com/covelink/covelink/internal/metastore"
)

// Submit implements batch.Service.
func (r *Runner) Submit(ctx context.Context, submitted batch.Job) error {
	log, err := r.leading()
	if err != nil {
		return batch.ErrRefused
	}
	if known := r.find(submitted.ID); known != nil {
		return r.takenAgain(submitted, known.Tenant)
	}
	jobresidency.Bind(r.State.View().Routes, &submitted)
	if !r.mayKeep(&submitted) {
		r.logExcluded("job refused, it may not be in this region", &submitted)
		return batch.ErrExcluded
	}
	// A caller that leaves must not leave the outcome open.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), acceptTimeout)
	defer cancel()
	started := r.now()
	stored, err := log.Accept(ctx, submitted)
	level.Info(r.Logger).Log("msg", "job submitted", "request", submitted.ID, "items", len(submitted.Items), "model", submitted.Model, "step", submitted.Step,
		"min_version", submitted.MinVersion, "took", r.now().Sub(started), "err", err)
	if errors.Is(err, metastore.ErrNotDone) || errors.Is(err, metastore.ErrInvalid) {
		return batch.ErrRefused
	}
	if err != nil {
		return batch.ErrUnavailable
	}
	if stored.Job.Tenant != submitted.Tenant {
		return r.takenAgain(submitted, stored.Job.Tenant)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.leads() {
		// Whoever leads now finds the job when it is asked for.
		return nil
	}
	r.add(stored)
	r.kept.dropOutdated(submitted.Model, submitted.MinVersion)
	return nil
}

// takenAgain answers a submission whose ID is that of a job which is kept already.
func (r *Runner) takenAgain(submitted batch.Job, keptFor string) error {
	if keptFor == submitted.Tenant {
		return nil
	}
	level.Warn(r.Logger).Log("msg", "job refused, its id is that of another tenant's", "request", submitted.ID, "tenant", submitted.Tenant)
	return batch.ErrRefused
}

func (r *Runner) find(id string) *job {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.jobs[id]
}

// lookUp returns a job of the caller's tenant, from the store if this process does not know it.
func (r *Runner) lookUp(ctx context.Context, ref batch.Ref) (*job, error) {
	found, err := r.lookUpAny(ctx, ref.ID)
	if err != nil {
		return nil, err
	}
	if !found.MayBeSeenBy(ref.Tenant) {
		level.Info(r.Logger).Log("msg", "call refused, the job is another tenant's", "request", ref.ID, "tenant", ref.Tenant)
		return nil, batch.ErrNotFound
	}
	return found, nil
}

// lookUpAny returns a job, whoever's it is.
func (r *Runner) lookUpAny(ctx context.Context, id string) (*job, error) {
	log, err := r.leading()
	if err != nil {
		return nil, err
	}
	if known := r.find(id); known != nil {
		return known, nil
	}
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	stored, err := log.Find(ctx, id)
	if errors.Is(err, metastore.ErrNotFound) {
		return nil, batch.ErrNotFound
	}
	if err != nil {
		return nil, batch.ErrUnavailable
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.leads() {
		return nil, batch.ErrUnavailable
	}
	return r.add(stored), nil
}

// Read implements batch.Service.
func (r *Runner) Read(ctx context.Context, ref batch.Ref, position int, wait time.Duration) (batch.Reading, error) {
	j, err := r.lookUp(ctx, ref)
	if err != nil {
		return batch.Reading{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, min(wait, maxWait))
	defer cancel()
	for {
		r.mu.Lock()
		reading := j.read(position)
		changed := j.changed
		r.mu.Unlock()
		if len(reading.Results) > 0 {
			return reading, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			// Whoever reads that there is nothing yet must have asked one who leads.
			if _, err := r.leading(); err != nil {
				return batch.Reading{}, err
			}
			return reading, nil
		}
	}
}

// read returns the results from a position on that fit one reading. The runner's mutex must be held.
func (j *job) read(position int) batch.Reading {
	reading := batch.Reading{Total: j.total, Next: position}
	limit := maxReadBytes
	if position < j.newestRead {
		limit = maxRepeatBytes
	}
	size := 0
	for position < len(j.listed) {
		result := j.listed[position]
		size += len(result.Text) + resultOverhead
		if len(reading.Results) > 0 && size > limit {
			break
		}
		reading.Results = append(reading.Results, result)
		position++
	}
	reading.Next = position
	if len(reading.Results) > 0 && reading.Next > j.furthestRead {
		j.newestRead, j.furthestRead = reading.Next-len(reading.Results), reading.Next
	}
	return reading
}

// Body implements batch.Service.
func (r *Runner) Body(ctx context.Context, ref batch.Ref, name string) ([]byte, error) {
	j, err := r.lookUp(ctx, ref)
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	it, ok := j.byID[name]
	if !ok || j.sealed {
		return nil, batch.ErrNotFound
	}
	return it.Item.Body, nil
}

// End implements batch.Service.
func (r *Runner) End(ctx context.Context, ref batch.Ref) error {
	j, err := r.lookUp(ctx, ref)
	if err != nil {
		return err
	}
	r.mu.Lock()
	if !j.ended {
		r.logEnd(j)
	}
	r.stopItems(j)
	r.mu.Unlock()
	j.signal()
	ctx, cancel := context.WithTimeout(ctx, endTimeout)
	defer cancel()
	sealed := r.awaitSealed(ctx, j)
	level.Info(r.Logger).Log("msg", "job ended", "request", ref.ID, "items", j.total, "kept", sealed)
	if !sealed {
		return batch.ErrUnavailable
	}
	r.poke()
	return nil
}

// awaitSealed waits until the end of a job is kept for good.
func (r *Runner) awaitSealed(ctx context.Context, j *job) bool {
	for {
		r.mu.Lock()
		sealed, changed := j.sealed, j.changed
		r.mu.Unlock()
		if sealed {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}
