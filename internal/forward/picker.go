package forward

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/covelink/covelink/internal/fleet"
)

const (
	// latencyWeight is the weight of the newest sample in the moving average of the latency.
	latencyWeight = 0.2
	// defaultLatency is assumed for engines that have not responded yet.
	defaultLatency = 30 * time.Millisecond
	// minBackoff and maxBackoff bound the backoff of an engine after consecutive failures.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 3 * time.Second
	// busyBackoff is the backoff of an engine that refused as full.
	busyBackoff = 40 * time.Millisecond
	// connectionIdleTimeout is how long after a response a connection is assumed open. It is below the transport's idle timeout of 8 s and the 10
	// s that engines announce.
	connectionIdleTimeout = 7 * time.Second
	// connectCostFactor raises the cost of an engine to which a connection must be opened: a connect occupies one of the engine's limited slots as
	// well as a round trip.
	connectCostFactor = 1.5
	// staleAfter is how long the record of an unused engine is kept.
	staleAfter = 30 * time.Second
)

// engineRecord is what this process has observed of an engine.
type engineRecord struct {
	inFlight     int
	latency      time.Duration
	failures     int
	backoffUntil time.Time
	usedAt       time.Time
	// answeredAt is when the engine last responded. connections is how many are assumed open since: the maximum that were in flight.
	answeredAt  time.Time
	connections int
}

// Picker selects an engine of a service by this process's requests in flight and by recent latencies and failures. It is safe for concurrent use.
type Picker struct {
	now     func() time.Time
	mu      sync.Mutex
	records map[string]*engineRecord
	recent  recentEngines
	sweptAt time.Time
}

// NewPicker returns a Picker that reads the time from now.
func NewPicker(now func() time.Time) *Picker {
	return &Picker{now: now, records: make(map[string]*engineRecord)}
}

// Acquire selects the engine of least cost that allowed accepts, and counts a request in flight there until Release. It returns nil if there is
// none. Engines in backoff are selected only if there is no other.
func (p *Picker) Acquire(engines []*fleet.Engine, allowed func(*fleet.Engine) bool) *fleet.Engine {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	p.sweep(now)
	var best *fleet.Engine
	var bestCost float64
	bestInBackoff := false
	for _, engine := range engines {
		if !allowed(engine) {
			continue
		}
		record := p.record(engine.ID)
		inBackoff := record.backoffUntil.After(now)
		cost := record.cost(engine, now) * (1 + 0.1*rand.Float64())
		better := best == nil || (bestInBackoff && !inBackoff) || (inBackoff == bestInBackoff && cost < bestCost)
		if better {
			best, bestCost, bestInBackoff = engine, cost, inBackoff
		}
	}
	if best != nil {
		record := p.record(best.ID)
		if record.disconnected(now) {
			record.connections = 0
		}
		record.inFlight++
		record.connections = max(record.connections, record.inFlight)
		record.usedAt = now
		p.recent.add(best.ID)
	}
	return best
}

// cost estimates the time, in seconds, until the engine has executed one more request.
func (r *engineRecord) cost(engine *fleet.Engine, now time.Time) float64 {
	latency := r.latency
	if latency == 0 {
		latency = defaultLatency
	}
	cost := latency.Seconds() * (1 + float64(r.inFlight)/float64(max(engine.Slots, 1)))
	if r.disconnected(now) || r.inFlight >= r.connections {
		cost *= connectCostFactor
	}
	return cost
}

// disconnected reports whether no connection to the engine is assumed open.
func (r *engineRecord) disconnected(now time.Time) bool {
	return r.inFlight == 0 && now.Sub(r.answeredAt) > connectionIdleTimeout
}

// Verdict is the outcome of an attempt, as recorded for later selections.
type Verdict int

// The verdicts.
const (
	// VerdictServed means that the engine responded.
	VerdictServed Verdict = iota
	// VerdictBusy means that the engine refused.
	VerdictBusy
	// VerdictFailed means that the engine failed or did not respond.
	VerdictFailed
	// VerdictMisdirected means that the address belongs to another engine.
	VerdictMisdirected
	// VerdictCanceled means that the attempt has no bearing on the engine's health.
	VerdictCanceled
)

// Release ends a request that Acquire counted, and records its outcome.
func (p *Picker) Release(engine *fleet.Engine, verdict Verdict, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	record := p.record(engine.ID)
	record.inFlight--
	record.usedAt = now
	switch verdict {
	case VerdictServed:
		record.failures = 0
		record.answeredAt = now
		record.backoffUntil = time.Time{}
		record.observeLatency(took)
	case VerdictBusy:
		record.backoffUntil = now.Add(busyBackoff)
	case VerdictFailed:
		record.failures++
		record.connections = record.inFlight
		record.backoffUntil = now.Add(min(minBackoff<<min(record.failures, 5), maxBackoff))
	case VerdictMisdirected:
		record.backoffUntil = now.Add(maxBackoff)
	case VerdictCanceled:
	}
}

func (r *engineRecord) observeLatency(took time.Duration) {
	if r.latency == 0 {
		r.latency = took
		return
	}
	r.latency += time.Duration(latencyWeight * float64(took-r.latency))
}

func (p *Picker) record(id string) *engineRecord {
	record, ok := p.records[id]
	if !ok {
		record = &engineRecord{usedAt: p.now()}
		p.records[id] = record
	}
	return record
}

func (p *Picker) sweep(now time.Time) {
	if now.Sub(p.sweptAt) < staleAfter {
		return
	}
	p.sweptAt = now
	for id, record := range p.records {
		if record.inFlight == 0 && now.Sub(record.usedAt) > staleAfter {
			delete(p.records, id)
		}
	}
}
