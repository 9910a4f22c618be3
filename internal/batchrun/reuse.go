package batchrun

import (
	"github.com/covelink/covelink/internal/itemwork"
)

// reuse gives an item what an ended job has kept of its text, or its run, if that fits.
func (r *Runner) reuse(it *item) {
	if earlier := r.earlierJob(it); earlier != nil {
		it.carried = true
		r.noteReturn(it.job.Model, earlier.MinVersion, it.job.MinVersion)
	}
	if it.phase != phaseWaiting {
		return
	}
	if detached, ok := r.detached[it.textName()]; ok {
		r.attach(detached, it)
		return
	}
	kept, ok := r.kept.take(it.textName())
	if !ok {
		return
	}
	if kept.Fits(itemwork.Bounds{MinVersion: it.job.MinVersion, SingleVersion: r.singleVersion(it)}) {
		it.text = kept
		r.Observer.Restored(kept.Len())
	}
}

// earlierJob returns the ended job from which an item comes again, or nil.
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

// precedes reports whether a job is of one of so many steps before another of the same tenant and model.
func (j *job) precedes(other *job, steps int64) bool {
	return j.Tenant == other.Tenant && j.Model == other.Model && j.Step < other.Step && j.Step >= other.Step-steps
}

// knowsEarlier reports whether this process knows the items of the jobs from which groups may come again in a job: those of the
// steps before it. It does not if they ended in an earlier term.
func (r *Runner) knowsEarlier(j *job) bool {
	missing := min(j.Step, stepsAhead)
	for _, known := range r.order {
		if known.precedes(j, stepsAhead) && len(known.items) > 0 {
			missing--
		}
	}
	return missing <= 0
}

// stepsAhead is how many steps before a trainer's newest job may still be open: it asks for one while another lasts.
const stepsAhead = 2
