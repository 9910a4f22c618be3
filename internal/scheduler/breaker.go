package scheduler

import "time"

// BreakerState is the state of a Breaker.
type BreakerState int

// BreakerState values.
const (
	// BreakerClosed admits every request.
	BreakerClosed BreakerState = iota
	// BreakerOpen admits no request until the backoff has passed.
	BreakerOpen
	// BreakerHalfOpen has admitted one probe and waits for its result.
	BreakerHalfOpen
)

const (
	breakerThreshold    = 3
	breakerBaseDelay    = 200 * time.Millisecond
	breakerMaxDelay     = 15 * time.Second
	breakerMaxDoublings = 10
)

// Breaker keeps requests off a failing engine. It opens after consecutive failures for an exponential backoff with full jitter, then admits
// a single probe, whose success closes it and whose failure opens it again. The zero Breaker is closed. It is not safe for concurrent use.
type Breaker struct {
	state    BreakerState
	failures int
	opens    int
	until    time.Time
}

// State returns the state at now; an open breaker whose backoff has passed counts as half-open.
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

// Start records that a request starts at now, which is the probe after a backoff. It must be called only if Ready.
func (b *Breaker) Start(now time.Time) {
	if b.state == BreakerOpen && !now.Before(b.until) {
		b.state = BreakerHalfOpen
	}
}

// Succeed records a response and closes the breaker.
func (b *Breaker) Succeed() {
	*b = Breaker{}
}

// Abandon records a request that ended without a result, such as one canceled by its caller. An abandoned probe allows the next one.
func (b *Breaker) Abandon() {
	if b.state == BreakerHalfOpen {
		b.state = BreakerOpen
	}
}

// Fail records a failure at now. random is uniform in [0, 1).
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
	b.opens = min(b.opens+1, breakerMaxDoublings)
}

// FullJitter returns a delay uniform in [0, min(limit, base·2^attempt)), given random uniform in [0, 1).
func FullJitter(base, limit time.Duration, attempt int, random float64) time.Duration {
	ceiling := limit
	if attempt < breakerMaxDoublings {
		ceiling = min(limit, base<<max(attempt, 0))
	}
	return time.Duration(random * float64(ceiling))
}
