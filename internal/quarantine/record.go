package quarantine

import (
	"slices"
	"time"
)

const (
	// holdAfter is under how many ended engines a request is held. A bystander has seen so many only if it ran beside the cause each time.
	holdAfter = 3
	// isolateAfter is under how many ended engines a request runs apart from others like it, and at one engine for each try of its caller.
	isolateAfter = 2
	// suspectLife is how long after the last end a request stays suspect.
	suspectLife = 10 * time.Minute
	// heldLife is how long after the last end or trial a request stays held.
	heldLife = time.Hour
	// maxEngines bounds the engine starts of a record: more than holdAfter and all trials name.
	maxEngines = 16
)

// trialPauses are the pauses after the last end or trial before a held request may be tried once more. The first is short for the sake of
// bystanders, such as the reward call of a whole text; after the last one the request stays held.
var trialPauses = [...]time.Duration{2 * time.Second, 30 * time.Second}

// Record is what is known of one request.
type Record struct {
	Fingerprint Fingerprint
	// Epoch counts how often the request was cleared.
	Epoch int
	// Engines are the starts of engines that have ended under the request since then, in order.
	Engines []string
	// Trials is how many runs it was granted since it was held.
	Trials int
	// Idle is how long ago that was last added to, when the record was told.
	Idle time.Duration
}

// held reports whether the request may run in a trial only.
func (r *Record) held() bool { return len(r.Engines) >= holdAfter }

// life returns how long after the last addition the record is of use.
func (r *Record) life() time.Duration {
	if r.held() {
		return heldLife
	}
	return suspectLife
}

// add notes the end of an engine start. It reports whether that is new.
func (r *Record) add(engine string) bool {
	at, known := slices.BinarySearch(r.Engines, engine)
	if known || len(r.Engines) >= maxEngines {
		return false
	}
	r.Engines = slices.Insert(slices.Clone(r.Engines), at, engine)
	return true
}

// clear begins the next epoch.
func (r *Record) clear() {
	r.Epoch++
	r.Engines, r.Trials = nil, 0
}

// merge takes in another record of the same request. It reports whether that tells something new.
func (r *Record) merge(other *Record) bool {
	if other.Epoch < r.Epoch {
		return false
	}
	changed := other.Epoch > r.Epoch
	if changed {
		r.Epoch, r.Engines, r.Trials = other.Epoch, nil, 0
	}
	for _, engine := range other.Engines {
		changed = r.add(engine) || changed
	}
	if other.Trials > r.Trials {
		r.Trials = other.Trials
		changed = true
	}
	return changed
}

// trialPause returns the pause before the next trial; false if there is none.
func (r *Record) trialPause() (time.Duration, bool) {
	if r.Trials >= len(trialPauses) {
		return 0, false
	}
	return trialPauses[r.Trials], true
}
