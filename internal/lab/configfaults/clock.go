// Package configfaults runs the acceptance of configuration under faults, in virtual time: zones of nodes, a store, operators
// that write, and callers whose requests are placed. What decides is the code of the daemon (configsync's Coordinator,
// Replica, Spread and Inquiry, objectapi's Position and Objects, the stand-in's Store); time, network, leases of coordinators
// and processes that pause are simulated. A run is a function of its faults and its seed.
package configfaults

import (
	"container/heap"
	"time"
)

// clock is virtual time: events run one after the other, in the order of their times and, at one time, of their scheduling.
type clock struct {
	now    time.Time
	events eventQueue
	count  uint64
}

type event struct {
	at     time.Time
	number uint64
	run    func()
}

type eventQueue []event

func (q eventQueue) Len() int      { return len(q) }
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].number < q[j].number
	}
	return q[i].at.Before(q[j].at)
}

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return last
}

// after runs something after a time.
func (c *clock) after(wait time.Duration, run func()) {
	c.count++
	heap.Push(&c.events, event{at: c.now.Add(max(0, wait)), number: c.count, run: run})
}

// runUntil runs every event before the end.
func (c *clock) runUntil(end time.Time) {
	for len(c.events) > 0 && c.events[0].at.Before(end) {
		next := heap.Pop(&c.events).(event)
		c.now = next.at
		next.run()
	}
	c.now = end
}
