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

// mayStore reports whether this process's region may store a job's bodies and texts.
func (r *Runner) mayStore(j *batch.Job) bool {
	view := r.State.View()
	return jobresidency.OfJob(view.Routes, j).Allows(view.Topology.Region(r.Zone))
}

// residencyUnknown reports whether the regions allowed for jobs are unknown: the deployment spans several regions, but no route table has arrived
// yet.
func (r *Runner) residencyUnknown() bool {
	view := r.State.View()
	return view.Routes == nil && view.Topology.MultiRegion()
}

// awaitResidency waits until the regions allowed for jobs are known. It returns false if ctx ends first.
func (r *Runner) awaitResidency(ctx context.Context) bool {
	for {
		_, changed := r.State.Changed()
		if !r.residencyUnknown() {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// logExcluded logs a message with this process's region and the regions allowed for the job.
func (r *Runner) logExcluded(message string, j *batch.Job) {
	view := r.State.View()
	level.Warn(r.Logger).Log("msg", message, "request", j.ID, "tenant", j.Tenant, "region", view.Topology.Region(r.Zone),
		"allowed", fmt.Sprint(jobresidency.OfJob(view.Routes, j).RegionSets()))
}

// loadExcluded loads the jobs that this region was not allowed to load at the start of the term, once a newer route table allows it. It returns when
// none is left or ctx ends.
func (r *Runner) loadExcluded(ctx context.Context, excluded []batch.Job) {
	for ctx.Err() == nil && len(excluded) > 0 {
		_, changed := r.State.Changed()
		var remaining []batch.Job
		for i := range excluded {
			if !r.mayStore(&excluded[i]) {
				remaining = append(remaining, excluded[i])
				continue
			}
			if _, err := r.loadJob(ctx, excluded[i].ID); err != nil && !errors.Is(err, batch.ErrNotFound) {
				level.Warn(r.Logger).Log("msg", "job not read", "request", excluded[i].ID, "err", err)
				remaining = append(remaining, excluded[i])
			}
		}
		excluded = remaining
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// runResidency returns the residency required of the process that executes an item's run and its reward call.
func (r *Runner) runResidency(it *item) placement.Residency {
	return jobresidency.OfRun(r.State.View().Routes, &it.job.Job, &it.Item)
}

// allowedHere reports whether a residency allows this process's region.
func (r *Runner) allowedHere(residency placement.Residency) bool {
	return residency.Allows(r.State.View().Topology.Region(r.Zone))
}

// canExecute reports whether a worker or this process may execute an item's run. The mutex must be held.
func (r *Runner) canExecute(it *item) bool {
	residency := r.runResidency(it)
	if r.allowedHere(residency) || r.Dispatcher != nil && r.Dispatcher.HasEligibleWorker(residency) {
		return true
	}
	if !it.job.noWorkerLogged {
		it.job.noWorkerLogged = true
		r.logExcluded("items waiting: no worker in an allowed region", &it.job.Job)
	}
	return false
}

// dispatch assigns a run to a worker near the engine, or to this process if there is no such worker and the residency allows it. It returns false
// if neither may execute the run. After the term has ended, the run is not executed here either: the next term's coordinator may already have sent
// it. The mutex must be held.
func (r *Runner) dispatch(newRun *run, engine *fleet.Engine, assignment *itemwork.Assignment) bool {
	residency := r.runResidency(newRun.item)
	if r.Dispatcher != nil {
		if worker, ok := r.Dispatcher.Assign(residency, engine, assignment); ok {
			r.assignWorker(newRun, worker)
			return true
		}
	}
	if !r.leads() || !r.allowedHere(residency) {
		return false
	}
	r.runLocally(newRun, assignment)
	return true
}
