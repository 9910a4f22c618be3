package sim

import (
	"slices"
	"time"

	"github.com/covelink/covelink/internal/dispatch"
	"github.com/covelink/covelink/internal/scheduler"
)

// shape takes out of a request what the policy does not look at.
func (p Policy) shape(item *scheduler.Item, request *scheduler.Request) {
	if p.NoAffinity {
		request.PrefixKey = 0
	}
	if p.FIFO {
		item.Interactive = false
		item.Caller = ""
		item.Weight = 1
		item.Rank = 0
		item.Tokens = 1
	}
}

// newPlacer returns the placer of a baseline, or nil for the product's own.
func newPlacer(kind PlacementKind) dispatch.Placer {
	switch kind {
	case PlacementRoundRobin:
		return &baselinePlacer{choose: roundRobin}
	case PlacementLeastLoaded:
		return &baselinePlacer{choose: leastLoaded}
	case PlacementFirstFree:
		return &baselinePlacer{choose: firstFree}
	}
	return nil
}

// baselinePlacer keeps the hard rules of the product and chooses among what they leave in a simple way.
type baselinePlacer struct {
	free []int
	// last is the engine chosen last, by pool.
	last   map[string]int
	choose func(p *baselinePlacer, snapshot *scheduler.Snapshot, request *scheduler.Request) int
}

// Place implements dispatch.Placer.
func (p *baselinePlacer) Place(now time.Time, snapshot *scheduler.Snapshot, request *scheduler.Request) scheduler.Decision {
	decision := p.Evaluate(now, snapshot, request)
	if decision.Kind == scheduler.Placed {
		if p.last == nil {
			p.last = make(map[string]int)
		}
		p.last[request.Pool] = decision.Engine
		snapshot.States[decision.Engine].Reserve(now, request.Interactive)
	}
	return decision
}

// Evaluate implements dispatch.Placer.
func (p *baselinePlacer) Evaluate(now time.Time, snapshot *scheduler.Snapshot, request *scheduler.Request) scheduler.Decision {
	p.free = p.free[:0]
	limit := scheduler.SlotLimit(snapshot.View.Pools[request.Pool].Spec.MaxConcurrent, 0, true)
	known := false
	for index := range snapshot.View.Engines {
		engine, state := &snapshot.View.Engines[index], snapshot.States[index]
		if engine.Pool != request.Pool || engine.Leaving || engine.Incarnation == "" ||
			!snapshot.View.Permitted(engine.Pool, engine.Zone) || slices.Contains(request.Avoid, engine.Name) {
			continue
		}
		known = true
		if state.Usable(now) && state.InFlight < limit && state.Version >= request.MinVersion {
			p.free = append(p.free, index)
		}
	}
	switch {
	case len(p.free) > 0:
		return scheduler.Decision{Kind: scheduler.Placed, Engine: p.choose(p, snapshot, request)}
	case known:
		return scheduler.Decision{Kind: scheduler.Wait, Engine: -1, Reason: scheduler.FilterFull}
	}
	return scheduler.Decision{Kind: scheduler.Refuse, Engine: -1, Reason: scheduler.FilterPool, RetryAfter: time.Second}
}

func roundRobin(p *baselinePlacer, _ *scheduler.Snapshot, request *scheduler.Request) int {
	last, ok := p.last[request.Pool]
	if !ok {
		return p.free[0]
	}
	at, _ := slices.BinarySearch(p.free, last+1)
	return p.free[at%len(p.free)]
}

func leastLoaded(p *baselinePlacer, snapshot *scheduler.Snapshot, _ *scheduler.Request) int {
	best := p.free[0]
	for _, index := range p.free[1:] {
		if snapshot.States[index].InFlight < snapshot.States[best].InFlight {
			best = index
		}
	}
	return best
}

func firstFree(p *baselinePlacer, _ *scheduler.Snapshot, _ *scheduler.Request) int { return p.free[0] }
