// Package fleet holds what a process knows of the deployment: the route table in force, the engines that are listed, the regions of its
// zones and the zones that are evacuated. Each is replaced as a whole and never goes back.
package fleet

import (
	"cmp"
	"sync"
	"time"

	"github.com/covelink/covelink/internal/routing"
	"github.com/covelink/covelink/internal/sharedmap"
)

// Engine is one start of a listed process that executes requests. Another start of it is another Engine with another ID, so that nothing that is kept by
// ID outlives a start: weight versions, paces, order numbers, evidence against it.
type Engine struct {
	// ID identifies the start within the deployment.
	ID string
	// Name is what the platform calls the process, if that may start again under the same name; empty if the name is the ID.
	Name    string
	Service string
	// Address is host:port.
	Address string
	Zone    string
	// Slots is how many requests it works on at once.
	Slots int
	// Ready is false once the engine is leaving.
	Ready bool
	// Versions maps each model that it holds to its weight version.
	Versions map[string]int64
	// ColdRemaining is how much longer the engine is cold, and serves only its service's cold rate, as of when it wrote its entry; zero for a warm
	// engine.
	ColdRemaining time.Duration
}

// PlatformName returns what the platform calls the process.
func (e *Engine) PlatformName() string { return cmp.Or(e.Name, e.ID) }

// View is one state of the deployment. It is not changed once it is handed out.
type View struct {
	// Routes is nil until the first table is known.
	Routes *routing.Table
	// Engines are all listed engines by ID, the leaving ones included.
	Engines sharedmap.Map[*Engine]
	// Topology tells the region of each zone.
	Topology Topology
	// Evacuations are the evacuated zones; nil while they are not known, when nothing may be sent to any zone.
	Evacuations *Evacuations
	// ready maps a service to its engines that are not leaving, in the order of their IDs.
	ready map[string][]*Engine
	// open maps a service to its ready engines whose zones are not evacuated, in the same order.
	open map[string][]*Engine
}

// Ready returns the engines of a service that are not leaving, in the order of their IDs. Package placement tells which of them may run a request.
func (v *View) Ready(service string) []*Engine { return v.ready[service] }

// Open returns the engines of a service that are not leaving and whose zones are known not to be evacuated, in the order of their IDs.
func (v *View) Open(service string) []*Engine { return v.open[service] }

// readyOutsideEvacuations returns the ready engines whose zones are known not to be evacuated, by service.
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
			if !v.Evacuations.Include(engine.Zone) {
				open[service] = append(open[service], engine)
			}
		}
	}
	return open
}

// State is the newest View. It is safe for concurrent use.
type State struct {
	mu      sync.RWMutex
	view    *View
	changed chan struct{}
	// initial are the evacuations before SetEvacuations: nil, for unknown, after FollowEvacuations, else none.
	initial *Evacuations
}

// NewState returns a State that knows no routes and no engines. No zone is evacuated unless FollowEvacuations is called.
func NewState() *State {
	none := &Evacuations{}
	return &State{view: &View{Evacuations: none}, initial: none, changed: make(chan struct{})}
}

// FollowEvacuations makes the evacuations unknown until SetEvacuations, as for a process that follows them in the store. It must be called before
// the state is used.
func (s *State) FollowEvacuations() {
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

// SetEvacuations replaces the evacuations. It reports false, and changes nothing, if the known ones are as of a later revision.
func (s *State) SetEvacuations(evacuations *Evacuations) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if known := s.view.Evacuations; known != nil && evacuations.revision < known.revision {
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

// Changed returns the newest view and a channel that is closed when there is a newer one.
func (s *State) Changed() (*View, <-chan struct{}) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.view, s.changed
}

// Reset forgets everything but the topology, which comes from the settings: for a process that has not followed the deployment for a while.
func (s *State) Reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replace(&View{Topology: s.view.Topology, Evacuations: s.initial})
}

// SetRoutes puts a table in force. It reports false, and changes nothing, if the table is no newer than the one in force.
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

// SetEngines replaces the engines. What it does grows with those that differ from the last ones, beside a copy of the services' lists.
func (s *State) SetEngines(engines sharedmap.Map[*Engine]) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.view
	if sharedmap.Same(before.Engines, engines) && before.ready != nil {
		return
	}
	next := *before
	next.Engines = engines
	lists := newReadyLists(before.ready)
	sharedmap.Diff(before.Engines, engines, func(id string, engine *Engine) {
		known, listed := before.Engines.Get(id)
		if known == engine {
			return
		}
		if listed && known.Ready {
			lists.remove(known)
		}
		if engine.Ready {
			lists.add(engine)
		}
	}, func(id string) {
		if known, _ := before.Engines.Get(id); known.Ready {
			lists.remove(known)
		}
	})
	next.ready = lists.merged()
	s.replace(&next)
}

// SetEngineList replaces the engines by those of a list.
func (s *State) SetEngineList(engines []*Engine) {
	edit := sharedmap.Map[*Engine]{}.Edit()
	for _, engine := range engines {
		edit.Set(engine.ID, engine)
	}
	s.SetEngines(edit.Map())
}

func (s *State) replace(next *View) {
	next.open = next.readyOutsideEvacuations()
	s.view = next
	close(s.changed)
	s.changed = make(chan struct{})
}
