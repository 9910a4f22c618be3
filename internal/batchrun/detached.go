package batchrun

import (
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"github.com/covelink/covelink/internal/itemwork"
)

const (
	// maxDetached bounds the runs that go on after the end of their jobs, so that work nobody may want keeps few places.
	maxDetached = 512
	// detachedLife is how long they go on: a trainer asks for its next job within some seconds, and a text takes up to eight.
	detachedLife = 6 * time.Second
)

// detach lets the run of an item go on after the end of its job, without a reward call, if the job in which the item is expected
// to come again may use the text. It reports whether it does. The mutex must be held.
func (r *Runner) detach(it *item) bool {
	if it.phase != phaseRunning || it.run.moving || it.text.Len() <= it.run.resumed || len(r.detached) >= maxDetached {
		return false
	}
	bounds := itemwork.Bounds{MinVersion: r.returnVersion(it.job), SingleVersion: r.singleVersion(it)}
	if !it.text.Fits(bounds) {
		return false
	}
	detached := it.run
	detached.detachedAt = r.now()
	detached.release()
	detached.released = true
	it.job.runs = slices.DeleteFunc(it.job.runs, func(id itemwork.RunID) bool { return id == detached.id })
	r.detached[it.textName()] = detached
	r.Observer.HandedOver(HandOverDetached)
	level.Debug(r.Logger).Log("msg", "run goes on after the end of its job", "request", it.ID, "job", it.job.ID, "run", detached.id,
		"engine", detached.engine, "text_events", it.text.Len())
	return true
}

// isDetached reports whether a run goes on after the end of its job.
func (r *Runner) isDetached(known *run) bool { return r.detached[known.item.textName()] == known }

// attach makes a run that went on after the end of its job that of an item which has come again in another, or ends
// it if that job may not use the text. The mutex must be held.
func (r *Runner) attach(detached *run, it *item) {
	delete(r.detached, it.textName())
	text := detached.item.text
	if !text.Fits(itemwork.Bounds{MinVersion: it.job.MinVersion, SingleVersion: r.singleVersion(it)}) {
		// The ended job forgets the run once its stream has ended.
		ended := detached.item.job
		ended.runs = append(ended.runs, detached.id)
		detached.cancel()
		return
	}
	level.Debug(r.Logger).Log("msg", "run belongs to a later job", "request", it.ID, "job", it.job.ID, "before", detached.item.job.ID, "run", detached.id,
		"text_events", text.Len())
	r.Observer.HandedOver(HandOverAttached)
	it.text = text
	it.run, it.phase = detached, phaseRunning
	detached.item = it
	it.job.runs = append(it.job.runs, detached.id)
}

// settle keeps the text of a detached run that has ended. The mutex must be held.
func (r *Runner) settle(ended *run) {
	delete(r.detached, ended.item.textName())
	delete(r.runs, ended.id)
	r.keep(ended.item)
}

// endDetached ends the detached runs whose items have not come again in time. The mutex must be held.
func (r *Runner) endDetached() {
	now := r.now()
	for _, detached := range r.detached {
		if !detached.moving && now.Sub(detached.detachedAt) > detachedLife {
			detached.moving = true
			detached.cancel()
		}
	}
}

// keep holds what an ended job has made of an item for a later one: a group comes again as a whole, also with items that have
// their result, if its trainer had not read all of them.
func (r *Runner) keep(it *item) {
	if it.text.Len() == 0 {
		return
	}
	r.kept.put(unfinishedText{name: it.textName(), model: it.job.Model, text: it.text})
	it.text = itemwork.Text{}
}

// noteReturn learns from an item that has come again how much newer the weights are that its new job demands.
func (r *Runner) noteReturn(model string, before, now int64) {
	if now >= before {
		r.returnOffsets[model] = now - before
	}
}
