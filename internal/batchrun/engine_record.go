package batchrun

import (
	"math"
	"time"

	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/itemwork"
)

const (
	// defaultEventInterval is the assumed interval between two events until one is observed.
	defaultEventInterval = 40 * time.Millisecond
	// intervalWeight is the weight of the newest event interval in an engine's moving average.
	intervalWeight = 0.12
	// minFleetWeight is the minimum weight of the newest report in the moving average over all engines.
	minFleetWeight = 0.01
	// maxIntervalFactor bounds an observed interval relative to the average, because one long interval, as during a weight load, is no sign of a slow
	// engine.
	maxIntervalFactor = 4
	// intervalTTL is how long the average of an engine without events remains fully valid.
	intervalTTL = 3 * time.Second
	// maxStaleFactor bounds an expired average relative to the fleet's: differences in hardware persist, faults do not.
	maxStaleFactor = 1.4
	// reportedVersionTTL is how long a version reported by an engine takes precedence over the engine list.
	reportedVersionTTL = 1500 * time.Millisecond
	// affinityFactor is the cost of an engine that holds the item's shared prompt, relative to one that does not.
	affinityFactor = 0.95
	// loadFactor is the relative slowdown of a full engine compared to an idle one.
	loadFactor = 0.1
	// minBackoff and maxBackoff bound the backoff of an engine after consecutive failures.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
	// busyBackoff is the initial backoff of an engine that refused an item. It doubles with each consecutive refusal, up to maxBusyBackoff.
	busyBackoff    = 80 * time.Millisecond
	maxBusyBackoff = 500 * time.Millisecond
	maxPrefixes    = 256
)

// engineRecord holds the runner's own observations of an engine, in addition to the engine list.
type engineRecord struct {
	running int
	// isolated is the number of running items that must not share an engine with each other.
	isolated     int
	backoffUntil time.Time
	failures     int
	loading      bool
	// averageInterval is the moving average of the interval between two events, and observedAt the time of its last update.
	averageInterval time.Duration
	observedAt      time.Time
	fleetInterval   *fleetInterval
	// refusals counts consecutive refusals.
	refusals int
	// versions holds the weight versions by model that responses and reports contained, and versionsAt the time of the last one.
	versions   map[string]int64
	versionsAt time.Time
	// prefixes holds the shared prompts sent to the engine under its current weights.
	prefixes map[string]struct{}
}

func (r *Runner) engine(id string) *engineRecord {
	record, ok := r.engines[id]
	if !ok {
		record = &engineRecord{versions: make(map[string]int64), prefixes: make(map[string]struct{}), fleetInterval: &r.fleetInterval}
		r.engines[id] = record
	}
	return record
}

// version returns the weight version of a model at an engine, as far as known. A recently reported version takes precedence over the engine list.
func (e *engineRecord) version(engine *fleet.Engine, model string, now time.Time) int64 {
	reported, ok := e.versions[model]
	if ok && now.Sub(e.versionsAt) < reportedVersionTTL {
		return reported
	}
	return max(engine.Versions[model], reported)
}

// setVersion records the version from a response or report. A changed version clears the engine's shared prompts.
func (e *engineRecord) setVersion(model string, version int64, now time.Time) {
	e.versionsAt = now
	if version == e.versions[model] {
		return
	}
	e.versions[model] = version
	clear(e.prefixes)
}

// observeInterval updates the average with the mean of count intervals between events.
func (e *engineRecord) observeInterval(interval time.Duration, count int, now time.Time) {
	average := e.eventInterval(now)
	interval = min(interval, maxIntervalFactor*average)
	e.refusals = 0
	weight := 1 - math.Pow(1-intervalWeight, float64(count))
	e.averageInterval = average + time.Duration(weight*float64(interval-average))
	e.observedAt = now
}

// eventInterval returns the expected interval between two events of a run.
func (e *engineRecord) eventInterval(now time.Time) time.Duration {
	switch {
	case e.averageInterval == 0:
		return e.fleetInterval.value()
	case now.Sub(e.observedAt) > intervalTTL:
		return min(e.averageInterval, time.Duration(maxStaleFactor*float64(e.fleetInterval.value())))
	}
	return e.averageInterval
}

// fleetInterval is the moving average of the interval between two events over all engines.
type fleetInterval struct {
	average time.Duration
	count   int
}

// value returns the average, or defaultEventInterval if there is none.
func (f *fleetInterval) value() time.Duration {
	if f.count == 0 {
		return defaultEventInterval
	}
	return f.average
}

// observe updates the average with the mean interval of a report.
func (f *fleetInterval) observe(interval time.Duration) {
	f.count++
	if f.count == 1 {
		f.average = interval
		return
	}
	interval = min(interval, maxIntervalFactor*f.average)
	f.average += time.Duration(max(1/float64(f.count), minFleetWeight) * float64(interval-f.average))
}

// cost returns the expected event interval of one more item in seconds, reduced for a shared prompt and multiplied for recent refusals.
func (e *engineRecord) cost(slots int, prefix string, now time.Time) float64 {
	cost := e.eventInterval(now).Seconds() * (1 + loadFactor*float64(e.running)/float64(slots))
	if _, held := e.prefixes[prefix]; held && prefix != "" {
		cost *= affinityFactor
	}
	return cost * float64(1+e.refusals)
}

// attemptEnded updates the slots, failures and backoff after a run at the engine has ended.
func (e *engineRecord) attemptEnded(result itemwork.Verdict, now time.Time) {
	e.running--
	switch result {
	case itemwork.VerdictWhole, itemwork.VerdictImpossible:
		e.failures, e.refusals = 0, 0
	case itemwork.VerdictBroken, itemwork.VerdictFailed:
		e.failures++
		e.backoffUntil = now.Add(min(minBackoff<<min(e.failures, 5), maxBackoff))
	case itemwork.VerdictRefused, itemwork.VerdictOutdated:
		e.backoffUntil = now.Add(min(busyBackoff<<min(e.refusals, 5), maxBusyBackoff))
		e.refusals++
	case itemwork.VerdictGone:
		e.backoffUntil = now.Add(maxBackoff)
	case itemwork.VerdictCanceled:
	}
}
