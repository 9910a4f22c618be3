package batchrun

import (
	"context"
	"time"

	"github.com/covelink/covelink/internal/itemwork"
	"github.com/covelink/covelink/internal/quarantine"
)

// heldInterval is the longest pause between two looks at an item that is held: it may be cleared meanwhile.
const heldInterval = time.Second

// trial is how far the trial of a held item has come.
type trial int

const (
	trialNone trial = iota
	// trialAsked: the answer is on its way.
	trialAsked
	// trialGranted: the item may run once.
	trialGranted
)

// fingerprint identifies the item's request.
func (it *item) fingerprint() quarantine.Fingerprint {
	if it.identity == nil {
		request := itemwork.Assignment{Host: it.job.Host, Path: it.Path, Tenant: it.job.Tenant, Body: it.Body}
		identity := request.Fingerprint()
		it.identity = &identity
	}
	return *it.identity
}

// statusOf returns what is known of an item's request. Nothing is in most looks, which need no fingerprint then.
func (r *Runner) statusOf(it *item) quarantine.Status {
	if r.Guard == nil || r.Guard.Table.Empty() {
		return quarantine.Status{}
	}
	return r.Guard.Table.Status(it.fingerprint())
}

// holdsBack reports whether an item must not run now, because engines have ended under it. Without this, an item ended eleven engines in
// three seconds: each end made it wait for the next engine. The mutex must be held.
func (r *Runner) holdsBack(it *item, status quarantine.Status, now time.Time) bool {
	if status.Standing != quarantine.Held || it.trial == trialGranted {
		return false
	}
	if status.Wait > 0 {
		it.notBefore = now.Add(min(status.Wait, heldInterval))
		return true
	}
	if it.trial == trialNone {
		it.trial = trialAsked
		r.running.Go(func() { r.askTrial(r.term, it) })
	}
	return true
}

// askTrial asks whether a held item may run once.
func (r *Runner) askTrial(term context.Context, it *item) {
	reply, err := r.Guard.Ask(term, r.Guard.Table.Record(it.fingerprint()))
	r.mu.Lock()
	defer r.mu.Unlock()
	it.trial = trialNone
	if err == nil && reply.Granted {
		it.trial = trialGranted
	} else {
		it.notBefore = r.now().Add(min(max(reply.Wait, failurePause), heldInterval))
	}
	r.poke()
}
