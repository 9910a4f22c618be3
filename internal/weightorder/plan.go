package weightorder

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/placement"
	"github.com/covelink/covelink/internal/routing"
)

const (
	// minConcurrentLoads is the least number of a service's engines that may load at once.
	minConcurrentLoads = 2
	// enginesPerConcurrentLoad is the number of engines per concurrent load: more loads at once slow each other down.
	enginesPerConcurrentLoad = 5
	// minEnginesPerModel is the average number of engines per model from which on engines are divided among the models. With fewer, every
	// engine loads every model.
	minEnginesPerModel = 2
	// baseItems is added to the items of each model, so that shares are even without work.
	baseItems = 8
)

// move is the load of a version by an engine.
type move struct {
	engine  *fleet.Engine
	model   string
	version int64
}

// plan selects the engines that load next, the most outdated first, and marks them as loading.
func (m *Manager) plan(now time.Time) []move {
	m.mu.Lock()
	defer m.mu.Unlock()
	view := m.State.View()
	if view.Routes == nil {
		return nil
	}
	m.dropUnlisted(view)
	if m.Demands != nil {
		m.demand = m.Demands()
		m.updateOpenItems(now)
	}
	var chosen []move
	for _, name := range slices.Sorted(maps.Keys(view.Routes.Services)) {
		engines := placement.NewFilter(view, placement.Residency{}).Engines(name)
		chosen = append(chosen, m.planService(view, engines, view.Routes.Services[name], now)...)
	}
	return chosen
}

// countLoading counts the loading engines of a service, including those in evacuated zones, since all loads share the window. The mutex
// must be held.
func (m *Manager) countLoading(view *fleet.View, service string) int {
	loading := 0
	for id := range m.loading {
		if engine, listed := view.Engines.Get(id); listed && engine.Ready && engine.Service == service {
			loading++
		}
	}
	return loading
}

// planService selects among the permitted engines of a service. The mutex must be held.
func (m *Manager) planService(view *fleet.View, permitted []*fleet.Engine, service routing.Service, now time.Time) []move {
	if len(permitted) == 0 || len(service.Models) == 0 {
		return nil
	}
	engines, selected := m.selectReplicas(view, service.Name, permitted, service.Models, now)
	var surplus map[string]struct{}
	if !selected {
		engines = permitted
		m.assign(engines, service.Models)
		surplus = m.surplus(engines, service.Models, now)
	}
	var candidates []move
	for _, engine := range engines {
		if _, busy := m.loading[engine.ID]; busy {
			continue
		}
		if _, skip := surplus[engine.ID]; skip {
			continue
		}
		if m.backoffUntil[engine.ID].After(now) || (m.mayOrder != nil && !m.mayOrder(engine.ID, now)) {
			continue
		}
		if next, ok := m.outdated(engine, service.Models); ok {
			candidates = append(candidates, next)
		}
	}
	slices.SortStableFunc(candidates, m.byUrgency)
	available := max(m.maxConcurrentLoads(service.Name, len(permitted))-m.countLoading(view, service.Name), 0)
	chosen := candidates[:min(available, len(candidates))]
	for _, next := range chosen {
		m.loading[next.engine.ID] = struct{}{}
	}
	return chosen
}

// maxConcurrentLoads returns how many engines of a service may load at once. It is based on the most engines that the service has had, as
// the bandwidth that loads share does not shrink when engines leave. The mutex must be held.
func (m *Manager) maxConcurrentLoads(service string, engines int) int {
	m.maxEngines[service] = max(m.maxEngines[service], engines)
	return min(max(minConcurrentLoads, (m.maxEngines[service]+enginesPerConcurrentLoad/2)/enginesPerConcurrentLoad), m.window.size())
}

// byUrgency orders moves: engines too old for waiting items first, then the most outdated, then the fastest.
func (m *Manager) byUrgency(a, b move) int {
	if x, y := m.tooOldForWaiting(a), m.tooOldForWaiting(b); x != y {
		if x {
			return -1
		}
		return 1
	}
	if x, y := m.lag(a.engine, a.model), m.lag(b.engine, b.model); x != y {
		return cmp.Compare(y, x)
	}
	if m.EventInterval == nil {
		return 0
	}
	return cmp.Compare(m.EventInterval(a.engine.ID), m.EventInterval(b.engine.ID))
}

// tooOldForWaiting reports whether items wait for the model and the engine's version is too old for one of them.
func (m *Manager) tooOldForWaiting(target move) bool {
	demand := m.demand[target.model]
	return demand.Waiting > 0 && m.version(target.engine, target.model) < demand.MinVersion
}

// outdated returns the move for the model with the greatest lag among those that an engine keeps up to date.
func (m *Manager) outdated(engine *fleet.Engine, models []string) (move, bool) {
	if assigned, ok := m.assigned[engine.ID]; ok {
		models = []string{assigned}
	}
	var worst move
	var worstLag int64
	for _, model := range models {
		next := move{engine: engine, model: model, version: m.targets[model]}
		if lag := m.lag(engine, model); lag > worstLag {
			worst, worstLag = next, lag
		}
	}
	return worst, worstLag > 0
}

// lag returns by how many versions an engine is behind the target of a model; zero if it does not hold the model.
func (m *Manager) lag(engine *fleet.Engine, model string) int64 {
	if _, ok := engine.Versions[model]; !ok {
		return 0
	}
	return max(m.targets[model]-m.version(engine, model), 0)
}

// version returns the newest version of a model that an engine is known to hold.
func (m *Manager) version(engine *fleet.Engine, model string) int64 {
	return max(engine.Versions[model], m.reported[engine.ID][model])
}

// assign divides the engines of a service among its models, so that each engine loads one model only. An engine keeps its model while the
// shares allow it.
func (m *Manager) assign(engines []*fleet.Engine, models []string) {
	if len(models) < 2 || len(engines) < minEnginesPerModel*len(models) {
		for _, engine := range engines {
			delete(m.assigned, engine.ID)
		}
		return
	}
	shares := m.shares(len(engines), models)
	counts := make(map[string]int, len(models))
	var free []*fleet.Engine
	for _, engine := range engines {
		model, ok := m.assigned[engine.ID]
		if ok && counts[model] < shares[model] {
			counts[model]++
			continue
		}
		free = append(free, engine)
	}
	for _, engine := range free {
		model := m.leastServed(engine, models, shares, counts)
		m.assigned[engine.ID] = model
		counts[model]++
	}
}

// shares returns the number of engines for each model: in proportion to recently submitted items, at least one.
func (m *Manager) shares(engines int, models []string) map[string]int {
	weights := make(map[string]float64, len(models))
	total := 0.0
	for _, model := range models {
		weights[model] = m.demand[model].Items + baseItems
		total += weights[model]
	}
	shares := make(map[string]int, len(models))
	remaining := engines
	for _, model := range models {
		shares[model] = max(1, int(float64(engines)*weights[model]/total))
		remaining -= shares[model]
	}
	// Rounding differences go to the models with the fewest engines per weight, or come from those with the most.
	perWeight := func(a, b string) int {
		return cmp.Compare(float64(shares[a])/weights[a], float64(shares[b])/weights[b])
	}
	for ; remaining > 0; remaining-- {
		shares[slices.MinFunc(models, perWeight)]++
	}
	for ; remaining < 0; remaining++ {
		shares[slices.MaxFunc(models, perWeight)]--
	}
	return shares
}

// leastServed returns the model that is furthest below its share; among equals, the one with the least lag at the engine.
func (m *Manager) leastServed(engine *fleet.Engine, models []string, shares, counts map[string]int) string {
	return slices.MinFunc(models, func(a, b string) int {
		if x, y := counts[a]-shares[a], counts[b]-shares[b]; x != y {
			return x - y
		}
		return int(m.lag(engine, a) - m.lag(engine, b))
	})
}

// dropUnlisted drops the state of engines that are no longer listed. The mutex must be held.
func (m *Manager) dropUnlisted(view *fleet.View) {
	unlisted := func(id string) bool {
		_, listed := view.Engines.Get(id)
		return !listed
	}
	maps.DeleteFunc(m.reported, func(id string, _ map[string]int64) bool { return unlisted(id) })
	maps.DeleteFunc(m.backoffUntil, func(id string, _ time.Time) bool { return unlisted(id) })
	maps.DeleteFunc(m.assigned, func(id, _ string) bool { return unlisted(id) })
}
