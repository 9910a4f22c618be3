package scheduler

import (
	"cmp"
	"slices"
	"time"
)

const (
	// drainDecay is the weight that earlier measurements keep at each new one.
	drainDecay = 0.9
	// minDrainSamples is the number of starts below which no wait is estimated.
	minDrainSamples = 8
	minRetryAfter   = 250 * time.Millisecond
	maxRetryAfter   = 30 * time.Second
)

// lane holds the waiting items of one class and pool.
type lane struct {
	key     laneKey
	flows   map[string]*flow
	virtual float64
	tokens  int64
	drain   drainRate
}

// flow holds the waiting items of one caller. start is the virtual start time of its next item.
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

// next offers items to try in the order of the flows' start times. It returns the first that try does not skip, with the verdict, or nil
// and Stop.
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

// take removes an item that starts now and charges its flow; readmitted items were charged before.
func (l *lane) take(now time.Time, queued *entry) {
	f := queued.flow
	l.virtual = max(l.virtual, f.start)
	f.remove(queued)
	if queued.item.Readmitted {
		return
	}
	f.start += float64(queued.item.cost()) / queued.item.share()
	l.drain.observe(now, queued.item.cost())
}

// forget accounts for an item that has left the lane. Empty flows are dropped once the virtual time has passed their start, which bounds
// the flows by the recent callers.
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

// backlogged returns the flows with waiting items, by start time.
func (l *lane) backlogged() []*flow {
	flows := make([]*flow, 0, len(l.flows))
	for _, f := range l.flows {
		if len(f.items) > 0 {
			flows = append(flows, f)
		}
	}
	slices.SortFunc(flows, func(a, b *flow) int {
		return cmp.Or(cmp.Compare(a.start, b.start), cmp.Compare(a.caller, b.caller))
	})
	return flows
}

func (l *lane) estimate(now time.Time) time.Duration {
	return l.drain.estimate(now, l.tokens)
}

func (f *flow) insert(queued *entry, interactive bool) {
	index, _ := slices.BinarySearchFunc(f.items, queued, func(a, b *entry) int { return compareEntries(a, b, interactive) })
	f.items = slices.Insert(f.items, index, queued)
}

func (f *flow) remove(queued *entry) {
	index := slices.Index(f.items, queued)
	if index >= 0 {
		f.items = slices.Delete(f.items, index, index+1)
	}
}

// compareEntries orders a flow: interactive items by arrival, rollouts by rank, then longest first.
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

// readmission sorts readmitted items first.
func readmission(queued *entry) int {
	if queued.item.Readmitted {
		return 0
	}
	return 1
}

// drainRate measures the rate at which a backlogged lane starts items.
type drainRate struct {
	last   time.Time
	busy   float64
	tokens float64
	starts int
}

func (d *drainRate) begin(now time.Time) { d.last = now }

func (d *drainRate) observe(now time.Time, tokens int) {
	d.busy = d.busy*drainDecay + now.Sub(d.last).Seconds()
	d.tokens = d.tokens*drainDecay + float64(tokens)
	d.last = now
	d.starts = min(d.starts+1, minDrainSamples)
}

func (d *drainRate) estimate(now time.Time, tokens int64) time.Duration {
	if d.starts < minDrainSamples || tokens == 0 {
		return 0
	}
	perToken := d.busy / d.tokens
	return time.Duration(min(perToken*float64(tokens), maxEstimateSeconds) * float64(time.Second))
}

// maxEstimateSeconds keeps estimates within the range of time.Duration.
const maxEstimateSeconds = 24 * 60 * 60

func clampRetryAfter(wait time.Duration) time.Duration {
	return min(max(wait, minRetryAfter), maxRetryAfter)
}
