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
	// intervalSmoothing is the smoothing factor of an engine's moving average of event intervals.
	intervalSmoothing = 0.12
	// minFleetSmoothing is the minimum smoothing factor of the fleet average, which is updated once per report.
	minFleetSmoothing = 0.01
	// maxIntervalFactor caps an observed interval at this multiple of the average, because a single long interval, for example while weights are
	// loaded, does not mean that the engine is slow.
	maxIntervalFactor = 4
	// intervalTTL is how long after an engine's last event its average is used without a cap.
	intervalTTL = 3 * time.Second
	// maxStaleFactor caps a stale average at this multiple of the fleet average: slower hardware stays slow, but a temporary fault may be over.
	maxStaleFactor = 1.4
	// reportedVersionTTL is how long a version reported by an engine takes precedence over the engine list.
	reportedVersionTTL = 1500 * time.Millisecond
	// affinityFactor is the cost of an engine that holds the item's prompt prefix, relative to one that does not.
	affinityFactor = 0.95
	// loadFactor is the relative increase in the event interval of a full engine over an idle one.
	loadFactor = 0.1
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
	// averageInterval is the moving average of the interval between two events, and observedAt the time of its last update.
	averageInterval time.Duration
	observedAt      time.Time
	fleetInterval   *fleetInterval
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
		record = &engineRecord{versions: make(map[string]int64), prefixes: make(map[string]struct{}), fleetInterval: &r.fleetInterval}
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

// observeInterval updates the average with the mean of count intervals between events, and resets the refusal count.
func (e *engineRecord) observeInterval(interval time.Duration, count int, now time.Time) {
	average := e.eventInterval(now)
	interval = min(interval, maxIntervalFactor*average)
	e.refusals = 0
	smoothing := 1 - math.Pow(1-intervalSmoothing, float64(count))
	e.averageInterval = average + time.Duration(smoothing*float64(interval-average))
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
	f.average += time.Duration(max(1/float64(f.count), minFleetSmoothing) * float64(interval-f.average))
}

// cost returns the expected event interval, in seconds, if one more item is sent; lower if the engine holds the prompt prefix, and multiplied by
// 1 + consecutive refusals.
func (e *engineRecord) cost(slots int, prefix string, now time.Time) float64 {
	cost := e.eventInterval(now).Seconds() * (1 + loadFactor*float64(e.running)/float64(slots))
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
