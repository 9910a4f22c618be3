package coldstart

import "time"

// Depth is how many grants of an engine may follow each other at once.
const Depth = 1.0

// bucket is a token bucket of depth Depth. Its clock is handed in.
type bucket struct {
	level float64
	at    time.Time
}

// fill brings the bucket to a moment, at a rate a second.
func (b *bucket) fill(now time.Time, rate float64) {
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.level = min(Depth, b.level+elapsed.Seconds()*rate)
		b.at = now
	}
}

// full reports whether there is a grant.
func (b *bucket) full(now time.Time, rate float64) bool {
	b.fill(now, rate)
	// The rest is rounding of the time of a timer that was set to the very moment.
	return b.level >= 1-1e-6
}

// take takes a grant that is there.
func (b *bucket) take() { b.level-- }

// wait returns after which time there is a grant.
func (b *bucket) wait(now time.Time, rate float64) time.Duration {
	if b.full(now, rate) {
		return 0
	}
	return time.Duration((1 - b.level) / rate * float64(time.Second))
}
