package weights

import (
	"slices"
	"time"

	"github.com/covelink/covelink/api/enginev1"
	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/cluster"
)

// Copy is a version that an engine is loading beside the one that serves.
type Copy struct {
	Version int64
	// Source is the base URL of the engine it is copied from; empty means the weight store.
	Source string
}

// EngineState is one engine of the zone as the planner sees it.
type EngineState struct {
	cluster.Engine
	// Observed is false until the engine has reported in its current incarnation; it gets no orders before.
	Observed bool
	// Draining is the engine's own report; DrainOrdered is true when it follows an order and may be undone.
	Draining     bool
	DrainOrdered bool
	// Copy is the load in progress, nil for none.
	Copy *Copy
	// StoreNext is true when the last copy from another engine failed: the weight store is next.
	StoreNext bool
	// Busy is true while an order is in flight.
	Busy bool
	// Activating is true while an activation is in flight or its outcome is unknown.
	Activating bool
	// RetryAt is the earliest time of the next order.
	RetryAt time.Time
}

// Snapshot is what one plan is made from.
type Snapshot struct {
	Now time.Time
	// Zone is the coordinator's zone and Token its fencing token.
	Zone  string
	Token uint64
	// Engines are the zone's, sorted by name; Others are those of other zones.
	Engines []EngineState
	Others  []cluster.Engine
	Pools   map[string]*v1.Pool
	// Targets holds the wanted weights by pool.
	Targets map[string]v1.WeightVersion
}

// Order is an order to one engine.
type Order struct {
	Engine string
	URL    string
	Pool   string
	enginev1.Order
}

// Plan returns the orders to send now: at most one per engine that has none in flight. It is level-triggered: each plan
// follows from the snapshot alone, so an order whose effect does not show is planned again.
func Plan(snapshot Snapshot, limits Limits) []Order {
	p := newPlanner(snapshot, limits)
	var orders []Order
	for _, engine := range snapshot.Engines {
		if p.inFlight >= limits.Orders {
			break
		}
		order, ok := p.next(engine)
		if !ok {
			continue
		}
		order.Engine, order.URL, order.Pool = engine.Name, engine.URL, engine.Pool
		order.Fence, order.Incarnation = snapshot.Token, engine.Incarnation
		orders = append(orders, order)
		p.inFlight++
	}
	return orders
}

// planner counts what is in progress, so that the orders of one plan keep the bounds together with it.
type planner struct {
	snapshot Snapshot
	limits   Limits
	inFlight int
	// storeLoads counts loads from the weight store; copies counts copies by source.
	storeLoads int
	copies     map[string]int
	// activating and serving count engines by pool.
	activating map[string]int
	serving    map[string]int
	// holders caches holdersOf by pool.
	holders map[string][]string
}

func newPlanner(snapshot Snapshot, limits Limits) *planner {
	p := &planner{
		snapshot:   snapshot,
		limits:     limits,
		copies:     make(map[string]int),
		activating: make(map[string]int),
		serving:    make(map[string]int),
		holders:    make(map[string][]string),
	}
	for _, engine := range snapshot.Engines {
		p.count(engine)
	}
	return p
}

func (p *planner) count(engine EngineState) {
	if engine.Busy {
		p.inFlight++
	}
	if !engine.Leaving {
		p.serving[engine.Pool]++
	}
	if engine.Activating && !engine.Leaving {
		// An engine that takes no new work must not hold up the others, for example one that died in its activation.
		p.activating[engine.Pool]++
	}
	if engine.Copy != nil {
		p.countCopy(engine.Copy.Source)
	}
}

func (p *planner) countCopy(source string) {
	if source == "" {
		p.storeLoads++
		return
	}
	p.copies[source]++
}

// next returns the order that brings one engine a step closer to what is wanted of it.
func (p *planner) next(engine EngineState) (Order, bool) {
	if engine.Busy || !engine.Observed || engine.Incarnation == "" || p.snapshot.Now.Before(engine.RetryAt) {
		return Order{}, false
	}
	if engine.DrainWanted != engine.Draining && (engine.DrainWanted || engine.DrainOrdered) {
		return newOrder(enginev1.Order{Kind: enginev1.OrderDrain, Drain: engine.DrainWanted})
	}
	target, wanted := p.target(engine.Pool)
	if engine.Leaving || !wanted {
		return Order{}, false
	}
	if version, ok := superseded(engine, target.Version); ok {
		return newOrder(enginev1.Order{Kind: enginev1.OrderUnload, Version: version})
	}
	if engine.ActiveVersion >= target.Version {
		return Order{}, false
	}
	if slices.Contains(engine.PreparedVersions, target.Version) {
		return p.activate(engine, target)
	}
	return p.prepare(engine, target)
}

// target returns the weights wanted of a pool's engines in this zone.
func (p *planner) target(pool string) (v1.WeightVersion, bool) {
	spec, known := p.snapshot.Pools[pool]
	if !known || !slices.Contains(spec.Spec.PermittedZones, p.snapshot.Zone) {
		return v1.WeightVersion{}, false
	}
	target, wanted := p.snapshot.Targets[pool]
	return target, wanted
}

// superseded returns a prepared version that will not be activated: one below the active version or the target.
func superseded(engine EngineState, target int64) (int64, bool) {
	for _, version := range engine.PreparedVersions {
		if version < engine.ActiveVersion || version < target {
			return version, true
		}
	}
	return 0, false
}

// activate keeps the share of the pool's engines that activate at once within its bound.
func (p *planner) activate(engine EngineState, target v1.WeightVersion) (Order, bool) {
	if p.activating[engine.Pool] >= activationBound(p.serving[engine.Pool], p.limits.ActivateShare) {
		return Order{}, false
	}
	p.activating[engine.Pool]++
	return newOrder(enginev1.Order{Kind: enginev1.OrderActivate, Version: target.Version, Digest: target.Digest})
}

func activationBound(engines int, share float64) int {
	return max(1, int(float64(engines)*share))
}

// prepare lets the engine copy from the least busy engine that holds the version. The weight store is used while no
// engine holds it, and after a copy that failed.
func (p *planner) prepare(engine EngineState, target v1.WeightVersion) (Order, bool) {
	if engine.Copy != nil && engine.Copy.Version == target.Version {
		return Order{}, false
	}
	holders, cached := p.holders[engine.Pool]
	if !cached {
		holders = p.holdersOf(engine.Pool, target.Version)
		p.holders[engine.Pool] = holders
	}
	source := ""
	if len(holders) > 0 && !engine.StoreNext {
		source = p.leastBusy(holders)
		if p.copies[source] >= p.limits.CopiesPerHolder {
			return Order{}, false
		}
	} else if p.storeLoads >= p.limits.StorePrepares {
		return Order{}, false
	}
	p.countCopy(source)
	return newOrder(enginev1.Order{
		Kind: enginev1.OrderPrepare, Version: target.Version,
		Digest: target.Digest, Location: target.Location, Source: source,
	})
}

// holdersOf returns the base URLs of the engines that hold the version: this zone's, or those of other permitted zones
// while this zone has none.
func (p *planner) holdersOf(pool string, version int64) []string {
	var urls []string
	for _, engine := range p.snapshot.Engines {
		if holds(engine.Engine, pool, version) {
			urls = append(urls, engine.URL)
		}
	}
	if len(urls) > 0 {
		return urls
	}
	permitted := p.snapshot.Pools[pool].Spec.PermittedZones
	for _, engine := range p.snapshot.Others {
		if holds(engine, pool, version) && slices.Contains(permitted, engine.Zone) {
			urls = append(urls, engine.URL)
		}
	}
	return urls
}

func holds(engine cluster.Engine, pool string, version int64) bool {
	if engine.Pool != pool || engine.Leaving {
		return false
	}
	return engine.ActiveVersion == version || slices.Contains(engine.PreparedVersions, version)
}

func (p *planner) leastBusy(urls []string) string {
	best := urls[0]
	for _, url := range urls[1:] {
		if p.copies[url] < p.copies[best] {
			best = url
		}
	}
	return best
}

func newOrder(order enginev1.Order) (Order, bool) { return Order{Order: order}, true }
