package weightorder

import (
	"math"
	"time"
)

const (
	// minConcurrentLoads is the least number of a service's engines that may load at once.
	minConcurrentLoads = 2
	// enginesPerConcurrentLoad is the number of engines per concurrent load at first, up to maxInitialWindow loads: a service of thousands would
	// otherwise begin with hundreds, none of which ends in time.
	enginesPerConcurrentLoad = 5
	maxInitialWindow         = 8
	// fastLoadFactor is the average load duration, relative to the shortest, up to which the window grows: 10%, and 5% because the end of a load is
	// seen up to loadPollInterval late.
	fastLoadFactor = 1.15
	// slowLoadFactor is the average load duration, relative to the shortest, above which the window shrinks.
	slowLoadFactor = 1.3
	// windowShrinkFactor is applied to the window when loads are slow, at most once per load duration.
	windowShrinkFactor = 0.75
	// slownessWeight is the weight of the newest load in the average of all models, and maxSlowness bounds it, so that one engine that is stuck
	// does not shrink the window.
	slownessWeight = 0.25
	maxSlowness    = 2
	// durationWeight is the weight of the newest load in the average of its model.
	durationWeight = 0.2
	// probeInterval is how long loads may stay longer than fastLoadFactor times the shortest one. The window then shrinks, which shows whether fewer
	// loads are faster, and the shortest rises by shortestRise, since a model or a store may have become slower for good.
	probeInterval = 15 * time.Second
	shortestRise  = 1.1
	// minWindowUse is the part of the window that must have been in use when a load began for its end to let the window grow. Fewer loads say nothing
	// about the bandwidth that the whole window takes.
	minWindowUse = 0.9
)

// loadWindow bounds the concurrent loads of a service like a congestion window, as loads share a bandwidth. It grows by one per fast load up to a fifth
// of the engines, unless loads become slow before (slow start), then by one per window of loads, and shrinks whenever loads are slow. A load also halts
// the runs of its engine, so that many slow loads are worse than few fast ones at the same rate.
type loadWindow struct {
	limit float64
	// engines is the highest number of engines that the service has had; the bandwidth does not shrink when engines leave.
	engines int
	// durations holds the durations of loads by model, as models differ in size.
	durations map[string]*loadDurations
	// slowness is the moving average of load durations relative to the shortest of their model; zero before the first load.
	slowness float64
	// slowStart is true until loads become slow for the first time.
	slowStart  bool
	lastShrink time.Time
}

// loadDurations holds the moving average of a model's load durations, and the shortest of the recent ones.
type loadDurations struct {
	average, shortest time.Duration
	// fastAt is when a load last took about as long as the shortest.
	fastAt time.Time
}

// finishedLoad is a load that ended or timed out.
type finishedLoad struct {
	model string
	took  time.Duration
	// timedOut is true if the end was not observed in time.
	timedOut bool
	// concurrent is the number of the service's loads when it began, with itself, and window the number that was allowed then.
	concurrent, window int
}

func newLoadWindow() *loadWindow {
	return &loadWindow{durations: make(map[string]*loadDurations), slowStart: true}
}

// initialWindow returns the number of loads that begin at once in a service whose loads were not observed.
func initialWindow(engines int) int { return min(slowStartLimit(engines), maxInitialWindow) }

// slowStartLimit returns the number of loads up to which the window grows by one per fast load.
func slowStartLimit(engines int) int {
	return max(minConcurrentLoads, (engines+enginesPerConcurrentLoad/2)/enginesPerConcurrentLoad)
}

// fit adapts the window to the number of engines that the service has.
func (w *loadWindow) fit(engines int) {
	w.engines = max(w.engines, engines)
	if w.slowStart {
		w.limit = math.Max(w.limit, float64(initialWindow(w.engines)))
	}
}

// size returns the number of loads that may run at once.
func (w *loadWindow) size() int { return int(w.limit) }

// leastSize returns the size below which the window does not shrink.
func (w *loadWindow) leastSize() float64 {
	return math.Max(minConcurrentLoads, float64(initialWindow(w.engines)/2))
}

// usualDuration returns the average duration of a model's loads; otherwise is returned if none was observed.
func (w *loadWindow) usualDuration(model string, otherwise time.Duration) time.Duration {
	if durations, ok := w.durations[model]; ok {
		return durations.average
	}
	return otherwise
}

// observe adjusts the window to a load.
func (w *loadWindow) observe(now time.Time, load finishedLoad) {
	durations, ok := w.durations[load.model]
	if !ok {
		durations = &loadDurations{average: load.took, shortest: load.took, fastAt: now}
		w.durations[load.model] = durations
	}
	slowness := float64(maxSlowness)
	if !load.timedOut {
		if durations.add(now, load.took) {
			w.shrink(now)
		}
		slowness = math.Min(maxSlowness, float64(load.took)/float64(durations.shortest))
	}
	if w.slowness == 0 {
		w.slowness = slowness
	}
	w.slowness += slownessWeight * (slowness - w.slowness)
	switch {
	case w.slowness <= fastLoadFactor && float64(load.concurrent) >= minWindowUse*float64(load.window):
		w.grow()
	case w.slowness > slowLoadFactor && now.Sub(w.lastShrink) >= durations.average:
		w.shrink(now)
	}
}

// add adds the duration of a load. It reports whether fewer loads are to show if they are faster.
func (d *loadDurations) add(now time.Time, took time.Duration) (probe bool) {
	d.average += time.Duration(durationWeight * float64(took-d.average))
	d.shortest = min(d.shortest, took)
	if float64(took) <= fastLoadFactor*float64(d.shortest) {
		d.fastAt = now
		return false
	}
	if now.Sub(d.fastAt) < probeInterval {
		return false
	}
	d.fastAt = now
	d.shortest = time.Duration(shortestRise * float64(d.shortest))
	return true
}

func (w *loadWindow) grow() {
	if w.slowStart && w.limit < float64(slowStartLimit(w.engines)) {
		w.limit++
	} else {
		w.limit += 1 / w.limit
	}
	w.limit = math.Min(w.limit, math.Max(minConcurrentLoads, float64(w.engines)))
}

func (w *loadWindow) shrink(now time.Time) {
	w.slowStart = false
	w.lastShrink = now
	w.limit = math.Max(w.leastSize(), w.limit*windowShrinkFactor)
}
