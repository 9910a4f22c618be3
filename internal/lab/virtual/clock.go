// Package virtual is a discrete-event clock: it runs what is due in order of time, and of arrival where times are equal,
// without waiting.
package virtual

import (
	"container/heap"
	"time"
)

// Clock holds the events to come. It is not safe for concurrent use.
type Clock struct {
	now    time.Duration
	serial uint64
	queue  queue
}

// NewClock returns a Clock at time 0.
func NewClock() *Clock { return &Clock{} }

// Now returns the present time.
func (c *Clock) Now() time.Duration { return c.now }

// At runs do at the moment, or now if that is over.
func (c *Clock) At(moment time.Duration, do func()) {
	c.serial++
	heap.Push(&c.queue, event{at: max(moment, c.now), serial: c.serial, do: do})
}

// After runs do after the delay.
func (c *Clock) After(delay time.Duration, do func()) { c.At(c.now+delay, do) }

// Run runs every event before the end, and observe after each. It leaves the time at the end.
func (c *Clock) Run(end time.Duration, observe func()) {
	for len(c.queue) > 0 && c.queue[0].at < end {
		next := heap.Pop(&c.queue).(event)
		c.now = next.at
		next.do()
		observe()
	}
	c.now = end
}

type event struct {
	at     time.Duration
	serial uint64
	do     func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].serial < q[j].serial
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	last := len(*q) - 1
	popped := (*q)[last]
	(*q)[last] = event{}
	*q = (*q)[:last]
	return popped
}
