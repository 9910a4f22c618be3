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
	// minLoading is the least number of a service's engines that may load at once.
	minLoading = 2
	// enginesPerLoad is how many engines a service has for each one that may load: more loads at once slow each other down.
	enginesPerLoad = 5
	// minEnginesPerModel is how many engines a service must have for each model, on average, before they are divided among the
	// models; with fewer, every engine loads every model.
	minEnginesPerModel = 2
	// evenItems is added to the items of each model, so that the shares are even until there is work.
	evenItems = 8
)

// move is one engine that is to load a version.
type move struct {
	engine  *fleet.Engine
	model   string
	version int64
}

// plan chooses the engines that load next, the most outdated first, and marks them.
func (m *Manager) plan(now time.Time) []move {
	m.mu.Lock()
	defer m.mu.Unlock()
	view := m.State.View()
	if view.Routes == nil {
		return nil
	}
	m.forget(view)
	if m.Demands != nil {
		m.demand = m.Demands()
		m.noteOpen(now)
	}
	var chosen []move
	for _, name := range slices.Sorted(maps.Keys(view.Routes.Services)) {
		engines := placement.NewFilter(view, placement.Residency{}).Engines(name)
		chosen = append(chosen, m.planService(view, engines, view.Routes.Services[name], now)...)
	}
	return chosen
}

// countLoading counts the engines of a service that load. Those of evacuated zones count too: all loads share the window. The mutex must be held.
func (m *Manager) countLoading(view *fleet.View, service string) int {
	loading := 0
	for id := range m.loading {
		if engine, listed := view.Engines.Get(id); listed && engine.Ready && engine.Service == service {
			loading++
		}
	}
	return loading
}

// planService chooses among the permitted engines of a service. The mutex must be held.
func (m *Manager) planService(view *fleet.View, permitted []*fleet.Engine, service routing.Service, now time.Time) []move {
	if len(permitted) == 0 || len(service.Models) == 0 {
		return nil
	}
	engines, few := m.keepReplicas(view, service.Name, permitted, service.Models, now)
	var spare map[string]struct{}
	if !few {
		engines = permitted
		m.assign(engines, service.Models)
		spare = m.spare(engines, service.Models, now)
	}
	var candidates []move
	for _, engine := range engines {
		if _, busy := m.loading[engine.ID]; busy {
			continue
		}
		if _, unused := spare[engine.ID]; unused {
			continue
		}
		if m.asideTil[engine.ID].After(now) || (m.mayOrder != nil && !m.mayOrder(engine.ID, now)) {
			continue
		}
		if next, ok := m.outdated(engine, service.Models); ok {
			candidates = append(candidates, next)
		}
	}
	slices.SortStableFunc(candidates, m.byUrgency)
	room := max(m.maxLoading(service.Name, len(permitted))-m.countLoading(view, service.Name), 0)
	chosen := candidates[:min(room, len(candidates))]
	for _, next := range chosen {
		m.loading[next.engine.ID] = struct{}{}
	}
	return chosen
}

// maxLoading is how many engines of a service may load at once. It follows the most engines that the service has had: what
// the loads share does not shrink with the engines. The mutex must be held.
func (m *Manager) maxLoading(service string, engines int) int {
	m.largest[service] = max(m.largest[service], engines)
	return min(max(minLoading, (m.largest[service]+enginesPerLoad/2)/enginesPerLoad), m.window.size())
}

// byUrgency orders moves: engines that cannot take what waits come first, then the most outdated, then the quickest, which long texts
// need.
func (m *Manager) byUrgency(a, b move) int {
	if x, y := m.unusable(a), m.unusable(b); x != y {
		if x {
			return -1
		}
		return 1
	}
	if x, y := m.lag(a.engine, a.model), m.lag(b.engine, b.model); x != y {
		return cmp.Compare(y, x)
	}
	if m.Pause == nil {
		return 0
	}
	return cmp.Compare(m.Pause(a.engine.ID), m.Pause(b.engine.ID))
}

// unusable reports whether work waits for a model that the engine's weights are too old for.
func (m *Manager) unusable(target move) bool {
	demand := m.demand[target.model]
	return demand.Waiting > 0 && m.version(target.engine, target.model) < demand.MinVersion
}

// outdated returns the model of which an engine lags the most among those that it is to keep up with. An engine that can take
// work that waits is left to it.
func (m *Manager) outdated(engine *fleet.Engine, models []string) (move, bool) {
	if assigned, ok := m.assigned[engine.ID]; ok {
		models = []string{assigned}
	}
	var worst move
	var worstLag int64
	for _, model := range models {
		next := move{engine: engine, model: model, version: m.named[model]}
		if lag := m.lag(engine, model); lag > worstLag {
			worst, worstLag = next, lag
		}
	}
	return worst, worstLag > 0
}

// lag returns by how many versions an engine is behind the newest of a model; zero if it does not hold the model.
func (m *Manager) lag(engine *fleet.Engine, model string) int64 {
	if _, ok := engine.Versions[model]; !ok {
		return 0
	}
	return max(m.named[model]-m.version(engine, model), 0)
}

// version returns the newest version of a model that an engine is known to hold.
func (m *Manager) version(engine *fleet.Engine, model string) int64 {
	return max(engine.Versions[model], m.held[engine.ID][model])
}

// assign divides the engines of a service among its models: an engine that keeps up with one model loads a fraction of what it
// would for all of them. An engine keeps its model while the shares allow it.
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

// shares returns how many engines each model gets: in proportion to the items that were submitted lately, one at least.
func (m *Manager) shares(engines int, models []string) map[string]int {
	weights := make(map[string]float64, len(models))
	total := 0.0
	for _, model := range models {
		weights[model] = m.demand[model].Items + evenItems
		total += weights[model]
	}
	shares := make(map[string]int, len(models))
	left := engines
	for _, model := range models {
		shares[model] = max(1, int(float64(engines)*weights[model]/total))
		left -= shares[model]
	}
	// What rounding leaves goes to the models that have the least for their weight, and is taken from those that have the most.
	perWeight := func(a, b string) int {
		return cmp.Compare(float64(shares[a])/weights[a], float64(shares[b])/weights[b])
	}
	for ; left > 0; left-- {
		shares[slices.MinFunc(models, perWeight)]++
	}
	for ; left < 0; left++ {
		shares[slices.MaxFunc(models, perWeight)]--
	}
	return shares
}

// leastServed returns the model that lacks the most engines; of several, the one of which the engine lags the least.
func (m *Manager) leastServed(engine *fleet.Engine, models []string, shares, counts map[string]int) string {
	return slices.MinFunc(models, func(a, b string) int {
		if x, y := counts[a]-shares[a], counts[b]-shares[b]; x != y {
			return x - y
		}
		return int(m.lag(engine, a) - m.lag(engine, b))
	})
}

// forget drops what is known of engines that are not listed any more. The mutex must be held.
func (m *Manager) forget(view *fleet.View) {
	unlisted := func(id string) bool {
		_, listed := view.Engines.Get(id)
		return !listed
	}
	maps.DeleteFunc(m.held, func(id string, _ map[string]int64) bool { return unlisted(id) })
	maps.DeleteFunc(m.asideTil, func(id string, _ time.Time) bool { return unlisted(id) })
	maps.DeleteFunc(m.assigned, func(id, _ string) bool { return unlisted(id) })
}
