package configsync

import (
	"cmp"
	"slices"

	"github.com/go-kit/log/level"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/cluster"
)

// publishLocked brings the replica's state into force as the node's view, if anything has changed or force is set.
func (m *Manager) publishLocked(force bool) {
	state := m.replica.State()
	serving, reason := m.replica.Serving(m.now())
	next := publication{version: state.Version, serving: serving, reason: reason}
	until, before := m.replica.LeaseUntil(), m.servingUntil
	m.servingUntil = until
	if next == m.published && !force && (until.Equal(before) || m.now().Before(before)) {
		m.params.Holder.Extend(until)
		return
	}
	if serving != m.published.serving {
		level.Info(m.logger).Log("msg", "serving changed", "serving", serving, "reason", reason, "revision", state.Revision)
	}
	m.published = next
	m.since = m.since.next(m.observeLocked(), m.now().UTC().Round(0))
	m.metrics.observe(m.self.Zone, state, serving)
	view := buildView(state, m.index, m.nodes)
	view.Serving = serving
	view.ServingUntil = until
	view.NotServingReason = reason
	m.params.Holder.Update(func(*cluster.View) *cluster.View { return view })
}

func buildView(state State, index objectIndex, nodes []cluster.Node) *cluster.View {
	view := &cluster.View{
		Revision:     state.Revision,
		Zones:        make(map[string]*v1.Zone),
		Pools:        make(map[string]*v1.Pool),
		Trainers:     make(map[string]*v1.Trainer),
		Applications: make(map[string]*v1.Application),
		Engines:      enginesOf(state.Inventories),
		Nodes:        slices.SortedFunc(slices.Values(nodes), compareNodes),
	}
	for key, object := range index.objects {
		switch typed := object.(type) {
		case *v1.Zone:
			view.Zones[key.Name] = typed
		case *v1.Pool:
			view.Pools[key.Name] = typed
		case *v1.Trainer:
			view.Trainers[key.Name] = typed
		case *v1.Application:
			view.Applications[key.Name] = typed
		}
	}
	return view
}

func compareNodes(a, b cluster.Node) int { return cmp.Compare(a.Name, b.Name) }

// enginesOf returns the engines of every zone, sorted by name.
func enginesOf(inventories map[string]Inventory) []cluster.Engine {
	var engines []cluster.Engine
	for _, inventory := range inventories {
		engines = append(engines, inventory.Engines...)
	}
	slices.SortFunc(engines, func(a, b cluster.Engine) int { return cmp.Compare(a.Name, b.Name) })
	return engines
}
