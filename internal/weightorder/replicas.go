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
	// replicaSetFactor is by how much a service's engines must exceed the need for replica sets to be used. With fewer, all engines are
	// divided among the models.
	replicaSetFactor = 2
	// replicaHeadroom is the size of a replica set relative to the need, so that small changes select no new engines; only as many as
	// needed load. A set that exceeds replicaShrinkFactor times the need is shrunk.
	replicaHeadroom     = 1.25
	replicaShrinkFactor = 2.0
)

// replicas are the replica sets of a service. They are stable across versions, since the engines hold shared prompts and open connections,
// and they keep the cost of a plan independent of the service's size. A plan over each of 10,000 engines for eight models took 38 ms.
type replicaSets struct {
	// byModel holds engine IDs.
	byModel map[string][]string
}

// selectReplicas returns the engines that are to keep the service's models up to date, and records their models in assigned. ok is false if
// the service has too few engines for replica sets. The mutex must be held.
func (m *Manager) selectReplicas(view *fleet.View, service string, engines []*fleet.Engine, models []string, now time.Time) (selected []*fleet.Engine, ok bool) {
	needed := make(map[string]int, len(models))
	total := 0
	slots := meanSlots(engines, (*fleet.Engine).SlotCount)
	for _, model := range models {
		needed[model] = m.neededOf(slots, model, now)
		total += needed[model]
	}
	if m.Demands == nil || len(engines) <= replicaSetFactor*int(replicaHeadroom*float64(total)) {
		delete(m.replicaSets, service)
		return nil, false
	}
	sets, ok := m.replicaSets[service]
	if !ok {
		sets = replicaSets{byModel: make(map[string][]string, len(models))}
		m.replicaSets[service] = sets
		for _, engine := range engines {
			delete(m.assigned, engine.ID)
		}
	}
	filter := placement.NewFilter(view, placement.Residency{})
	for _, model := range models {
		m.dropReplicas(sets, view, filter, model)
		m.resize(sets, engines, model, needed[model])
		ids := sets.byModel[model]
		for _, id := range ids[:min(needed[model], len(ids))] {
			engine, _ := view.Engines.Get(id)
			selected = append(selected, engine)
		}
	}
	return selected, true
}

// dropReplicas removes replicas that are no longer listed or permitted. The mutex must be held.
func (m *Manager) dropReplicas(sets replicaSets, view *fleet.View, filter placement.Filter, model string) {
	sets.byModel[model] = slices.DeleteFunc(sets.byModel[model], func(id string) bool {
		engine, listed := view.Engines.Get(id)
		if listed && m.assigned[id] == model && filter.Check(engine) == placement.Permitted {
			return false
		}
		delete(m.assigned, id)
		return true
	})
}

// resize adjusts the size of a model's replica set to the need. The mutex must be held.
func (m *Manager) resize(sets replicaSets, engines []*fleet.Engine, model string, needed int) {
	ids := sets.byModel[model]
	target := int(replicaHeadroom * float64(needed))
	switch {
	case len(ids) < needed:
		for _, engine := range m.chooseReplicas(engines, model, target-len(ids)) {
			m.assigned[engine.ID] = model
			ids = append(ids, engine.ID)
		}
	case float64(len(ids)) > replicaShrinkFactor*float64(needed):
		for _, id := range ids[target:] {
			delete(m.assigned, id)
		}
		ids = ids[:target]
	}
	sets.byModel[model] = ids
}

// chooseReplicas returns unassigned engines for a model: those with the least lag, then in hash order, which spreads them over zones and is
// the same at every coordinator. The mutex must be held.
func (m *Manager) chooseReplicas(engines []*fleet.Engine, model string, count int) []*fleet.Engine {
	type candidate struct {
		engine *fleet.Engine
		lag    int64
		order  uint64
	}
	key := rendezvous.Hash(model)
	var candidates []candidate
	for _, engine := range engines {
		if _, assigned := m.assigned[engine.ID]; assigned {
			continue
		}
		candidates = append(candidates, candidate{engine: engine, lag: m.lag(engine, model), order: rendezvous.Mix(key, rendezvous.Hash(engine.ID))})
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Or(cmp.Compare(a.lag, b.lag), cmp.Compare(a.order, b.order)) })
	chosen := make([]*fleet.Engine, 0, count)
	for _, next := range candidates[:min(count, len(candidates))] {
		chosen = append(chosen, next.engine)
	}
	return chosen
}
