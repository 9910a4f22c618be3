package inventory

import (
	"slices"
	"strings"
	"time"

	"github.com/covelink/covelink/api/enginev1"
	"github.com/covelink/covelink/api/machinesv1"
	"github.com/covelink/covelink/internal/cluster"
)

// Thresholds decide when an engine counts as leaving or as gone.
type Thresholds struct {
	// FailedProbes is the number of failed probes in a row after which an engine is leaving.
	FailedProbes int
	// MissingGrace is how long an engine may be absent from the machine list before it is leaving.
	MissingGrace time.Duration
	// Forget is how long an engine may be absent from the list, while it does not answer, before its record is dropped.
	Forget time.Duration
	// ReportLag is the greatest lag of a load report: for that long, an order's answer outweighs a report.
	ReportLag time.Duration
}

// DefaultThresholds returns the thresholds that hold where nothing else is said.
func DefaultThresholds() Thresholds {
	return Thresholds{
		FailedProbes: 3,
		MissingGrace: 5 * time.Second,
		Forget:       time.Minute,
		ReportLag:    2 * time.Second,
	}
}

// record is what is known of one engine.
type record struct {
	machine machinesv1.Machine
	// missingSince is when the machine list first lacked the engine; zero while it is listed.
	missingSince time.Time
	// load is the newest report; observed is false before the first.
	load     enginev1.Load
	observed bool
	// directAt is when an order's answer last told the load.
	directAt time.Time
	// failures counts failed probes in a row.
	failures int
}

// state is the pure core of the inventory: what the list and the reports said, and what follows from it.
type state struct {
	zone       string
	thresholds Thresholds
	records    map[string]*record
}

func newState(zone string, thresholds Thresholds) *state {
	return &state{zone: zone, thresholds: thresholds, records: make(map[string]*record)}
}

// adopt takes over engines that an earlier coordinator published, so that a new one starts from the last known.
func (s *state) adopt(engines []cluster.Engine) {
	for _, engine := range engines {
		if engine.Zone != s.zone || s.records[engine.Name] != nil {
			continue
		}
		s.records[engine.Name] = s.adopted(engine)
	}
}

// adopted returns the record of an engine that an earlier coordinator published. One that was leaving stays so until
// the machine list or its own answer says otherwise.
func (s *state) adopted(engine cluster.Engine) *record {
	known := &record{
		machine: machinesv1.Machine{
			Name: engine.Name, Zone: engine.Zone, Role: machinesv1.RoleEngine,
			URL: engine.URL, Pool: engine.Pool, State: machinesv1.StateLive,
		},
		load: enginev1.Load{
			Name: engine.Name, Incarnation: engine.Incarnation, Zone: engine.Zone,
			ActiveVersion: engine.ActiveVersion, PreparedVersions: engine.PreparedVersions, MaxRunning: engine.MaxRunning,
		},
		observed: engine.Incarnation != "",
	}
	if engine.DrainWanted {
		known.machine.State = machinesv1.StateLeaving
	} else if engine.Leaving {
		known.failures = s.thresholds.FailedProbes
	}
	return known
}

// applyList takes in a machine list. A machine of another zone or role is no engine of this zone.
func (s *state) applyList(now time.Time, list []machinesv1.Machine) {
	listed := make(map[string]bool, len(list))
	for _, machine := range list {
		if machine.Zone != s.zone || machine.Role != machinesv1.RoleEngine {
			continue
		}
		listed[machine.Name] = true
		s.applyMachine(machine)
	}
	for name, known := range s.records {
		if !listed[name] {
			s.applyMissing(now, name, known)
		}
	}
}

func (s *state) applyMachine(machine machinesv1.Machine) {
	known, ok := s.records[machine.Name]
	if !ok {
		s.records[machine.Name] = &record{machine: machine}
		return
	}
	if known.machine.URL != machine.URL {
		// Another address is another engine: nothing observed at the old one holds.
		s.records[machine.Name] = &record{machine: machine}
		return
	}
	known.machine = machine
	known.missingSince = time.Time{}
}

func (s *state) applyMissing(now time.Time, name string, known *record) {
	if known.missingSince.IsZero() {
		known.missingSince = now
	}
	if now.Sub(known.missingSince) >= s.thresholds.Forget && known.failures >= s.thresholds.FailedProbes {
		delete(s.records, name)
	}
}

// applyReport takes in a load report that was asked for at started from the engine at url. A report of another engine
// or zone counts as a failed probe: the address has changed hands, or the list is wrong about the zone.
func (s *state) applyReport(started time.Time, name, url string, load enginev1.Load) {
	known, ok := s.records[name]
	if !ok || known.machine.URL != url {
		return
	}
	if s.foreign(name, load) {
		known.failures++
		return
	}
	known.failures = 0
	if known.observed && s.outweighed(known, load.Incarnation, started) {
		return
	}
	known.load = load
	known.observed = true
}

// foreign reports whether a load names another engine or zone than the one asked.
func (s *state) foreign(name string, load enginev1.Load) bool {
	return (load.Name != "" && load.Name != name) || (load.Zone != "" && load.Zone != s.zone)
}

// outweighed reports whether a report may show the engine as it was before an order's answer. A report of another
// incarnation does so only if it was asked for before that answer, since an engine forgets its reports as it restarts.
func (s *state) outweighed(known *record, incarnation string, started time.Time) bool {
	if known.directAt.IsZero() {
		return false
	}
	if known.load.Incarnation != incarnation {
		return started.Before(known.directAt)
	}
	return started.Before(known.directAt.Add(s.thresholds.ReportLag))
}

// applyDirect takes in a load that an order's answer told: it does not lag.
func (s *state) applyDirect(now time.Time, name string, load enginev1.Load) {
	known, ok := s.records[name]
	if !ok || s.foreign(name, load) {
		return
	}
	known.failures = 0
	known.load = load
	known.observed = true
	known.directAt = now
}

// applyFailure takes in a failed probe of the engine at url.
func (s *state) applyFailure(name, url string) {
	known, ok := s.records[name]
	if ok && known.machine.URL == url {
		known.failures++
	}
}

// targets returns the engines to probe, sorted by name.
func (s *state) targets() []machinesv1.Machine {
	machines := make([]machinesv1.Machine, 0, len(s.records))
	for _, known := range s.records {
		machines = append(machines, known.machine)
	}
	slices.SortFunc(machines, func(a, b machinesv1.Machine) int { return strings.Compare(a.Name, b.Name) })
	return machines
}

// engines returns the engines as of now, sorted by name. They depend on the view only by the operators' drains.
func (s *state) engines(now time.Time, view *cluster.View) []cluster.Engine {
	engines := make([]cluster.Engine, 0, len(s.records))
	for _, known := range s.records {
		engines = append(engines, s.engine(now, view, known))
	}
	slices.SortFunc(engines, func(a, b cluster.Engine) int { return strings.Compare(a.Name, b.Name) })
	return engines
}

func (s *state) engine(now time.Time, view *cluster.View, known *record) cluster.Engine {
	drainWanted := s.drainWanted(now, view, known)
	return cluster.Engine{
		Name:             known.machine.Name,
		URL:              known.machine.URL,
		Incarnation:      known.load.Incarnation,
		Pool:             known.machine.Pool,
		Zone:             s.zone,
		DrainWanted:      drainWanted,
		Leaving:          drainWanted || known.load.Draining || known.failures >= s.thresholds.FailedProbes,
		ActiveVersion:    known.load.ActiveVersion,
		PreparedVersions: known.load.PreparedVersions,
		MaxRunning:       known.load.MaxRunning,
	}
}

// drainWanted reports whether the machine list or the operator wants the engine to take no new work.
func (s *state) drainWanted(now time.Time, view *cluster.View, known *record) bool {
	if known.machine.State == machinesv1.StateLeaving {
		return true
	}
	if !known.missingSince.IsZero() && now.Sub(known.missingSince) >= s.thresholds.MissingGrace {
		return true
	}
	pool, ok := view.Pools[known.machine.Pool]
	return ok && slices.Contains(pool.Spec.DrainingEngines, known.machine.Name)
}
