package forward

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/covelink/covelink/internal/boottime"
	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/pause"
	"github.com/covelink/covelink/internal/routing"
)

// Engines of the overloaded pool process engineSlots requests concurrently, queue engineQueue more, and crash under too many sends a second,
// refused ones included.
const (
	overloadEngineCount, engineSlots, engineQueue = 4, 6, 24
	// restartTime is how long the restart of a crashed engine takes, and coldTime how long it is cold afterwards.
	restartTime, coldTime = 3 * time.Second, 4 * time.Second
	// coldRate is the rate, per second, that a cold engine serves. It refuses more, and crashes above coldCrashRate. A warm one crashes above
	// warmCrashRate, twice the reward calls that six slots serve a second.
	coldRate, coldCrashRate, warmCrashRate = 3, 9, 150
)

// overloadPool is a Transport to engines that crash under load, and a Quota for them.
type overloadPool struct {
	mu      sync.Mutex
	engines []*overloadEngine
	states  []*fleet.State
	stats   poolStats
}

// poolStats counts the sends to the engines.
type poolStats struct{ sends, refused, dials, crashes int }

// overloadEngine is one engine; each start of it has its own ID.
type overloadEngine struct {
	name      string
	start     int
	alive     context.Context
	stop      context.CancelFunc
	coldUntil time.Time
	// nextGrant is when a cold engine may be sent its next request.
	nextGrant time.Time
	load      int
	slots     chan struct{}
	arrivals  []time.Time
}

func (e *overloadEngine) id() string { return fmt.Sprintf("%s.%d", e.name, e.start) }

func newOverloadPool(gateways int, table *routing.Table) *overloadPool {
	p := &overloadPool{}
	for i := range overloadEngineCount {
		engine := &overloadEngine{name: fmt.Sprint("engine-", i), slots: make(chan struct{}, engineSlots)}
		engine.alive, engine.stop = context.WithCancel(context.Background())
		p.engines = append(p.engines, engine)
	}
	for range gateways {
		state := fleet.NewState()
		state.SetRoutes(table)
		p.states = append(p.states, state)
	}
	p.publish()
	return p
}

// publish sends the engine list to all gateways. The mutex must be held, or the pool not yet shared.
func (p *overloadPool) publish() {
	var listed []*fleet.Engine
	for _, engine := range p.engines {
		listed = append(listed, &fleet.Engine{ID: engine.id(), Service: "s", Address: engine.name, Slots: engineSlots, Ready: true})
	}
	for _, state := range p.states {
		state.SetEngineList(listed)
	}
}

// crashNumber crashes the engine with the given index.
func (p *overloadPool) crashNumber(number int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.crash(p.engines[number])
}

// crash ends an engine and schedules its restart. The mutex must be held.
func (p *overloadPool) crash(engine *overloadEngine) {
	p.stats.crashes++
	engine.stop()
	time.AfterFunc(restartTime, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		engine.start++
		engine.alive, engine.stop = context.WithCancel(context.Background())
		engine.load, engine.arrivals = 0, nil
		engine.slots = make(chan struct{}, engineSlots)
		engine.coldUntil = time.Now().Add(coldTime)
		p.publish()
	})
}

// Cold implements Quota.
func (p *overloadPool) Cold(listed *fleet.Engine) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	engine := p.find(listed)
	return engine.id() == listed.ID && time.Now().Before(engine.coldUntil)
}

// Acquire implements Quota: each cold engine receives at most coldRate sends a second from all gateways together.
func (p *overloadPool) Acquire(ctx context.Context, engines []*fleet.Engine, _ routing.Rank, until time.Time) *fleet.Engine {
	granted, at := p.reserve(engines, until)
	if granted == nil {
		return nil
	}
	pause.For(ctx, time.Until(at))
	if ctx.Err() != nil {
		return nil
	}
	return granted
}

// reserve returns the engine with the earliest free grant, if that is in time, and when it is free.
func (p *overloadPool) reserve(engines []*fleet.Engine, until time.Time) (granted *fleet.Engine, at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var free *overloadEngine
	for _, listed := range engines {
		if engine := p.find(listed); free == nil || engine.nextGrant.Before(at) {
			free, granted, at = engine, listed, engine.nextGrant
		}
	}
	if now := time.Now(); at.Before(now) {
		at = now
	}
	if boottime.Now().Add(time.Until(at)).After(until) {
		return nil, at
	}
	free.nextGrant = at.Add(time.Second / coldRate)
	return granted, at
}

// find returns the engine of a list entry. The mutex must be held.
func (p *overloadPool) find(listed *fleet.Engine) *overloadEngine {
	for _, engine := range p.engines {
		if engine.name == listed.Address {
			return engine
		}
	}
	panic("engine is not in the pool")
}

// arrive records a send. It queues the request unless it returns a refusal or an error.
func (p *overloadPool) arrive(listed *fleet.Engine) (engine *overloadEngine, alive context.Context, refusal *Answer, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	engine = p.find(listed)
	if engine.alive.Err() != nil {
		p.stats.dials++
		return nil, nil, nil, ErrNotSent
	}
	p.stats.sends++
	if listed.ID != engine.id() {
		p.stats.refused++
		return nil, nil, &Answer{NotRun: true, Misdirected: true, Body: http.NoBody}, nil
	}
	if p.overloads(engine) {
		p.crash(engine)
		return nil, nil, nil, ErrConnectionBroken
	}
	tooCold := time.Now().Before(engine.coldUntil) && len(engine.arrivals) > coldRate
	if tooCold || engine.load >= engineSlots+engineQueue {
		p.stats.refused++
		return nil, nil, &Answer{Status: http.StatusServiceUnavailable, NotRun: true, Body: http.NoBody}, nil
	}
	engine.load++
	return engine, engine.alive, nil, nil
}

// overloads counts a send and reports whether it crashes the engine.
func (p *overloadPool) overloads(engine *overloadEngine) bool {
	now := time.Now()
	engine.arrivals = append(engine.arrivals, now)
	for now.Sub(engine.arrivals[0]) > time.Second {
		engine.arrivals = engine.arrivals[1:]
	}
	if now.Before(engine.coldUntil) {
		return len(engine.arrivals) > coldCrashRate
	}
	return len(engine.arrivals) > warmCrashRate
}

// Send implements Transport.
func (p *overloadPool) Send(ctx context.Context, listed *fleet.Engine, request *Request, _ SendOptions) (*Answer, error) {
	engine, alive, refusal, err := p.arrive(listed)
	if refusal != nil || err != nil {
		return refusal, err
	}
	slots := engine.slots
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if alive.Err() == nil {
			engine.load--
		}
	}()
	select {
	case slots <- struct{}{}:
		defer func() { <-slots }()
	case <-alive.Done():
		return nil, ErrConnectionBroken
	case <-ctx.Done():
		return nil, ErrLost
	}
	work := lookupWork
	if request.Target == "/reward" {
		work = rewardWork
	}
	return workOn(ctx, alive, work)
}
