package weightorder

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/routing"
)

// maxLoggedEngines bounds the engines named in one log line.
const maxLoggedEngines = 16

// planDivided selects among the engines of a service that are divided among its models, and records the division. The mutex must be held.
func (m *Manager) planDivided(engines []*fleet.Engine, service routing.Service, available int, now time.Time) []move {
	s := m.snapshot(engines, service, available, now)
	decided := decide(s)
	for _, change := range decided.reassigned {
		m.assigned[s.engines[change.engine].id] = s.models[change.to].name
	}
	m.logReassigned(service.Name, s, decided)
	m.postponed = m.postponed || decided.postponed > 0
	chosen := make([]move, 0, len(decided.loads))
	for _, load := range decided.loads {
		model := s.models[load.model]
		chosen = append(chosen, move{
			engine: engines[load.engine], model: model.name, version: model.target, reason: load.reason, usableSlots: load.usableSlots,
		})
	}
	return chosen
}

// snapshot returns the input of the service's plan. The mutex must be held.
func (m *Manager) snapshot(engines []*fleet.Engine, service routing.Service, available int, now time.Time) *snapshot {
	s := &snapshot{
		engines:  make([]engineState, 0, len(engines)),
		models:   make([]modelState, 0, len(service.Models)),
		loads:    available,
		loadTime: firstPollDelay,
	}
	if !m.demandSince.IsZero() {
		s.observed = now.Sub(m.demandSince)
	}
	for _, engine := range engines {
		s.engines = append(s.engines, m.engineState(engine, now))
	}
	slots, window := s.slotsPerEngine(), m.windowOf(service.Name)
	for _, name := range service.Models {
		model := modelState{name: name, target: m.targets[name], demand: m.demand[name], expectsStep: m.expectsStep(name, now), nextStep: m.nextStep(name, now)}
		if m.Demands != nil && len(engines) > minUpToDate {
			model.maxUpToDate = m.neededOf(slots, name, now)
		}
		s.models = append(s.models, model)
		s.loadTime = max(s.loadTime, window.usualDuration(name, 0))
	}
	return s
}

func (m *Manager) engineState(engine *fleet.Engine, now time.Time) engineState {
	state := engineState{
		id:        engine.ID,
		slots:     engine.SlotCount(),
		listed:    engine.Versions,
		reported:  m.reported[engine.ID],
		assigned:  m.assigned[engine.ID],
		loading:   m.loading[engine.ID],
		orderable: m.mayLoad(engine.ID, now),
		runs:      m.runs[engine.ID],
	}
	if m.EventInterval != nil {
		state.eventInterval = m.EventInterval(engine.ID)
	}
	return state
}

// expectsStep reports whether a version of a model that is in use was named within stepDelay and no job was submitted since. The mutex must
// be held.
func (m *Manager) expectsStep(model string, now time.Time) bool {
	demand, age := m.demand[model], now.Sub(m.namedAt[model])
	return demand.SubmittedTime > 0 && age < stepDelay && (demand.Open == 0 || demand.NewestOpen > age)
}

// logReassigned logs the engines whose model has changed, with the shares of the models.
func (m *Manager) logReassigned(service string, s *snapshot, decided decision) {
	if len(decided.reassigned) == 0 {
		return
	}
	counts := make([]int, len(s.models))
	for _, model := range decided.models {
		counts[model]++
	}
	models := make([]string, 0, len(s.models))
	for i, model := range s.models {
		models = append(models, fmt.Sprintf("%s:%d/%.1f", model.name, counts[i], decided.shares[i]))
	}
	var engines []string
	for _, change := range decided.reassigned[:min(len(decided.reassigned), maxLoggedEngines)] {
		from := ""
		if change.from >= 0 {
			from = s.models[change.from].name
		}
		engines = append(engines, fmt.Sprintf("%s:%s>%s", s.engines[change.engine].id, from, s.models[change.to].name))
	}
	level.Info(m.Logger).Log("msg", "engines reassigned", "service", service, "count", len(decided.reassigned), "models", strings.Join(models, ","),
		"engines", strings.Join(engines, ","))
}

// logLoad logs a load that begins, with the inputs of its decision.
func (m *Manager) logLoad(target move) {
	m.mu.Lock()
	demand, runs, held := m.demand[target.model], m.runs[target.engine.ID], m.version(target.engine, target.model)
	m.mu.Unlock()
	level.Info(m.Logger).Log("msg", "weight load started", "engine", target.engine.ID, "model", target.model, "version", target.version, "held", held,
		"reason", target.reason, "waiting", demand.Waiting, "waiting_time", demand.WaitingTime.Round(time.Millisecond), "usable_slots", target.usableSlots,
		"runs", runs.Running, "time_left", runs.TimeLeft.Round(time.Millisecond), "loads", target.concurrent, "window", target.window)
}

// Stats is the state of a term for metrics.
type Stats struct {
	// Engines counts the engines that keep each model up to date, and UpToDate those that hold its newest version.
	Engines, UpToDate map[string]int
	// Loads counts the loads in progress.
	Loads int
	// Windows holds the number of loads that may run at once, by service.
	Windows map[string]int
}

// Stats returns the state of the term. It is empty while this process does not lead. The cost is linear in engines plus models.
func (m *Manager) Stats() Stats {
	m.mu.Lock()
	defer m.mu.Unlock()
	stats := Stats{Engines: make(map[string]int), UpToDate: make(map[string]int), Windows: make(map[string]int)}
	view := m.State.View()
	if !m.leading || view.Routes == nil {
		return stats
	}
	stats.Loads = len(m.loading)
	for name, service := range view.Routes.Services {
		if window, ok := m.windows[name]; ok {
			stats.Windows[name] = window.size()
		}
		m.countEngines(stats, view.Ready(name), service.Models)
	}
	return stats
}

// countEngines counts the engines of a service by the models that they keep up to date. The mutex must be held.
func (m *Manager) countEngines(stats Stats, engines []*fleet.Engine, models []string) {
	divided := slices.ContainsFunc(engines, func(engine *fleet.Engine) bool { return m.assigned[engine.ID] != "" })
	for _, engine := range engines {
		kept := models
		if divided {
			kept = nil
			if assigned, ok := m.assigned[engine.ID]; ok {
				kept = []string{assigned}
			}
		}
		for _, model := range kept {
			if _, held := engine.Versions[model]; !held {
				continue
			}
			stats.Engines[model]++
			if m.lag(engine, model) == 0 {
				stats.UpToDate[model]++
			}
		}
	}
}
