package scheduler

import "time"

const (
	// windowShrink is the share of the requests in flight that remains as the window after the engine refused one as full.
	windowShrink = 0.5
	// windowRecoveryInterval is the time in which a window grows by one without answers, as other load on the engine may have ended.
	windowRecoveryInterval = 400 * time.Millisecond
	// windowBaseHold and windowMaxHold bound the time without requests after a refusal as full. It doubles with each refusal not offset by
	// an answer, which limits the refusals caused by many nodes.
	windowBaseHold     = 25 * time.Millisecond
	windowMaxHold      = 2 * time.Second
	windowMaxDoublings = 7
)

// Window limits a node's requests in flight of one class at one engine. It follows the engine's replies, so that the windows of all nodes
// converge to the engine's capacity without coordination: it grows by one per answer that left room and per windowRecoveryInterval, and
// shrinks multiplicatively on a refusal as full. The hold is not ended by the node's own answers, so that other nodes get slots too. The
// zero Window is unlimited. It is not safe for concurrent use.
type Window struct {
	// size is the bound at refusedAt; 0 means none.
	size      float64
	refusals  int
	refusedAt time.Time
	holdUntil time.Time
}

// Allows reports whether one more request may start at now in addition to inFlight of the class.
func (w *Window) Allows(now time.Time, inFlight int) bool {
	if w.size == 0 {
		return true
	}
	if now.Before(w.holdUntil) {
		return false
	}
	recovered := float64(now.Sub(w.refusedAt)) / float64(windowRecoveryInterval)
	return float64(inFlight+1) <= w.size+recovered
}

// ObserveRefusal records a refusal as full while the engine held inFlight other requests of this node and class. random is uniform in [0,
// 1).
func (w *Window) ObserveRefusal(now time.Time, inFlight int, random float64) {
	w.size = max(1, float64(inFlight)*windowShrink)
	w.refusedAt = now
	half := min(windowMaxHold, windowBaseHold<<w.refusals) / 2
	w.holdUntil = now.Add(half + time.Duration(random*float64(half)))
	w.refusals = min(w.refusals+1, windowMaxDoublings)
}

// ObserveAnswer records an answer after which the engine held load requests, of at most limit of the class.
func (w *Window) ObserveAnswer(load, limit int) {
	w.refusals = max(w.refusals-1, 0)
	if w.size == 0 || load >= limit {
		return
	}
	w.size++
	if w.size >= float64(limit) {
		w.size = 0
	}
}
