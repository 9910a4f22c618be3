package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// scanDepth bounds the requests of one flow that a scan tries when the first ones cannot start yet.
const scanDepth = 64

// defaultExpectedTokens is the length assumed of a request that predicts none.
const defaultExpectedTokens = 256

// Item is a request that waits.
type Item struct {
	// ID identifies the item; it must be unique in the queue.
	ID          uint64
	Interactive bool
	Pool        string
	// Caller is the flow that shares are counted by, and Weight its share; zero or less means 1.
	Caller string
	Weight int
	// Rank orders the rollouts of one caller: a lower one goes first, whatever its length.
	Rank int64
	// Tokens is the expected length of the answer; zero or less means unknown.
	Tokens   int
	Deadline time.Time
	// Since is the time of arrival, which decides how long the item may still wait.
	Since time.Time
	// Service is the expected time from the start to the end; zero or less means unknown.
	Service time.Duration
	// Started items may have run in part, so that they are worth an attempt however little time is left.
	Started bool
	// Readmitted items were admitted before; bounds and early refusal do not apply to them again.
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

// Rejection says why a request may not wait.
type Rejection struct {
	Reason     RejectionReason
	RetryAfter time.Duration
}

// RejectionReason is the reason of a rejection.
type RejectionReason string

// The rejection reasons.
const (
	RejectedRequests RejectionReason = "queue_requests"
	RejectedTokens   RejectionReason = "queue_tokens"
	RejectedDeadline RejectionReason = "deadline"
	// RejectedWait: an interactive request would wait longer than callers are to be kept waiting.
	RejectedWait RejectionReason = "wait"
)

// Verdict is what a scan does with an item.
type Verdict int

// The verdicts.
const (
	// Take removes the item, which starts now, and charges its caller.
	Take Verdict = iota
	// Drop removes the item, which will not start, and charges nothing.
	Drop
	// Skip leaves the item; later ones may still start.
	Skip
	// Stop leaves the item and ends the scan of its class and pool: nothing there can start now.
	Stop
)

// Queue holds the requests that wait for an engine.
//
// Interactive requests go before rollouts. Within a class and pool, callers share by start-time fair queueing on
// expected tokens; within one caller, interactive requests go in order of arrival, and rollouts by rank and then longest
// first.
// It is not safe for concurrent use.
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
	// skipped is the number of the last scan that left the item; a scan offers an item once.
	skipped uint64
}

// NewQueue returns an empty queue.
func NewQueue(limits QueueLimits) *Queue {
	return &Queue{limits: limits, lanes: make(map[laneKey]*lane), items: make(map[uint64]*entry)}
}

// Push admits an item at now, or returns why it may not wait.
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

// Remove takes an item out, for example because its caller has gone. It reports whether the item was there.
func (q *Queue) Remove(id uint64) bool {
	queued, ok := q.items[id]
	if !ok {
		return false
	}
	queued.flow.remove(queued)
	q.forget(queued)
	return true
}

// Shed offers the interactive items that have waited longest, of each caller, to drop, until it keeps one.
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

// Scan offers waiting items in their order to try, which decides on each. An item that is taken counts against its
// caller's share.
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

// Wait estimates how long a new request of the class and pool would wait, from the measured drain rate of its lane.
// It is zero while nothing has been measured.
func (q *Queue) Wait(now time.Time, interactive bool, pool string) time.Duration {
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
	if item.Interactive && wait > item.patience() {
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
	at, _ := slices.BinarySearchFunc(q.order, key, func(l *lane, target laneKey) int { return compareLanes(l.key, target) })
	q.order = slices.Insert(q.order, at, created)
	return created
}

// compareLanes puts interactive lanes first.
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
