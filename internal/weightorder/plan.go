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
	// minEnginesPerModel is the average number of engines per model from which on engines are divided among the models. With fewer, every
	// engine loads every model.
	minEnginesPerModel = 2
	// stepDelay is how long after the naming of a version its step is expected. Trainers submit it within some 100 ms.
	stepDelay = time.Second
	// namingWeight is the weight of the newest interval in the average time between two versions of a model.
	namingWeight = 0.3
)

// move is the load of a version by an engine.
type move struct {
	engine  *fleet.Engine
	model   string
	version int64
	reason  loadReason
	// concurrent is the number of the service's loads when it was planned, with itself, and window the number allowed.
	concurrent, window int
	// usableSlots are the slots that can run the model's waiting items; -1 if they were not counted.
	usableSlots int
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
		m.observeDemand(now)
	}
	if m.Runs != nil {
		m.runs = m.Runs()
	}
	m.postponed = false
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

// observeDemand records when work was first observed. The mutex must be held.
func (m *Manager) observeDemand(now time.Time) {
	if !m.demandSince.IsZero() {
		return
	}
	for _, demand := range m.demand {
		if demand.SubmittedTime > 0 {
			m.demandSince = now
		}
	}
}

// planService selects among the permitted engines of a service. The mutex must be held.
func (m *Manager) planService(view *fleet.View, permitted []*fleet.Engine, service routing.Service, now time.Time) []move {
	if len(permitted) == 0 || len(service.Models) == 0 {
		return nil
	}
	window := m.windowOf(service.Name)
	window.fit(len(permitted))
	loading := m.countLoading(view, service.Name)
	divided := divides(len(permitted), len(service.Models))
	allowed := window.size()
	if !divided {
		// All engines of such a service serve the same items, so that a load beyond a fifth of them costs more than it brings.
		allowed = min(allowed, slowStartLimit(window.engines))
	}
	available := max(allowed-loading, 0)
	engines, selected := m.selectReplicas(view, service.Name, permitted, service.Models, now)
	var chosen []move
	switch {
	case selected:
		chosen = m.planUndivided(engines, service.Models, nil, available, now)
	case divided:
		chosen = m.planDivided(permitted, service, available, now)
	default:
		for _, engine := range permitted {
			delete(m.assigned, engine.ID)
		}
		chosen = m.planUndivided(permitted, service.Models, m.surplus(permitted, service.Models, now), available, now)
	}
	for i := range chosen {
		m.loading[chosen[i].engine.ID] = chosen[i].model
		chosen[i].concurrent, chosen[i].window = loading+len(chosen), allowed
	}
	return chosen
}

// divides reports whether the engines of a service are divided among its models, so that each engine loads one model only.
func divides(engines, models int) bool { return models >= 2 && engines >= minEnginesPerModel*models }

// windowOf returns the window of a service's loads. The mutex must be held.
func (m *Manager) windowOf(service string) *loadWindow {
	window, ok := m.windows[service]
	if !ok {
		window = newLoadWindow()
		m.windows[service] = window
	}
	return window
}

// mayLoad reports whether an engine may receive an order. The mutex must be held.
func (m *Manager) mayLoad(engine string, now time.Time) bool {
	_, loading := m.loading[engine]
	return !loading && !m.backoffUntil[engine].After(now) && (m.mayOrder == nil || m.mayOrder(engine, now))
}

// planUndivided selects among engines that keep all models up to date, or those of replica sets. The mutex must be held.
func (m *Manager) planUndivided(engines []*fleet.Engine, models []string, surplus map[string]struct{}, available int, now time.Time) []move {
	var candidates []move
	for _, engine := range engines {
		if _, skip := surplus[engine.ID]; skip || !m.mayLoad(engine.ID, now) {
			continue
		}
		if next, ok := m.outdated(engine, models); ok {
			candidates = append(candidates, next)
		}
	}
	slices.SortStableFunc(candidates, m.byUrgency)
	chosen := candidates[:min(available, len(candidates))]
	for i := range chosen {
		chosen[i].usableSlots = -1
		if chosen[i].reason = reasonBehind; m.tooOldForWaiting(chosen[i]) {
			chosen[i].reason = reasonWaiting
		}
	}
	return chosen
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
	return lagOf(engine.Versions, m.reported[engine.ID], model, m.targets[model], 0)
}

// version returns the newest version of a model that an engine is known to hold.
func (m *Manager) version(engine *fleet.Engine, model string) int64 {
	return newestVersion(engine.Versions, m.reported[engine.ID], model)
}

// newestVersion returns the newer of an engine's listed and reported versions of a model.
func newestVersion(listed, reported map[string]int64, model string) int64 {
	return max(listed[model], reported[model])
}

// lagOf returns by how many versions an engine is behind a model's target, or notHeld if its list lacks the model.
func lagOf(listed, reported map[string]int64, model string, target, notHeld int64) int64 {
	if _, ok := listed[model]; !ok {
		return notHeld
	}
	return max(target-newestVersion(listed, reported, model), 0)
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
