package scheduler

import (
	"slices"
	"strings"
	"time"

	"github.com/covelink/covelink/coord/rendezvous"
	"github.com/covelink/covelink/internal/cluster"
)

// The distances between a node and an engine.
const (
	DistanceSameZone   = 0
	DistanceSameRegion = 1
	DistanceOther      = 2
)

// EngineState is what this node knows of an engine besides the view. The fields above InFlight follow from the view.
type EngineState struct {
	Hash uint64
	// Distance is that between this node's zone and the engine's.
	Distance int
	// Version is the higher of the view's and the observed weight version of the engine's incarnation.
	Version int64
	// Incarnation is the one that the observed fields belong to.
	Incarnation string
	// Unusable is set when the engine refuses the view's incarnation. It holds until the view's entry of the engine changes.
	Unusable bool
	// DrainingUntil keeps new requests off after the engine itself refused one as draining; the view may lag behind it.
	DrainingUntil time.Time

	// InFlight counts this node's requests on the engine.
	InFlight            int
	InFlightInteractive int
	// windows are this node's shares of the engine by class.
	windows [2]Window
	// ReportedLoad is the number of requests that the engine itself reported at ReportedAt.
	ReportedLoad int
	ReportedAt   time.Time
	// HoldUntil keeps new requests off after the engine refused one as loading.
	HoldUntil time.Time
	Breaker   Breaker
}

// Window returns this node's share of the engine for a class.
func (s *EngineState) Window(interactive bool) *Window { return &s.windows[class(interactive)] }

// InFlightOf counts this node's requests of a class on the engine.
func (s *EngineState) InFlightOf(interactive bool) int {
	if interactive {
		return s.InFlightInteractive
	}
	return s.InFlight - s.InFlightInteractive
}

// hasRoom reports whether the pool's limit and the node's share let one more request of the class start at now.
func (s *EngineState) hasRoom(now time.Time, interactive bool, limit int) bool {
	return s.InFlight < limit && s.Window(interactive).Open(now, s.InFlightOf(interactive))
}

// Reserve counts a request that is to start at now.
func (s *EngineState) Reserve(now time.Time, interactive bool) {
	s.InFlight++
	if interactive {
		s.InFlightInteractive++
	}
	s.Breaker.Start(now)
}

// Release takes back what Reserve counted.
func (s *EngineState) Release(interactive bool) {
	s.InFlight--
	if interactive {
		s.InFlightInteractive--
	}
	if s.InFlight < 0 || s.InFlightInteractive < 0 {
		panic("scheduler: release without reserve")
	}
}

// ObserveLoad takes over the number of requests that the engine reported.
func (s *EngineState) ObserveLoad(now time.Time, requests int) {
	s.ReportedLoad = requests
	s.ReportedAt = now
}

// ObserveVersion takes over a weight version that the incarnation stamped on a reply.
func (s *EngineState) ObserveVersion(incarnation string, version int64) {
	if incarnation == s.Incarnation {
		s.Version = max(s.Version, version)
	}
}

// Snapshot joins a view with the state of its engines.
type Snapshot struct {
	View *cluster.View
	// States stands beside View.Engines.
	States []*EngineState
	// pools holds the engines of each pool, with what the view alone decides about them.
	pools map[string][]row
	// departed holds the states of engines that left the view with requests in flight, by name.
	departed map[string]*EngineState
}

// row is one engine of a pool. removed is the filter by which the view alone removes it, or filterCount.
type row struct {
	index   int
	removed Filter
	name    string
	state   *EngineState
}

// NewSnapshot returns the snapshot of a view for a node in selfZone. States of engines that previous holds are carried
// over; what was observed of another incarnation is dropped. previous may be nil.
func NewSnapshot(view *cluster.View, selfZone string, previous *Snapshot) *Snapshot {
	known := previous.byName()
	next := &Snapshot{View: view, States: make([]*EngineState, len(view.Engines)), pools: make(map[string][]row)}
	for index := range view.Engines {
		engine := &view.Engines[index]
		old, found := known[engine.Name]
		if !found {
			old = knownState{state: &EngineState{Hash: rendezvous.Hash(engine.Name)}}
		}
		refresh(old, engine)
		old.state.Distance = distance(view, selfZone, engine.Zone)
		next.States[index] = old.state
		next.pools[engine.Pool] = append(next.pools[engine.Pool], row{
			index: index, removed: removedByView(view, engine), name: engine.Name, state: old.state,
		})
		delete(known, engine.Name)
	}
	next.departed = inFlight(known)
	return next
}

// inFlight keeps the states that still count requests, in case their engines come back.
func inFlight(known map[string]knownState) map[string]*EngineState {
	departed := make(map[string]*EngineState)
	for name, left := range known {
		if left.state.InFlight > 0 {
			departed[name] = left.state
		}
	}
	return departed
}

// Find returns the index of the engine of that name, or -1.
func (s *Snapshot) Find(name string) int {
	index, found := slices.BinarySearchFunc(s.View.Engines, name, func(engine cluster.Engine, target string) int {
		return strings.Compare(engine.Name, target)
	})
	if !found {
		return -1
	}
	return index
}

type knownState struct {
	state  *EngineState
	engine *cluster.Engine
}

func (s *Snapshot) byName() map[string]knownState {
	known := make(map[string]knownState)
	if s == nil {
		return known
	}
	for name, state := range s.departed {
		known[name] = knownState{state: state}
	}
	for index := range s.View.Engines {
		engine := &s.View.Engines[index]
		known[engine.Name] = knownState{state: s.States[index], engine: engine}
	}
	return known
}

// refresh brings the state to the view's entry of the engine.
func refresh(known knownState, engine *cluster.Engine) {
	state := known.state
	if known.engine == nil || !sameEntry(known.engine, engine) {
		state.DrainingUntil = time.Time{}
		state.Unusable = false
	}
	if state.Incarnation != engine.Incarnation {
		state.Incarnation = engine.Incarnation
		state.Version = engine.ActiveVersion
		state.ReportedLoad = 0
		state.HoldUntil = time.Time{}
		state.Breaker = Breaker{}
		state.windows = [2]Window{}
		return
	}
	state.Version = max(state.Version, engine.ActiveVersion)
}

// sameEntry reports whether the view says the same of the engine as before, as far as refusals depend on it.
func sameEntry(a, b *cluster.Engine) bool {
	return a.Incarnation == b.Incarnation && a.URL == b.URL && a.Zone == b.Zone && a.Leaving == b.Leaving
}

// removedByView returns the first filter by which the view alone removes the engine from its pool, or filterCount.
func removedByView(view *cluster.View, engine *cluster.Engine) Filter {
	switch {
	case !view.Permitted(engine.Pool, engine.Zone):
		return FilterZone
	case cordoned(view, engine.Zone):
		return FilterCordoned
	case engine.Leaving || draining(view, engine):
		return FilterLeaving
	case engine.Incarnation == "":
		return FilterIncarnation
	}
	return filterCount
}

func cordoned(view *cluster.View, zone string) bool {
	z, ok := view.Zones[zone]
	return ok && z.Spec.Cordoned
}

func draining(view *cluster.View, engine *cluster.Engine) bool {
	pool, ok := view.Pools[engine.Pool]
	return ok && slices.Contains(pool.Spec.DrainingEngines, engine.Name)
}

func distance(view *cluster.View, from, to string) int {
	if from == to {
		return DistanceSameZone
	}
	a, okA := view.Zones[from]
	b, okB := view.Zones[to]
	if okA && okB && a.Spec.Region == b.Spec.Region {
		return DistanceSameRegion
	}
	return DistanceOther
}

// Usable reports whether the engine's own failures and refusals let a request start at now.
func (s *EngineState) Usable(now time.Time) bool {
	return !s.Unusable && !now.Before(s.DrainingUntil) && !now.Before(s.HoldUntil) && s.Breaker.Ready(now)
}
