package batchrun

import (
	"container/heap"
	"math"
	"slices"
	"time"

	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/placement"
	"github.com/covelink/covelink/internal/routing"
)

const (
	// maxPrefixHolders bounds the engines recorded per prompt prefix.
	maxPrefixHolders = 16
	// speedClassFactor is the ratio of event intervals that separates two speed classes.
	speedClassFactor = 1.2
	// maxSpeedClass is the slowest speed class that items with slack are placed in. A slower engine is probably faulty.
	maxSpeedClass = 4
)

// schedulingPass caches the candidate engines of one scheduler pass in heaps, so that the cost per item does not grow with the number of engines.
type schedulingPass struct {
	runner *Runner
	view   *fleet.View
	now    time.Time
	pools  map[poolKey]*pool
}

// poolKey identifies a pool. residency is the Key of its items' residency.
type poolKey struct{ service, model, residency string }

// pool holds the engines of a service with free slots, for the items of one model and residency.
type pool struct {
	byVersion map[int64]*candidateGroup
	byID      map[string]*candidate
	key       poolKey
	// complete is true if the pool was built from all permitted engines, not a subset.
	complete    bool
	minInterval time.Duration
}

// candidateGroup holds the engines of one weight version: cheapest first for urgent items, slowest first for items with slack.
type candidateGroup struct {
	cheapest candidateHeap
	slowest  candidateHeap
}

// candidate is an engine with free slots.
type candidate struct {
	engine  *fleet.Engine
	record  *engineRecord
	slots   int
	version int64
	// cost is the cost of one more item whose prompt prefix the engine does not hold.
	cost float64
	// speedClass is 0 for the fastest engines and grows by 1 for each speedClassFactor by which the engine is slower.
	speedClass int
	// heapIndexes holds the candidate's index in each heap, by heapOrder.
	heapIndexes [heapOrders]int
}

func (r *Runner) newSchedulingPass(view *fleet.View) *schedulingPass {
	return &schedulingPass{runner: r, view: view, now: r.now(), pools: make(map[poolKey]*pool)}
}

// poolOf returns the pool of an item: permitted engines with free slots in the service that its route selects.
func (s *schedulingPass) poolOf(route *routing.Route, it *item) *pool {
	return s.pool(route.PickService(hashFraction(it.ID)), it.job.Model, s.residencyOf(route, it))
}

func (s *schedulingPass) residencyOf(route *routing.Route, it *item) placement.Residency {
	residency := placement.ResidencyOf(s.view.Routes, route, it.job.Tenant)
	residency.Accepted = it.job.Regions
	return residency
}

// pool returns the engines of a service with free slots for a model's items that the placement filter permits for the residency.
func (s *schedulingPass) pool(service, model string, residency placement.Residency) *pool {
	key := poolKey{service: service, model: model, residency: residency.Key()}
	if existing, ok := s.pools[key]; ok {
		return existing
	}
	permitted := placement.NewFilter(s.view, residency).Engines(service)
	engines, complete := s.runner.subsetFor(s.view, key, permitted)
	created := s.newPool(key, engines)
	created.complete = complete
	return created
}

// widen replaces a subset pool that has no engine for an item by the pool of all permitted engines. It returns nil if the pool is complete, or if it
// was widened within widenInterval.
func (s *schedulingPass) widen(narrow *pool, residency placement.Residency) *pool {
	if narrow.complete || !s.runner.tryWiden(narrow.key, s.now) {
		return nil
	}
	widened := s.newPool(narrow.key, placement.NewFilter(s.view, residency).Engines(narrow.key.service))
	widened.complete = true
	return widened
}

// newPool builds a pool of the engines that have free slots.
func (s *schedulingPass) newPool(key poolKey, engines []*fleet.Engine) *pool {
	created := &pool{byVersion: make(map[int64]*candidateGroup), byID: make(map[string]*candidate), key: key}
	s.pools[key] = created
	for _, engine := range engines {
		record := s.runner.recordOf(engine.ID)
		slots := engine.Slots
		if slots <= 0 {
			slots = defaultSlots
		}
		if record.running >= slots || record.loading || record.backoffUntil.After(s.now) || !s.runner.hasColdCapacity(engine) {
			continue
		}
		created.add(&candidate{
			engine:  engine,
			record:  record,
			slots:   slots,
			version: record.version(engine, key.model, s.now),
			cost:    record.cost(slots, "", s.now),
		})
	}
	created.rank(s.now)
	return created
}

// rank computes speed classes and orders the engines of each version.
func (p *pool) rank(now time.Time) {
	for _, c := range p.byID {
		if interval := c.record.eventInterval(now); p.minInterval == 0 || interval < p.minInterval {
			p.minInterval = interval
		}
	}
	for _, c := range p.byID {
		c.speedClass = speedClassOf(c.record.eventInterval(now), p.minInterval)
	}
	for _, group := range p.byVersion {
		heap.Init(&group.cheapest)
		heap.Init(&group.slowest)
	}
}

// speedClassOf returns the speed class of an event interval relative to the shortest one.
func speedClassOf(interval, shortest time.Duration) int {
	return int(math.Log(float64(interval)/float64(shortest)) / math.Log(speedClassFactor))
}

func (p *pool) add(added *candidate) {
	group, ok := p.byVersion[added.version]
	if !ok {
		group = &candidateGroup{cheapest: candidateHeap{order: orderCheapest}, slowest: candidateHeap{order: orderSlowest}}
		p.byVersion[added.version] = group
	}
	group.cheapest.Push(added)
	group.slowest.Push(added)
	p.byID[added.engine.ID] = added
}

// choose returns the engine for an item and the event interval expected there, or nil if none can take it now. The engine's weights are of minVersion
// or newer.
func (s *schedulingPass) choose(route *routing.Route, it *item, minVersion int64) (best *candidate, bestCost float64) {
	from := s.poolOf(route, it)
	if best, bestCost = s.chooseFrom(from, route, it, minVersion); best != nil {
		return best, bestCost
	}
	if widened := s.widen(from, s.residencyOf(route, it)); widened != nil {
		return s.chooseFrom(widened, route, it, minVersion)
	}
	return nil, 0
}

// chooseFrom is choose for the engines of one pool.
func (s *schedulingPass) chooseFrom(from *pool, route *routing.Route, it *item, minVersion int64) (best *candidate, bestCost float64) {
	for version, group := range from.byVersion {
		if group.cheapest.Len() == 0 || version < minVersion || !versionAllowed(route, it, version) {
			continue
		}
		cheapest := group.cheapest.candidates[0]
		if best == nil || cheapest.cheaperThan(best) {
			best, bestCost = cheapest, cheapest.cost
		}
	}
	for _, id := range s.runner.prefixHolders[it.Prefix] {
		holder, ok := from.byID[id]
		if !ok || holder.version < minVersion || !versionAllowed(route, it, holder.version) {
			continue
		}
		if cost := holder.record.cost(holder.slots, it.Prefix, s.now); best == nil || cost < bestCost {
			best, bestCost = holder, cost
		}
	}
	return best, bestCost
}

// chooseWithSlack returns the slowest engine that is expected to produce the item's text within the limit, to keep faster engines free for long
// texts. It falls back to choose.
func (s *schedulingPass) chooseWithSlack(route *routing.Route, it *item, minVersion int64, events float64, limit time.Duration) *candidate {
	from := s.poolOf(route, it)
	var best *candidate
	for version, group := range from.byVersion {
		if group.slowest.Len() == 0 || version < minVersion || !versionAllowed(route, it, version) {
			continue
		}
		if slowest := group.slowest.candidates[0]; best == nil || slowest.slowerThan(best) {
			best = slowest
		}
	}
	if best != nil && best.speedClass > 0 && best.speedClass <= maxSpeedClass && events*best.cost <= limit.Seconds() {
		return best
	}
	best, _ = s.choose(route, it, minVersion)
	return best
}

// chooseIsolated returns the cheapest engine without an isolated run, or nil if there is none.
func (s *schedulingPass) chooseIsolated(route *routing.Route, it *item, minVersion int64) *candidate {
	from := s.poolOf(route, it)
	var best *candidate
	for _, c := range from.byID {
		if c.record.isolated > 0 || c.version < minVersion || !versionAllowed(route, it, c.version) {
			continue
		}
		if best == nil || c.cheaperThan(best) {
			best = c
		}
	}
	return best
}

// versionAllowed reports whether a weight version may produce the next event of an item.
func versionAllowed(route *routing.Route, it *item, version int64) bool {
	if version < it.job.MinVersion {
		return false
	}
	return !route.SingleVersion || len(it.text.Segments) == 0 || it.text.Segments[0].Version == version
}

// refresh updates the pools after an item was placed on the engine.
func (s *schedulingPass) refresh(chosen *candidate) {
	for _, p := range s.pools {
		entry, ok := p.byID[chosen.engine.ID]
		if !ok {
			continue
		}
		group := p.byVersion[entry.version]
		if entry.record.running >= entry.slots || !s.runner.hasColdCapacity(entry.engine) {
			heap.Remove(&group.cheapest, entry.heapIndexes[orderCheapest])
			heap.Remove(&group.slowest, entry.heapIndexes[orderSlowest])
			delete(p.byID, entry.engine.ID)
			continue
		}
		entry.cost = entry.record.cost(entry.slots, "", s.now)
		heap.Fix(&group.cheapest, entry.heapIndexes[orderCheapest])
		heap.Fix(&group.slowest, entry.heapIndexes[orderSlowest])
	}
}

// addPrefixHolder records that an engine is about to hold a prompt prefix.
func (r *Runner) addPrefixHolder(prefix, engine string, record *engineRecord) {
	if prefix == "" || len(record.prefixes) >= maxPrefixes {
		return
	}
	record.prefixes[prefix] = struct{}{}
	holders := r.prefixHolders[prefix]
	if slices.Contains(holders, engine) {
		return
	}
	if len(holders) >= maxPrefixHolders {
		holders = holders[1:]
	}
	r.prefixHolders[prefix] = append(holders, engine)
}

// prunePrefixHolders drops engines that no longer hold a prompt prefix. The mutex must be held.
func (r *Runner) prunePrefixHolders() {
	for prefix, holders := range r.prefixHolders {
		holders = slices.DeleteFunc(holders, func(id string) bool {
			record, ok := r.engines[id]
			if !ok {
				return true
			}
			_, held := record.prefixes[prefix]
			return !held
		})
		if len(holders) == 0 {
			delete(r.prefixHolders, prefix)
			continue
		}
		r.prefixHolders[prefix] = holders
	}
}

type heapOrder int

const (
	// orderCheapest sorts by the expected cost of one more item.
	orderCheapest heapOrder = iota
	// orderSlowest sorts by speed class, slowest first, then by the most free slots.
	orderSlowest
	heapOrders
)

// candidateHeap orders candidates. It implements heap.Interface.
type candidateHeap struct {
	order      heapOrder
	candidates []*candidate
}

// cheaperThan orders candidates by cost. Engine IDs break ties, so that decisions are deterministic.
func (c *candidate) cheaperThan(other *candidate) bool {
	if c.cost != other.cost {
		return c.cost < other.cost
	}
	return c.engine.ID < other.engine.ID
}

// slowerThan orders candidates by speed class, then by free slots.
func (c *candidate) slowerThan(other *candidate) bool {
	// Classes beyond maxSpeedClass sort last.
	x, y := c.speedClass, other.speedClass
	if x > maxSpeedClass {
		x = -1
	}
	if y > maxSpeedClass {
		y = -1
	}
	if x != y {
		return x > y
	}
	if taken, otherTaken := c.record.running*other.slots, other.record.running*c.slots; taken != otherTaken {
		return taken < otherTaken
	}
	return c.engine.ID < other.engine.ID
}

// Len implements heap.Interface.
func (h *candidateHeap) Len() int { return len(h.candidates) }

// Less implements heap.Interface.
func (h *candidateHeap) Less(a, b int) bool {
	if h.order == orderSlowest {
		return h.candidates[a].slowerThan(h.candidates[b])
	}
	return h.candidates[a].cheaperThan(h.candidates[b])
}

// Swap implements heap.Interface.
func (h *candidateHeap) Swap(a, b int) {
	h.candidates[a], h.candidates[b] = h.candidates[b], h.candidates[a]
	h.candidates[a].heapIndexes[h.order], h.candidates[b].heapIndexes[h.order] = a, b
}

// Push implements heap.Interface.
func (h *candidateHeap) Push(added any) {
	c := added.(*candidate)
	c.heapIndexes[h.order] = len(h.candidates)
	h.candidates = append(h.candidates, c)
}

// Pop implements heap.Interface.
func (h *candidateHeap) Pop() any {
	last := len(h.candidates) - 1
	c := h.candidates[last]
	h.candidates = h.candidates[:last]
	return c
}
