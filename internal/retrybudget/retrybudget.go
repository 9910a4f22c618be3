// Package retrybudget bounds how much retries add to the load of each service, as Finagle's RetryBudget and Envoy's retry budgets do.
//
// Guarantees: the retries granted within a window are at most Share of the first sends of that window, plus those of a reserve. The reserve holds
// Reserve retries and is refilled by one each RefillTime. A call takes constant time, and memory grows with the number of services only. A Budget
// is safe for concurrent use.
package retrybudget

import (
	"sync"
	"time"

	"github.com/covelink/covelink/internal/slidingcount"
)

// Params are the bounds.
type Params struct {
	// Share is the most retries for each first send.
	Share float64
	// Window is the time over which first sends and retries are counted.
	Window time.Duration
	// Reserve is how many retries are granted whatever the first sends, so that a rarely used service can be retried.
	Reserve int
	// RefillTime is how long it takes until a retry of the reserve that was used may be granted again.
	RefillTime time.Duration
	// Now reads a clock that does not go back.
	Now func() time.Time
}

// Budget counts first sends and retries by service.
type Budget struct {
	params   Params
	origin   time.Time
	mu       sync.Mutex
	services map[string]*counts
}

// counts are those of one service.
type counts struct {
	// first counts the first sends of the window, and retries those granted within Share.
	first, retries slidingcount.Counter
	// reserveUsed is how many retries of the reserve were granted and not refilled by refilledAt.
	reserveUsed int
	refilledAt  time.Time
	// fromReserve is true if the last retry that was asked for was beyond Share. Return uses it to choose which of the two counts to reduce; it
	// may choose the other one where calls interleave.
	fromReserve bool
}

// New returns an unused Budget.
func New(params Params) *Budget {
	return &Budget{params: params, origin: params.Now(), services: make(map[string]*counts)}
}

// First counts a request's first send to a service.
func (b *Budget) First(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.of(service).first.Add(b.params.Now(), 1)
}

// Take reports whether a retry may be sent to a service now, and counts it if so.
func (b *Budget) Take(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now, counts := b.params.Now(), b.of(service)
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

// refill refills the reserve for the time since refilledAt.
func (b *Budget) refill(counts *counts, now time.Time) {
	back := int(now.Sub(counts.refilledAt) / b.params.RefillTime)
	if back >= counts.reserveUsed {
		counts.reserveUsed, counts.refilledAt = 0, now
		return
	}
	counts.reserveUsed -= back
	counts.refilledAt = counts.refilledAt.Add(time.Duration(back) * b.params.RefillTime)
}

// Return gives back a retry that was granted and not sent.
func (b *Budget) Return(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := b.of(service)
	if counts.fromReserve && counts.reserveUsed > 0 {
		counts.reserveUsed--
		return
	}
	if now := b.params.Now(); counts.retries.Sum(now) > 0 {
		counts.retries.Add(now, -1)
	}
}

// Ratio returns the retries within Share for each first send to a service, over the window; zero without a first send.
func (b *Budget) Ratio(service string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	now, counts := b.params.Now(), b.of(service)
	first := counts.first.Sum(now)
	if first == 0 {
		return 0
	}
	return float64(counts.retries.Sum(now)) / float64(first)
}

// of returns the counts of a service. The mutex must be held.
func (b *Budget) of(service string) *counts {
	known, ok := b.services[service]
	if !ok {
		known = &counts{first: slidingcount.New(b.params.Window, b.origin), retries: slidingcount.New(b.params.Window, b.origin)}
		b.services[service] = known
	}
	return known
}
