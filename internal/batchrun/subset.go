package batchrun

import (
	"maps"
	"slices"
	"time"

	"github.com/covelink/covelink/coord/rendezvous"
	"github.com/covelink/covelink/internal/fleet"
)

const (
	// minSubsetSize is the minimum number of engines considered for the items of one model, in addition to one per open item. A service with
	// up to twice that sum of engines is not reduced to a subset. A scheduling pass over all of 10,000 engines for eight models took 62 ms.
	minSubsetSize = 256
	// widenInterval is the minimum delay between two scans of all engines of a service for items that no engine in the subset can take.
	widenInterval = 500 * time.Millisecond
)

// engineSubsets holds a subset of each large service's engines per pool, to bound the cost of a scheduling pass. Engines with the newest weights
// come first; among equal weights a hash keeps the selection stable while the engine list changes. The runner's mutex guards it.
type engineSubsets struct {
	view   *fleet.View
	byPool map[poolKey]*engineSubset
	// widenedAt is when all engines of a pool were last scanned.
	widenedAt map[poolKey]time.Time
}

type engineSubset struct {
	engines []*fleet.Engine
	ids     map[string]struct{}
}

func newEngineSubsets() engineSubsets {
	return engineSubsets{byPool: make(map[poolKey]*engineSubset), widenedAt: make(map[poolKey]time.Time)}
}

func (s *engineSubset) add(engine *fleet.Engine) {
	if _, known := s.ids[engine.ID]; known {
		return
	}
	s.ids[engine.ID] = struct{}{}
	s.engines = append(s.engines, engine)
}

// subsetFor returns the engines considered for a pool out of all permitted ones. complete is true if none was left out. The mutex must be held.
func (r *Runner) subsetFor(view *fleet.View, key poolKey, permitted []*fleet.Engine) (chosen []*fleet.Engine, complete bool) {
	size := minSubsetSize + r.openItemsOf(key.model)
	if len(permitted) <= 2*size {
		return permitted, true
	}
	if r.subsets.view != view {
		r.subsets.view = view
		clear(r.subsets.byPool)
	}
	set, ok := r.subsets.byPool[key]
	if !ok {
		set = r.newEngineSubset(key.model, permitted, size)
		r.subsets.byPool[key] = set
	}
	return set.engines, false
}

// newEngineSubset selects at least size engines. The mutex must be held.
func (r *Runner) newEngineSubset(model string, permitted []*fleet.Engine, size int) *engineSubset {
	now := r.now()
	versions := make([]int64, len(permitted))
	counts := make(map[int64]int)
	for i, engine := range permitted {
		versions[i] = engine.Versions[model]
		if record, ok := r.engines[engine.ID]; ok {
			versions[i] = record.version(engine, model, now)
		}
		counts[versions[i]]++
	}
	oldest, share := subsetCutoff(counts, size)
	key := rendezvous.Hash(model)
	set := &engineSubset{ids: make(map[string]struct{}, size)}
	for i, engine := range permitted {
		if versions[i] < oldest {
			continue
		}
		if versions[i] > oldest || rendezvous.Fraction(key, rendezvous.Hash(engine.ID)) < share {
			set.add(engine)
		}
	}
	return set
}

// subsetCutoff returns the oldest version in a subset and the share of its engines that is selected. All engines of newer versions are selected.
func subsetCutoff(counts map[int64]int, size int) (oldest int64, share float64) {
	versions := slices.Sorted(maps.Keys(counts))
	for _, version := range slices.Backward(versions) {
		oldest = version
		if counts[version] >= size {
			return oldest, float64(size) / float64(counts[version])
		}
		size -= counts[version]
	}
	return oldest, 1
}

// addToSubsets adds an engine that has reported newer weights to the subsets of the model. The mutex must be held.
func (r *Runner) addToSubsets(id, model string) {
	if r.subsets.view == nil {
		return
	}
	engine, listed := r.subsets.view.Engines.Get(id)
	if !listed {
		return
	}
	for key, set := range r.subsets.byPool {
		if key.model == model && key.service == engine.Service && key.residency == "" {
			set.add(engine)
		}
	}
}

// tryWiden reports whether all engines may be scanned for a pool now, and if so records the scan. The mutex must be held.
func (r *Runner) tryWiden(key poolKey, now time.Time) bool {
	if now.Sub(r.subsets.widenedAt[key]) < widenInterval {
		return false
	}
	r.subsets.widenedAt[key] = now
	return true
}

// openItemsOf returns the number of a model's items without a result. The mutex must be held.
func (r *Runner) openItemsOf(model string) int {
	open := 0
	for _, j := range r.order {
		if !j.ended && j.Model == model {
			open += j.total - len(j.listed)
		}
	}
	return open
}
