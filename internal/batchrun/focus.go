package batchrun

import (
	"maps"
	"slices"
	"time"

	"github.com/covelink/covelink/coord/rendezvous"
	"github.com/covelink/covelink/internal/fleet"
)

const (
	// minFocus is the least number of engines among which the scheduler chooses for the items of one model; open items are added, so that each could
	// have an engine of its own. A service with fewer engines is looked at whole. A look at all of 10,000 engines for eight models took 62 ms, which
	// with four times as long a rest was a fifth of a core.
	minFocus = 256
	// widenInterval is the least pause between two looks at all engines of a service for items that none of the chosen ones can take.
	widenInterval = 500 * time.Millisecond
)

// focus holds, by the pools that ask, some engines of each large service, so that a look costs what its items need and not what the service has. They
// are those with the newest weights of the model, and of engines with the same weights those that a hash chooses, the same ones while the list of
// engines changes. The runner's mutex guards it.
type focus struct {
	view *fleet.View
	sets map[poolKey]*focusSet
	// widenedAt is when all engines of a pool were last looked at.
	widenedAt map[poolKey]time.Time
}

// focusSet are the engines of a focus for one pool.
type focusSet struct {
	engines []*fleet.Engine
	ids     map[string]struct{}
}

func newFocus() focus {
	return focus{sets: make(map[poolKey]*focusSet), widenedAt: make(map[poolKey]time.Time)}
}

func (s *focusSet) add(engine *fleet.Engine) {
	if _, known := s.ids[engine.ID]; known {
		return
	}
	s.ids[engine.ID] = struct{}{}
	s.engines = append(s.engines, engine)
}

// focused returns the engines among which items of a pool are placed, out of all that are permitted. whole is true if that is all of them. The mutex
// must be held.
func (r *Runner) focused(view *fleet.View, key poolKey, permitted []*fleet.Engine) (chosen []*fleet.Engine, whole bool) {
	size := minFocus + r.openOf(key.model)
	if len(permitted) <= 2*size {
		return permitted, true
	}
	if r.focus.view != view {
		r.focus.view = view
		clear(r.focus.sets)
	}
	set, ok := r.focus.sets[key]
	if !ok {
		set = r.newFocusSet(key.model, permitted, size)
		r.focus.sets[key] = set
	}
	return set.engines, false
}

// newFocusSet chooses at least size engines. The mutex must be held.
func (r *Runner) newFocusSet(model string, permitted []*fleet.Engine, size int) *focusSet {
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
	least, share := oldestInFocus(counts, size)
	key := rendezvous.Hash(model)
	set := &focusSet{ids: make(map[string]struct{}, size)}
	for i, engine := range permitted {
		if versions[i] < least {
			continue
		}
		if versions[i] > least || rendezvous.Fraction(key, rendezvous.Hash(engine.ID)) < share {
			set.add(engine)
		}
	}
	return set
}

// oldestInFocus returns the oldest version of which engines are chosen, and the share of its engines. All engines of newer versions are chosen.
func oldestInFocus(counts map[int64]int, size int) (least int64, share float64) {
	versions := slices.Sorted(maps.Keys(counts))
	for _, version := range slices.Backward(versions) {
		least = version
		if counts[version] >= size {
			return least, float64(size) / float64(counts[version])
		}
		size -= counts[version]
	}
	return least, 1
}

// noteFocus takes an engine that has told newer weights into the sets of the model. The mutex must be held.
func (r *Runner) noteFocus(id, model string) {
	if r.focus.view == nil {
		return
	}
	engine, listed := r.focus.view.Engines.Get(id)
	if !listed {
		return
	}
	for key, set := range r.focus.sets {
		if key.model == model && key.service == engine.Service && key.residency == "" {
			set.add(engine)
		}
	}
}

// mayWiden reports whether all engines may be looked at for a pool now, and notes that they are. The mutex must be held.
func (r *Runner) mayWiden(key poolKey, now time.Time) bool {
	if now.Sub(r.focus.widenedAt[key]) < widenInterval {
		return false
	}
	r.focus.widenedAt[key] = now
	return true
}

// openOf returns how many items of a model have no result yet. The mutex must be held.
func (r *Runner) openOf(model string) int {
	open := 0
	for _, j := range r.order {
		if !j.ended && j.Model == model {
			open += j.total - len(j.listed)
		}
	}
	return open
}
