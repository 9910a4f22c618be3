package weightorder

import (
	"math"
	"time"
)

const (
	// firstWindow is how many loads may run at once before anything is known, and the least that may ever.
	firstWindow = 8
	// slowLoad is how much longer than the quickest load the loads may take on average before fewer run at once.
	slowLoad = 1.5
	// windowShrink is what the window is multiplied with when loads are slow, at most once in the time of the quickest load.
	windowShrink = 0.6
	// tookWeight is the share of the newest load in the moving average of their times.
	tookWeight = 0.1
)

// loadWindow finds out how many loads may run at once before they slow each other down: it grows by one with each load that was
// quick, doubling in the time of a load, and shrinks when they get slow. From then on it grows by one in the time of a load.
type loadWindow struct {
	limit float64
	// quickest is the least time of a load, and average a moving average.
	quickest, average time.Duration
	// probing is true until loads got slow for the first time.
	probing bool
	shrunk  time.Time
}

func newLoadWindow() *loadWindow { return &loadWindow{limit: firstWindow, probing: true} }

// size is the number of loads that may run at once.
func (w *loadWindow) size() int { return int(w.limit) }

// ended takes in a load. done is false if it was not seen done in time.
func (w *loadWindow) ended(now time.Time, took time.Duration, done bool) {
	if done && (w.quickest == 0 || took < w.quickest) {
		w.quickest = took
	}
	if w.average == 0 {
		w.average = took
	}
	w.average += time.Duration(tookWeight * float64(took-w.average))
	if float64(w.average) <= slowLoad*float64(w.quickest) {
		w.grow()
		return
	}
	if now.Sub(w.shrunk) < w.average {
		return
	}
	w.probing = false
	w.shrunk = now
	w.limit = math.Max(firstWindow, w.limit*windowShrink)
}

func (w *loadWindow) grow() {
	if w.probing {
		w.limit++
		return
	}
	w.limit += 1 / w.limit
}
