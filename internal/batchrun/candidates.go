package batchrun

import (
	"iter"
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
	// speedClassFactor is the ratio of event intervals that separates two speed classes. Engines of one kind differ by less, and the next
	// slower kind of the deployments measured differs by 1.3.
	speedClassFactor = 1.2
	// maxSpeedClass is the slowest speed class that items with slack are placed in. A slower engine is probably faulty.
	maxSpeedClass = 4
	// isolationWait bounds how long an isolated item waits for an engine without another isolated run while engines have free slots.
	isolationWait = time.Second
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

// candidate is an engine with free slots.
type candidate struct {
	engine  *fleet.Engine
	record  *engineRecord
	version int64
	// cost is the cost of one more item whose prompt prefix the engine does not hold.
	cost float64
	// settled is the event interval by the lasting part of the engine's profile.
	settled time.Duration
	// speedClass is 0 for the fastest engines and grows by 1 for each speedClassFactor by which the engine is slower.
	speedClass int
	// observed is true if the engine's pace is known from recent observations.
	observed bool
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
	created := &pool{byVersion: make(map[int64]*candidateGroup), byID: make(map[string]*candidate, len(engines)), key: key}
	s.pools[key] = created
	for _, engine := range engines {
		record := s.runner.recordOf(engine.ID)
		record.slots = engine.SlotCount()
		if record.running >= record.slots || record.loading || record.backoffUntil.After(s.now) || !s.runner.hasColdCapacity(engine) {
			continue
		}
		created.add(&candidate{
			engine:   engine,
			record:   record,
			version:  record.version(engine, key.model, s.now),
			cost:     record.cost("", s.now),
			settled:  record.settledInterval(s.now),
			observed: record.profile.recentWeight(s.now) >= minMoveEvents,
		})
	}
	created.rank()
	return created
}

// rank computes speed classes and orders the engines of each version. Classes follow from the lasting part of the engines' profiles, so that short
// noise does not attract short items or repel long ones.
func (p *pool) rank() {
	for _, c := range p.byID {
		if p.minInterval == 0 || c.settled < p.minInterval {
			p.minInterval = c.settled
		}
	}
	for _, c := range p.byID {
		c.speedClass = speedClassOf(c.settled, p.minInterval)
		p.byVersion[c.version].add(c)
	}
	for _, group := range p.byVersion {
		group.init()
	}
}

// speedClassOf returns the speed class of an event interval relative to the shortest one.
func speedClassOf(interval, shortest time.Duration) int {
	return int(math.Log(float64(interval)/float64(shortest)) / math.Log(speedClassFactor))
}

func (p *pool) add(added *candidate) {
	if _, ok := p.byVersion[added.version]; !ok {
		p.byVersion[added.version] = newCandidateGroup()
	}
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

// firsts yields the first candidate of one heap of each weight version, for the versions that an item may run on.
func (p *pool) firsts(route *routing.Route, it *item, minVersion int64, heapOf func(*candidateGroup) *candidateHeap) iter.Seq[*candidate] {
	return func(yield func(*candidate) bool) {
		for version, group := range p.byVersion {
			members := heapOf(group)
			if members.Len() == 0 || version < minVersion || !versionAllowed(route, it, version) {
				continue
			}
			if !yield(members.candidates[0]) {
				return
			}
		}
	}
}

// cheapest returns the cheapest of firsts, or nil if there are none.
func (p *pool) cheapest(route *routing.Route, it *item, minVersion int64, heapOf func(*candidateGroup) *candidateHeap) (best *candidate) {
	for first := range p.firsts(route, it, minVersion, heapOf) {
		if best == nil || first.cheaperThan(best) {
			best = first
		}
	}
	return best
}

// chooseFrom is choose for the engines of one pool.
func (s *schedulingPass) chooseFrom(from *pool, route *routing.Route, it *item, minVersion int64) (best *candidate, bestCost float64) {
	if best = from.cheapest(route, it, minVersion, func(group *candidateGroup) *candidateHeap { return &group.cheapest }); best != nil {
		bestCost = best.cost
	}
	for _, id := range s.runner.prefixHolders[it.Prefix] {
		holder, ok := from.byID[id]
		if !ok || holder.version < minVersion || !versionAllowed(route, it, holder.version) {
			continue
		}
		if cost := holder.record.cost(it.Prefix, s.now); best == nil || cost < bestCost {
			best, bestCost = holder, cost
		}
	}
	return best, bestCost
}

// chooseForMoved returns the engine for an item that was moved, or nil if none can take it now.
func (s *schedulingPass) chooseForMoved(route *routing.Route, it *item, minVersion int64) *candidate {
	best, cost := s.choose(route, it, minVersion)
	if best == nil || best.observed {
		return best
	}
	if observed := s.chooseObserved(route, it, minVersion); observed != nil && observed.cost < minMoveSpeedup*cost {
		return observed
	}
	return best
}

// chooseObserved is choose among the engines whose pace is known from recent observations, regardless of prompt prefixes. An item that was moved goes
// to such an engine, because an engine that was idle may have become as slow as the one that the item left.
func (s *schedulingPass) chooseObserved(route *routing.Route, it *item, minVersion int64) *candidate {
	return s.poolOf(route, it).cheapest(route, it, minVersion, func(group *candidateGroup) *candidateHeap { return &group.observed })
}

// chooseWithSlack returns an engine of the slowest speed class that is expected to produce the item's text within the limit, to keep faster engines free
// for long texts. events is the length of the text with a margin for its uncertainty. It falls back to choose.
func (s *schedulingPass) chooseWithSlack(route *routing.Route, it *item, minVersion int64, events float64, limit time.Duration) *candidate {
	from := s.poolOf(route, it)
	for class := maxSpeedClass; class > 0; class-- {
		var best *candidate
		for first := range from.firsts(route, it, minVersion, func(group *candidateGroup) *candidateHeap { return &group.classes[class] }) {
			if events*first.cost <= limit.Seconds() && (best == nil || first.freerThan(best)) {
				best = first
			}
		}
		if best != nil {
			return best
		}
	}
	best, _ := s.choose(route, it, minVersion)
	return best
}

// chooseIsolated returns the cheapest engine without an isolated run. An item that has waited for one since isolatedSince gets the engine with the
// fewest isolated runs after isolationWait. It returns nil if no engine can take the item now.
func (s *schedulingPass) chooseIsolated(route *routing.Route, it *item, minVersion int64) *candidate {
	from := s.poolOf(route, it)
	var best *candidate
	for _, c := range from.byID {
		if c.version < minVersion || !versionAllowed(route, it, c.version) {
			continue
		}
		if best == nil || c.record.isolated < best.record.isolated || (c.record.isolated == best.record.isolated && c.cheaperThan(best)) {
			best = c
		}
	}
	if best == nil || best.record.isolated == 0 {
		return best
	}
	if it.isolatedSince.IsZero() {
		it.isolatedSince = s.now
	}
	if s.now.Sub(it.isolatedSince) < isolationWait {
		return nil
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
		if entry.record.running >= entry.record.slots || !s.runner.hasColdCapacity(entry.engine) {
			group.remove(entry)
			delete(p.byID, entry.engine.ID)
			continue
		}
		entry.cost = entry.record.cost("", s.now)
		group.fix(entry)
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
