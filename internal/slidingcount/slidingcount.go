// Package slidingcount counts events over a sliding time window.
//
// Guarantees: a sum covers at least the window, and at most a tenth of it more. Calls take constant time and a Counter constant memory. A Counter
// is not safe for concurrent use.
package slidingcount

import "time"

// buckets is the number of parts of a window. It sets the resolution of sums and the size of a Counter.
const buckets = 10

// Counter counts events within a window.
type Counter struct {
	bucket time.Duration
	// newest is the number of the newest bucket, counted from origin.
	newest int64
	origin time.Time
	counts [buckets + 1]int
	sum    int
}

// New returns a Counter over a window. No time passed to it may be before origin.
func New(window time.Duration, origin time.Time) Counter {
	return Counter{bucket: max(window/buckets, 1), origin: origin}
}

// Add counts events at a time. A negative count retracts events that were counted just before.
func (c *Counter) Add(now time.Time, count int) {
	c.advance(now)
	c.counts[c.newest%(buckets+1)] += count
	c.sum += count
}

// Sum returns the number of events in the window that ends now.
func (c *Counter) Sum(now time.Time) int {
	c.advance(now)
	return max(c.sum, 0)
}

// advance clears the buckets that have left the window.
func (c *Counter) advance(now time.Time) {
	number := int64(now.Sub(c.origin) / c.bucket)
	if number-c.newest > buckets {
		c.counts, c.sum, c.newest = [buckets + 1]int{}, 0, number
		return
	}
	for c.newest < number {
		c.newest++
		slot := c.newest % (buckets + 1)
		c.sum -= c.counts[slot]
		c.counts[slot] = 0
	}
}
