package forward

import (
	"math"
	"slices"
	"time"
)

const (
	// demandDecay is the time in which a request's weight in its tenant's demand falls to 1/e.
	demandDecay = time.Second
	// minSurgeDemand is the demand, in recent requests, below which a tenant is not taken for surging: fewer requests vary too much.
	minSurgeDemand = 8
	// surgeFactor is how much more than the median tenant a surging tenant demands. Tenants of equal load vary by less.
	surgeFactor = 2
	// headroom is the share of a service's capacity that is left to the other tenants while a tenant surges: one of an engine's six slots. Requests of
	// the others then find a free slot at once, at every process.
	headroom = 1.0 / 6
	// minDemand is the demand below which a tenant is forgotten.
	minDemand = 0.05
)

// tenantDemand measures how much each tenant asks of a service lately. It is not safe for concurrent use; memory is bounded by the tenants of the last
// seconds.
type tenantDemand struct {
	byTenant map[string]float64
	at       time.Time
}

// record counts a request of a tenant.
func (d *tenantDemand) record(now time.Time, tenant string) {
	if d.byTenant == nil {
		d.byTenant = make(map[string]float64)
	}
	d.decay(now)
	d.byTenant[tenant]++
}

// decay reduces all demands by the time since the last call. Short intervals are skipped, so that calls cost little on average.
func (d *tenantDemand) decay(now time.Time) {
	elapsed := now.Sub(d.at)
	if elapsed < demandDecay/20 {
		return
	}
	d.at = now
	keep := math.Exp(-elapsed.Seconds() / demandDecay.Seconds())
	for tenant, demand := range d.byTenant {
		if demand *= keep; demand < minDemand {
			delete(d.byTenant, tenant)
			continue
		}
		d.byTenant[tenant] = demand
	}
}

// surging returns a function that reports whether a tenant surges: it demands more than surgeFactor times the median tenant (of two the smaller one).
// A tenant alone does not surge. The function must not be used after the next call of another method.
func (d *tenantDemand) surging(now time.Time) func(tenant string) bool {
	d.decay(now)
	if len(d.byTenant) < 2 {
		return func(string) bool { return false }
	}
	demands := make([]float64, 0, len(d.byTenant))
	for _, demand := range d.byTenant {
		demands = append(demands, demand)
	}
	slices.Sort(demands)
	limit := max(surgeFactor*demands[(len(demands)-1)/2], minSurgeDemand)
	return func(tenant string) bool { return d.byTenant[tenant] > limit }
}
