package batchrun

import (
	"container/heap"
	"slices"
	"time"

	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/routing"
)

// maxHolders bounds the engines that are remembered for a shared prompt.
const maxHolders = 16

// look is what one pass of the scheduler knows of the engines. It answers for an item in the time of a few comparisons, where
// asking every engine for every item would take all of a coordinator's processor at some hundred engines.
type look struct {
	runner *Runner
	view   *fleet.View
	now    time.Time
	pools  map[poolKey]*pool
}

type poolKey struct{ service, model string }

// pool holds the engines of a service that have room, for the items of one model.
type pool struct {
	// byVersion groups them by the model's weight version, cheapest first.
	byVersion map[int64]*candidateHeap
	byID      map[string]*candidate
}

// candidate is an engine with room.
type candidate struct {
	engine  *fleet.Engine
	record  *engineRecord
	slots   int
	version int64
	// cost is that of one more item whose shared prompt it does not hold.
	cost float64
	// place is the index in its heap.
	place int
}

func (r *Runner) newLook(view *fleet.View) *look {
	return &look{runner: r, view: view, now: r.now(), pools: make(map[poolKey]*pool)}
}

// pool returns the engines of a service with room for a model's items.
func (l *look) pool(service, model string) *pool {
	key := poolKey{service: service, model: model}
	if known, ok := l.pools[key]; ok {
		return known
	}
	made := &pool{byVersion: make(map[int64]*candidateHeap), byID: make(map[string]*candidate)}
	l.pools[key] = made
	for _, engine := range l.view.Ready(service) {
		record := l.runner.engine(engine.ID)
		slots := engine.Slots
		if slots <= 0 {
			slots = defaultSlots
		}
		if record.running >= slots || record.loading || record.asideTil.After(l.now) {
			continue
		}
		made.add(&candidate{
			engine:  engine,
			record:  record,
			slots:   slots,
			version: record.version(engine, model, l.now),
			cost:    record.cost(slots, "", l.now),
		})
	}
	for _, group := range made.byVersion {
		heap.Init(group)
	}
	return made
}

func (p *pool) add(added *candidate) {
	group, ok := p.byVersion[added.version]
	if !ok {
		group = &candidateHeap{}
		p.byVersion[added.version] = group
	}
	added.place = len(*group)
	*group = append(*group, added)
	p.byID[added.engine.ID] = added
}

// choose returns the engine for an item and the pause between events that is expected there, or nil if none can take it now.
func (l *look) choose(route *routing.Route, it *item) (best *candidate, bestCost float64) {
	from := l.pool(route.Pick(draw(it.ID)), it.job.Model)
	for version, group := range from.byVersion {
		if group.Len() == 0 || !allows(route, it, version) {
			continue
		}
		cheapest := (*group)[0]
		if best == nil || cheapest.before(best) {
			best, bestCost = cheapest, cheapest.cost
		}
	}
	for _, id := range l.runner.holders[it.Prefix] {
		holder, ok := from.byID[id]
		if !ok || !allows(route, it, holder.version) {
			continue
		}
		if cost := holder.record.cost(holder.slots, it.Prefix, l.now); best == nil || cost < bestCost {
			best, bestCost = holder, cost
		}
	}
	return best, bestCost
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
		if seen.record.running >= seen.slots {
			heap.Remove(group, seen.place)
			delete(known.byID, seen.engine.ID)
			continue
		}
		seen.cost = seen.record.cost(seen.slots, "", l.now)
		heap.Fix(group, seen.place)
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

// candidateHeap orders candidates by cost. It implements heap.Interface.
type candidateHeap []*candidate

// before orders candidates; equal costs by the engine's ID, so that decisions repeat.
func (c *candidate) before(other *candidate) bool {
	if c.cost != other.cost {
		return c.cost < other.cost
	}
	return c.engine.ID < other.engine.ID
}

// Len implements heap.Interface.
func (h candidateHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h candidateHeap) Less(a, b int) bool { return h[a].before(h[b]) }

// Swap implements heap.Interface.
func (h candidateHeap) Swap(a, b int) {
	h[a], h[b] = h[b], h[a]
	h[a].place, h[b].place = a, b
}

// Push implements heap.Interface.
func (h *candidateHeap) Push(added any) {
	c := added.(*candidate)
	c.place = len(*h)
	*h = append(*h, c)
}

// Pop implements heap.Interface.
func (h *candidateHeap) Pop() any {
	last := len(*h) - 1
	c := (*h)[last]
	*h = (*h)[:last]
	return c
}
