package forward

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"github.com/covelink/covelink/internal/boottime"
	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/pause"
	"github.com/covelink/covelink/internal/quarantine"
	"github.com/covelink/covelink/internal/routing"
)

// The simulated pool has four engines and seven gateways.
const (
	poolGateways, poolEngines = 7, 4
	// crashAfter is how long an engine runs a crashing request before it ends, and engineAway how long its restart takes.
	crashAfter, engineAway = 50 * time.Millisecond, 3 * time.Second
	// listDelay is the delay from an engine's start to its listing, and delistDelay that from its end to its removal.
	listDelay, delistDelay = 500 * time.Millisecond, 3600 * time.Millisecond
	lookupWork, rewardWork = 25 * time.Millisecond, 80 * time.Millisecond
	lookupsPerSecond       = 6
	rewardsPerSecond       = 40
	// syncDelay is how long one gateway's findings take to reach the others.
	syncDelay = 10 * time.Millisecond
	// crashingRequests is the number of crashing requests; one is sent every crashingPause.
	crashingRequests = 24
	crashingPause    = 500 * time.Millisecond
)

// guardMode is how gateways detect requests that crash engines.
type guardMode int

const (
	guardNone guardMode = iota
	// guardLocal gateways know only their own observations.
	guardLocal
	// guardShared gateways share their observations.
	guardShared
)

// crashPool is a Transport to engines that end under crashing requests and are restarted.
type crashPool struct {
	mu      sync.Mutex
	engines []*crashEngine
	states  []*fleet.State
	ends    int
	// runs holds the start times of the crashing request.
	runs []time.Time
}

// crashEngine is one engine; each start of it has its own ID.
type crashEngine struct {
	start int
	name  string
	// alive is canceled when the current start ends.
	alive context.Context
	crash context.CancelFunc
	// listed is the ID under which the engine is listed; empty if it is not listed.
	listed string
}

func (e *crashEngine) id() string { return fmt.Sprintf("%s.%d", e.name, e.start) }

func newCrashPool() *crashPool {
	p := &crashPool{}
	for i := range poolEngines {
		engine := &crashEngine{name: fmt.Sprint("engine-", i)}
		engine.alive, engine.crash = context.WithCancel(context.Background())
		engine.listed = engine.id()
		p.engines = append(p.engines, engine)
	}
	route := routing.Route{Host: "h", Prefix: "/", Kind: routing.KindIdempotent, Targets: []routing.Target{{Service: "s", Weight: 1}}, MaxAttempts: 2, LatencyObjective: 150 * time.Millisecond}
	for range poolGateways {
		state := fleet.NewState()
		state.SetRoutes(routing.NewTable(1, []routing.Route{route}, nil, routing.Limits{}))
		p.states = append(p.states, state)
	}
	p.publish()
	return p
}

// publish sends the engine list to all gateways. The mutex must be held, or the pool not yet shared.
func (p *crashPool) publish() {
	var listed []*fleet.Engine
	for _, engine := range p.engines {
		if engine.listed != "" {
			listed = append(listed, &fleet.Engine{ID: engine.listed, Service: "s", Address: engine.name, Slots: 6, Ready: true})
		}
	}
	for _, state := range p.states {
		state.SetEngineList(listed)
	}
}

func (p *crashPool) find(listed *fleet.Engine) (engine *crashEngine, alive context.Context) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, engine := range p.engines {
		if engine.name == listed.Address {
			return engine, engine.alive
		}
	}
	panic("engine is not in the pool")
}

// Send implements Transport.
func (p *crashPool) Send(ctx context.Context, listed *fleet.Engine, request *Request, _ SendOptions) (*Answer, error) {
	engine, alive := p.find(listed)
	if alive.Err() != nil {
		return nil, ErrNotSent
	}
	if listed.ID != engine.id() {
		return &Answer{NotRun: true, Misdirected: true, Body: http.NoBody}, nil
	}
	work := lookupWork
	switch request.Target {
	case "/crash":
		p.mu.Lock()
		p.runs = append(p.runs, time.Now())
		p.mu.Unlock()
		time.AfterFunc(crashAfter, func() { p.end(engine, alive) })
		work = time.Hour
	case "/reward":
		work = rewardWork
	}
	return workOn(ctx, alive, work)
}

// workOn responds after the given time, unless the engine or the caller ends first.
func workOn(ctx, alive context.Context, work time.Duration) (*Answer, error) {
	timer := time.NewTimer(work)
	defer timer.Stop()
	select {
	case <-timer.C:
		return answer(http.StatusOK, "done"), nil
	case <-alive.Done():
		return nil, ErrConnectionBroken
	case <-ctx.Done():
		return nil, ErrLost
	}
}

// Probe implements quarantine.Prober.
func (p *crashPool) Probe(_ context.Context, listed *fleet.Engine) quarantine.Evidence {
	if _, alive := p.find(listed); alive.Err() != nil {
		return quarantine.EngineExited
	}
	return quarantine.EngineListening
}

// end ends a start of an engine and schedules its restart.
func (p *crashPool) end(engine *crashEngine, alive context.Context) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if alive.Err() != nil {
		return
	}
	p.ends++
	engine.crash()
	ended := engine.id()
	time.AfterFunc(engineAway, func() {
		p.change(func() { engine.start++; engine.alive, engine.crash = context.WithCancel(context.Background()) })
	})
	time.AfterFunc(engineAway+listDelay, func() { p.change(func() { engine.listed = engine.id() }) })
	time.AfterFunc(delistDelay, func() {
		p.change(func() {
			if engine.listed == ended {
				engine.listed = ""
			}
		})
	})
}

func (p *crashPool) change(do func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	do()
	p.publish()
}

// crashStats are the results of one simulation.
type crashStats struct {
	ends int
	// late counts the runs of the crashing request later than 3 s after the third end.
	late int
	// served, failed and refused count the other requests by their last attempt; refusedHeld counts those refused as quarantined.
	served, failed, refused, refusedHeld int
	// delayed counts the requests that took longer than 150 ms.
	delayed int
}

// simulateCrashes sends a crashing request to random gateways, among lookups and reward calls.
func simulateCrashes(mode guardMode, seed uint64) crashStats {
	random := rand.New(rand.NewPCG(seed, 1))
	pool := newCrashPool()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	var gateways []*Forwarder
	var tables []*quarantine.Table
	for i := range poolGateways {
		forwarder := New(pool.states[i], pool, NewPicker(time.Now), log.NewNopLogger())
		table := quarantine.NewTable(time.Now)
		if mode != guardNone {
			forwarder.Guard = quarantine.NewGuard(quarantine.GuardParams{
				Table:     table,
				Detector:  quarantine.NewDetector(quarantine.DetectorParams{Prober: pool, Logger: log.NewNopLogger()}),
				CallTrial: grantFrom(table),
				Logger:    log.NewNopLogger(),
			})
		}
		gateways, tables = append(gateways, forwarder), append(tables, table)
	}
	if mode == guardShared {
		for _, table := range tables {
			running.Go(func() { shareTable(ctx, table, tables) })
		}
	}
	var mu sync.Mutex
	var stats crashStats
	send := func(target string, number int, retries int) {
		started := time.Now()
		request := &Request{ID: "r", Method: http.MethodPost, Host: "h", Target: target, Body: fmt.Append(nil, number)}
		var result Result
		for try := range retries + 1 {
			mu.Lock()
			gateway := gateways[random.IntN(len(gateways))]
			mu.Unlock()
			result = gateway.Do(ctx, gateway.state.View().Routes.Match("h", target), request, boottime.Now().Add(800*time.Millisecond))
			if result.Outcome == Completed || target == "/crash" && try == 0 {
				break
			}
			pause.For(ctx, max(result.RetryAfter, 100*time.Millisecond))
		}
		mu.Lock()
		defer mu.Unlock()
		if target == "/crash" {
			return
		}
		stats.count(result, time.Since(started))
	}
	running.Go(func() {
		callEvery(ctx, time.Second/lookupsPerSecond, func(n int) { running.Go(func() { send("/lookup", n, 1) }) })
	})
	running.Go(func() {
		callEvery(ctx, time.Second/rewardsPerSecond, func(n int) { running.Go(func() { send("/reward", n, 8) }) })
	})
	for range crashingRequests {
		pause.For(ctx, crashingPause)
		running.Go(func() { send("/crash", 0, 0) })
	}
	pause.For(ctx, 2*engineAway)
	cancel()
	running.Wait()
	stats.ends = pool.ends
	if len(pool.runs) >= 3 {
		for _, run := range pool.runs {
			if run.After(pool.runs[2].Add(crashAfter + 3*time.Second)) {
				stats.late++
			}
		}
	}
	return stats
}

func (f *crashStats) count(result Result, took time.Duration) {
	switch {
	case result.Outcome == Completed:
		f.served++
	case result.Reason == ReasonHeld:
		f.refusedHeld++
		f.refused++
	case result.Outcome == NotRun:
		f.refused++
	default:
		f.failed++
	}
	if took > 150*time.Millisecond {
		f.delayed++
	}
}

// grantFrom grants trials from one table, as the coordinator does from its own.
func grantFrom(table *quarantine.Table) func(context.Context, quarantine.TrialRequest) (quarantine.TrialReply, error) {
	return func(_ context.Context, request quarantine.TrialRequest) (quarantine.TrialReply, error) {
		wait := table.Status(request.Known.Fingerprint).Wait
		if wait == 0 {
			table.RecordTrial(request.Known.Fingerprint)
		}
		return quarantine.TrialReply{Leading: true, Granted: wait == 0, Wait: wait}, nil
	}
}

// shareTable merges the findings of one gateway into the tables of the others.
func shareTable(ctx context.Context, table *quarantine.Table, all []*quarantine.Table) {
	var cursor quarantine.Cursor
	for ctx.Err() == nil {
		found, changed := table.LocalSince(cursor)
		cursor = found.Cursor
		if len(found.Records) > 0 {
			pause.For(ctx, syncDelay)
			for _, other := range all {
				other.Merge(found.Records)
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func callEvery(ctx context.Context, length time.Duration, do func(n int)) {
	for n := 0; ctx.Err() == nil; n++ {
		do(n)
		pause.For(ctx, length)
	}
}

// TestCrashingRequestAtManyGateways guards against a crashing request that ends engines at one gateway after another because gateways do not
// share what they observed.
func TestCrashingRequestAtManyGateways(t *testing.T) {
	modes := map[guardMode]string{guardNone: "no guard", guardLocal: "each gateway alone", guardShared: "shared"}
	totals := make(map[guardMode]crashStats)
	for seed := range uint64(10) {
		for mode := range modes {
			synctest.Test(t, func(t *testing.T) {
				stats := simulateCrashes(mode, seed)
				if mode == guardShared && (stats.ends > 5 || stats.late > 3) {
					t.Errorf("seed %d: %d engines ended, %d runs later than 3 s after the third end", seed, stats.ends, stats.late)
				}
				if mode == guardShared && stats.refusedHeld > 0 {
					t.Errorf("seed %d: %d requests of others were refused as held", seed, stats.refusedHeld)
				}
				total := totals[mode]
				total.add(stats)
				totals[mode] = total
			})
		}
	}
	for mode, name := range modes {
		t.Logf("%s: %+v", name, totals[mode])
	}
}

func (f *crashStats) add(other crashStats) {
	f.ends += other.ends
	f.late += other.late
	f.served += other.served
	f.failed += other.failed
	f.refused += other.refused
	f.refusedHeld += other.refusedHeld
	f.delayed += other.delayed
}
