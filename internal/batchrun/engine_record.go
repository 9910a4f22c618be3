package batchrun

import (
	"time"

	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/itemwork"
)

const (
	// reportedVersionTTL is how long a version reported by an engine takes precedence over the engine list.
	reportedVersionTTL = 1500 * time.Millisecond
	// affinityFactor is the cost of an engine that holds the item's prompt prefix, relative to one that does not.
	affinityFactor = 0.95
	// The backoff after n consecutive failures is minBackoff * 2^n, at most maxBackoff.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
	// busyBackoff is the initial backoff of an engine that refused an item. It doubles with each consecutive refusal, up to maxBusyBackoff.
	busyBackoff    = 80 * time.Millisecond
	maxBusyBackoff = 500 * time.Millisecond
	// maxPrefixes limits the prompt prefixes remembered per engine.
	maxPrefixes = 256
)

// engineRecord holds the runner's own observations of an engine, in addition to the engine list.
type engineRecord struct {
	// running is the number of running items.
	running int
	// isolated is the number of running items in isolation (under quarantine); a further isolated item must not be sent here.
	isolated     int
	backoffUntil time.Time
	// failures counts consecutive failures.
	failures int
	// loading is true while the engine loads weights.
	loading bool
	// slots is the engine's number of slots; fleet.DefaultSlots until the engine is first considered or used.
	slots         int
	profile       speedProfile
	company       companyAverages
	fleetInterval *fleetInterval
	// refusals counts consecutive refusals.
	refusals int
	// versions holds the last reported weight version of each model; versionsAt is when the last one was reported.
	versions   map[string]int64
	versionsAt time.Time
	// prefixes holds the prompt prefixes sent to the engine under its current weights.
	prefixes map[string]struct{}
}

func (r *Runner) recordOf(id string) *engineRecord {
	record, ok := r.engines[id]
	if !ok {
		record = &engineRecord{
			slots: fleet.DefaultSlots, versions: make(map[string]int64), prefixes: make(map[string]struct{}), fleetInterval: &r.fleetInterval,
		}
		r.engines[id] = record
	}
	return record
}

// version returns the weight version of a model at an engine, or zero if it is unknown. A recently reported version takes precedence over the engine
// list.
func (e *engineRecord) version(engine *fleet.Engine, model string, now time.Time) int64 {
	reported, ok := e.versions[model]
	if ok && now.Sub(e.versionsAt) < reportedVersionTTL {
		return reported
	}
	return max(engine.Versions[model], reported)
}

// setVersion records the version from a response or report. A changed version clears the engine's prompt prefixes.
func (e *engineRecord) setVersion(model string, version int64, now time.Time) {
	e.versionsAt = now
	if version == e.versions[model] {
		return
	}
	e.versions[model] = version
	clear(e.prefixes)
}

// observeInterval updates the profile with the mean of count intervals between events, and resets the refusal count. starting is true for the first
// intervals of a run.
func (e *engineRecord) observeInterval(interval time.Duration, count int, starting bool, now time.Time) {
	e.refusals = 0
	company, load := e.companyOf(e.running-1), &e.fleetInterval.company
	e.profile.observe(time.Duration(float64(interval)/load.slowdown(company)), count, starting, e.fleetInterval.alone(), now)
	if !starting {
		load.observe(&e.company, interval.Seconds(), company, count)
	}
}

// companyOf returns the share of the engine's slots that a number of runs take.
func (e *engineRecord) companyOf(runs int) float64 {
	return min(float64(max(runs, 0))/float64(e.slots), 1)
}

// eventInterval returns the expected interval between two events of a run, beside the other runs in progress.
func (e *engineRecord) eventInterval(now time.Time) time.Duration {
	return e.intervalBeside(e.running-1, now)
}

// intervalBeside returns the expected interval between two events of a run beside a number of others.
func (e *engineRecord) intervalBeside(others int, now time.Time) time.Duration {
	alone := e.profile.estimate(e.fleetInterval.alone(), now)
	return time.Duration(float64(alone) * e.fleetInterval.company.slowdown(e.companyOf(others)))
}

// settledInterval returns the interval of a run that is alone at the engine, without regard to recent changes.
func (e *engineRecord) settledInterval(now time.Time) time.Duration {
	return e.profile.settled(e.fleetInterval.alone(), now)
}

// cost returns the expected event interval, in seconds, if one more item is sent; lower if the engine holds the prompt prefix, and multiplied by
// 1 + consecutive refusals.
func (e *engineRecord) cost(prefix string, now time.Time) float64 {
	cost := e.intervalBeside(e.running, now).Seconds()
	if _, held := e.prefixes[prefix]; held && prefix != "" {
		cost *= affinityFactor
	}
	return cost * float64(1+e.refusals)
}

// runEnded updates the number of running items, the failure and refusal counts, and the backoff after a run.
func (e *engineRecord) runEnded(result itemwork.Verdict, now time.Time) {
	e.running--
	switch result {
	case itemwork.VerdictComplete, itemwork.VerdictImpossible:
		e.failures, e.refusals = 0, 0
	case itemwork.VerdictBroken, itemwork.VerdictFailed:
		e.failures++
		e.backoffUntil = now.Add(min(minBackoff<<min(e.failures, 5), maxBackoff))
	case itemwork.VerdictRefused, itemwork.VerdictOutdated:
		e.backoffUntil = now.Add(min(busyBackoff<<min(e.refusals, 5), maxBusyBackoff))
		e.refusals++
	case itemwork.VerdictMisdirected:
		e.backoffUntil = now.Add(maxBackoff)
	case itemwork.VerdictCanceled:
	}
}
