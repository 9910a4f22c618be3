package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// scanDepth bounds the items of one flow that a scan tries.
const scanDepth = 64

// defaultExpectedTokens is the assumed length of an answer of unknown length.
const defaultExpectedTokens = 256

// Item is a request that waits.
type Item struct {
	// ID must be unique in the queue.
	ID          uint64
	Interactive bool
	Pool        string
	// Caller identifies the flow for fair queueing, and Weight is its share; zero or less means 1.
	Caller string
	Weight int
	// Rank orders the rollouts of one caller, lower ranks first.
	Rank int64
	// Tokens is the expected length of the answer; zero or less means unknown.
	Tokens   int
	Deadline time.Time
	// ArrivedAt is the time of arrival, from which the wait is counted.
	ArrivedAt time.Time
	// ServiceTime is the expected time from start to end; zero or less means unknown.
	ServiceTime time.Duration
	// Started is true for items that may have run in part. They are attempted regardless of their deadline.
	Started bool
	// Readmitted is true for items that were admitted before. Queue limits and early refusal do not apply to them.
	Readmitted bool
}

func (i *Item) cost() int {
	if i.Tokens <= 0 {
		return defaultExpectedTokens
	}
	return i.Tokens
}

func (i *Item) share() float64 {
	return float64(max(i.Weight, 1))
}

// QueueLimits bounds a queue.
type QueueLimits struct {
	// Requests bounds the waiting requests of each class; Tokens bounds the expected tokens of all.
	Requests int
	Tokens   int64
}

// Rejection is the result of a refused Push.
type Rejection struct {
	Reason     RejectionReason
	RetryAfter time.Duration
}

// RejectionReason is the reason of a rejection.
type RejectionReason string

// RejectionReason values.
const (
	RejectedRequests RejectionReason = "queue_requests"
	RejectedTokens   RejectionReason = "queue_tokens"
	RejectedDeadline RejectionReason = "deadline"
	// RejectedWait means that an interactive request would exceed its wait limit.
	RejectedWait RejectionReason = "wait"
)

// Verdict is the decision of a scan on an item.
type Verdict int

// Verdict values.
const (
	// Take removes the item, which starts now, and charges its caller.
	Take Verdict = iota
	// Drop removes the item without charging its caller.
	Drop
	// Skip leaves the item and continues with later ones.
	Skip
	// Stop leaves the item and ends the scan of its class and pool.
	Stop
)

// Queue holds the requests that wait for an engine.
//
// Interactive requests go before rollouts. Within a class and pool, callers share by start-time fair queueing on expected tokens. Within a
// caller, interactive requests are ordered by arrival, and rollouts by rank, then longest first. It is not safe for concurrent use.
type Queue struct {
	limits   QueueLimits
	lanes    map[laneKey]*lane
	order    []*lane
	items    map[uint64]*entry
	requests [2]int
	tokens   int64
	sequence uint64
	scans    uint64
}

type laneKey struct {
	interactive bool
	pool        string
}

type entry struct {
	item     Item
	sequence uint64
	lane     *lane
	flow     *flow
	// skipped is the number of the last scan that skipped the item; a scan offers an item once.
	skipped uint64
}

// NewQueue returns an empty queue.
func NewQueue(limits QueueLimits) *Queue {
	return &Queue{limits: limits, lanes: make(map[laneKey]*lane), items: make(map[uint64]*entry)}
}

// Push admits an item at now, or returns the reason for rejecting it.
func (q *Queue) Push(now time.Time, item Item) *Rejection {
	lane := q.lane(laneKey{interactive: item.Interactive, pool: item.Pool})
	if rejection := q.admit(now, &item, lane); rejection != nil {
		return rejection
	}
	q.sequence++
	queued := &entry{item: item, sequence: q.sequence, lane: lane}
	lane.push(now, queued)
	q.items[item.ID] = queued
	q.requests[class(item.Interactive)]++
	q.tokens += int64(item.cost())
	return nil
}

// Remove removes an item. It reports whether the item was queued.
func (q *Queue) Remove(id uint64) bool {
	queued, ok := q.items[id]
	if !ok {
		return false
	}
	queued.flow.remove(queued)
	q.forget(queued)
	return true
}

// Shed offers the interactive items of each caller to drop, oldest first, until drop returns false.
func (q *Queue) Shed(drop func(*Item) bool) {
	for _, lane := range q.order {
		if lane.key.interactive {
			q.shedLane(lane, drop)
		}
	}
}

func (q *Queue) shedLane(lane *lane, drop func(*Item) bool) {
	for _, f := range lane.backlogged() {
		for len(f.items) > 0 && drop(&f.items[0].item) {
			shed := f.items[0]
			f.remove(shed)
			q.forget(shed)
		}
	}
}

// Scan offers the waiting items in order to try, which decides on each.
func (q *Queue) Scan(now time.Time, try func(*Item) Verdict) {
	q.scans++
	for _, lane := range q.order {
		q.scanLane(now, lane, try)
	}
}

// Len returns the number of waiting requests of a class.
func (q *Queue) Len(interactive bool) int { return q.requests[class(interactive)] }

// Tokens returns the expected tokens of all waiting requests.
func (q *Queue) Tokens() int64 { return q.tokens }

// EstimateWait estimates the wait of a new request of the class and pool from the measured drain rate. It is zero without measurements.
func (q *Queue) EstimateWait(now time.Time, interactive bool, pool string) time.Duration {
	lane, ok := q.lanes[laneKey{interactive: interactive, pool: pool}]
	if !ok {
		return 0
	}
	return lane.estimate(now)
}

func (q *Queue) admit(now time.Time, item *Item, lane *lane) *Rejection {
	if item.Readmitted {
		return nil
	}
	wait := lane.estimate(now)
	if q.requests[class(item.Interactive)] >= q.limits.Requests {
		return &Rejection{Reason: RejectedRequests, RetryAfter: clampRetryAfter(wait)}
	}
	if q.tokens+int64(item.cost()) > q.limits.Tokens {
		return &Rejection{Reason: RejectedTokens, RetryAfter: clampRetryAfter(wait)}
	}
	if item.Late(now.Add(wait)) {
		return &Rejection{Reason: RejectedDeadline, RetryAfter: clampRetryAfter(wait)}
	}
	if item.Interactive && wait > item.waitLimit() {
		return &Rejection{Reason: RejectedWait, RetryAfter: clampRetryAfter(wait)}
	}
	return nil
}

func (q *Queue) scanLane(now time.Time, lane *lane, try func(*Item) Verdict) {
	for {
		queued, verdict := lane.next(q.scans, try)
		switch verdict {
		case Take:
			lane.take(now, queued)
		case Drop:
			queued.flow.remove(queued)
		default:
			return
		}
		q.forget(queued)
	}
}

func (q *Queue) forget(queued *entry) {
	delete(q.items, queued.item.ID)
	q.requests[class(queued.item.Interactive)]--
	q.tokens -= int64(queued.item.cost())
	queued.lane.forget(queued)
}

func (q *Queue) lane(key laneKey) *lane {
	if found, ok := q.lanes[key]; ok {
		return found
	}
	created := &lane{key: key, flows: make(map[string]*flow)}
	q.lanes[key] = created
	index, _ := slices.BinarySearchFunc(q.order, key, func(l *lane, target laneKey) int { return compareLanes(l.key, target) })
	q.order = slices.Insert(q.order, index, created)
	return created
}

// compareLanes sorts interactive lanes first.
func compareLanes(a, b laneKey) int {
	if a.interactive != b.interactive {
		return class(b.interactive) - class(a.interactive)
	}
	return cmp.Compare(a.pool, b.pool)
}

func class(interactive bool) int {
	if interactive {
		return 1
	}
	return 0
}
