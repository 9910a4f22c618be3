package forward

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// ordinaryTenants returns the loads of five tenants that together use a share of 300 requests a second.
func ordinaryTenants(share float64, queueTimeout time.Duration) []tenantLoad {
	var loads []tenantLoad
	for i := range 5 {
		loads = append(loads, tenantLoad{tenant: fmt.Sprint("ordinary-", i), perSecond: 300 * share / 5, length: 12 * time.Second, queueTimeout: queueTimeout})
	}
	return loads
}

// ordinaryOf merges the results of the ordinary tenants.
func ordinaryOf(results map[string]*tenantStats) *tenantStats {
	sum := &tenantStats{}
	for tenant, stats := range results {
		if tenant != "surge" {
			sum.served += stats.served
			sum.refused += stats.refused
			sum.took = append(sum.took, stats.took...)
		}
	}
	return sum
}

// surgeCase is one replay of a surge.
type surgeCase struct {
	name     string
	gateways int
	reports  bool
	// queueTimeout is that of all requests; zero for interactive ones.
	queueTimeout time.Duration
}

// playSurge plays five ordinary tenants, which use half of a service of 4 engines of 6 slots, with or without a tenant that sends twice the service's
// rate for 8 of 12 seconds.
func (c surgeCase) playSurge(t *testing.T, surge bool, seed uint64) (ordinary, surging *tenantStats) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		pool := newSlotsPool(4, 6, c.reports, seed)
		var gateways []*Forwarder
		for range c.gateways {
			gateways = append(gateways, pool.gateway(slotsTable(500*time.Millisecond)))
		}
		loads := ordinaryTenants(0.5, c.queueTimeout)
		if surge {
			loads = append(loads, tenantLoad{tenant: "surge", perSecond: 600, from: 2 * time.Second, length: 8 * time.Second, queueTimeout: c.queueTimeout})
		}
		results := pool.play(t.Context(), gateways, seed, loads...)
		ordinary, surging = ordinaryOf(results), results["surge"]
		t.Logf("%s, seed %d, surge %t: %d sends, %d refused by engines; ordinary: %v; surge: %v", c.name, seed, surge, pool.sends, pool.refused, ordinary, surging)
	})
	return ordinary, surging
}

// TestSurgeOfOneTenant guards against a tenant whose surge makes the other tenants wait or be refused. The others' refusals may rise by
// 1.5 in a hundred, and the time of 95 in 100 answers by half of the queue timeout of interactive requests, as processes learn of free slots by their own answers only.
func TestSurgeOfOneTenant(t *testing.T) {
	const queueTimeout = 110 * time.Millisecond
	for _, c := range []surgeCase{
		{"one gateway, interactive", 1, true, 0}, {"one gateway, with a queue timeout", 1, true, 2 * time.Second},
		{"8 gateways, interactive", 8, true, 0}, {"8 gateways, with a queue timeout", 8, true, 2 * time.Second},
	} {
		calm, _ := c.playSurge(t, false, 1)
		ordinary, surging := c.playSurge(t, true, 1)
		if more := ordinary.refusedShare() - calm.refusedShare(); more > 0.015 {
			t.Errorf("%s: the surge adds refusals of %.1f%% of the others' requests", c.name, 100*more)
		}
		if more := ordinary.percentile(0.95) - calm.percentile(0.95); more > queueTimeout {
			t.Errorf("%s: the surge adds %v to the others' times", c.name, more)
		}
		if surging.served == 0 {
			t.Errorf("%s: nothing of the surge is served beside a service that is half used", c.name)
		}
	}
}

// TestSurgeWithoutReports guards against a surge that takes a service over at a gateway whose engines report nothing.
func TestSurgeWithoutReports(t *testing.T) {
	c := surgeCase{"one gateway without reports, interactive", 1, false, 0}
	for seed := range uint64(2) {
		calm, _ := c.playSurge(t, false, seed)
		ordinary, _ := c.playSurge(t, true, seed)
		if more := ordinary.refusedShare() - calm.refusedShare(); more > 0.02 {
			t.Errorf("seed %d: the surge adds refusals of %.1f%% of the others' requests", seed, 100*more)
		}
	}
}
