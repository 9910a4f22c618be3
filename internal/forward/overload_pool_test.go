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

// The engines of the overloaded pool: each works on fallSlots requests at once, queues fallQueue more, and crashes under too many sends a second,
// refused ones included.
const (
	fallEngines, fallSlots, fallQueue = 4, 6, 24
	// fallAway is how long an engine that crashed is away, and fallCold how long it is cold then.
	fallAway, fallCold = 3 * time.Second, 4 * time.Second
	// coldRate is how many requests a second a cold engine serves. It refuses more, and crashes under more than coldFalls. A warm one crashes under
	// more than warmFalls, twice the reward calls that six slots serve a second.
	coldRate, coldFalls, warmFalls = 3, 9, 150
)

// fallPool is a Transport to engines that crash under load, and a Quota for them.
type fallPool struct {
	mu      sync.Mutex
	engines []*fallEngine
	states  []*fleet.State
	figures poolFigures
}

// poolFigures count what reached the engines.
type poolFigures struct{ sends, refused, dials, falls int }

// fallEngine is one engine; each start of it has its own ID.
type fallEngine struct {
	name      string
	start     int
	alive     context.Context
	fall      context.CancelFunc
	coldUntil time.Time
	// nextGrant is when a cold engine may be sent the next request.
	nextGrant time.Time
	load      int
	slots     chan struct{}
	arrivals  []time.Time
}

func (e *fallEngine) id() string { return fmt.Sprintf("%s.%d", e.name, e.start) }

func newFallPool(gateways int, table *routing.Table) *fallPool {
	p := &fallPool{}
	for i := range fallEngines {
		engine := &fallEngine{name: fmt.Sprint("engine-", i), slots: make(chan struct{}, fallSlots)}
		engine.alive, engine.fall = context.WithCancel(context.Background())
		p.engines = append(p.engines, engine)
	}
	for range gateways {
		state := fleet.NewState()
		state.SetRoutes(table)
		p.states = append(p.states, state)
	}
	p.tell()
	return p
}

// tell shows the list to all gateways. The mutex must be held, or nobody else use the pool.
func (p *fallPool) tell() {
	var listed []*fleet.Engine
	for _, engine := range p.engines {
		listed = append(listed, &fleet.Engine{ID: engine.id(), Service: "s", Address: engine.name, Slots: fallSlots, Ready: true})
	}
	for _, state := range p.states {
		state.SetEngineList(listed)
	}
}

// crashNumber crashes the engine of a number.
func (p *fallPool) crashNumber(number int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.crash(p.engines[number])
}

// crash ends an engine, and starts it again later. The mutex must be held.
func (p *fallPool) crash(engine *fallEngine) {
	p.figures.falls++
	engine.fall()
	time.AfterFunc(fallAway, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		engine.start++
		engine.alive, engine.fall = context.WithCancel(context.Background())
		engine.load, engine.arrivals = 0, nil
		engine.slots = make(chan struct{}, fallSlots)
		engine.coldUntil = time.Now().Add(fallCold)
		p.tell()
	})
}

// Cold implements Quota.
func (p *fallPool) Cold(listed *fleet.Engine) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	engine := p.find(listed)
	return engine.id() == listed.ID && time.Now().Before(engine.coldUntil)
}

// Acquire implements Quota: all gateways together get coldRate sends a second for each cold engine.
func (p *fallPool) Acquire(ctx context.Context, engines []*fleet.Engine, _ routing.Rank, until time.Time) *fleet.Engine {
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

// reserve returns the engine that is free first, if that is in time, and the moment from which it is.
func (p *fallPool) reserve(engines []*fleet.Engine, until time.Time) (granted *fleet.Engine, at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var free *fallEngine
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

// find returns the engine of an entry. The mutex must be held.
func (p *fallPool) find(listed *fleet.Engine) *fallEngine {
	for _, engine := range p.engines {
		if engine.name == listed.Address {
			return engine
		}
	}
	panic("no such engine")
}

// arrive records a send. The request is in the engine's queue unless there is a refusal or an error.
func (p *fallPool) arrive(listed *fleet.Engine) (engine *fallEngine, alive context.Context, refusal *Answer, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	engine = p.find(listed)
	if engine.alive.Err() != nil {
		p.figures.dials++
		return nil, nil, nil, ErrNotSent
	}
	p.figures.sends++
	if listed.ID != engine.id() {
		p.figures.refused++
		return nil, nil, &Answer{NotRun: true, Misdirected: true, Body: http.NoBody}, nil
	}
	if p.overloads(engine) {
		p.crash(engine)
		return nil, nil, nil, ErrBroken
	}
	tooCold := time.Now().Before(engine.coldUntil) && len(engine.arrivals) > coldRate
	if tooCold || engine.load >= fallSlots+fallQueue {
		p.figures.refused++
		return nil, nil, &Answer{Status: http.StatusServiceUnavailable, NotRun: true, Body: http.NoBody}, nil
	}
	engine.load++
	return engine, engine.alive, nil, nil
}

// overloads counts a send, and reports whether the engine crashes under it.
func (p *fallPool) overloads(engine *fallEngine) bool {
	now := time.Now()
	engine.arrivals = append(engine.arrivals, now)
	for now.Sub(engine.arrivals[0]) > time.Second {
		engine.arrivals = engine.arrivals[1:]
	}
	if now.Before(engine.coldUntil) {
		return len(engine.arrivals) > coldFalls
	}
	return len(engine.arrivals) > warmFalls
}

// Send implements Transport.
func (p *fallPool) Send(ctx context.Context, listed *fleet.Engine, request *Request, _ SendOptions) (*Answer, error) {
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
		return nil, ErrBroken
	case <-ctx.Done():
		return nil, ErrLost
	}
	work := lookupWork
	if request.Target == "/reward" {
		work = rewardWork
	}
	return workOn(ctx, alive, work)
}
