package forward

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/covelink/covelink/internal/fleet"
)

const (
	// latencyWeight is the share of the newest sample in the moving average.
	latencyWeight = 0.2
	// assumedLatency stands for engines that have not answered yet.
	assumedLatency = 30 * time.Millisecond
	// firstBackoff and maxBackoff bound how long an engine is left aside after failures in a row.
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 3 * time.Second
	// busyBackoff is how long an engine that was full is left aside.
	busyBackoff = 40 * time.Millisecond
	// connectionLife is how long after an answer a connection to the engine is taken to be open: below the 8 s after which the transport
	// closes it, and the 10 s that engines announce.
	connectionLife = 7 * time.Second
	// connectCost is the cost of an engine to which a connection must be opened, relative to one with an idle one: beyond the round trip
	// itself, a new connection takes a slot at the engine for a moment, and engines bound them. Slower engines are still left.
	connectCost = 1.5
	// staleAfter is how long an engine that is not used is remembered.
	staleAfter = 30 * time.Second
)

// engineRecord is what this process has seen of an engine.
type engineRecord struct {
	inFlight int
	latency  time.Duration
	failures int
	asideTil time.Time
	used     time.Time
	// answered is when the engine last answered, and connections how many are taken to be open since: the most that were in flight.
	answered    time.Time
	connections int
}

// Picker chooses among the engines of a service by the work in flight from here and by what they did lately. It is safe for
// concurrent use.
type Picker struct {
	now     func() time.Time
	mu      sync.Mutex
	records map[string]*engineRecord
	recent  recentEngines
	swept   time.Time
}

// NewPicker returns a Picker that reads the time from now.
func NewPicker(now func() time.Time) *Picker {
	return &Picker{now: now, records: make(map[string]*engineRecord)}
}

// Acquire returns the best engine that allowed takes and counts one request in flight there, until Release. It returns nil if
// there is none. Engines left aside are taken only if there is no other.
func (p *Picker) Acquire(engines []*fleet.Engine, allowed func(*fleet.Engine) bool) *fleet.Engine {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	p.sweep(now)
	var best *fleet.Engine
	var bestCost float64
	bestAside := false
	for _, engine := range engines {
		if !allowed(engine) {
			continue
		}
		record := p.record(engine.ID)
		aside := record.asideTil.After(now)
		cost := record.cost(engine, now) * (1 + 0.1*rand.Float64())
		better := best == nil || (bestAside && !aside) || (aside == bestAside && cost < bestCost)
		if better {
			best, bestCost, bestAside = engine, cost, aside
		}
	}
	if best != nil {
		record := p.record(best.ID)
		if record.disconnected(now) {
			record.connections = 0
		}
		record.inFlight++
		record.connections = max(record.connections, record.inFlight)
		record.used = now
		p.recent.note(best.ID)
	}
	return best
}

// cost is the expected time until the engine has executed one more request.
func (r *engineRecord) cost(engine *fleet.Engine, now time.Time) float64 {
	latency := r.latency
	if latency == 0 {
		latency = assumedLatency
	}
	cost := latency.Seconds() * (1 + float64(r.inFlight)/float64(max(engine.Slots, 1)))
	if r.disconnected(now) || r.inFlight >= r.connections {
		cost *= connectCost
	}
	return cost
}

// disconnected reports whether no connection to the engine is taken to be open.
func (r *engineRecord) disconnected(now time.Time) bool {
	return r.inFlight == 0 && now.Sub(r.answered) > connectionLife
}

// Verdict is how an attempt ended, for the choice of later ones.
type Verdict int

// The verdicts.
const (
	// VerdictServed means that the engine answered.
	VerdictServed Verdict = iota
	// VerdictBusy means that the engine refused.
	VerdictBusy
	// VerdictFailed means that the engine failed or did not answer.
	VerdictFailed
	// VerdictGone means that the address belongs to another engine.
	VerdictGone
	// VerdictCanceled tells nothing of the engine.
	VerdictCanceled
)

// Release ends what Acquire began.
func (p *Picker) Release(engine *fleet.Engine, verdict Verdict, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	record := p.record(engine.ID)
	record.inFlight--
	record.used = now
	switch verdict {
	case VerdictServed:
		record.failures = 0
		record.answered = now
		record.asideTil = time.Time{}
		record.observe(took)
	case VerdictBusy:
		record.asideTil = now.Add(busyBackoff)
	case VerdictFailed:
		record.failures++
		record.connections = record.inFlight
		record.asideTil = now.Add(min(firstBackoff<<min(record.failures, 5), maxBackoff))
	case VerdictGone:
		record.asideTil = now.Add(maxBackoff)
	case VerdictCanceled:
	}
}

func (r *engineRecord) observe(took time.Duration) {
	if r.latency == 0 {
		r.latency = took
		return
	}
	r.latency += time.Duration(latencyWeight * float64(took-r.latency))
}

func (p *Picker) record(id string) *engineRecord {
	record, ok := p.records[id]
	if !ok {
		record = &engineRecord{used: p.now()}
		p.records[id] = record
	}
	return record
}

// sweep forgets engines that are not used any more.
func (p *Picker) sweep(now time.Time) {
	if now.Sub(p.swept) < staleAfter {
		return
	}
	p.swept = now
	for id, record := range p.records {
		if record.inFlight == 0 && now.Sub(record.used) > staleAfter {
			delete(p.records, id)
		}
	}
}
