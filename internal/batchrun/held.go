package batchrun

import (
	"context"
	"time"

	"github.com/covelink/covelink/internal/itemwork"
	"github.com/covelink/covelink/internal/quarantine"
)

// heldInterval is the longest pause between two looks at an item that is held: it may be cleared meanwhile.
const heldInterval = time.Second

// Quarantine knows the requests under which engines have ended, and grants trials of those that are held.
type Quarantine interface {
	// Empty reports whether nothing is known of any request.
	Empty() bool
	// Standing returns how a request stands, and after which time one that is held may be tried.
	Standing(fingerprint quarantine.Fingerprint) (standing quarantine.Standing, wait time.Duration)
	// Try asks whether a held request may run once.
	Try(ctx context.Context, fingerprint quarantine.Fingerprint) quarantine.TrialReply
}

// trial is how far the trial of a held item has come.
type trial int

const (
	trialNone trial = iota
	// trialAsked: the answer is on its way.
	trialAsked
	// trialGranted: the item may run once.
	trialGranted
)

// apart is whether an item shares no engine with others for which it is true: the next engine that ends under one of them tells them from
// each other. Items of one group share a prompt and so their engines, and were all held for what one of them did.
func (r *Runner) apart(it *item) bool {
	standing, _ := r.Quarantine.Standing(it.fingerprint())
	return standing >= quarantine.Isolated
}

// fingerprint identifies the item's request.
func (it *item) fingerprint() quarantine.Fingerprint {
	if it.identity == nil {
		request := itemwork.Assignment{Host: it.job.Host, Path: it.Path, Tenant: it.job.Tenant, Body: it.Body}
		identity := request.Fingerprint()
		it.identity = &identity
	}
	return *it.identity
}

// holdsBack reports whether an item must not run now, because engines have ended under it. Without this, an item ended eleven engines in
// three seconds: each end made it wait for the next engine. The mutex must be held.
func (r *Runner) holdsBack(it *item, now time.Time) bool {
	standing, wait := r.Quarantine.Standing(it.fingerprint())
	if standing != quarantine.Held || it.trial == trialGranted {
		return false
	}
	if wait > 0 {
		it.notBefore = now.Add(min(wait, heldInterval))
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
	reply := r.Quarantine.Try(term, it.fingerprint())
	r.mu.Lock()
	defer r.mu.Unlock()
	it.trial = trialNone
	if reply.Granted {
		it.trial = trialGranted
	} else {
		it.notBefore = r.now().Add(min(max(reply.Wait, failurePause), heldInterval))
	}
	r.poke()
}
