package batchrun

import (
	"math"
	"time"

	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/itemwork"
)

const (
	// assumedPause stands for the pause between two events until some were seen.
	assumedPause = 40 * time.Millisecond
	// pauseWeight is the share of the newest pause between events in the moving average.
	pauseWeight = 0.12
	// usualWeight is the least share of the newest report in the moving average over all engines: some hundred reports, about a
	// second of a busy deployment.
	usualWeight = 0.01
	// maxPauseFactor bounds a pause that is taken in, relative to the average: a load is no sign of a slow engine.
	maxPauseFactor = 4
	// pauseLife is how long the average of an engine that makes no events is believed in full.
	pauseLife = 3 * time.Second
	// maxStaleFactor bounds an average that is not believed any more, relative to the usual pause: the kind of an engine lasts, and a
	// fault does not. Kinds differ by 1.3.
	maxStaleFactor = 1.4
	// toldLife is how long an engine's own word on its version goes before the list.
	toldLife = 1500 * time.Millisecond
	// affinityFactor is the cost of an engine that holds the item's shared prompt, relative to one that does not.
	affinityFactor = 0.95
	// loadFactor is how much slower a full engine is than an idle one.
	// engines of the deployments measured so far are 6% to 26% slower when full.
	loadFactor = 0.1
	// firstBackoff and maxBackoff bound how long an engine is left aside after failures in a row.
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 2 * time.Second
	// busyBackoff is how long an engine that refused is left aside; it doubles with each refusal in a row, up to maxBusyBackoff.
	busyBackoff    = 80 * time.Millisecond
	maxBusyBackoff = 500 * time.Millisecond
	// maxPrefixes bounds the shared prompts that an engine is taken to hold.
	maxPrefixes = 256
)

// engineRecord is what the runner knows of an engine beyond the list.
type engineRecord struct {
	running int
	// apart is how many of the running items must run apart from each other.
	apart    int
	asideTil time.Time
	failures int
	// loading is true while the engine loads weights.
	loading bool
	// average is the moving average of the pause between two events, and observed when it was last taken in.
	average  time.Duration
	observed time.Time
	// usual is the pause over all engines.
	usual *usualPause
	// refusals counts the refusals in a row.
	refusals int
	// versions are weight versions that answers and reports have told, by model, and told when that was last.
	versions map[string]int64
	told     time.Time
	// prefixes are the shared prompts that it was sent under its present weights.
	prefixes map[string]struct{}
}

func (r *Runner) engine(id string) *engineRecord {
	record, ok := r.engines[id]
	if !ok {
		record = &engineRecord{versions: make(map[string]int64), prefixes: make(map[string]struct{}), usual: &r.usual}
		r.engines[id] = record
	}
	return record
}

// version returns the weight version of a model at an engine, as far as it is known. What the engine itself told lately goes
// before the list.
func (e *engineRecord) version(engine *fleet.Engine, model string, now time.Time) int64 {
	told, ok := e.versions[model]
	if ok && now.Sub(e.told) < toldLife {
		return told
	}
	return max(engine.Versions[model], told)
}

// noteVersion takes in the version that an answer or a report told.
func (e *engineRecord) noteVersion(model string, version int64, now time.Time) {
	e.told = now
	if version == e.versions[model] {
		return
	}
	e.versions[model] = version
	clear(e.prefixes)
}

// observe takes in the mean of some pauses between events.
func (e *engineRecord) observe(pause time.Duration, count int, now time.Time) {
	average := e.pause(now)
	pause = min(pause, maxPauseFactor*average)
	e.refusals = 0
	weight := 1 - math.Pow(1-pauseWeight, float64(count))
	e.average = average + time.Duration(weight*float64(pause-average))
	e.observed = now
}

// pause returns the expected pause between two events of a run.
func (e *engineRecord) pause(now time.Time) time.Duration {
	switch {
	case e.average == 0:
		return e.usual.value()
	case now.Sub(e.observed) > pauseLife:
		return min(e.average, time.Duration(maxStaleFactor*float64(e.usual.value())))
	}
	return e.average
}

// usualPause is the moving average of the pause between two events over all engines.
type usualPause struct {
	average time.Duration
	count   int
}

// value returns the average; assumedPause until there is one.
func (u *usualPause) value() time.Duration {
	if u.count == 0 {
		return assumedPause
	}
	return u.average
}

// observe takes in the mean pause that a report tells.
func (u *usualPause) observe(pause time.Duration) {
	u.count++
	if u.count == 1 {
		u.average = pause
		return
	}
	pause = min(pause, maxPauseFactor*u.average)
	u.average += time.Duration(max(1/float64(u.count), usualWeight) * float64(pause-u.average))
}

// cost is the expected pause between events of one more item, in seconds, less what a kept prompt saves.
func (e *engineRecord) cost(slots int, prefix string, now time.Time) float64 {
	cost := e.pause(now).Seconds() * (1 + loadFactor*float64(e.running)/float64(slots))
	if _, held := e.prefixes[prefix]; held && prefix != "" {
		cost *= affinityFactor
	}
	return cost * float64(1+e.refusals)
}

// end takes in the end of an attempt at the engine.
func (e *engineRecord) end(result itemwork.Verdict, now time.Time) {
	e.running--
	switch result {
	case itemwork.VerdictWhole, itemwork.VerdictImpossible:
		e.failures, e.refusals = 0, 0
	case itemwork.VerdictBroken, itemwork.VerdictFailed:
		e.failures++
		e.asideTil = now.Add(min(firstBackoff<<min(e.failures, 5), maxBackoff))
	case itemwork.VerdictRefused, itemwork.VerdictOutdated:
		e.asideTil = now.Add(min(busyBackoff<<min(e.refusals, 5), maxBusyBackoff))
		e.refusals++
	case itemwork.VerdictGone:
		e.asideTil = now.Add(maxBackoff)
	case itemwork.VerdictCanceled:
	}
}
