package virtual

import (
	"container/heap"
	"time"
)

// Queue holds events in order of time and, where times are equal, of arrival. The zero value is empty. It is not safe for
// concurrent use.
type Queue struct {
	serial uint64
	events events
}

// Push adds an event.
func (q *Queue) Push(at time.Duration, do func()) {
	q.serial++
	heap.Push(&q.events, event{at: at, serial: q.serial, do: do})
}

// Next returns the time of the first event; false if there is none.
func (q *Queue) Next() (at time.Duration, ok bool) {
	if len(q.events) == 0 {
		return 0, false
	}
	return q.events[0].at, true
}

// Pop removes the first event and returns its time and what is to be done. The queue must not be empty.
func (q *Queue) Pop() (at time.Duration, do func()) {
	next := heap.Pop(&q.events).(event)
	return next.at, next.do
}

type event struct {
	at     time.Duration
	serial uint64
	do     func()
}

type events []event

// Len implements heap.Interface.
func (e events) Len() int { return len(e) }

// Less implements heap.Interface.
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].serial < e[j].serial
}

// Swap implements heap.Interface.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(added any) { *e = append(*e, added.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := len(*e) - 1
	popped := (*e)[last]
	(*e)[last] = event{}
	*e = (*e)[:last]
	return popped
}
