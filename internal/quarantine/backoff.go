package quarantine

import "time"

// trialReturned restores the backoff that preceded the last trial.
func (e *entry) trialReturned(at time.Time) {
	e.returnedAt = at
	if !e.beforeTrial.IsZero() {
		e.backoffFrom, e.beforeTrial = e.beforeTrial, time.Time{}
	}
}

// merged updates the times of the backoff after a merge that changed the record. before is the record as it was, and at the time of the change.
func (e *entry) merged(before *Record, at time.Time) {
	sameEpoch := before.Epoch == e.record.Epoch
	if !sameEpoch || len(e.record.Engines) > len(before.Engines) {
		e.backoffFrom = latest(e.backoffFrom, at)
	}
	switch {
	case e.record.spentTrials() > before.spentTrials():
		e.beforeTrial, e.backoffFrom = e.backoffFrom, latest(e.backoffFrom, at)
	case sameEpoch && e.record.Returned > before.Returned:
		e.trialReturned(at)
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// wait returns the time until a held request may be tried.
func (e *entry) wait(now time.Time) time.Duration {
	delay, ok := e.record.nextTrialDelay()
	if !ok {
		delay = heldTTL
	}
	return max(delay-now.Sub(e.backoffFrom), returnedTrialDelay-now.Sub(e.returnedAt), 0)
}
