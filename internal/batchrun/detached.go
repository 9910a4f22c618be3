package batchrun

import (
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"github.com/covelink/covelink/internal/itemwork"
)

const (
	// maxDetached bounds the number of detached runs, because their texts may never be used.
	maxDetached = 512
	// detachedTTL is how long a detached run may continue until a later job attaches it. Trainers submit their next job within some seconds.
	detachedTTL = 6 * time.Second
)

// detach lets the run of an item continue after the end of its job, without a reward call, if the job into which the item is expected to be carried
// over may use the text. It reports whether the run continues. The mutex must be held.
func (r *Runner) detach(it *item) bool {
	if it.phase != phaseRunning || it.run.moving || it.text.Len() <= it.run.initialEvents || len(r.detached) >= maxDetached {
		return false
	}
	bounds := itemwork.Bounds{MinVersion: r.carryOverVersion(it.job), SingleVersion: r.singleVersion(it)}
	if !it.text.Fits(bounds) {
		return false
	}
	detached := it.run
	detached.detachedAt = r.now()
	detached.dropRewardCall()
	detached.noRewardCall = true
	it.job.runs = slices.DeleteFunc(it.job.runs, func(id itemwork.RunID) bool { return id == detached.id })
	r.detached[it.textKey()] = detached
	r.Observer.HandedOver(HandOverDetached)
	level.Debug(r.Logger).Log("msg", "run detached at the end of its job", "request", it.ID, "job", it.job.ID, "run", detached.id,
		"engine", detached.engine, "text_events", it.text.Len())
	return true
}

// isDetached reports whether a run continues after the end of its job.
func (r *Runner) isDetached(rn *run) bool { return r.detached[rn.item.textKey()] == rn }

// attach assigns a detached run to an item carried over into a later job, or cancels the run if that job may not use its text. The mutex must be
// held.
func (r *Runner) attach(detached *run, it *item) {
	delete(r.detached, it.textKey())
	text := detached.item.text.Text
	if !text.Fits(itemwork.Bounds{MinVersion: it.job.MinVersion, SingleVersion: r.singleVersion(it)}) {
		// The ended job drops the run once its stream has ended.
		ended := detached.item.job
		ended.runs = append(ended.runs, detached.id)
		detached.cancel()
		return
	}
	level.Debug(r.Logger).Log("msg", "detached run attached to a later job", "request", it.ID, "job", it.job.ID, "before", detached.item.job.ID, "run", detached.id,
		"text_events", text.Len())
	r.Observer.HandedOver(HandOverAttached)
	it.text = newText(text)
	r.returnUnusedTrial(it)
	it.run, it.phase = detached, phaseRunning
	detached.item = it
	it.job.runs = append(it.job.runs, detached.id)
}

// endDetached keeps the text of a detached run that has ended. The mutex must be held.
func (r *Runner) endDetached(ended *run) {
	delete(r.detached, ended.item.textKey())
	delete(r.runs, ended.id)
	r.keepText(ended.item)
}

// expireDetached cancels the detached runs that no later job has attached within detachedTTL. The mutex must be held.
func (r *Runner) expireDetached() {
	now := r.now()
	for _, detached := range r.detached {
		if !detached.moving && now.Sub(detached.detachedAt) > detachedTTL {
			detached.moving = true
			detached.cancel()
		}
	}
}

// keepText keeps an item's text for a later job. Texts of items with a result are kept too, because the whole group is carried over if
// its trainer has not read all of its results.
func (r *Runner) keepText(it *item) {
	if it.text.Len() == 0 {
		return
	}
	r.unfinished.put(unfinishedText{key: it.textKey(), model: it.job.Model, text: it.text.Text})
	it.text = checkpointedText{}
}

// recordCarryOver records the increase in the required weight version of a carried-over item.
func (r *Runner) recordCarryOver(model string, before, now int64) {
	if now >= before {
		r.carryOverOffsets[model] = now - before
	}
}
