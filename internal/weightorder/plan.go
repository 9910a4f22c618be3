package weightorder

import (
	"maps"
	"slices"
	"time"

	"github.com/covelink/covelink/internal/fleet"
)

const (
	// minLoading is the least number of a service's engines that may load at once.
	minLoading = 2
	// enginesPerLoad is how many engines a service has for each one that may load: more loads at once slow each other down.
	enginesPerLoad = 5
	// minEnginesPerModel is how many engines a service must have for each model, on average, before they are divided among the
	// models; with fewer, every engine loads every model.
	minEnginesPerModel = 2
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
	var chosen []move
	for _, name := range slices.Sorted(maps.Keys(view.Routes.Services)) {
		chosen = append(chosen, m.planService(view.Ready(name), view.Routes.Services[name].Models, now)...)
	}
	return chosen
}

// planService chooses among the engines of a service. The mutex must be held.
func (m *Manager) planService(engines []*fleet.Engine, models []string, now time.Time) []move {
	if len(engines) == 0 || len(models) == 0 {
		return nil
	}
	m.assign(engines, models)
	var candidates []move
	loading := 0
	for _, engine := range engines {
		if _, busy := m.loading[engine.ID]; busy {
			loading++
			continue
		}
		if m.asideTil[engine.ID].After(now) {
			continue
		}
		if next, ok := m.outdated(engine, models); ok {
			candidates = append(candidates, next)
		}
	}
	slices.SortStableFunc(candidates, func(a, b move) int { return int(m.lag(b.engine, b.model) - m.lag(a.engine, a.model)) })
	room := max(max(minLoading, len(engines)/enginesPerLoad)-loading, 0)
	chosen := candidates[:min(room, len(candidates))]
	for _, next := range chosen {
		m.loading[next.engine.ID] = struct{}{}
	}
	return chosen
}

// outdated returns the model of which an engine lags the most among those that it is to keep up with.
func (m *Manager) outdated(engine *fleet.Engine, models []string) (move, bool) {
	if assigned, ok := m.assigned[engine.ID]; ok {
		models = []string{assigned}
	}
	var worst move
	var worstLag int64
	for _, model := range models {
		if lag := m.lag(engine, model); lag > worstLag {
			worst, worstLag = move{engine: engine, model: model, version: m.named[model]}, lag
		}
	}
	return worst, worstLag > 0
}

// lag returns by how many versions an engine is behind the newest of a model; zero if it does not hold the model.
func (m *Manager) lag(engine *fleet.Engine, model string) int64 {
	listed, ok := engine.Versions[model]
	if !ok {
		return 0
	}
	return max(m.named[model]-max(listed, m.held[engine.ID][model]), 0)
}

// assign divides the engines of a service evenly among its models: an engine that keeps up with one model loads a fraction of
// what it would for all of them. An engine keeps its model while the shares allow it.
func (m *Manager) assign(engines []*fleet.Engine, models []string) {
	if len(models) < 2 || len(engines) < minEnginesPerModel*len(models) {
		for _, engine := range engines {
			delete(m.assigned, engine.ID)
		}
		return
	}
	counts := make(map[string]int, len(models))
	var free []*fleet.Engine
	for _, engine := range engines {
		model, ok := m.assigned[engine.ID]
		if ok && slices.Contains(models, model) && counts[model] < share(len(engines), len(models), counts) {
			counts[model]++
			continue
		}
		free = append(free, engine)
	}
	for _, engine := range free {
		model := m.leastServed(engine, models, counts)
		m.assigned[engine.ID] = model
		counts[model]++
	}
}

// share is the most engines that a model may keep: the even share, rounded up only while the remainder lasts.
func share(engines, models int, counts map[string]int) int {
	even, remainder := engines/models, engines%models
	for _, count := range counts {
		if count > even {
			remainder--
		}
	}
	if remainder > 0 {
		return even + 1
	}
	return even
}

// leastServed returns the model with the fewest engines; of several, the one of which the engine lags the least.
func (m *Manager) leastServed(engine *fleet.Engine, models []string, counts map[string]int) string {
	return slices.MinFunc(models, func(a, b string) int {
		if counts[a] != counts[b] {
			return counts[a] - counts[b]
		}
		return int(m.lag(engine, a) - m.lag(engine, b))
	})
}

// forget drops what is known of engines that are not listed any more. The mutex must be held.
func (m *Manager) forget(view *fleet.View) {
	unlisted := func(id string) bool {
		_, listed := view.Engines[id]
		return !listed
	}
	maps.DeleteFunc(m.held, func(id string, _ map[string]int64) bool { return unlisted(id) })
	maps.DeleteFunc(m.asideTil, func(id string, _ time.Time) bool { return unlisted(id) })
	maps.DeleteFunc(m.assigned, func(id, _ string) bool { return unlisted(id) })
}
