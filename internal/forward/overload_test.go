package forward

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"github.com/covelink/covelink/internal/boottime"
	"github.com/covelink/covelink/internal/pause"
	"github.com/covelink/covelink/internal/routing"
)

// The load on the overloaded pool, of all gateways together.
const (
	overloadLookups, overloadRewards = 12, 60
	// At crashTime engines crash, and for burstLength the load is burstFactor times as high.
	crashTime   = 5 * time.Second
	burstLength = 2 * time.Second
	burstFactor = 3
	// overloadLength is when the last request is sent, and rewardRetryTime how long a reward call is retried.
	overloadLength  = 30 * time.Second
	rewardRetryTime = 30 * time.Second
	// recoveredLatency is the latency within which a recovered service responds.
	recoveredLatency = time.Second
	// recoverWithin is the time after the crash within which all engines may crash once in the burst, restart, warm up and serve the queued
	// requests.
	recoverWithin = burstLength + restartTime + coldTime + 6*time.Second
)

// overloadStats are the results of one simulation.
type overloadStats struct {
	poolStats
	requests int
	// served, refused and failed count lookups; completedRewards and incompleteRewards count reward calls by whether they completed.
	served, refused, failed, completedRewards, incompleteRewards int
	// late counts the reward calls that took longer than recoveredLatency.
	late int
	// recovered is the time from the crash to the last request that did not complete within recoveredLatency.
	recovered time.Duration
}

func (f *overloadStats) sendsPerRequest() float64 { return float64(f.sends) / float64(f.requests) }

type overloadRun struct {
	pool     *overloadPool
	gateways []*Forwarder
	started  time.Time
	mu       sync.Mutex
	stats    overloadStats
}

// record counts a request that arrived at the given time and has ended.
func (p *overloadRun) record(arrived time.Time, answered bool, count func(stats *overloadStats)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stats.requests++
	count(&p.stats)
	after := arrived.Sub(p.started) - crashTime
	if after >= 0 && (!answered || time.Since(arrived) > recoveredLatency) {
		p.stats.recovered = max(p.stats.recovered, after)
	}
}

func (p *overloadRun) lookup(ctx context.Context, gateway *Forwarder) {
	arrived := time.Now()
	request := &Request{ID: "r", Method: http.MethodPost, Host: "h", Target: "/lookup"}
	result := gateway.Do(ctx, gateway.state.View().Routes.Match("h", "/lookup"), request, boottime.Now().Add(800*time.Millisecond))
	p.record(arrived, result.Outcome == Completed, func(stats *overloadStats) {
		switch result.Outcome {
		case Completed:
			stats.served++
		case NotRun:
			stats.refused++
		default:
			stats.failed++
		}
	})
}

// reward retries a reward call until it completes, as itemwork.Executor does.
func (p *overloadRun) reward(ctx context.Context, gateway *Forwarder) {
	arrived := time.Now()
	answered := false
	request := &Request{ID: "r", Method: http.MethodPost, Host: "h", Target: "/reward", QueueTimeout: 2750 * time.Millisecond, Arrived: boottime.Now()}
	for !answered && time.Since(arrived) < rewardRetryTime {
		result := gateway.Do(ctx, gateway.state.View().Routes.Match("h", "/reward"), request, boottime.Now().Add(3*time.Second))
		answered = result.Outcome == Completed && result.Status == http.StatusOK
		if !answered {
			request.Repeated = request.Repeated || result.Sent
			pause.For(ctx, max(100*time.Millisecond, result.RetryAfter))
		}
	}
	p.record(arrived, answered, func(stats *overloadStats) {
		if !answered {
			stats.incompleteRewards++
			return
		}
		stats.completedRewards++
		if time.Since(arrived) > recoveredLatency {
			stats.late++
		}
	})
}

// simulateOverload simulates the load at a number of gateways, with a number of engines that crash.
func simulateOverload(ctx context.Context, gateways, crashed int, seed uint64, prepare func(pool *overloadPool, forwarder *Forwarder)) overloadStats {
	target := []routing.Target{{Service: "s", Weight: 1}}
	table := routing.NewTable(1, []routing.Route{
		{Name: "lookup", Host: "h", Prefix: "/lookup", Kind: routing.KindIdempotent, Targets: target, MaxAttempts: 2, LatencyObjective: 150 * time.Millisecond},
		{Name: "reward", Host: "h", Prefix: "/reward", Kind: routing.KindIdempotent, Targets: target, MaxAttempts: 3, LatencyObjective: time.Second, Priority: 1},
	}, nil, routing.Limits{})
	p := &overloadRun{pool: newOverloadPool(gateways, table), started: time.Now()}
	for i := range gateways {
		forwarder := New(p.pool.states[i], p.pool, NewPicker(time.Now), log.NewNopLogger())
		prepare(p.pool, forwarder)
		p.gateways = append(p.gateways, forwarder)
	}
	var running sync.WaitGroup
	time.AfterFunc(crashTime, func() {
		for engine := range crashed {
			p.pool.crashNumber(engine)
		}
	})
	generate := func(random *rand.Rand, perSecond int, do func(ctx context.Context, gateway *Forwarder)) {
		for time.Since(p.started) < overloadLength {
			gateway := p.gateways[random.IntN(gateways)]
			length := time.Duration(random.ExpFloat64() * float64(time.Second) / float64(perSecond))
			running.Go(func() { do(ctx, gateway) })
			if after := time.Since(p.started) - crashTime; after >= 0 && after < burstLength {
				length /= burstFactor
			}
			pause.For(ctx, length)
		}
	}
	running.Go(func() { generate(rand.New(rand.NewPCG(seed, 1)), overloadLookups, p.lookup) })
	running.Go(func() { generate(rand.New(rand.NewPCG(seed, 2)), overloadRewards, p.reward) })
	running.Wait()
	pause.For(ctx, restartTime+time.Second)
	p.stats.poolStats = p.pool.stats
	return p.stats
}

// attemptsPerRequest returns the number of sends and failed connections per request.
func (f *overloadStats) attemptsPerRequest() float64 {
	return float64(f.sends+f.dials) / float64(f.requests)
}

// TestOverloadedService guards against retries of many gateways that keep the engines of a full service down.
func TestOverloadedService(t *testing.T) {
	scenarios := []struct {
		name     string
		gateways int
		crashed  int
		quota    bool
	}{
		{"60 gateways, no quota", 60, 2, false}, {"60 gateways, quota", 60, 2, true}, {"60 gateways, quota, all crash", 60, 4, true},
		{"300 gateways, no quota", 300, 2, false}, {"300 gateways, quota", 300, 2, true}, {"300 gateways, quota, all crash", 300, 4, true},
	}
	for _, scenario := range scenarios {
		for seed := range uint64(2) {
			synctest.Test(t, func(t *testing.T) {
				stats := simulateOverload(t.Context(), scenario.gateways, scenario.crashed, seed, func(pool *overloadPool, forwarder *Forwarder) {
					if scenario.quota {
						forwarder.Quota = pool
					}
				})
				t.Logf("%s, seed %d: %.2f sends and %.2f attempts per request, %+v", scenario.name, seed, stats.sendsPerRequest(), stats.attemptsPerRequest(), stats)
				if stats.sendsPerRequest() > 1.2 {
					t.Errorf("%s, seed %d: %.2f sends per request, want at most 1.2", scenario.name, seed, stats.sendsPerRequest())
				}
				if scenario.quota && (stats.incompleteRewards > 0 || stats.recovered > recoverWithin) {
					t.Errorf("%s, seed %d: %d reward calls not completed, last late request %v after the crash", scenario.name, seed, stats.incompleteRewards, stats.recovered)
				}
			})
		}
	}
}
