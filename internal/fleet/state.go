// Package fleet holds what a process knows of the deployment: the route table in force and the engines that are listed. Both
// are replaced as a whole and never go back.
package fleet

import (
	"sync"

	"github.com/covelink/covelink/internal/routing"
)

// Engine is one listed process that executes requests. Each start of it is another Engine with another ID.
type Engine struct {
	ID      string
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
}

// View is one state of the deployment. It is not changed once it is handed out.
type View struct {
	// Routes is nil until the first table is known.
	Routes *routing.Table
	// Engines are all listed engines by ID, the leaving ones included.
	Engines map[string]*Engine
	// ready maps a service to its engines that take work, in the order of their IDs.
	ready map[string][]*Engine
}

// Ready returns the engines of a service that take work, in the order of their IDs.
func (v *View) Ready(service string) []*Engine { return v.ready[service] }

// State is the newest View. It is safe for concurrent use.
type State struct {
	mu      sync.RWMutex
	view    *View
	changed chan struct{}
}

// NewState returns a State that knows nothing.
func NewState() *State {
	return &State{view: &View{}, changed: make(chan struct{})}
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

// Reset forgets everything, for a process that has not followed the deployment for a while.
func (s *State) Reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replace(&View{})
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

// SetEngines replaces the list of engines, which must be in the order of their IDs.
func (s *State) SetEngines(engines []*Engine) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := &View{
		Routes:  s.view.Routes,
		Engines: make(map[string]*Engine, len(engines)),
		ready:   make(map[string][]*Engine),
	}
	for _, engine := range engines {
		next.Engines[engine.ID] = engine
		if engine.Ready {
			next.ready[engine.Service] = append(next.ready[engine.Service], engine)
		}
	}
	s.replace(next)
}

func (s *State) replace(next *View) {
	s.view = next
	close(s.changed)
	s.changed = make(chan struct{})
}
