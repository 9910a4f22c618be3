package scheduler

import "time"

// The constants of a window.
const (
	// windowShrink is the share of its requests in flight that a window keeps after the engine refused one as full.
	windowShrink = 0.5
	// windowRegain is the time in which a window regains one request without an answer, as what filled the engine may have ended.
	windowRegain = 400 * time.Millisecond
	// windowBaseHold and windowMaxHold bound the time for which an engine that refused as full is not asked again. It doubles
	// with each refusal that no answer makes up for, so that the refusals of many nodes stay few.
	windowBaseHold   = 25 * time.Millisecond
	windowMaxHold    = 2 * time.Second
	windowMaxDoubles = 7
)

// Window is a node's share of one engine for one class of requests: how many may be in flight there. It follows what the
// engine says of itself in replies and refusals, so that the shares of many nodes together settle near what the engine
// takes, without the nodes' knowing of each other. It grows by one with an answer that left room at the engine, and by one
// each windowRegain, and shrinks by a share with a refusal as full. A node whose answer frees a slot keeps to its hold, which
// lets others come in. The zero Window bounds nothing. It is not safe for concurrent use.
type Window struct {
	// size is the bound at refusedAt; 0 means none.
	size      float64
	refusals  int
	refusedAt time.Time
	holdUntil time.Time
}

// Open reports whether one more request may start at now beside inFlight of the class.
func (w *Window) Open(now time.Time, inFlight int) bool {
	if w.size == 0 {
		return true
	}
	if now.Before(w.holdUntil) {
		return false
	}
	regained := float64(now.Sub(w.refusedAt)) / float64(windowRegain)
	return float64(inFlight+1) <= w.size+regained
}

// Refuse takes note that the engine refused a request as full while it held inFlight others of this node and class.
// random is uniform in [0, 1).
func (w *Window) Refuse(now time.Time, inFlight int, random float64) {
	w.size = max(1, float64(inFlight)*windowShrink)
	w.refusedAt = now
	half := min(windowMaxHold, windowBaseHold<<w.refusals) / 2
	w.holdUntil = now.Add(half + time.Duration(random*float64(half)))
	w.refusals = min(w.refusals+1, windowMaxDoubles)
}

// Answer takes note of an answer after which the engine held load requests, when it takes limit of the class.
func (w *Window) Answer(load, limit int) {
	w.refusals = max(w.refusals-1, 0)
	if w.size == 0 || load >= limit {
		return
	}
	w.size++
	if w.size >= float64(limit) {
		w.size = 0
	}
}
