package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// The constants of the drain-rate estimate and of the advice made from it.
const (
	// drainMemory is the share of the old measurement that a new one leaves.
	drainMemory = 0.9
	// drainMinimum is the number of starts from a waiting lane below which no estimate is made.
	drainMinimum  = 8
	minRetryAfter = 250 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// lane holds the waiting items of one class and pool.
type lane struct {
	key     laneKey
	flows   map[string]*flow
	virtual float64
	tokens  int64
	drain   drainRate
}

// flow holds the waiting items of one caller. start is the virtual time at which its next item may start.
type flow struct {
	caller string
	start  float64
	items  []*entry
}

func (l *lane) push(now time.Time, queued *entry) {
	f, ok := l.flows[queued.item.Caller]
	if !ok {
		f = &flow{caller: queued.item.Caller}
		l.flows[queued.item.Caller] = f
	}
	if len(f.items) == 0 {
		f.start = max(f.start, l.virtual)
	}
	if l.tokens == 0 {
		l.drain.begin(now)
	}
	queued.flow = f
	f.insert(queued, l.key.interactive)
	l.tokens += int64(queued.item.cost())
}

// next returns the first item that try takes or drops, in the order of the flows' start times, and the verdict on it.
// It returns Stop when there is none.
func (l *lane) next(scan uint64, try func(*Item) Verdict) (*entry, Verdict) {
	for _, f := range l.backlogged() {
		for _, queued := range f.items[:min(len(f.items), scanDepth)] {
			if queued.skipped == scan {
				continue
			}
			verdict := try(&queued.item)
			if verdict != Skip {
				return queued, verdict
			}
			queued.skipped = scan
		}
	}
	return nil, Stop
}

// take removes an item that starts now and charges its flow, which pays once for an item however often it starts.
func (l *lane) take(now time.Time, queued *entry) {
	f := queued.flow
	l.virtual = max(l.virtual, f.start)
	f.remove(queued)
	if queued.item.Readmitted {
		return
	}
	f.start += float64(queued.item.cost()) / queued.item.share()
	l.drain.took(now, queued.item.cost())
}

// forget takes note that an item has left the lane. A flow without items is dropped once its share is used up, so that
// the flows kept are bounded by the recent callers.
func (l *lane) forget(queued *entry) {
	l.tokens -= int64(queued.item.cost())
	for caller, f := range l.flows {
		if len(f.items) == 0 && (l.tokens == 0 || f.start <= l.virtual) {
			delete(l.flows, caller)
		}
	}
	if l.tokens == 0 {
		l.virtual = 0
	}
}

// backlogged returns the flows with waiting items, the earliest start first.
func (l *lane) backlogged() []*flow {
	waiting := make([]*flow, 0, len(l.flows))
	for _, f := range l.flows {
		if len(f.items) > 0 {
			waiting = append(waiting, f)
		}
	}
	slices.SortFunc(waiting, func(a, b *flow) int {
		return cmp.Or(cmp.Compare(a.start, b.start), cmp.Compare(a.caller, b.caller))
	})
	return waiting
}

func (l *lane) estimate(now time.Time) time.Duration {
	return l.drain.timeFor(now, l.tokens)
}

func (f *flow) insert(queued *entry, interactive bool) {
	at, _ := slices.BinarySearchFunc(f.items, queued, func(a, b *entry) int { return compareEntries(a, b, interactive) })
	f.items = slices.Insert(f.items, at, queued)
}

func (f *flow) remove(queued *entry) {
	at := slices.Index(f.items, queued)
	if at >= 0 {
		f.items = slices.Delete(f.items, at, at+1)
	}
}

// compareEntries orders a flow: rollouts by rank and then longest first, else by arrival.
func compareEntries(a, b *entry, interactive bool) int {
	if interactive {
		return cmp.Or(cmp.Compare(readmission(a), readmission(b)), cmp.Compare(a.sequence, b.sequence))
	}
	return cmp.Or(
		cmp.Compare(a.item.Rank, b.item.Rank),
		cmp.Compare(b.item.cost(), a.item.cost()),
		cmp.Compare(a.sequence, b.sequence),
	)
}

// readmission puts what was admitted before in front of what was not.
func readmission(queued *entry) int {
	if queued.item.Readmitted {
		return 0
	}
	return 1
}

// drainRate measures how fast a lane that has waiting items starts them.
type drainRate struct {
	last   time.Time
	busy   float64
	tokens float64
	starts int
}

func (d *drainRate) begin(now time.Time) { d.last = now }

func (d *drainRate) took(now time.Time, tokens int) {
	d.busy = d.busy*drainMemory + now.Sub(d.last).Seconds()
	d.tokens = d.tokens*drainMemory + float64(tokens)
	d.last = now
	d.starts = min(d.starts+1, drainMinimum)
}

func (d *drainRate) timeFor(now time.Time, tokens int64) time.Duration {
	if d.starts < drainMinimum || tokens == 0 {
		return 0
	}
	perToken := d.busy / d.tokens
	return time.Duration(min(perToken*float64(tokens), maxEstimateSeconds) * float64(time.Second))
}

// maxEstimateSeconds keeps an estimate within the range of a duration.
const maxEstimateSeconds = 24 * 60 * 60

func clampRetryAfter(wait time.Duration) time.Duration {
	return min(max(wait, minRetryAfter), maxRetryAfter)
}
