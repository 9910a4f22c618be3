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
	// maxHolders bounds the engines that are remembered for a shared prompt.
	maxHolders = 16
	// paceClassFactor divides engines by their pace: engines of one kind differ by less, by their load and the length of the texts
	// at them; the next slower kind of the deployments measured so far differs by 1.3.
	paceClassFactor = 1.2
	// maxSlowClass is the slowest class that is chosen on purpose: some two times the best pause. What is slower is likely at fault.
	maxSlowClass = 4
)

// look is what one pass of the scheduler knows of the engines. It answers for an item in the time of a few comparisons, where
// asking every engine for every item would take all of a coordinator's processor at some hundred engines.
type look struct {
	runner *Runner
	view   *fleet.View
	now    time.Time
	pools  map[poolKey]*pool
}

// poolKey identifies a pool. residency is the Key of its items' residency.
type poolKey struct{ service, model, residency string }

// pool holds the engines of a service that have room, for the items of one model and residency.
type pool struct {
	// byVersion groups them by the model's weight version.
	byVersion map[int64]*candidateGroup
	byID      map[string]*candidate
	// key is the pool's, and whole is true if all permitted engines were looked at.
	key   poolKey
	whole bool
	// best is the least pause between events of any of them.
	best time.Duration
}

// candidateGroup are the engines of one weight version: cheapest first for work that is urgent, slowest first for work that is not.
type candidateGroup struct {
	cheapest candidateHeap
	slowest  candidateHeap
}

// candidate is an engine with room.
type candidate struct {
	engine  *fleet.Engine
	record  *engineRecord
	slots   int
	version int64
	// cost is that of one more item whose shared prompt it does not hold.
	cost float64
	// paceClass is how much slower it is than the quickest engine, in steps of paceClassFactor.
	paceClass int
	// places are the indices in the heaps, by their order.
	places [heapOrders]int
}

func (r *Runner) newLook(view *fleet.View) *look {
	return &look{runner: r, view: view, now: r.now(), pools: make(map[poolKey]*pool)}
}

// poolOf returns the pool of an item: permitted engines with room of the service that its route picks.
func (l *look) poolOf(route *routing.Route, it *item) *pool {
	return l.pool(route.Pick(draw(it.ID)), it.job.Model, l.residencyOf(route, it))
}

func (l *look) residencyOf(route *routing.Route, it *item) placement.Residency {
	residency := placement.ResidencyOf(l.view.Routes, route, it.job.Tenant)
	residency.Accepted = it.job.Regions
	return residency
}

// pool returns the engines of a service with room for a model's items, as far as the placement filter permits them for items of the
// residency.
func (l *look) pool(service, model string, residency placement.Residency) *pool {
	key := poolKey{service: service, model: model, residency: residency.Key()}
	if known, ok := l.pools[key]; ok {
		return known
	}
	permitted := placement.NewFilter(l.view, residency).Engines(service)
	engines, whole := l.runner.focused(l.view, key, permitted)
	made := l.newPool(key, engines)
	made.whole = whole
	return made
}

// widened returns the pool of all permitted engines in place of one that has none for an item, or nil if that was looked at lately or is the same.
func (l *look) widened(narrow *pool, residency placement.Residency) *pool {
	if narrow.whole || !l.runner.mayWiden(narrow.key, l.now) {
		return nil
	}
	wide := l.newPool(narrow.key, placement.NewFilter(l.view, residency).Engines(narrow.key.service))
	wide.whole = true
	return wide
}

// newPool makes the pool of those of the engines that have room.
func (l *look) newPool(key poolKey, engines []*fleet.Engine) *pool {
	made := &pool{byVersion: make(map[int64]*candidateGroup), byID: make(map[string]*candidate), key: key}
	l.pools[key] = made
	for _, engine := range engines {
		record := l.runner.engine(engine.ID)
		slots := engine.Slots
		if slots <= 0 {
			slots = defaultSlots
		}
		if record.running >= slots || record.loading || record.asideTil.After(l.now) || !l.runner.bears(engine) {
			continue
		}
		made.add(&candidate{
			engine:  engine,
			record:  record,
			slots:   slots,
			version: record.version(engine, key.model, l.now),
			cost:    record.cost(slots, "", l.now),
		})
	}
	made.rank(l.now)
	return made
}

// rank orders the engines of each version.
func (p *pool) rank(now time.Time) {
	for _, known := range p.byID {
		if pause := known.record.pause(now); p.best == 0 || pause < p.best {
			p.best = pause
		}
	}
	for _, known := range p.byID {
		known.paceClass = paceClass(known.record.pause(now), p.best)
	}
	for _, group := range p.byVersion {
		heap.Init(&group.cheapest)
		heap.Init(&group.slowest)
	}
}

// paceClass returns how much slower a pause is than the least one, in steps of paceClassFactor.
func paceClass(pause, best time.Duration) int {
	return int(math.Log(float64(pause)/float64(best)) / math.Log(paceClassFactor))
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

// choose returns the engine for an item and the pause between events that is expected there, or nil if none can take it now. Its
// weights are of the least version or newer.
func (l *look) choose(route *routing.Route, it *item, least int64) (best *candidate, bestCost float64) {
	from := l.poolOf(route, it)
	if best, bestCost = l.chooseFrom(from, route, it, least); best != nil {
		return best, bestCost
	}
	if wide := l.widened(from, l.residencyOf(route, it)); wide != nil {
		return l.chooseFrom(wide, route, it, least)
	}
	return nil, 0
}

// chooseFrom is choose for the engines of one pool.
func (l *look) chooseFrom(from *pool, route *routing.Route, it *item, least int64) (best *candidate, bestCost float64) {
	for version, group := range from.byVersion {
		if group.cheapest.Len() == 0 || version < least || !allows(route, it, version) {
			continue
		}
		cheapest := group.cheapest.of[0]
		if best == nil || cheapest.before(best) {
			best, bestCost = cheapest, cheapest.cost
		}
	}
	for _, id := range l.runner.holders[it.Prefix] {
		holder, ok := from.byID[id]
		if !ok || holder.version < least || !allows(route, it, holder.version) {
			continue
		}
		if cost := holder.record.cost(holder.slots, it.Prefix, l.now); best == nil || cost < bestCost {
			best, bestCost = holder, cost
		}
	}
	return best, bestCost
}

// chooseUnhurried returns an engine for an item whose text may take as long as the limit: the slowest kind that is quick enough, so
// that the quick ones have room for long texts. It falls back to choose.
func (l *look) chooseUnhurried(route *routing.Route, it *item, least int64, events float64, limit time.Duration) *candidate {
	from := l.poolOf(route, it)
	var best *candidate
	for version, group := range from.byVersion {
		if group.slowest.Len() == 0 || version < least || !allows(route, it, version) {
			continue
		}
		if slowest := group.slowest.of[0]; best == nil || slowest.slowerThan(best) {
			best = slowest
		}
	}
	if best != nil && best.paceClass > 0 && best.paceClass <= maxSlowClass && events*best.cost <= limit.Seconds() {
		return best
	}
	best, _ = l.choose(route, it, least)
	return best
}

// chooseApart returns the cheapest engine that runs no item that must run apart, or nil if there is none.
func (l *look) chooseApart(route *routing.Route, it *item, least int64) *candidate {
	from := l.poolOf(route, it)
	var best *candidate
	for _, known := range from.byID {
		if known.record.apart > 0 || known.version < least || !allows(route, it, known.version) {
			continue
		}
		if best == nil || known.before(best) {
			best = known
		}
	}
	return best
}

// allows reports whether a weight version may make the next event of an item.
func allows(route *routing.Route, it *item, version int64) bool {
	if version < it.job.MinVersion {
		return false
	}
	return !route.SingleVersion || len(it.text.Segments) == 0 || it.text.Segments[0].Version == version
}

// used takes in that the engine has got one more item.
func (l *look) used(taken *candidate) {
	for _, known := range l.pools {
		seen, ok := known.byID[taken.engine.ID]
		if !ok {
			continue
		}
		group := known.byVersion[seen.version]
		if seen.record.running >= seen.slots || !l.runner.bears(seen.engine) {
			heap.Remove(&group.cheapest, seen.places[orderCheapest])
			heap.Remove(&group.slowest, seen.places[orderSlowest])
			delete(known.byID, seen.engine.ID)
			continue
		}
		seen.cost = seen.record.cost(seen.slots, "", l.now)
		heap.Fix(&group.cheapest, seen.places[orderCheapest])
		heap.Fix(&group.slowest, seen.places[orderSlowest])
	}
}

// noteHolder takes in that an engine is about to hold a shared prompt.
func (r *Runner) noteHolder(prefix, engine string, record *engineRecord) {
	if prefix == "" || len(record.prefixes) >= maxPrefixes {
		return
	}
	record.prefixes[prefix] = struct{}{}
	holders := r.holders[prefix]
	if slices.Contains(holders, engine) {
		return
	}
	if len(holders) >= maxHolders {
		holders = holders[1:]
	}
	r.holders[prefix] = append(holders, engine)
}

// forgetHolders drops engines that do not hold a shared prompt any more. The mutex must be held.
func (r *Runner) forgetHolders() {
	for prefix, holders := range r.holders {
		holders = slices.DeleteFunc(holders, func(id string) bool {
			record, ok := r.engines[id]
			if !ok {
				return true
			}
			_, held := record.prefixes[prefix]
			return !held
		})
		if len(holders) == 0 {
			delete(r.holders, prefix)
			continue
		}
		r.holders[prefix] = holders
	}
}

// heapOrder is by what a candidateHeap orders.
type heapOrder int

// The orders.
const (
	// orderCheapest puts the engine first at which one more item is expected to be quickest.
	orderCheapest heapOrder = iota
	// orderSlowest puts the slowest kind of engine first, and of one kind the one with the most room.
	orderSlowest
	heapOrders
)

// candidateHeap orders candidates. It implements heap.Interface.
type candidateHeap struct {
	order heapOrder
	of    []*candidate
}

// before orders candidates by cost; equal costs by the engine's ID, so that decisions repeat.
func (c *candidate) before(other *candidate) bool {
	if c.cost != other.cost {
		return c.cost < other.cost
	}
	return c.engine.ID < other.engine.ID
}

// slowerThan orders candidates by pace class, then by room.
func (c *candidate) slowerThan(other *candidate) bool {
	// A class beyond the slowest that is chosen on purpose goes last.
	x, y := c.paceClass, other.paceClass
	if x > maxSlowClass {
		x = -1
	}
	if y > maxSlowClass {
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
func (h *candidateHeap) Len() int { return len(h.of) }

// Less implements heap.Interface.
func (h *candidateHeap) Less(a, b int) bool {
	if h.order == orderSlowest {
		return h.of[a].slowerThan(h.of[b])
	}
	return h.of[a].before(h.of[b])
}

// Swap implements heap.Interface.
func (h *candidateHeap) Swap(a, b int) {
	h.of[a], h.of[b] = h.of[b], h.of[a]
	h.of[a].places[h.order], h.of[b].places[h.order] = a, b
}

// Push implements heap.Interface.
func (h *candidateHeap) Push(added any) {
	c := added.(*candidate)
	c.places[h.order] = len(h.of)
	h.of = append(h.of, c)
}

// Pop implements heap.Interface.
func (h *candidateHeap) Pop() any {
	last := len(h.of) - 1
	c := h.of[last]
	h.of = h.of[:last]
	return c
}
