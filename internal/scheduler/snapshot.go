package scheduler

import (
	"slices"
	"strings"
	"time"

	"github.com/covelink/covelink/coord/rendezvous"
	"github.com/covelink/covelink/internal/cluster"
)

// Distances between a node and an engine.
const (
	DistanceSameZone   = 0
	DistanceSameRegion = 1
	DistanceOther      = 2
)

// EngineState is this node's state of an engine. The fields above InFlight depend on the view.
type EngineState struct {
	Hash uint64
	// Distance is that between this node's zone and the engine's.
	Distance int
	// Version is the higher of the view's and the observed weight version of the incarnation.
	Version int64
	// Incarnation is the one that the observed fields belong to.
	Incarnation string
	// Unusable is set if the engine rejects the view's incarnation, until the view's entry of the engine changes.
	Unusable bool
	// DrainingUntil holds off new requests after the engine refused one as draining, which the view may show later.
	DrainingUntil time.Time

	// InFlight counts this node's requests on the engine.
	InFlight            int
	InFlightInteractive int
	// windows are this node's concurrency windows at the engine, by class.
	windows [2]Window
	// ReportedLoad is the number of requests that the engine reported at ReportedAt.
	ReportedLoad int
	ReportedAt   time.Time
	// HoldUntil holds off new requests after the engine refused one because it was loading.
	HoldUntil time.Time
	Breaker   Breaker
}

// Window returns this node's concurrency window at the engine for a class.
func (s *EngineState) Window(interactive bool) *Window { return &s.windows[class(interactive)] }

// InFlightOf counts this node's requests of a class on the engine.
func (s *EngineState) InFlightOf(interactive bool) int {
	if interactive {
		return s.InFlightInteractive
	}
	return s.InFlight - s.InFlightInteractive
}

// hasRoom reports whether the pool's limit and the node's window admit one more request of the class at now.
func (s *EngineState) hasRoom(now time.Time, interactive bool, limit int) bool {
	return s.InFlight < limit && s.Window(interactive).Allows(now, s.InFlightOf(interactive))
}

// Reserve counts a request that starts at now.
func (s *EngineState) Reserve(now time.Time, interactive bool) {
	s.InFlight++
	if interactive {
		s.InFlightInteractive++
	}
	s.Breaker.Start(now)
}

// Release reverses the count of Reserve.
func (s *EngineState) Release(interactive bool) {
	s.InFlight--
	if interactive {
		s.InFlightInteractive--
	}
	if s.InFlight < 0 || s.InFlightInteractive < 0 {
		panic("scheduler: release without reserve")
	}
}

// ObserveLoad records the number of requests that the engine reported.
func (s *EngineState) ObserveLoad(now time.Time, requests int) {
	s.ReportedLoad = requests
	s.ReportedAt = now
}

// ObserveVersion records a weight version from a reply of the incarnation.
func (s *EngineState) ObserveVersion(incarnation string, version int64) {
	if incarnation == s.Incarnation {
		s.Version = max(s.Version, version)
	}
}

// Snapshot combines a view with the state of its engines.
type Snapshot struct {
	View *cluster.View
	// States is parallel to View.Engines.
	States []*EngineState
	// pools holds the engines of each pool with the filters that depend on the view only.
	pools map[string][]row
	// departed holds the states of engines that left the view with requests in flight, by name.
	departed map[string]*EngineState
}

// row is an engine of a pool. removed is the filter by which the view alone removes it, or filterCount.
type row struct {
	index   int
	removed Filter
	name    string
	state   *EngineState
}

// NewSnapshot returns the snapshot of a view for a node in selfZone. It carries over the engine states of previous, which may be nil,
// without observations of other incarnations.
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

// inFlight returns the states with requests in flight, for engines that may return.
func inFlight(known map[string]knownState) map[string]*EngineState {
	departed := make(map[string]*EngineState)
	for name, left := range known {
		if left.state.InFlight > 0 {
			departed[name] = left.state
		}
	}
	return departed
}

// Find returns the index of the named engine, or -1.
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

// refresh updates the state from the view's entry of the engine.
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

// sameEntry reports whether two entries are equal in the fields on which refusals depend.
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

// Usable reports whether the engine's failures and refusals allow a request to start at now.
func (s *EngineState) Usable(now time.Time) bool {
	return !s.Unusable && !now.Before(s.DrainingUntil) && !now.Before(s.HoldUntil) && s.Breaker.Ready(now)
}
