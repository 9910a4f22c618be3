// Package machines is a stand-in of the platform's machine list. Its answers lag behind the changes by a setting,
// and an outage makes it answer 503.
package machines

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/covelink/covelink/api/machinesv1"
	"github.com/covelink/covelink/internal/lab/httpserver"
)

const (
	defaultKeep  = 10 * time.Minute
	maxBodyBytes = 64 << 10
)

// Config configures a Server.
type Config struct {
	// Listen is the host:port to listen on; empty means a free port of the loopback address.
	Listen string
	// Lag is how old answers are.
	Lag time.Duration
	// Keep bounds the age of the list that can still be answered. Default 10 minutes.
	Keep time.Duration
	// Machines is the list at the start.
	Machines []machinesv1.Machine
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// Server is the stand-in.
type Server struct {
	logger log.Logger
	now    func() time.Time
	http   *httpserver.Server

	mu      sync.Mutex
	history *history
	lag     time.Duration
	outage  bool
}

// New returns a Server that does not listen yet.
func New(config Config, logger log.Logger) *Server {
	if config.Listen == "" {
		config.Listen = "127.0.0.1:0"
	}
	if config.Keep <= 0 {
		config.Keep = defaultKeep
	}
	if config.Now == nil {
		config.Now = time.Now
	}
	server := &Server{
		logger:  logger,
		now:     config.Now,
		history: newHistory(config.Now(), config.Keep, config.Machines),
		lag:     config.Lag,
	}
	server.http = httpserver.New("machine list", config.Listen, server.Handler(), logger)
	return server
}

// Start listens and serves until Stop.
func (s *Server) Start() error { return s.http.Start() }

// URL returns the base URL, or "" before Start.
func (s *Server) URL() string { return s.http.URL() }

// Stop ends the server after the requests in flight, or when ctx ends.
func (s *Server) Stop(ctx context.Context) error { return s.http.Stop(ctx) }

// SetLag changes how old answers are.
func (s *Server) SetLag(lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lag = lag
}

// SetOutage makes every request fail with 503 while down is true.
func (s *Server) SetOutage(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = down
}

// Put adds or replaces a machine.
func (s *Server) Put(machine machinesv1.Machine) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history.change(s.now(), func(all map[string]machinesv1.Machine) { all[machine.Name] = machine })
}

// Delete removes a machine; an unknown name changes nothing but the revision.
func (s *Server) Delete(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history.change(s.now(), func(all map[string]machinesv1.Machine) { delete(all, name) })
}

// List returns what a reader gets now.
func (s *Server) List(zone string) machinesv1.List {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.history.list(s.now().Add(-s.lag), zone)
}

// Handler returns the HTTP surface, for use without a listener.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+machinesv1.PathMachines, s.getList)
	mux.HandleFunc("PUT "+machinesv1.PathMachines+"/{name}", s.putMachine)
	mux.HandleFunc("DELETE "+machinesv1.PathMachines+"/{name}", s.deleteMachine)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.down() {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

func (s *Server) down() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outage
}

func (s *Server) getList(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	err := json.NewEncoder(w).Encode(s.List(r.URL.Query().Get(machinesv1.ParamZone)))
	if err != nil {
		level.Debug(s.logger).Log("msg", "list not sent", "err", err)
	}
}

func (s *Server) putMachine(w http.ResponseWriter, r *http.Request) {
	var machine machinesv1.Machine
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&machine); err != nil {
		http.Error(w, "body is not a machine", http.StatusBadRequest)
		return
	}
	machine.Name = r.PathValue("name")
	if problem := check(machine); problem != "" {
		http.Error(w, problem, http.StatusBadRequest)
		return
	}
	s.Put(machine)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) deleteMachine(w http.ResponseWriter, r *http.Request) {
	s.Delete(r.PathValue("name"))
	w.WriteHeader(http.StatusNoContent)
}

// check returns what is wrong with a machine, or "".
func check(machine machinesv1.Machine) string {
	switch {
	case machine.Zone == "":
		return "zone is empty"
	case machine.Role != machinesv1.RoleEngine && machine.Role != machinesv1.RoleNode:
		return "role is neither engine nor node"
	case machine.State != machinesv1.StateLive && machine.State != machinesv1.StateLeaving:
		return "state is neither live nor leaving"
	}
	return ""
}
