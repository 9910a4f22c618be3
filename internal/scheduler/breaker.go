package scheduler

import "time"

// BreakerState is the state of a Breaker.
type BreakerState int

// The breaker states.
const (
	// BreakerClosed lets every request pass.
	BreakerClosed BreakerState = iota
	// BreakerOpen lets no request pass until its backoff is over.
	BreakerOpen
	// BreakerHalfOpen has let one probe pass and waits for its result.
	BreakerHalfOpen
)

// The breaker's constants.
const (
	breakerThreshold  = 3
	breakerBaseDelay  = 200 * time.Millisecond
	breakerMaxDelay   = 15 * time.Second
	breakerMaxDoubles = 10
)

// Breaker keeps requests off an engine that fails. It opens after consecutive failures, stays open for a backoff that
// grows with full jitter, then lets a single probe pass: its success closes the breaker, its failure opens it again.
// The zero Breaker is closed. It is not safe for concurrent use.
type Breaker struct {
	state    BreakerState
	failures int
	opens    int
	until    time.Time
}

// State returns the state at now; an open breaker whose backoff is over counts as half-open.
func (b *Breaker) State(now time.Time) BreakerState {
	if b.state == BreakerOpen && !now.Before(b.until) {
		return BreakerHalfOpen
	}
	return b.state
}

// Ready reports whether a request may start at now.
func (b *Breaker) Ready(now time.Time) bool {
	switch b.state {
	case BreakerClosed:
		return true
	case BreakerOpen:
		return !now.Before(b.until)
	default:
		return false
	}
}

// Start takes note that a request starts at now. It must be called only when Ready; after a backoff this is the probe.
func (b *Breaker) Start(now time.Time) {
	if b.state == BreakerOpen && !now.Before(b.until) {
		b.state = BreakerHalfOpen
	}
}

// Succeed takes note that the engine answered.
func (b *Breaker) Succeed() {
	*b = Breaker{}
}

// Abandon takes note that a request ended without telling anything about the engine, for example by the caller's
// cancel. A probe that is abandoned leaves room for the next one.
func (b *Breaker) Abandon() {
	if b.state == BreakerHalfOpen {
		b.state = BreakerOpen
	}
}

// Fail takes note of a failure at now. random is uniform in [0, 1).
func (b *Breaker) Fail(now time.Time, random float64) {
	b.failures++
	if b.state == BreakerOpen {
		return
	}
	if b.state == BreakerClosed && b.failures < breakerThreshold {
		return
	}
	b.state = BreakerOpen
	b.until = now.Add(FullJitter(breakerBaseDelay, breakerMaxDelay, b.opens, random))
	b.opens = min(b.opens+1, breakerMaxDoubles)
}

// FullJitter returns a delay uniform in [0, min(limit, base·2^attempt)), from a random number uniform in [0, 1).
func FullJitter(base, limit time.Duration, attempt int, random float64) time.Duration {
	ceiling := limit
	if attempt < breakerMaxDoubles {
		ceiling = min(limit, base<<max(attempt, 0))
	}
	return time.Duration(random * float64(ceiling))
}
