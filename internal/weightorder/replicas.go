package weightorder

import (
	"cmp"
	"slices"
	"time"

	"github.com/covelink/covelink/coord/rendezvous"
	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/placement"
)

const (
	// wholeFactor is how many times the engines that a service needs for its models it must have before only those are planned for. With fewer, all of
	// them are divided among the models, as most are needed anyway.
	wholeFactor = 2
	// replicaReserve is by how much the engines that are chosen for a model exceed the need, so that a loss or a little more work chooses no new
	// ones; only as many as are needed load. replicaExcess is from how much on some are let go.
	replicaReserve = 1.25
	replicaExcess  = 2.0
)

// replicas are the engines of a service that keep up with each of its models. The same ones are kept over versions: they hold shared prompts and open
// connections, and a plan looks at them and not at each engine of the service, which took 38 ms at 10,000 engines and eight models.
type replicas struct {
	// byModel holds their IDs.
	byModel map[string][]string
}

// keepReplicas returns the engines of a service that are to keep up with its models, as many as are needed, and marks their models in assigned. ok is
// false if the service has too few engines for it. The mutex must be held.
func (m *Manager) keepReplicas(view *fleet.View, service string, engines []*fleet.Engine, models []string, now time.Time) (kept []*fleet.Engine, ok bool) {
	needed := make(map[string]int, len(models))
	total := 0
	for _, model := range models {
		needed[model] = m.needed(engines, model, now)
		total += needed[model]
	}
	if m.Demands == nil || len(engines) <= wholeFactor*int(replicaReserve*float64(total)) {
		delete(m.replicas, service)
		return nil, false
	}
	known, ok := m.replicas[service]
	if !ok {
		known = replicas{byModel: make(map[string][]string, len(models))}
		m.replicas[service] = known
		for _, engine := range engines {
			delete(m.assigned, engine.ID)
		}
	}
	filter := placement.NewFilter(view, placement.Residency{})
	for _, model := range models {
		m.dropReplicas(known, view, filter, model)
		m.resize(known, engines, model, needed[model])
		ids := known.byModel[model]
		for _, id := range ids[:min(needed[model], len(ids))] {
			engine, _ := view.Engines.Get(id)
			kept = append(kept, engine)
		}
	}
	return kept, true
}

// dropReplicas lets go of a model's engines that are not listed or not permitted any more. The mutex must be held.
func (m *Manager) dropReplicas(known replicas, view *fleet.View, filter placement.Filter, model string) {
	known.byModel[model] = slices.DeleteFunc(known.byModel[model], func(id string) bool {
		engine, listed := view.Engines.Get(id)
		if listed && m.assigned[id] == model && filter.Check(engine) == placement.Permitted {
			return false
		}
		delete(m.assigned, id)
		return true
	})
}

// resize brings the number of a model's replicas near the need. The mutex must be held.
func (m *Manager) resize(known replicas, engines []*fleet.Engine, model string, needed int) {
	ids := known.byModel[model]
	wanted := int(replicaReserve * float64(needed))
	switch {
	case len(ids) < needed:
		for _, engine := range m.chooseReplicas(engines, model, wanted-len(ids)) {
			m.assigned[engine.ID] = model
			ids = append(ids, engine.ID)
		}
	case float64(len(ids)) > replicaExcess*float64(needed):
		for _, id := range ids[wanted:] {
			delete(m.assigned, id)
		}
		ids = ids[:wanted]
	}
	known.byModel[model] = ids
}

// chooseReplicas returns engines that keep up with no model yet: those that lag the least behind this one, and of those in the order of a hash, which
// spreads them over zones and is the same at each coordinating process. The mutex must be held.
func (m *Manager) chooseReplicas(engines []*fleet.Engine, model string, count int) []*fleet.Engine {
	type free struct {
		engine *fleet.Engine
		lag    int64
		order  uint64
	}
	key := rendezvous.Hash(model)
	var candidates []free
	for _, engine := range engines {
		if _, taken := m.assigned[engine.ID]; taken {
			continue
		}
		candidates = append(candidates, free{engine: engine, lag: m.lag(engine, model), order: rendezvous.Mix(key, rendezvous.Hash(engine.ID))})
	}
	slices.SortFunc(candidates, func(a, b free) int { return cmp.Or(cmp.Compare(a.lag, b.lag), cmp.Compare(a.order, b.order)) })
	chosen := make([]*fleet.Engine, 0, count)
	for _, candidate := range candidates[:min(count, len(candidates))] {
		chosen = append(chosen, candidate.engine)
	}
	return chosen
}
