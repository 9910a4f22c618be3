package quarantine

import (
	"slices"
	"time"
)

const (
	// isolateCrashes and minHoldCrashes are the numbers of crashes at which a request is isolated and held, unless it ran at fewer than half of the
	// engines that exited at the times of the last ones: then it is not what those exits have in common.
	isolateCrashes = 2
	minHoldCrashes = 3
	// maxHoldCrashes is the number of crashes at which a request is held in any case, so that several requests that crash engines at the same
	// time are held too.
	maxHoldCrashes = 8
	// suspectTTL is how long after its last crash a request stays suspect.
	suspectTTL = 10 * time.Minute
	// heldTTL is how long after its last crash or trial a request stays held.
	heldTTL = time.Hour
	// maxEngines bounds the engine starts of a record.
	maxEngines = 16
	// maxBackoffDoublings bounds the shift in nextTrialDelay; it exceeds heldTTL.
	maxBackoffDoublings = 12
)

// returnedTrialDelay is the delay after a trial that was returned, so that a request that cannot reach an engine does not write to the store at
// each try.
const returnedTrialDelay = 300 * time.Millisecond

// trialBackoff is the delay before each trial, counted from the last crash or trial that was not returned. After the last trial the request
// stays held until heldTTL.
var trialBackoff = [...]time.Duration{2 * time.Second, 30 * time.Second}

// deferredTrialDelay is the delay before each trial of deferred work, however many have ended in a crash. A step waits for its items, and fails if one is at
// no engine for some seconds.
const deferredTrialDelay = 2 * time.Second

// Trial identifies a granted trial run. The zero value stands for none.
type Trial struct {
	Fingerprint Fingerprint
	Epoch       int
	// Number is that of the trial in its epoch, from 1, and Returned the number of trials that had been returned when it was granted.
	Number, Returned int
}

// Granted reports whether t stands for a trial.
func (t Trial) Granted() bool { return t.Number > 0 }

// Record holds the crashes and trials of one request.
type Record struct {
	Fingerprint Fingerprint
	// Epoch counts how often the request was cleared.
	Epoch int
	// Engines are the engine starts that exited under the request in this epoch, sorted.
	Engines []string
	// Trials counts the trial runs granted since the request was held, and Returned those of them that ended without an outcome.
	Trials   int
	Returned int
	// Exits is the number of engines known to have exited within exitWindow of the last minHoldCrashes crashes of this request, its own included.
	Exits int
	// Deferred is true for a batch item or its reward call. These are owed: they are tried again until they complete or are given up.
	Deferred bool
	// Idle is the time since the record's last update, as of when it was sent.
	Idle time.Duration
}

// suspected reports whether the request ran at half of the engines or more that exited at the times of its last crashes.
func (r *Record) suspected() bool { return 2*min(len(r.Engines), minHoldCrashes) >= r.Exits }

// held reports whether the request may run in trials only.
func (r *Record) held() bool {
	crashes := len(r.Engines)
	return crashes >= maxHoldCrashes || (crashes >= minHoldCrashes && r.suspected())
}

// isolated reports whether the request runs apart from other isolated ones, and at one engine per try of its caller.
func (r *Record) isolated() bool { return len(r.Engines) >= isolateCrashes && r.suspected() }

// ttl returns how long the record is valid after its last update.
func (r *Record) ttl() time.Duration {
	if r.held() {
		return heldTTL
	}
	return suspectTTL
}

// add adds an engine start. It reports whether the record changed.
func (r *Record) add(engine string) bool {
	index, exists := slices.BinarySearch(r.Engines, engine)
	if exists || len(r.Engines) >= maxEngines {
		return false
	}
	r.Engines = slices.Insert(slices.Clone(r.Engines), index, engine)
	r.Exits = 0
	return true
}

// clear starts the next epoch.
func (r *Record) clear() {
	r.Epoch++
	r.Engines, r.Trials, r.Returned, r.Exits = nil, 0, 0, 0
}

// lastTrial returns the trial granted last.
func (r *Record) lastTrial() Trial {
	return Trial{Fingerprint: r.Fingerprint, Epoch: r.Epoch, Number: r.Trials, Returned: r.Returned}
}

// spentTrials returns the number of trials that count for the backoff.
func (r *Record) spentTrials() int { return max(r.Trials-r.Returned, 0) }

// merge merges another record of the same request. It reports whether the record changed.
func (r *Record) merge(other *Record) bool {
	if other.Epoch < r.Epoch {
		return false
	}
	changed := other.Epoch > r.Epoch
	if changed {
		r.clear()
		r.Epoch = other.Epoch
	}
	if other.Deferred && !r.Deferred {
		r.Deferred = true
		changed = true
	}
	for _, engine := range other.Engines {
		changed = r.add(engine) || changed
	}
	if slices.Equal(r.Engines, other.Engines) {
		r.Exits = max(r.Exits, other.Exits)
	}
	if other.Trials > r.Trials {
		r.Trials = other.Trials
		changed = true
	}
	if other.Returned > r.Returned {
		r.Returned = other.Returned
		changed = true
	}
	return changed
}

// nextTrialDelay returns the delay before the next trial; false if no trial is left. That of a request which is held because of maxHoldCrashes only
// doubles with each trial, as its crashes are most likely the engines' own.
func (r *Record) nextTrialDelay() (time.Duration, bool) {
	if r.Deferred {
		return deferredTrialDelay, true
	}
	if !r.suspected() {
		return min(trialBackoff[0]<<min(r.spentTrials(), maxBackoffDoublings), heldTTL), true
	}
	if r.spentTrials() >= len(trialBackoff) {
		return 0, false
	}
	return trialBackoff[r.spentTrials()], true
}
