package enginescale

import (
	"maps"
	"time"

	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/routing"
)

// snapshot returns the input of the next plan.
func (m *Manager) snapshot(now time.Time) Snapshot {
	view := m.State.View()
	s := Snapshot{Now: now, Limits: limitsOf(view.Routes), Running: runningOf(view), Evacuated: make(map[string]bool)}
	s.Loads = m.observe(view, now)
	m.mu.Lock()
	state := &m.orders
	for subject, desired := range state.desired {
		s.Evacuated[subject.Zone] = view.Evacuations == nil || view.Evacuations.Contains(subject.Zone)
		if s.Running[subject] >= desired {
			delete(state.shortSince, subject)
			continue
		}
		if _, exists := state.shortSince[subject]; !exists {
			state.shortSince[subject] = now
		}
	}
	s.Desired, s.Found, s.Unanswered = maps.Clone(state.desired), maps.Clone(state.found), maps.Clone(state.unanswered)
	s.ShortSince, s.OrderedAt = maps.Clone(state.shortSince), maps.Clone(state.orderedAt)
	s.CalledAt, s.UnavailableSince = maps.Clone(state.calledAt), maps.Clone(state.unavailableSince)
	m.mu.Unlock()
	s.Prices = pricesOf(view.Routes, s.Desired)
	m.trackSurplus(s)
	s.LowerSince = maps.Clone(m.lowerSince)
	return s
}

// observe records the load of each service with scaling and returns those that are known.
func (m *Manager) observe(view *fleet.View, now time.Time) map[string]Load {
	loads, demands := make(map[string]Load), make(map[string]ServiceDemand)
	if m.OfferedLoad == nil || view.Routes == nil {
		return loads
	}
	for name, service := range view.Routes.Services {
		if service.Scaling == nil || service.Slots == 0 || len(service.Models) == 0 {
			continue
		}
		if m.observed[name] == nil {
			m.observed[name] = &observedLoad{}
		}
		observed := m.observed[name]
		observed.loading.add(now, m.loadingShare(view.Ready(name)), loadingDecay)
		offered, ok := m.OfferedLoad(service.Models)
		if !ok {
			observed.samples = nil
			continue
		}
		observed.add(now, offered)
		load := Load{Peak: observed.peak(), Slots: service.Slots, LoadingShare: observed.loading.value()}
		if load.Recent, ok = observed.recent(now); ok {
			loads[name] = load
			demands[name] = ServiceDemand{Service: name, Offered: load.Recent, LoadingShare: load.LoadingShare, Needed: load.needed(load.Recent)}
		}
	}
	m.setDemands(demands)
	return loads
}

// loadingShare returns the share of engines that load weights now.
func (m *Manager) loadingShare(engines []*fleet.Engine) float64 {
	if m.Loading == nil || len(engines) == 0 {
		return 0
	}
	loading := 0
	for _, engine := range engines {
		if m.Loading(engine.ID) {
			loading++
		}
	}
	return float64(loading) / float64(len(engines))
}

func (m *Manager) setDemands(demands map[string]ServiceDemand) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.demands = demands
}

// trackSurplus records since when each service has needed fewer engines. A service whose load is not known starts anew.
func (m *Manager) trackSurplus(s Snapshot) {
	for service := range s.Limits {
		load, known := s.Loads[service]
		if !known || !s.demand(service, load).hasSurplus() {
			delete(m.lowerSince, service)
			continue
		}
		if _, exists := m.lowerSince[service]; !exists {
			m.lowerSince[service] = s.Now
		}
	}
}

// limitsOf returns the limits of the services with scaling.
func limitsOf(routes *routing.Table) map[string]Limits {
	limits := make(map[string]Limits)
	if routes == nil {
		return limits
	}
	for name, service := range routes.Services {
		if scaling := service.Scaling; scaling != nil {
			limits[name] = Limits{Min: scaling.Min, Max: scaling.Max, StartTime: scaling.StartTime}
		}
	}
	return limits
}

// pricesOf returns the price of an engine of each ordered subject whose service has scaling.
func pricesOf(routes *routing.Table, desired map[Subject]int) map[Subject]float64 {
	prices := make(map[Subject]float64, len(desired))
	if routes == nil {
		return prices
	}
	for subject := range desired {
		if scaling := routes.Services[subject.Service].Scaling; scaling != nil {
			prices[subject] = scaling.ZonePrice(subject.Zone)
		}
	}
	return prices
}

// runningOf counts the ready engines. A subject without ready engines is listed with zero.
func runningOf(view *fleet.View) map[Subject]int {
	running := make(map[Subject]int)
	for _, engine := range view.Engines.All() {
		subject := Subject{Service: engine.Service, Zone: engine.Zone}
		running[subject] += 0
		if engine.Ready {
			running[subject]++
		}
	}
	return running
}
