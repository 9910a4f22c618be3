package quarantine

import (
	"slices"
	"time"
)

const (
	// minHoldCrashes is the number of crashes at which a request is held, unless many other engines exited at the same times.
	minHoldCrashes = 3
	// exitsPerCrash is how many engine exits near a request's crashes raise the number of crashes at which it is held by one: a request that ran
	// at fewer than one in exitsPerCrash of the engines that exited together is not what they have in common.
	exitsPerCrash = 3
	// maxHoldCrashes is the number of crashes at which a request is held in any case, so that requests that crash many engines together are
	// held too.
	maxHoldCrashes = 8
	// suspectTTL is how long after its last crash a request stays suspect.
	suspectTTL = 10 * time.Minute
	// heldTTL is how long after its last crash or trial a request stays held.
	heldTTL = time.Hour
	// maxEngines bounds the engine starts of a record.
	maxEngines = 16
)

// returnedTrialDelay is the delay after a trial that was returned, so that a request that cannot reach an engine does not write to the store at
// each try.
const returnedTrialDelay = 300 * time.Millisecond

// trialBackoff is the delay before each trial, counted from the last crash or trial that was not returned. After the last trial the request
// stays held until heldTTL.
var trialBackoff = [...]time.Duration{2 * time.Second, 30 * time.Second}

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
	// Exits is the largest number of engines known to have exited within exitWindow of a crash of this request in this epoch, its own included.
	Exits int
	// Idle is the time since the record's last update, as of when it was sent.
	Idle time.Duration
}

// holdCrashes returns the number of crashes at which the request is held.
func (r *Record) holdCrashes() int {
	explained := (r.Exits + exitsPerCrash - 1) / exitsPerCrash
	return min(max(minHoldCrashes, explained), maxHoldCrashes)
}

// held reports whether the request may run in trials only.
func (r *Record) held() bool { return len(r.Engines) >= r.holdCrashes() }

// isolated reports whether the request runs apart from other isolated ones, and at one engine per try of its caller.
func (r *Record) isolated() bool { return len(r.Engines) >= r.holdCrashes()-1 }

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
	r.Exits = max(r.Exits, other.Exits)
	for _, engine := range other.Engines {
		changed = r.add(engine) || changed
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

// nextTrialDelay returns the delay before the next trial; false if no trial is left.
func (r *Record) nextTrialDelay() (time.Duration, bool) {
	if r.spentTrials() >= len(trialBackoff) {
		return 0, false
	}
	return trialBackoff[r.spentTrials()], true
}
