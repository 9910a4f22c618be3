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

// mayKeep reports whether this process's region may hold a job's bodies and texts.
func (r *Runner) mayKeep(j *batch.Job) bool {
	view := r.State.View()
	return jobresidency.Whole(view.Routes, j).Allows(view.Topology.Region(r.Zone))
}

// boundsUnknown reports whether jobs may be bound to regions without this process knowing: the deployment has regions and no route table has
// arrived yet.
func (r *Runner) boundsUnknown() bool {
	view := r.State.View()
	return view.Routes == nil && view.Topology.Regional()
}

// awaitBounds waits until the bounds of jobs are known. False if ctx ends first.
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

// logExcluded logs why this process does not keep or read a job.
func (r *Runner) logExcluded(message string, j *batch.Job) {
	view := r.State.View()
	level.Warn(r.Logger).Log("msg", message, "request", j.ID, "tenant", j.Tenant, "region", view.Topology.Region(r.Zone),
		"allowed", fmt.Sprint(jobresidency.Whole(view.Routes, j).Sets()))
}

// readmit reads jobs that were withheld when the term began, once a later route table allows this process to. It returns when none is left or ctx
// ends.
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

// runResidency returns the residency of the process that carries out an item's run and its reward call.
func (r *Runner) runResidency(it *item) placement.Residency {
	return jobresidency.OfRun(r.State.View().Routes, &it.job.Job, &it.Item)
}

// allowedHere reports whether a residency allows this process's region.
func (r *Runner) allowedHere(residency placement.Residency) bool {
	return residency.Allows(r.State.View().Topology.Region(r.Zone))
}

// canCarry reports whether a worker or this process may carry out an item's run. The mutex must be held.
func (r *Runner) canCarry(it *item) bool {
	residency := r.runResidency(it)
	if r.allowedHere(residency) || r.Desk != nil && r.Desk.Reaches(residency) {
		return true
	}
	if !it.job.noWorkerLogged {
		it.job.noWorkerLogged = true
		r.logExcluded("items wait, no worker is in an allowed region", &it.job.Job)
	}
	return false
}

// carry hands an assignment to a worker near the engine, or to this process if there is none, where the item's residency allows. False if neither
// may carry it out. The desk has no workers once the term has ended: this process would then send what the next term sends again. The mutex
// must be held.
func (r *Runner) carry(begun *run, engine *fleet.Engine, assignment *itemwork.Assignment) bool {
	residency := r.runResidency(begun.item)
	if r.Desk != nil {
		if worker, ok := r.Desk.Assign(residency, engine, assignment); ok {
			r.hand(begun, worker)
			return true
		}
	}
	if !r.leads() || !r.allowedHere(residency) {
		return false
	}
	r.runHere(begun, assignment)
	return true
}
