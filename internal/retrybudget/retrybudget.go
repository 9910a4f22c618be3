// Package retrybudget limits the load that retries add to each service, like the retry budgets of Finagle and Envoy.
//
// Guarantees: the retries granted within a window are at most Share of its first sends, plus those of a reserve of Reserve retries, of which one
// is refilled each RefillTime. Calls take constant time, and memory grows with the number of services only. A Budget is safe for concurrent use.
package retrybudget

import (
	"sync"
	"time"

	"github.com/covelink/covelink/internal/slidingcount"
)

// Params are the parameters of a Budget.
type Params struct {
	// Share is the maximum number of retries per first send.
	Share float64
	// Window is the period over which first sends and retries are counted.
	Window time.Duration
	// Reserve is the number of retries granted regardless of first sends, so that requests to a rarely used service can be retried.
	Reserve int
	// RefillTime is the time after which one used retry of the reserve is granted again.
	RefillTime time.Duration
	// Now reads a clock that never goes backwards.
	Now func() time.Time
}

// Budget counts first sends and retries by service.
type Budget struct {
	params   Params
	origin   time.Time
	mu       sync.Mutex
	services map[string]*counts
}

// counts holds the counts of one service.
type counts struct {
	// first counts the first sends within the window, and retries the retries granted within Share.
	first, retries slidingcount.Counter
	// reserveUsed is the number of reserve retries granted and not refilled by refilledAt.
	reserveUsed int
	refilledAt  time.Time
	// fromReserve is true if the last requested retry exceeded Share. Return uses it to select the count to reduce; concurrent calls may make it
	// select the other one.
	fromReserve bool
}

// New returns a Budget with a full reserve.
func New(params Params) *Budget {
	return &Budget{params: params, origin: params.Now(), services: make(map[string]*counts)}
}

// RecordFirst counts a request's first send to a service.
func (b *Budget) RecordFirst(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.countsFor(service).first.Add(b.params.Now(), 1)
}

// Take reports whether a retry may be sent to a service now, and counts it if so.
func (b *Budget) Take(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now, counts := b.params.Now(), b.countsFor(service)
	counts.fromReserve = float64(counts.retries.Sum(now)+1) > b.params.Share*float64(counts.first.Sum(now))
	if !counts.fromReserve {
		counts.retries.Add(now, 1)
		return true
	}
	b.refill(counts, now)
	if counts.reserveUsed >= b.params.Reserve {
		return false
	}
	counts.reserveUsed++
	return true
}

func (b *Budget) refill(counts *counts, now time.Time) {
	refilled := int(now.Sub(counts.refilledAt) / b.params.RefillTime)
	if refilled >= counts.reserveUsed {
		counts.reserveUsed, counts.refilledAt = 0, now
		return
	}
	counts.reserveUsed -= refilled
	counts.refilledAt = counts.refilledAt.Add(time.Duration(refilled) * b.params.RefillTime)
}

// Return returns a retry to the budget that was granted and not sent.
func (b *Budget) Return(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := b.countsFor(service)
	if counts.fromReserve && counts.reserveUsed > 0 {
		counts.reserveUsed--
		return
	}
	if now := b.params.Now(); counts.retries.Sum(now) > 0 {
		counts.retries.Add(now, -1)
	}
}

// Ratio returns the retries granted within Share per first send to a service, over the window; zero without first sends.
func (b *Budget) Ratio(service string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	now, counts := b.params.Now(), b.countsFor(service)
	first := counts.first.Sum(now)
	if first == 0 {
		return 0
	}
	return float64(counts.retries.Sum(now)) / float64(first)
}

// countsFor returns the counts countsFor a service. The mutex must be held.
func (b *Budget) countsFor(service string) *counts {
	known, ok := b.services[service]
	if !ok {
		known = &counts{first: slidingcount.New(b.params.Window, b.origin), retries: slidingcount.New(b.params.Window, b.origin)}
		b.services[service] = known
	}
	return known
}
