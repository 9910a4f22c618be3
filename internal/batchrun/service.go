package batchrun

import (
	"context"
	"errors"
	"time"

	"github.com/go-kit/log/level"

	"github.com/covelink/covelink/internal/batch"
	"github.com/covelink/covelink/internal/batchlog"
	"github.com/covelink/covelink/internal/jobresidency"
	"github.com/covelink/covelink/internal/metastore"
)

// Submit implements batch.Service. A job is accepted from the start of the term, since the store decides whether its ID is new and writes no log
// of another job. It runs once the jobs of earlier terms were read, whose items it may carry on.
func (r *Runner) Submit(ctx context.Context, submitted batch.Job) error {
	log, err := r.acceptingLog()
	if err != nil {
		return batch.ErrRefused
	}
	if known := r.find(submitted.ID); known != nil {
		return r.resubmitted(submitted, known.Tenant)
	}
	jobresidency.Bind(r.State.View().Routes, &submitted)
	if !r.mayStore(&submitted) {
		r.logExcluded("job refused: residency excludes this region", &submitted)
		return batch.ErrExcluded
	}
	size := batch.SizeOf(submitted.Items)
	if !r.reserve(size) {
		level.Warn(r.Logger).Log("msg", "job refused: no room in memory", "request", submitted.ID, "items", len(submitted.Items), "bytes", size)
		return batch.ErrFull
	}
	defer r.unreserve(size)
	// The job must be stored or refused even if the caller disconnects.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), acceptTimeout)
	defer cancel()
	started := r.now()
	stored, err := log.Accept(ctx, submitted)
	level.Info(r.Logger).Log("msg", "job submitted", "request", submitted.ID, "items", len(submitted.Items), "model", submitted.Model, "step", submitted.Step,
		"min_version", submitted.MinVersion, "took", r.now().Sub(started), "err", err)
	if errors.Is(err, metastore.ErrNotDone) || errors.Is(err, metastore.ErrInvalid) || errors.Is(err, batchlog.ErrRemoving) {
		return batch.ErrRefused
	}
	if err != nil {
		return batch.ErrUnavailable
	}
	if stored.Job.Tenant != submitted.Tenant {
		return r.resubmitted(submitted, stored.Job.Tenant)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case !r.termLasts() || r.log != log:
		// The term that has begun since, here or elsewhere, loads the job from the store.
	case !r.opened:
		r.accepted = append(r.accepted, stored)
	default:
		r.add(stored)
		r.unfinished.dropOutdated(submitted.Model, submitted.MinVersion)
	}
	return nil
}

// reserve takes room for a job until it is stored. It returns false if there is none.
func (r *Runner) reserve(bytes int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	held := r.openBytes + r.storingBytes
	for _, stored := range r.accepted {
		held += batch.SizeOf(stored.Job.Items)
	}
	if r.MaxOpenBytes > 0 {
		missing := max(held+bytes-r.MaxOpenBytes, 0)
		if r.releaseListed(missing) < missing {
			return false
		}
	}
	r.storingBytes += bytes
	return true
}

// releaseListed releases bodies of jobs whose results are all listed, the oldest first, until that makes up for missing bytes. It returns how much it
// has released. The mutex must be held.
func (r *Runner) releaseListed(missing int64) int64 {
	released := int64(0)
	for _, j := range r.order {
		if released >= missing {
			break
		}
		released += j.releaseListed()
	}
	r.openBytes -= released
	return released
}

func (r *Runner) unreserve(bytes int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storingBytes -= bytes
}

// resubmitted returns the reply to a submission whose ID is already that of a stored job.
func (r *Runner) resubmitted(submitted batch.Job, owner string) error {
	if owner == submitted.Tenant {
		return nil
	}
	level.Warn(r.Logger).Log("msg", "job refused: ID belongs to another tenant's job", "request", submitted.ID, "tenant", submitted.Tenant)
	return batch.ErrRefused
}

func (r *Runner) find(id string) *job {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.jobs[id]
}

// jobFor returns a job of the caller's tenant, from the store if it is not in memory.
func (r *Runner) jobFor(ctx context.Context, ref batch.Ref) (*job, error) {
	found, err := r.loadJob(ctx, ref.ID)
	if err != nil {
		return nil, err
	}
	if !found.VisibleTo(ref.Tenant) {
		level.Info(r.Logger).Log("msg", "call refused: job belongs to another tenant", "request", ref.ID, "tenant", ref.Tenant)
		return nil, batch.ErrNotFound
	}
	return found, nil
}

// loadJob returns a job of any tenant, from the store if it is not in memory.
func (r *Runner) loadJob(ctx context.Context, id string) (*job, error) {
	log, err := r.termLog()
	if err != nil {
		return nil, err
	}
	if known := r.find(id); known != nil {
		return known, nil
	}
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	stored, err := log.Find(ctx, id)
	if errors.Is(err, metastore.ErrNotFound) || errors.Is(err, batchlog.ErrRemoving) {
		return nil, batch.ErrNotFound
	}
	if err != nil {
		level.Warn(r.Logger).Log("msg", "job not read", "request", id, "err", err)
		return nil, batch.ErrUnavailable
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.leads() || r.log != log {
		return nil, batch.ErrUnavailable
	}
	return r.add(stored), nil
}

// Read implements batch.Service.
func (r *Runner) Read(ctx context.Context, ref batch.Ref, position int, wait time.Duration) (batch.ResultPage, error) {
	j, err := r.jobFor(ctx, ref)
	if err != nil {
		return batch.ResultPage{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, min(wait, maxWait))
	defer cancel()
	for {
		r.mu.Lock()
		page := j.readFrom(position)
		changed := j.changed
		r.mu.Unlock()
		if len(page.Results) > 0 {
			return page, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			// An empty result is valid only from the process that leads.
			if _, err := r.termLog(); err != nil {
				return batch.ResultPage{}, err
			}
			return page, nil
		}
	}
}

// readFrom returns the results from a position on, up to the size limit of one read. The runner's mutex must be held.
func (j *job) readFrom(position int) batch.ResultPage {
	page := batch.ResultPage{Total: j.total, Next: position}
	limit := maxReadBytes
	if position < j.newestRead {
		limit = maxRereadBytes
	}
	size := 0
	for position < len(j.listed) {
		result := j.listed[position]
		size += len(result.Text) + resultOverhead
		if len(page.Results) > 0 && size > limit {
			break
		}
		page.Results = append(page.Results, result)
		position++
	}
	page.Next = position
	if len(page.Results) > 0 && page.Next > j.furthestRead {
		j.newestRead, j.furthestRead = page.Next-len(page.Results), page.Next
	}
	return page
}

// Body implements batch.Service.
func (r *Runner) Body(ctx context.Context, ref batch.Ref, name string) ([]byte, error) {
	j, err := r.jobFor(ctx, ref)
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	it, ok := j.byID[name]
	if !ok || j.sealed || j.released {
		return nil, batch.ErrNotFound
	}
	return it.Item.Body, nil
}

// End implements batch.Service.
func (r *Runner) End(ctx context.Context, ref batch.Ref) error {
	j, err := r.jobFor(ctx, ref)
	if err != nil {
		return err
	}
	r.mu.Lock()
	if !j.ended {
		r.logProgress(j)
	}
	r.stopItems(j)
	r.mu.Unlock()
	j.wakeCommitter()
	ctx, cancel := context.WithTimeout(ctx, endTimeout)
	defer cancel()
	sealed := r.awaitSealed(ctx, j)
	level.Info(r.Logger).Log("msg", "job ended", "request", ref.ID, "items", j.total, "kept", sealed)
	if !sealed {
		return batch.ErrUnavailable
	}
	r.wakeScheduler()
	return nil
}

// awaitSealed waits until the end of a job is durable. It returns false if ctx ends first.
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
