package coldstart

import "time"

// Depth is the burst, in grants, of an engine's bucket: one, so that each grant more than the first costs its share of a second.
const Depth = 1.0

// bucket is a token bucket of depth Depth. Its methods take the time, and the rate in grants a second, as arguments.
type bucket struct {
	level float64
	at    time.Time
}

// fill adds the tokens of the time since the last call.
func (b *bucket) fill(now time.Time, rate float64) {
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.level = min(Depth, b.level+elapsed.Seconds()*rate)
		b.at = now
	}
}

// full reports whether there is a token.
func (b *bucket) full(now time.Time, rate float64) bool {
	b.fill(now, rate)
	// A timer set to the exact moment may find a level that rounding has left just below one token.
	return b.level >= 1-1e-6
}

// take takes one token; there must be one.
func (b *bucket) take() { b.level-- }

// wait returns how long it takes until there is a token.
func (b *bucket) wait(now time.Time, rate float64) time.Duration {
	if b.full(now, rate) {
		return 0
	}
	return time.Duration((1 - b.level) / rate * float64(time.Second))
}
