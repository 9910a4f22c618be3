package boottime

import (
	"sync/atomic"
	"time"
)

// noise is the most by which two readings of clocks, one after the other, differ without a sleep between them: a thread may lose its processor
// in between. A suspension lasts longer.
const noise = 50 * time.Millisecond

// system is the clock of this machine.
var system = newClock(readClocks)

// clock adds up the sleeps of a machine.
type clock struct {
	// read returns by how much the clock that counts suspensions is ahead of the one that does not; false if there is no such clock.
	read func() (ahead time.Duration, ok bool)
	// base is what read returned at first.
	base time.Duration
	// asleep is the sum of all sleeps, in nanoseconds.
	asleep atomic.Int64
	// simulated is the sum of the sleeps of tests, in nanoseconds.
	simulated atomic.Int64
}

func newClock(read func() (time.Duration, bool)) *clock {
	c := &clock{read: read}
	c.base, _ = read()
	return c
}

// suspended returns the sum of all sleeps since the clock was made. It never falls.
func (c *clock) suspended() time.Duration {
	ahead, ok := c.read()
	for ok {
		known := c.asleep.Load()
		seen := int64(ahead - c.base)
		if seen-known <= int64(noise) || c.asleep.CompareAndSwap(known, seen) {
			break
		}
	}
	return time.Duration(c.asleep.Load() + c.simulated.Load())
}
