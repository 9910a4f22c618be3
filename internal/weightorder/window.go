package weightorder

import (
	"math"
	"time"
)

const (
	// minWindow is the initial and the least number of concurrent loads.
	minWindow = 8
	// slowLoadFactor is the average load duration, relative to the shortest, above which the window shrinks.
	slowLoadFactor = 1.5
	// windowShrinkFactor is applied to the window when loads are slow, at most once per average load duration.
	windowShrinkFactor = 0.6
	// averageWeight is the weight of the newest load in the moving average.
	averageWeight = 0.1
)

// loadWindow bounds concurrent loads like a congestion window: it grows by one per fast load until loads first become slow (slow start),
// then by one per load duration, and shrinks whenever loads are slow.
type loadWindow struct {
	limit float64
	// shortest is the shortest observed load, and average a moving average.
	shortest, average time.Duration
	// slowStart is true until loads become slow for the first time.
	slowStart  bool
	lastShrink time.Time
}

func newLoadWindow() *loadWindow { return &loadWindow{limit: minWindow, slowStart: true} }

// size returns the number of loads that may run at once.
func (w *loadWindow) size() int { return int(w.limit) }

// observe adjusts the window to a finished load. done is false if its completion was not observed in time.
func (w *loadWindow) observe(now time.Time, duration time.Duration, done bool) {
	if done && (w.shortest == 0 || duration < w.shortest) {
		w.shortest = duration
	}
	if w.average == 0 {
		w.average = duration
	}
	w.average += time.Duration(averageWeight * float64(duration-w.average))
	if float64(w.average) <= slowLoadFactor*float64(w.shortest) {
		w.grow()
		return
	}
	if now.Sub(w.lastShrink) < w.average {
		return
	}
	w.slowStart = false
	w.lastShrink = now
	w.limit = math.Max(minWindow, w.limit*windowShrinkFactor)
}

func (w *loadWindow) grow() {
	if w.slowStart {
		w.limit++
		return
	}
	w.limit += 1 / w.limit
}
