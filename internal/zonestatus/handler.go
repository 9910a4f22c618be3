package zonestatus

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/storerelay"
)

const (
	// ListPath is where a process lists the zones, with GET.
	ListPath = "/debug/zones"
	// EvacuatePath and RestorePath, each followed by a zone's name, are where an operator evacuates or restores the zone, with POST.
	EvacuatePath = "/debug/zones/evacuate/"
	RestorePath  = "/debug/zones/restore/"
	// zoneField names the part of the path.
	zoneField = "zone"
	// writeTimeout bounds a write to the store. covelinkctl waits longer for its answer, so that it learns of a write that was not confirmed.
	writeTimeout = 4 * time.Second
)

// Written is the answer to a request that was stored.
type Written struct {
	Zone string `json:"zone"`
	// Revision is the store's revision at which the zone became evacuated, which is older than the request if it was evacuated already; zero if
	// the zone was restored.
	Revision int64 `json:"revision"`
}

// Writer changes which zones are evacuated, in the store.
type Writer interface {
	// Evacuate returns the revision at which the zone became evacuated. It does not change a zone that is evacuated already.
	Evacuate(ctx context.Context, zone string) (int64, error)
	// Restore ends the evacuation of a zone. It does not change a zone that is not evacuated.
	Restore(ctx context.Context, zone string) error
}

// Params are what a Status works with.
type Params struct {
	// Node is the name of the process.
	Node  string
	State *fleet.State
	// Writer is nil if the settings do not let zones be evacuated.
	Writer Writer
	Logger log.Logger
}

// Source is what a process knows beside the state, which depends on its role.
type Source struct {
	// Follows reports whether the state is kept up to date; nil means always.
	Follows func() bool
	// Coordinator returns the coordinating process; nil if that is never known.
	Coordinator func() Coordinator
	// Spread returns which processes know the newest evacuations; false while the process does not coordinate. Nil if it never does.
	Spread func() (storerelay.Propagation, bool)
	// Relays returns the processes that answer others while this one coordinates; nil if it never does.
	Relays func() []storerelay.RelayStatus
}

// Status answers operators' requests about zones. It is safe for concurrent use.
type Status struct {
	Params
	mu     sync.Mutex
	source Source
}

// New returns a Status without a Source: it shows the state alone until SetSource.
func New(params Params) *Status { return &Status{Params: params} }

// SetSource replaces the Source.
func (s *Status) SetSource(source Source) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.source = source
}

// List returns what the process knows now.
func (s *Status) List() List {
	s.mu.Lock()
	source := s.source
	s.mu.Unlock()
	view := s.State.View()
	list := List{Node: s.Node, Follows: source.Follows == nil || source.Follows(), Known: view.Evacuations != nil, Zones: ZonesOf(view)}
	if list.Known {
		list.Revision = view.Evacuations.Revision()
	}
	if source.Coordinator != nil {
		list.Coordinator = source.Coordinator()
	}
	if source.Spread == nil {
		return list
	}
	if spread, leading := source.Spread(); leading {
		list.Progress = progressOf(spread)
		if source.Relays != nil {
			list.Progress.Relays = relaysOf(source.Relays())
		}
	}
	return list
}

func progressOf(spread storerelay.Propagation) *Progress {
	progress := &Progress{Revision: int64(spread.Revision), Polling: len(spread.Pollers), Behind: []Behind{}}
	for _, poller := range spread.Pollers {
		switch {
		case spread.UpToDate(poller):
			progress.Holding++
		case len(progress.Behind) < maxBehind:
			behind := Behind{Name: poller.Name, Zone: poller.Zone, Revision: int64(poller.Known), PolledMillis: poller.Age.Milliseconds()}
			progress.Behind = append(progress.Behind, behind)
		}
	}
	return progress
}

func relaysOf(statuses []storerelay.RelayStatus) []Relay {
	relays := make([]Relay, 0, len(statuses))
	for _, status := range statuses {
		relays = append(relays, Relay{Name: status.Name, Processes: status.Processes, Holding: status.UpToDate, PolledMillis: status.Age.Milliseconds()})
	}
	return relays
}

// Handle registers the paths with a server.
func (s *Status) Handle(routes *http.ServeMux) {
	routes.HandleFunc("GET "+ListPath, func(w http.ResponseWriter, _ *http.Request) { answer(w, s.List()) })
	routes.HandleFunc("POST "+EvacuatePath+"{"+zoneField+"}", func(w http.ResponseWriter, r *http.Request) {
		s.write(w, r, "evacuated", func(ctx context.Context, zone string) (int64, error) { return s.Writer.Evacuate(ctx, zone) })
	})
	routes.HandleFunc("POST "+RestorePath+"{"+zoneField+"}", func(w http.ResponseWriter, r *http.Request) {
		s.write(w, r, "restored", func(ctx context.Context, zone string) (int64, error) { return 0, s.Writer.Restore(ctx, zone) })
	})
}

// write carries out an operator's request with store, and answers. wanted names in logs what was asked for.
func (s *Status) write(w http.ResponseWriter, r *http.Request, wanted string, store func(ctx context.Context, zone string) (int64, error)) {
	zone := r.PathValue(zoneField)
	switch {
	case s.Writer == nil:
		http.Error(w, "the settings have no topology.evacuateTime: zones are not evacuated", http.StatusConflict)
		return
	case !s.knows(zone):
		http.Error(w, "no zone of that name is known", http.StatusNotFound)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), writeTimeout)
	defer cancel()
	revision, err := store(ctx, zone)
	if err != nil {
		level.Warn(s.Logger).Log("msg", "operator's request for a zone not stored", "zone", zone, "wanted", wanted, "err", err)
		status := http.StatusBadGateway
		if errors.Is(err, context.DeadlineExceeded) {
			status = http.StatusGatewayTimeout
		}
		http.Error(w, "not known to be stored, ask again: "+err.Error(), status)
		return
	}
	level.Info(s.Logger).Log("msg", "operator's request for a zone stored", "zone", zone, "wanted", wanted, "revision", revision)
	answer(w, Written{Zone: zone, Revision: revision})
}

// knows reports whether ZonesOf lists a zone.
func (s *Status) knows(zone string) bool {
	return slices.ContainsFunc(ZonesOf(s.State.View()), func(known Zone) bool { return known.Name == zone })
}

func answer(w http.ResponseWriter, body any) {
	content, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// The error means that the caller has left.
	_, _ = w.Write(content)
}
