package batchrun

import (
	"context"
	"errors"
	"fmt"

	"github.com/go-kit/log/level"

	"github.com/covelink/covelink/internal/batch"
	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/itemwork"
	"github.com/covelink/covelink/internal/jobresidency"
	"github.com/covelink/covelink/internal/placement"
)

// mayKeep reports whether a job's bodies and texts may be in this process's region.
func (r *Runner) mayKeep(j *batch.Job) bool {
	view := r.State.View()
	return jobresidency.Whole(view.Routes, j).Allows(view.Topology.Region(r.Zone))
}

// boundsUnknown reports whether a job may be bound without this process knowing it: without a route table, where there are regions.
func (r *Runner) boundsUnknown() bool {
	view := r.State.View()
	return view.Routes == nil && view.Topology.Regional()
}

// awaitBounds waits until the bounds of jobs are known. It returns false if ctx ends first.
func (r *Runner) awaitBounds(ctx context.Context) bool {
	for {
		_, changed := r.State.Changed()
		if !r.boundsUnknown() {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// logExcluded tells why a job is not kept, or not read, by this process.
func (r *Runner) logExcluded(message string, j *batch.Job) {
	view := r.State.View()
	level.Warn(r.Logger).Log("msg", message, "request", j.ID, "tenant", j.Tenant, "region", view.Topology.Region(r.Zone),
		"allowed", fmt.Sprint(jobresidency.Whole(view.Routes, j).Sets()))
}

// readmit takes up jobs that were withheld when the term began as soon as a later route table lets this process read them, until ctx ends.
func (r *Runner) readmit(ctx context.Context, withheld []batch.Job) {
	for ctx.Err() == nil && len(withheld) > 0 {
		_, changed := r.State.Changed()
		var left []batch.Job
		for i := range withheld {
			if !r.mayKeep(&withheld[i]) {
				left = append(left, withheld[i])
				continue
			}
			if _, err := r.lookUpAny(ctx, withheld[i].ID); err != nil && !errors.Is(err, batch.ErrNotFound) {
				level.Warn(r.Logger).Log("msg", "job not read", "request", withheld[i].ID, "err", err)
				left = append(left, withheld[i])
			}
		}
		withheld = left
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// carriage is where a process may stand that carries an item's run out, and its reward call.
func (r *Runner) carriage(it *item) placement.Residency {
	return jobresidency.OfRun(r.State.View().Routes, &it.job.Job, &it.Item)
}

// hosts reports whether data of a residency may be in this process's region.
func (r *Runner) hosts(residency placement.Residency) bool {
	return residency.Allows(r.State.View().Topology.Region(r.Zone))
}

// canCarry reports whether there is a process that may carry an item's run out: a worker, or this one. The mutex must be held.
func (r *Runner) canCarry(it *item) bool {
	residency := r.carriage(it)
	if r.hosts(residency) || r.Desk != nil && r.Desk.Reaches(residency) {
		return true
	}
	if !it.job.stranded {
		it.job.stranded = true
		r.logExcluded("items wait, no worker is in an allowed region", &it.job.Job)
	}
	return false
}

// carry has an assignment carried out by the worker of an engine, or by this process, where the item's data may be. It returns false if neither
// can. The mutex must be held.
func (r *Runner) carry(begun *run, engine *fleet.Engine, assignment *itemwork.Assignment) bool {
	residency := r.carriage(begun.item)
	if r.Desk != nil {
		if worker, ok := r.Desk.Assign(residency, engine, assignment); ok {
			r.hand(begun, worker)
			return true
		}
	}
	if !r.hosts(residency) {
		return false
	}
	r.runHere(begun, assignment)
	return true
}
