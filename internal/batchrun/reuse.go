package batchrun

import (
	"github.com/covelink/covelink/internal/itemwork"
)

// reuse continues an item from the text or detached run that an ended job left, if the bounds of the item's new job allow that text.
func (r *Runner) reuse(it *item) {
	if earlier := r.earlierJob(it); earlier != nil {
		it.carriedOver = true
		r.recordCarryOver(it.job.Model, earlier.MinVersion, it.job.MinVersion)
	}
	if it.phase != phaseWaiting {
		return
	}
	if detached, ok := r.detached[it.textKey()]; ok {
		r.attach(detached, it)
		return
	}
	kept, ok := r.unfinished.take(it.textKey())
	if !ok {
		return
	}
	if kept.Fits(itemwork.Bounds{MinVersion: it.job.MinVersion, SingleVersion: r.singleVersion(it)}) {
		it.text = newText(kept)
		r.Observer.Restored(kept.Len())
	}
}

// earlierJob returns the ended job from which an item is carried over, or nil.
func (r *Runner) earlierJob(it *item) *job {
	for _, earlier := range r.order {
		if !earlier.ended || !earlier.precedes(it.job, 2*stepsAhead) {
			continue
		}
		if _, ok := earlier.byID[it.ID]; ok {
			return earlier
		}
	}
	return nil
}

// precedes reports whether a job belongs to one of the given number of steps before another job of the same tenant and model.
func (j *job) precedes(other *job, steps int64) bool {
	return j.Tenant == other.Tenant && j.Model == other.Model && j.Step < other.Step && j.Step >= other.Step-steps
}

// hasEarlierJobs reports whether this process has the items of all jobs from which groups may be carried over into a job. It does not have the
// items of jobs that ended in an earlier term.
func (r *Runner) hasEarlierJobs(j *job) bool {
	missing := min(j.Step, stepsAhead)
	for _, known := range r.order {
		if known.precedes(j, stepsAhead) && len(known.items) > 0 {
			missing--
		}
	}
	return missing <= 0
}

// stepsAhead is how many steps a trainer may submit ahead of its oldest open job.
const stepsAhead = 2
