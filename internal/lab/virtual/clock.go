// Package virtual is the time of the simulations: a queue of events and a clock that runs what is due without waiting.
package virtual

import "time"

// Clock holds the events to come. It is not safe for concurrent use.
type Clock struct {
	now   time.Duration
	queue Queue
}

// NewClock returns a Clock at time 0.
func NewClock() *Clock { return &Clock{} }

// Now returns the present time.
func (c *Clock) Now() time.Duration { return c.now }

// At runs do at the moment, or now if that is over.
func (c *Clock) At(moment time.Duration, do func()) { c.queue.Push(max(moment, c.now), do) }

// After runs do after the delay.
func (c *Clock) After(delay time.Duration, do func()) { c.At(c.now+delay, do) }

// Run runs every event before the end, and observe after each; nil observes nothing. It leaves the time at the end.
func (c *Clock) Run(end time.Duration, observe func()) {
	for {
		at, ok := c.queue.Next()
		if !ok || at >= end {
			break
		}
		var do func()
		c.now, do = c.queue.Pop()
		do()
		if observe != nil {
			observe()
		}
	}
	c.now = end
}
