package forward

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/covelink/covelink/internal/fleet"
)

// playShared plays a load on 7 engines of 6 slots, which serve some 525 requests a second, through 70 gateways.
func playShared(t *testing.T, reports bool, perSecond float64, seed uint64) (pool *slotsPool, all *tenantStats) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		pool = newSlotsPool(7, 6, reports, seed)
		var gateways []*Forwarder
		for range 70 {
			gateways = append(gateways, pool.gateway(slotsTable(500*time.Millisecond)))
		}
		results := pool.play(t.Context(), gateways, seed,
			tenantLoad{tenant: "lookups", perSecond: perSecond / 5, length: 10 * time.Second},
			tenantLoad{perSecond: perSecond * 4 / 5, length: 10 * time.Second, queueTimeout: 2 * time.Second})
		all = &tenantStats{}
		for _, stats := range results {
			all.served += stats.served
			all.refused += stats.refused
			all.took = append(all.took, stats.took...)
		}
		t.Logf("%.0f a second, seed %d, reports %t: %d sends, %d refused by engines; %v; lookups: %v", perSecond, seed, reports, pool.sends, pool.refused, all, results["lookups"])
	})
	return pool, all
}

// TestGatewaysShareServiceByReports guards against gateways that find the full engines of a shared service only by their refusals. At 300 requests a
// second, refusals are by chance and differ little with reports; near the service's rate and above it, fewer callers are refused, and above it engines
// refuse less.
func TestGatewaysShareServiceByReports(t *testing.T) {
	for seed, perSecond := range []float64{300, 420, 600} {
		learned, learnedStats := playShared(t, false, perSecond, uint64(seed))
		reported, reportedStats := playShared(t, true, perSecond, uint64(seed))
		if perSecond > 500 && reported.refused >= learned.refused {
			t.Errorf("%.0f a second: engines refused %d sends with reports, %d without", perSecond, reported.refused, learned.refused)
		}
		if perSecond > 400 && reportedStats.refused >= learnedStats.refused {
			t.Errorf("%.0f a second: %d requests refused with reports, %d without", perSecond, reportedStats.refused, learnedStats.refused)
		}
		if reportedStats.served < learnedStats.served*98/100 {
			t.Errorf("%.0f a second: %d requests served with reports, %d without", perSecond, reportedStats.served, learnedStats.served)
		}
	}
}

// TestSlowEngineIsAvoided guards against requests to an engine that reports a slow pace while others are quick. The engines are slow in turn, so that
// past latencies mislead.
func TestSlowEngineIsAvoided(t *testing.T) {
	var slow, refused [2]int
	for i, reports := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			pool := newSlotsPool(4, 6, reports, 1)
			for turn := range 20 {
				time.AfterFunc(time.Duration(turn)*time.Second/2, func() { pool.slowDown(fmt.Sprint("engine-", turn%4)) })
			}
			results := pool.play(t.Context(), []*Forwarder{pool.gateway(slotsTable(time.Second))}, 1, tenantLoad{tenant: "a", perSecond: 100, length: 10 * time.Second})
			t.Logf("reports %t: %v", reports, results["a"])
			for _, took := range results["a"].took {
				if took > 150*time.Millisecond {
					slow[i]++
				}
			}
			refused[i] = results["a"].refused
		})
	}
	t.Logf("%d slow answers and %d refusals without reports, %d and %d with reports", slow[0], refused[0], slow[1], refused[1])
	if slow[1] >= slow[0] || refused[1] > refused[0] {
		t.Error("reports lead to more slow answers or refusals")
	}
}

// slowDown makes one engine take three times as long as usual, and the others as long as usual.
func (p *slotsPool) slowDown(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for other, engine := range p.engines {
		engine.pace = 100
		if other == id {
			engine.pace = 300
		}
	}
}

// TestLyingEngineIsAvoided guards against engines that report free slots and accept nothing: their refusals take precedence, so that lies cost no more
// sends and refusals than no reports at all.
func TestLyingEngineIsAvoided(t *testing.T) {
	for _, lying := range []int{1, 4} {
		var sends [2]int
		var refused [2]float64
		for i, reports := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				pool := newSlotsPool(4, 6, reports, 1)
				for number := range lying {
					pool.engines[fmt.Sprint("engine-", number)].lying = true
				}
				results := pool.play(t.Context(), []*Forwarder{pool.gateway(slotsTable(500 * time.Millisecond))}, 1,
					tenantLoad{tenant: "a", perSecond: 30, length: 10 * time.Second}, tenantLoad{perSecond: 60, length: 10 * time.Second, queueTimeout: time.Second})
				sends[i], refused[i] = pool.refused, results["a"].refusedShare()
			})
		}
		t.Logf("%d lying engines: %d sends and %.1f%% of the lookups refused without reports, %d and %.1f%% with reports", lying, sends[0], 100*refused[0],
			sends[1], 100*refused[1])
		if sends[1] > sends[0]+sends[0]/5 || refused[1] > refused[0]+0.01 {
			t.Errorf("%d lying engines: reports cost sends or refusals", lying)
		}
	}
}

// TestGatewayWithoutRecentReports guards against a gateway that keeps requests back on what it heard before it was cut off.
func TestGatewayWithoutRecentReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newDispatchHarness(map[string]action{}, "a", "b")
		for _, id := range []string{"a", "b"} {
			b.forwarder.picker.ReportLoad(&fleet.Engine{ID: id}, EngineLoad{Running: 4, Waiting: 9, Slots: 4}, false)
		}
		if load := b.forwarder.waiting.available("s", "", b.state.View().Dispatchable("s"), b.forwarder.picker.capacity(b.state.View().Dispatchable("s"))).load; load != LoadFull {
			t.Fatalf("load %v of a service that reports to be full", load)
		}
		time.Sleep(reportMaxAge)
		began := time.Now()
		for range 50 {
			if result := b.do(t.Context(), Request{ID: "r", QueueTimeout: time.Second}, 2*time.Second); result.Outcome != Completed {
				t.Fatalf("result %+v", result)
			}
		}
		if took := time.Since(began); took != 0 {
			t.Errorf("requests waited %v for a service that answers, on reports that are too old", took)
		}
	})
	synctest.Test(t, func(t *testing.T) {
		b := newDispatchHarness(map[string]action{}, "a", "b")
		for _, id := range []string{"a", "b"} {
			b.forwarder.picker.ReportLoad(&fleet.Engine{ID: id}, EngineLoad{Running: 4, Waiting: 9, Slots: 4}, false)
		}
		began := time.Now()
		result := b.do(t.Context(), Request{ID: "r", QueueTimeout: 2 * time.Second}, 3*time.Second)
		if took := time.Since(began); result.Outcome != Completed || took > reportMaxAge {
			t.Errorf("result %+v after %v, want a send once the reports are too old", result, took)
		}
	})
}
