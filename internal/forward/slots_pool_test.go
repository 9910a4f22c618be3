package forward

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"

	"github.com/covelink/covelink/internal/boottime"
	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/pause"
	"github.com/covelink/covelink/internal/routing"
)

// slotsPool is a Transport to engines that refuse requests beyond their slots and may report their load.
type slotsPool struct {
	mu      sync.Mutex
	engines map[string]*slotsEngine
	// reports is true if the engines send their load with answers and refusals.
	reports bool
	random  *rand.Rand
	// sends and refused count the requests that reached engines, and those that engines refused.
	sends, refused int
}

// slotsEngine is one engine.
type slotsEngine struct {
	slots, running int
	// pace is the time that work takes, in percent of usual.
	pace float64
	// lying engines report free slots whatever they do, and refuse everything.
	lying bool
	// served counts the requests that it executed.
	served int
}

func newSlotsPool(engines, slots int, reports bool, seed uint64) *slotsPool {
	p := &slotsPool{engines: make(map[string]*slotsEngine), reports: reports, random: rand.New(rand.NewPCG(seed, 9))}
	for i := range engines {
		p.engines[fmt.Sprint("engine-", i)] = &slotsEngine{slots: slots, pace: 100}
	}
	return p
}

func (p *slotsPool) list() []*fleet.Engine {
	var listed []*fleet.Engine
	for id, engine := range p.engines {
		listed = append(listed, &fleet.Engine{ID: id, Service: "s", Slots: engine.slots, Ready: true})
	}
	return listed
}

// gateway returns a new gateway of the pool.
func (p *slotsPool) gateway(table *routing.Table) *Forwarder {
	state := fleet.NewState()
	state.SetRoutes(table)
	state.SetEngineList(p.list())
	return New(state, p, NewPicker(time.Now), log.NewNopLogger())
}

// load returns what an engine reports. The mutex must be held.
func (p *slotsPool) load(engine *slotsEngine) *EngineLoad {
	switch {
	case !p.reports:
		return nil
	case engine.lying:
		return &EngineLoad{Slots: engine.slots, Pace: 100}
	}
	return &EngineLoad{Running: engine.running, Slots: engine.slots, Pace: engine.pace}
}

// Send implements Transport. Work takes 50 to 110 ms at the usual pace.
func (p *slotsPool) Send(ctx context.Context, listed *fleet.Engine, _ *Request, _ SendOptions) (*Answer, error) {
	p.mu.Lock()
	engine := p.engines[listed.ID]
	p.sends++
	if engine.lying || engine.running >= engine.slots {
		p.refused++
		defer p.mu.Unlock()
		return &Answer{Status: http.StatusServiceUnavailable, NotRun: true, Load: p.load(engine), Body: http.NoBody}, nil
	}
	engine.running++
	work := time.Duration((50 + 60*p.random.Float64()) * engine.pace / 100 * float64(time.Millisecond))
	p.mu.Unlock()
	pause.For(ctx, work)
	p.mu.Lock()
	defer p.mu.Unlock()
	engine.served++
	done := answer(http.StatusOK, "done")
	done.Load = p.load(engine)
	engine.running--
	if ctx.Err() != nil {
		return nil, ErrLost
	}
	return done, nil
}

// tenantStats are the results of one tenant's requests.
type tenantStats struct {
	served, refused int
	took            []time.Duration
}

func (s *tenantStats) refusedShare() float64 {
	return float64(s.refused) / float64(max(s.served+s.refused, 1))
}

// percentile returns the time within which a share of the served requests were served.
func (s *tenantStats) percentile(share float64) time.Duration {
	if len(s.took) == 0 {
		return 0
	}
	slices.Sort(s.took)
	return s.took[int(share*float64(len(s.took)-1))]
}

func (s *tenantStats) String() string {
	return fmt.Sprintf("%d served, %d refused (%.1f%%), half within %v, 95%% within %v", s.served, s.refused, 100*s.refusedShare(),
		s.percentile(0.5).Round(time.Millisecond), s.percentile(0.95).Round(time.Millisecond))
}

// tenantLoad is the load that a tenant puts on the gateways.
type tenantLoad struct {
	tenant    string
	perSecond float64
	// from and length are when the load begins and how long it lasts.
	from, length time.Duration
	queueTimeout time.Duration
}

// play sends the tenants' requests to random gateways and returns the results by tenant. Refused requests are not repeated.
func (p *slotsPool) play(ctx context.Context, gateways []*Forwarder, seed uint64, loads ...tenantLoad) map[string]*tenantStats {
	var running sync.WaitGroup
	var mu sync.Mutex
	results := make(map[string]*tenantStats)
	for number, load := range loads {
		random := rand.New(rand.NewPCG(seed, uint64(number)))
		if results[load.tenant] == nil {
			results[load.tenant] = &tenantStats{}
		}
		stats := results[load.tenant]
		send := func(gateway *Forwarder) {
			began := time.Now()
			request := &Request{ID: "r", Method: http.MethodPost, Host: "h", Target: "/", Tenant: load.tenant, QueueTimeout: load.queueTimeout}
			result := gateway.Do(ctx, gateway.state.View().Routes.Match("h", "/"), request, boottime.Now().Add(3*time.Second))
			mu.Lock()
			defer mu.Unlock()
			if result.Outcome != Completed {
				stats.refused++
				return
			}
			stats.served++
			stats.took = append(stats.took, time.Since(began))
		}
		running.Go(func() {
			pause.For(ctx, load.from)
			for began := time.Now(); time.Since(began) < load.length; {
				gateway := gateways[random.IntN(len(gateways))]
				running.Go(func() { send(gateway) })
				pause.For(ctx, time.Duration(random.ExpFloat64()*float64(time.Second)/load.perSecond))
			}
		})
	}
	running.Wait()
	return results
}

// slotsTable returns the table of one route with a latency objective.
func slotsTable(objective time.Duration) *routing.Table {
	route := routing.Route{Host: "h", Prefix: "/", Kind: routing.KindIdempotent, Targets: []routing.Target{{Service: "s", Weight: 1}}, MaxAttempts: 2, LatencyObjective: objective}
	return routing.NewTable(1, []routing.Route{route}, nil, routing.Limits{})
}
