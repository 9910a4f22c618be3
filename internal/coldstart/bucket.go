package coldstart

import "time"

// Depth is the burst of an engine's bucket, in grants.
const Depth = 1.0

// bucket is a token bucket of depth Depth. Rates are in grants per second.
type bucket struct {
	level float64
	at    time.Time
}

// fill adds the tokens accrued since the last call.
func (b *bucket) fill(now time.Time, rate float64) {
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.level = min(Depth, b.level+elapsed.Seconds()*rate)
		b.at = now
	}
}

func (b *bucket) full(now time.Time, rate float64) bool {
	b.fill(now, rate)
	// Tolerates rounding: a timer set to the exact moment may find the level just below one token.
	return b.level >= 1-1e-6
}

// take removes one token, which must be available.
func (b *bucket) take() { b.level-- }

func (b *bucket) wait(now time.Time, rate float64) time.Duration {
	if b.full(now, rate) {
		return 0
	}
	return time.Duration((1 - b.level) / rate * float64(time.Second))
}
