package batchrun

import (
	"context"
	"time"

	"github.com/covelink/covelink/internal/itemwork"
	"github.com/covelink/covelink/internal/quarantine"
)

// heldPollInterval is the longest delay between two checks of whether a held item is still under quarantine.
const heldPollInterval = time.Second

// trial is the state of a held item's request for a trial run.
type trial int

const (
	trialNone trial = iota
	// trialRequested means that the guard has not replied yet.
	trialRequested
	// trialGranted means that the item may run once.
	trialGranted
)

func (it *item) fingerprint() quarantine.Fingerprint {
	if it.cachedFingerprint == nil {
		request := itemwork.Assignment{Host: it.job.Host, Path: it.Path, Tenant: it.job.Tenant, Body: it.Body}
		fingerprint := request.Fingerprint()
		it.cachedFingerprint = &fingerprint
	}
	return *it.cachedFingerprint
}

// quarantineStatus returns the quarantine status of an item's request. It skips the fingerprint while the table is empty, which is the usual case.
func (r *Runner) quarantineStatus(it *item) quarantine.Status {
	if r.Guard == nil || r.Guard.Table.Empty() {
		return quarantine.Status{}
	}
	return r.Guard.Table.Status(it.fingerprint())
}

// heldByQuarantine reports whether an item must not run now because engines have failed while running it, and requests a trial run when one is due.
// Without this check, one item crashed eleven engines in three seconds. The mutex must be held.
func (r *Runner) heldByQuarantine(it *item, status quarantine.Status, now time.Time) bool {
	if status.State != quarantine.Held || it.trial == trialGranted {
		return false
	}
	if status.Wait > 0 {
		it.notBefore = now.Add(min(status.Wait, heldPollInterval))
		return true
	}
	if it.trial == trialNone {
		it.trial = trialRequested
		r.goroutines.Go(func() { r.requestTrial(r.term, it) })
	}
	return true
}

// requestTrial asks the guard whether a held item may run once.
func (r *Runner) requestTrial(term context.Context, it *item) {
	run, reply, err := r.Guard.RequestTrial(term, it.fingerprint())
	r.mu.Lock()
	defer r.mu.Unlock()
	it.trial = trialNone
	switch {
	case err != nil || !reply.Granted:
		it.notBefore = r.now().Add(min(max(reply.Wait, retryDelay), heldPollInterval))
	case it.job.ended || it.phase != phaseWaiting || term.Err() != nil:
		r.Guard.ReturnTrial(run)
	default:
		it.trial, it.trialRun = trialGranted, run
	}
	r.wakeScheduler()
}

// returnUnusedTrial returns the granted trial of an item that does not need it any more. The mutex must be held.
func (r *Runner) returnUnusedTrial(it *item) { r.Guard.ReturnTrial(it.takeTrial()) }

// takeTrial returns the item's granted trial, for its next run or for its return.
func (it *item) takeTrial() quarantine.TrialRun {
	run := it.trialRun
	it.trialRun = quarantine.TrialRun{}
	if it.trial == trialGranted {
		it.trial = trialNone
	}
	return run
}
