// Package retrybudget bounds how much retries add to the load of each service, as Finagle's RetryBudget and Envoy's retry budgets do.
//
// Guarantees: of the retries that are asked for by Take, those granted in a window are at most Share of the first sends of that window, beside
// those of a reserve, which is Reserve retries at first and fills up again by one each RefillTime. It costs constant time a request, and memory
// by service only. A Budget is safe for concurrent use.
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
	// Window is the time over which both are counted.
	Window time.Duration
	// Reserve is how many retries are granted whatever the first sends, so that a rarely used service can be retried.
	Reserve int
	// RefillTime is how long it takes until one that was granted of the reserve may be granted again.
	RefillTime time.Duration
	// Now reads the clock.
	Now func() time.Time
}

// Budget counts sends by service.
type Budget struct {
	params   Params
	origin   time.Time
	mu       sync.Mutex
	services map[string]*counts
}

// counts are the sends of a window.
type counts struct {
	// retries are those that the share paid for.
	first, retries slidingcount.Counter
	// reserved are all that the reserve paid for, less those that it has got back by refilledAt.
	reserved   int
	refilledAt time.Time
	// fromReserve is true if the reserve paid for the last one that was granted.
	fromReserve bool
}

// New returns a Budget of which nothing is used.
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
	if counts.reserved >= b.params.Reserve {
		return false
	}
	counts.reserved++
	return true
}

// refill gives the reserve back what time has made good.
func (b *Budget) refill(counts *counts, now time.Time) {
	back := int(now.Sub(counts.refilledAt) / b.params.RefillTime)
	if back >= counts.reserved {
		counts.reserved, counts.refilledAt = 0, now
		return
	}
	counts.reserved -= back
	counts.refilledAt = counts.refilledAt.Add(time.Duration(back) * b.params.RefillTime)
}

// Return takes back a retry that was granted and not sent.
func (b *Budget) Return(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := b.of(service)
	if counts.fromReserve && counts.reserved > 0 {
		counts.reserved--
		return
	}
	if now := b.params.Now(); counts.retries.Sum(now) > 0 {
		counts.retries.Add(now, -1)
	}
}

// Ratio returns the retries of the window for each first send to a service; zero if there was no first send.
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

func (b *Budget) of(service string) *counts {
	known, ok := b.services[service]
	if !ok {
		known = &counts{first: slidingcount.New(b.params.Window, b.origin), retries: slidingcount.New(b.params.Window, b.origin)}
		b.services[service] = known
	}
	return known
}
