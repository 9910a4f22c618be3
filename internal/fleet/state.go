// Package fleet holds a process's view of the deployment: the active route table, the listed engines, the regions of zones and the evacuated
// zones. Each is replaced as a whole; routes and evacuations never go back to an earlier version.
package fleet

import (
	"cmp"
	"sync"
	"time"

	"github.com/covelink/covelink/internal/routing"
	"github.com/covelink/covelink/internal/sharedmap"
)

// Engine is one incarnation of an engine process. A restart is a different Engine with a different ID, so that state keyed by ID does not
// survive a restart.
type Engine struct {
	// ID identifies the incarnation within the deployment.
	ID string
	// Name is the platform's name of the process if it is kept over restarts; empty if it equals ID.
	Name    string
	Service string
	// Address is host:port.
	Address string
	Zone    string
	// Slots is the number of requests that it executes concurrently.
	Slots int
	// Ready is false once the engine is draining.
	Ready bool
	// Versions maps each loaded model to its weight version.
	Versions map[string]int64
	// ColdRemaining is how much longer the engine warms up, limited to its service's cold rate, as of the writing of its entry; zero for a
	// warm engine.
	ColdRemaining time.Duration
}

// PlatformName returns the platform's name of the process.
func (e *Engine) PlatformName() string { return cmp.Or(e.Name, e.ID) }

// DefaultSlots is the number of slots assumed of an engine that reports none.
const DefaultSlots = 4

// SlotCount returns the number of requests that the engine executes concurrently, or DefaultSlots if it reports none.
func (e *Engine) SlotCount() int {
	if e.Slots <= 0 {
		return DefaultSlots
	}
	return e.Slots
}

// View is an immutable snapshot of the deployment.
type View struct {
	// Routes is nil until the first table is known.
	Routes *routing.Table
	// Engines maps the IDs of all listed engines, including draining ones, to the engines.
	Engines sharedmap.Map[*Engine]
	// Topology maps zones to regions.
	Topology Topology
	// Evacuations are the evacuated zones; nil while they are unknown, when nothing may be sent to any zone.
	Evacuations *Evacuations
	// ready maps each service to its engines that are not draining, sorted by ID.
	ready map[string][]*Engine
	// dispatchable maps each service to its ready engines outside evacuated zones, sorted by ID.
	dispatchable map[string][]*Engine
}

// Ready returns the engines of a service that are not draining, sorted by ID. Package placement decides which of them may run a request.
func (v *View) Ready(service string) []*Engine { return v.ready[service] }

// Dispatchable returns the ready engines of a service in zones known not to be evacuated, sorted by ID.
func (v *View) Dispatchable(service string) []*Engine { return v.dispatchable[service] }

// readyOutsideEvacuations returns the ready engines in zones known not to be evacuated, by service.
func (v *View) readyOutsideEvacuations() map[string][]*Engine {
	if v.Evacuations == nil {
		return nil
	}
	if len(v.Evacuations.since) == 0 {
		return v.ready
	}
	open := make(map[string][]*Engine, len(v.ready))
	for service, engines := range v.ready {
		for _, engine := range engines {
			if !v.Evacuations.Contains(engine.Zone) {
				open[service] = append(open[service], engine)
			}
		}
	}
	return open
}

// State holds the newest View. It is safe for concurrent use.
type State struct {
	mu      sync.RWMutex
	view    *View
	changed chan struct{}
	// initial are the evacuations before SetEvacuations: nil (unknown) after MarkEvacuationsUnknown, otherwise none.
	initial *Evacuations
}

// NewState returns a State without routes, engines and evacuations. A process that reads evacuations calls MarkEvacuationsUnknown.
func NewState() *State {
	none := &Evacuations{}
	return &State{view: &View{Evacuations: none}, initial: none, changed: make(chan struct{})}
}

// MarkEvacuationsUnknown makes the evacuations unknown until SetEvacuations, for a process that reads them from the store. It must be called
// before the state is used.
func (s *State) MarkEvacuationsUnknown() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.initial = nil
	next := *s.view
	next.Evacuations = nil
	s.replace(&next)
}

// SetTopology replaces the topology.
func (s *State) SetTopology(topology Topology) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := *s.view
	next.Topology = topology
	s.replace(&next)
}

// SetEvacuations replaces the evacuations. It reports false, and changes nothing, if the current ones have a later revision.
func (s *State) SetEvacuations(evacuations *Evacuations) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if current := s.view.Evacuations; current != nil && evacuations.revision < current.revision {
		return false
	}
	next := *s.view
	next.Evacuations = evacuations
	s.replace(&next)
	return true
}

// View returns the newest view.
func (s *State) View() *View {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.view
}

// Changed returns the newest view and a channel that is closed when it is replaced.
func (s *State) Changed() (*View, <-chan struct{}) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.view, s.changed
}

// Reset discards everything except the topology, which comes from the settings. It is for a process that has not followed the deployment for a
// while.
func (s *State) Reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replace(&View{Topology: s.view.Topology, Evacuations: s.initial})
}

// SetRoutes activates a route table. It reports false, and changes nothing, if the table is not newer than the active one.
func (s *State) SetRoutes(table *routing.Table) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.view.Routes != nil && table.Version <= s.view.Routes.Version {
		return false
	}
	next := *s.view
	next.Routes = table
	s.replace(&next)
	return true
}

// SetEngines replaces the engines. Its cost grows with the number of changed engines, apart from a copy of each changed service's list.
func (s *State) SetEngines(engines sharedmap.Map[*Engine]) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.view
	if sharedmap.Identical(before.Engines, engines) && before.ready != nil {
		return
	}
	next := *before
	next.Engines = engines
	lists := newReadyLists(before.ready)
	sharedmap.Diff(before.Engines, engines, func(id string, engine *Engine) {
		previous, listed := before.Engines.Get(id)
		if previous == engine {
			return
		}
		if listed && previous.Ready {
			lists.remove(previous)
		}
		if engine.Ready {
			lists.add(engine)
		}
	}, func(id string) {
		if previous, _ := before.Engines.Get(id); previous.Ready {
			lists.remove(previous)
		}
	})
	next.ready = lists.merged()
	s.replace(&next)
}

// SetEngineList replaces the engines with those of a list.
func (s *State) SetEngineList(engines []*Engine) {
	edit := sharedmap.Map[*Engine]{}.Edit()
	for _, engine := range engines {
		edit.Set(engine.ID, engine)
	}
	s.SetEngines(edit.Map())
}

func (s *State) replace(next *View) {
	next.dispatchable = next.readyOutsideEvacuations()
	s.view = next
	close(s.changed)
	s.changed = make(chan struct{})
}
