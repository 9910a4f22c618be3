package sim

import (
	"maps"
	"slices"
	"strings"

	"github.com/covelink/covelink/api/enginev1"
	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/cluster"
	"github.com/covelink/covelink/internal/weights"
)

// zone is what a zone's coordinator does: it knows the zone's engines, tells the other zones of them, and brings them to
// the weights wanted.
type zone struct {
	sim   *simulation
	name  string
	nodes []*node
	// known holds the zone's engines as observed; revision counts its changes.
	known    map[string]cluster.Engine
	revision int
	// told holds the revision that each zone has been told.
	told       map[string]int
	publishing bool
	// parts holds the engines of every zone as this zone was told, and view the view that follows.
	parts map[string][]cluster.Engine
	view  *cluster.View

	down     bool
	term     uint64
	core     *weights.Core
	targets  map[string]v1.WeightVersion
	ticking  bool
	planning bool
}

func (s *simulation) addZones() {
	for _, spec := range s.scenario.Zones {
		z := &zone{
			sim: s, name: spec.Name, known: make(map[string]cluster.Engine), told: make(map[string]int),
			parts: make(map[string][]cluster.Engine), targets: make(map[string]v1.WeightVersion),
		}
		z.newTerm()
		s.zones = append(s.zones, z)
		s.zoneOf[z.name] = z
	}
	for _, pool := range s.scenario.Pools {
		s.history.Permitted[pool.Name] = pool.PermittedZones
	}
}

func (z *zone) newTerm() {
	z.term++
	z.core = weights.NewCore(z.name, z.term, weights.DefaultLimits())
}

// observe takes over what an engine of the zone said of itself.
func (z *zone) observe(host *engineHost, load enginev1.Load) {
	entry := z.known[host.name]
	if entry.Incarnation == load.Incarnation && entry.ActiveVersion == load.ActiveVersion &&
		slices.Equal(entry.PreparedVersions, load.PreparedVersions) {
		return
	}
	entry.Incarnation = load.Incarnation
	entry.ActiveVersion = load.ActiveVersion
	entry.PreparedVersions = load.PreparedVersions
	z.set(entry)
}

// set replaces what is known of an engine and tells of it soon.
func (z *zone) set(entry cluster.Engine) {
	z.known[entry.Name] = entry
	z.revision++
	z.publishSoon()
}

func (z *zone) publishSoon() {
	if z.publishing {
		return
	}
	z.publishing = true
	z.sim.after(z.sim.scenario.System.ViewInterval, z.publish)
}

// publish tells every zone that has not been told the newest revision.
func (z *zone) publish() {
	z.publishing = false
	if z.down {
		return
	}
	entries := z.entries()
	for _, other := range z.sim.zones {
		if z.told[other.name] == z.revision {
			continue
		}
		arrives := z.sim.network.send(z.name, other.name, func() { other.receive(z.name, entries) })
		if arrives {
			z.told[other.name] = z.revision
			continue
		}
		z.publishSoon()
	}
}

func (z *zone) entries() []cluster.Engine {
	entries := slices.Collect(maps.Values(z.known))
	slices.SortFunc(entries, func(a, b cluster.Engine) int { return strings.Compare(a.Name, b.Name) })
	return entries
}

// receive takes in the engines of a zone and gives the zone's nodes the view that follows.
func (z *zone) receive(from string, entries []cluster.Engine) {
	z.parts[from] = entries
	if z.down {
		return
	}
	z.rebuild()
	for _, n := range z.nodes {
		n.setView(z.view)
	}
	z.planSoon()
}

// rebuild makes the view of all that the zone was told.
func (z *zone) rebuild() {
	view := z.sim.emptyView()
	for _, other := range z.sim.zones {
		view.Engines = append(view.Engines, z.parts[other.name]...)
	}
	slices.SortFunc(view.Engines, func(a, b cluster.Engine) int { return strings.Compare(a.Name, b.Name) })
	z.view = view
}

// emptyView returns the resources of the scenario without engines.
func (s *simulation) emptyView() *cluster.View {
	view := &cluster.View{
		Revision: 1, Serving: true,
		Zones: map[string]*v1.Zone{}, Pools: map[string]*v1.Pool{}, Trainers: map[string]*v1.Trainer{},
	}
	for _, spec := range s.scenario.Zones {
		view.Zones[spec.Name] = &v1.Zone{Metadata: v1.ObjectMeta{Name: spec.Name}, Spec: v1.ZoneSpec{Region: spec.Region}}
	}
	for _, spec := range s.scenario.Pools {
		reserve := spec.InteractiveReserve
		if s.scenario.Policy.NoReserve {
			reserve = 0
		}
		view.Pools[spec.Name] = &v1.Pool{Metadata: v1.ObjectMeta{Name: spec.Name}, Spec: v1.PoolSpec{
			Model: spec.Name, PermittedZones: spec.PermittedZones, MaxTokens: spec.MaxTokens,
			MaxConcurrent: spec.MaxConcurrent, InteractiveReserve: reserve,
		}}
	}
	return view
}

// target takes in weights that a pool is to run.
func (z *zone) target(pool string, wanted v1.WeightVersion) {
	if wanted.Version <= z.targets[pool].Version {
		return
	}
	z.targets[pool] = wanted
	z.planSoon()
	if !z.ticking {
		z.ticking = true
		z.tick()
	}
}

func (z *zone) tick() {
	z.planSoon()
	z.sim.after(weights.DefaultLimits().PollInterval, z.tick)
}

// planSoon plans once for everything that happens at this moment.
func (z *zone) planSoon() {
	if z.planning || z.down {
		return
	}
	z.planning = true
	z.sim.after(0, func() {
		z.planning = false
		if !z.down {
			z.plan()
		}
	})
}

func (z *zone) plan() {
	orders, polls := z.core.Reconcile(z.sim.now, z.view, z.targets)
	for _, order := range orders {
		z.order(order)
	}
	for _, target := range polls {
		z.poll(target)
	}
}

// order sends an order and takes in its end, unless the term has ended meanwhile.
func (z *zone) order(order weights.SentOrder) {
	core := z.core
	z.exchange(order.Engine, func(host *engineHost) (*enginev1.Load, *enginev1.Refusal) { return host.order(order.Order.Order) },
		func(load *enginev1.Load, refusal *enginev1.Refusal) {
			if core != z.core {
				return
			}
			if core.Finish(z.sim.now, order, load, refusal) && load != nil {
				z.observe(z.sim.engineOf[order.Engine], *load)
			}
			z.planSoon()
		})
}

func (z *zone) poll(target weights.PollTarget) {
	core, started := z.core, z.sim.now
	z.exchange(target.Name, func(host *engineHost) (*enginev1.Load, *enginev1.Refusal) { return host.report(), nil },
		func(load *enginev1.Load, _ *enginev1.Refusal) {
			if core != z.core {
				return
			}
			core.FinishPoll(started, target, load)
			if load != nil {
				z.observe(z.sim.engineOf[target.Name], *load)
			}
			z.planSoon()
		})
}

// exchange carries a call to an engine of the zone and its answer back. A call without an answer ends by its timeout.
func (z *zone) exchange(
	name string, call func(*engineHost) (*enginev1.Load, *enginev1.Refusal), ended func(*enginev1.Load, *enginev1.Refusal),
) {
	s, host := z.sim, z.sim.engineOf[name]
	answered := false
	finish := func(load *enginev1.Load, refusal *enginev1.Refusal) {
		if !answered {
			answered = true
			ended(load, refusal)
		}
	}
	s.after(weights.DefaultLimits().OrderTimeout, func() { finish(nil, nil) })
	s.network.send(z.name, z.name, func() {
		host.whenAwake(func() {
			if host.engine == nil {
				return
			}
			load, refusal := call(host)
			s.network.send(z.name, z.name, func() { finish(load, refusal) })
		})
	})
}
