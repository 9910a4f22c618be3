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

// The pool is one of four engines whose lookups take 25 ms and whose reward calls take 80 ms, at seven gateways.
const (
	poolGateways, poolEngines = 7, 4
	// crashAfter is how long an engine runs a crashing request before it ends, and engineAway how long it is away then.
	crashAfter, engineAway = 50 * time.Millisecond, 3 * time.Second
	// listDelay is how long after its start an engine is listed, and delistDelay how long after its end it is taken off.
	listDelay, delistDelay = 500 * time.Millisecond, 3600 * time.Millisecond
	lookupWork, rewardWork = 25 * time.Millisecond, 80 * time.Millisecond
	lookupsPerSecond       = 6
	rewardsPerSecond       = 40
	// tellDelay is how long one gateway's findings take to reach the others.
	tellDelay = 10 * time.Millisecond
	// crashingTries is how often the crashing request comes, every crashingPause.
	crashingTries = 24
	crashingPause = 500 * time.Millisecond
)

// way is how much the gateways know of requests under which engines have ended.
type way int

const (
	wayNothing way = iota
	// wayAlone: each gateway knows what it has seen itself.
	wayAlone
	// wayShared: each knows what all have seen.
	wayShared
)

// crashPool is a Transport to engines that end under crashing requests, and are started again.
type crashPool struct {
	mu      sync.Mutex
	engines []*crashEngine
	states  []*fleet.State
	ends    int
	// runs are those of the crashing request, by when they began.
	runs []time.Time
}

// crashEngine is one engine; each start of it has its own ID.
type crashEngine struct {
	start int
	name  string
	// alive ends with the start; it has ended while the engine is away.
	alive context.Context
	crash context.CancelFunc
	// listed is the ID under which it is on the list; empty if it is not.
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
	p.tell()
	return p
}

// tell shows the list to all gateways. The mutex must be held, or nobody else use the pool.
func (p *crashPool) tell() {
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
	panic("no such engine")
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

// workOn answers after the time that the work takes, unless the engine or the caller ends first.
func workOn(ctx, alive context.Context, work time.Duration) (*Answer, error) {
	timer := time.NewTimer(work)
	defer timer.Stop()
	select {
	case <-timer.C:
		return answer(http.StatusOK, "done"), nil
	case <-alive.Done():
		return nil, ErrBroken
	case <-ctx.Done():
		return nil, ErrLost
	}
}

// Probe implements quarantine.Prober.
func (p *crashPool) Probe(_ context.Context, listed *fleet.Engine) quarantine.Evidence {
	if _, alive := p.find(listed); alive.Err() != nil {
		return quarantine.EngineEnded
	}
	return quarantine.EngineListens
}

// end ends a start of an engine, and starts it again later.
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
	p.tell()
}

// crashFigures are what a play showed.
type crashFigures struct {
	ends int
	// late are the runs of the crashing request later than 3 s after the third end.
	late int
	// served, failed and refused count the others' requests by their last try, refusedHeld those refused as held.
	served, failed, refused, refusedHeld int
	// delayed counts those that took longer than 150 ms.
	delayed int
}

// playCrashes sends a request that ends engines to gateways in turn, among lookups and reward calls.
func playCrashes(way way, seed uint64) crashFigures {
	random := rand.New(rand.NewPCG(seed, 1))
	pool := newCrashPool()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	var gateways []*Forwarder
	var tables []*quarantine.Table
	for i := range poolGateways {
		forwarder := New(pool.states[i], pool, NewPicker(time.Now), log.NewNopLogger())
		table := quarantine.NewTable(time.Now)
		if way != wayNothing {
			forwarder.Guard = quarantine.NewGuard(quarantine.GuardParams{
				Table:    table,
				Detector: quarantine.NewDetector(quarantine.DetectorParams{Prober: pool, Logger: log.NewNopLogger()}),
				Ask:      grantFrom(table),
				Logger:   log.NewNopLogger(),
			})
		}
		gateways, tables = append(gateways, forwarder), append(tables, table)
	}
	if way == wayShared {
		for _, table := range tables {
			running.Go(func() { shareTable(ctx, table, tables) })
		}
	}
	var mu sync.Mutex
	var figures crashFigures
	play := func(target string, number int, retries int) {
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
		figures.count(result, time.Since(started))
	}
	running.Go(func() {
		everyPause(ctx, time.Second/lookupsPerSecond, func(n int) { running.Go(func() { play("/lookup", n, 1) }) })
	})
	running.Go(func() {
		everyPause(ctx, time.Second/rewardsPerSecond, func(n int) { running.Go(func() { play("/reward", n, 8) }) })
	})
	for range crashingTries {
		pause.For(ctx, crashingPause)
		running.Go(func() { play("/crash", 0, 0) })
	}
	pause.For(ctx, 2*engineAway)
	cancel()
	running.Wait()
	figures.ends = pool.ends
	if len(pool.runs) >= 3 {
		for _, run := range pool.runs {
			if run.After(pool.runs[2].Add(crashAfter + 3*time.Second)) {
				figures.late++
			}
		}
	}
	return figures
}

func (f *crashFigures) count(result Result, took time.Duration) {
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

// grantFrom grants trials from one table, as the coordinating process does from its own.
func grantFrom(table *quarantine.Table) func(context.Context, quarantine.Record) (quarantine.TrialReply, error) {
	return func(_ context.Context, known quarantine.Record) (quarantine.TrialReply, error) {
		wait := table.Status(known.Fingerprint).Wait
		if wait == 0 {
			table.NoteTrial(known.Fingerprint)
		}
		return quarantine.TrialReply{Leading: true, Granted: wait == 0, Wait: wait}, nil
	}
}

// shareTable tells the other gateways what one finds out.
func shareTable(ctx context.Context, table *quarantine.Table, all []*quarantine.Table) {
	var cursor quarantine.Cursor
	for ctx.Err() == nil {
		found, changed := table.Found(cursor)
		cursor = found.Cursor
		if len(found.Records) > 0 {
			pause.For(ctx, tellDelay)
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

func everyPause(ctx context.Context, length time.Duration, do func(n int)) {
	for n := 0; ctx.Err() == nil; n++ {
		do(n)
		pause.For(ctx, length)
	}
}

// A request that ends each engine that begins to run it comes to seven gateways in turn, 24 times in 12 s. Without a guard it ends engines for
// as long as it comes; what each gateway knows alone grows with the number of gateways; only what they tell each other bounds it.
func TestCrashingRequestAtManyGateways(t *testing.T) {
	ways := map[way]string{wayNothing: "no guard", wayAlone: "each gateway alone", wayShared: "shared"}
	totals := make(map[way]crashFigures)
	for seed := range uint64(10) {
		for way := range ways {
			synctest.Test(t, func(t *testing.T) {
				figures := playCrashes(way, seed)
				if way == wayShared && (figures.ends > 5 || figures.late > 3) {
					t.Errorf("seed %d: %d engines ended, %d runs later than 3 s after the third end", seed, figures.ends, figures.late)
				}
				if way == wayShared && figures.refusedHeld > 0 {
					t.Errorf("seed %d: %d requests of others were refused as held", seed, figures.refusedHeld)
				}
				total := totals[way]
				total.add(figures)
				totals[way] = total
			})
		}
	}
	for way, name := range ways {
		t.Logf("%s: %+v", name, totals[way])
	}
}

func (f *crashFigures) add(other crashFigures) {
	f.ends += other.ends
	f.late += other.late
	f.served += other.served
	f.failed += other.failed
	f.refused += other.refused
	f.refusedHeld += other.refusedHeld
	f.delayed += other.delayed
}
