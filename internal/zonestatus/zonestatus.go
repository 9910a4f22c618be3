// Package zonestatus lists the zones of the deployment for operators, takes requests to evacuate or restore a zone, and shows which processes have
// applied them.
//
// Guarantees: a list shows what the asked process itself applies, with its revision. Only the list of the coordinating process names the processes
// that have not applied the newest evacuations, as no other knows them. A zone is written under its name, so that a repeated request changes nothing.
package zonestatus

import (
	"cmp"
	"slices"

	"github.com/covelink/covelink/internal/fleet"
)

// List is what an operator is shown of the zones.
type List struct {
	// Node is the process that was asked.
	Node string `json:"node"`
	// Follows is false for a process that follows the deployment only while it coordinates, and does not coordinate now: zones and revision
	// are then those of its last term.
	Follows bool `json:"follows"`
	// Known is false while the process does not know which zones are evacuated; it then sends no request to any zone.
	Known bool `json:"known"`
	// Revision is that of the evacuations that the process applies.
	Revision int64 `json:"revision"`
	// Coordinator is the process that coordinates and where others reach it; empty if it is not known.
	Coordinator Coordinator `json:"coordinator"`
	Zones       []Zone      `json:"zones"`
	// Progress is nil unless the process coordinates.
	Progress *Progress `json:"progress,omitempty"`
}

// Coordinator names the coordinating process.
type Coordinator struct {
	Name    string `json:"name"`
	Address string `json:"address"`
}

// Zone is one zone as a process knows it.
type Zone struct {
	Name string `json:"name"`
	// Region is empty for a zone that the settings do not name.
	Region string `json:"region"`
	// Ready, Leaving and Cold count its engines. A cold engine is also ready.
	Ready   int `json:"ready"`
	Leaving int `json:"leaving"`
	Cold    int `json:"cold"`
	// EvacuatedSince is the store's revision at which it became evacuated; zero if it is not.
	EvacuatedSince int64 `json:"evacuatedSince"`
}

// Progress is how many processes apply the newest evacuations.
type Progress struct {
	// Revision is that of the newest evacuations that the coordinating process has from the store.
	Revision int64 `json:"revision"`
	// Polling counts the processes that poll the coordinating one, and Holding those of them that apply the newest evacuations.
	Holding int `json:"holding"`
	Polling int `json:"polling"`
	// Behind are the processes that do not, at most maxBehind of them, sorted by name.
	Behind []Behind `json:"behind"`
	// Relays are the processes that answer others for the coordinating one, sorted by name.
	Relays []Relay `json:"relays,omitempty"`
}

// Relay is a process that answers others for the coordinating process.
type Relay struct {
	Name string `json:"name"`
	// Processes counts those that it answers, and Holding those of them that hold the newest configuration.
	Processes int `json:"processes"`
	Holding   int `json:"holding"`
	// PolledMillis is how long ago the relay last polled the coordinating process, in milliseconds.
	PolledMillis int64 `json:"polledMillis"`
}

// Behind is a process that did not know the newest evacuations when it last polled.
type Behind struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	// Revision is that of the evacuations that it knew; zero if it knew none.
	Revision int64 `json:"revision"`
	// PolledMillis is how long ago it last polled, in milliseconds.
	PolledMillis int64 `json:"polledMillis"`
}

// maxBehind bounds the processes in Progress.Behind: as many as fit on an operator's screen.
const maxBehind = 32

// InForce reports whether evacuations of a revision are in force at the coordinating process and at all that poll it.
func (l List) InForce(revision int64) bool {
	return l.Progress != nil && l.Known && l.Revision >= revision && l.Progress.Revision >= revision && l.Progress.Holding == l.Progress.Polling
}

// ZonesOf returns the zones of a view, sorted by name: those that the settings name, and those of engines and evacuations.
func ZonesOf(view *fleet.View) []Zone {
	byName := make(map[string]*Zone)
	named := func(name string) *Zone {
		if byName[name] == nil {
			byName[name] = &Zone{Name: name, Region: view.Topology.Region(name)}
		}
		return byName[name]
	}
	for _, name := range view.Topology.Zones() {
		named(name)
	}
	for _, engine := range view.Engines.All() {
		named(engine.Zone).count(engine)
	}
	if view.Evacuations != nil {
		for _, name := range view.Evacuations.Zones() {
			named(name).EvacuatedSince = view.Evacuations.Since(name)
		}
	}
	zones := make([]Zone, 0, len(byName))
	for _, zone := range byName {
		zones = append(zones, *zone)
	}
	slices.SortFunc(zones, func(a, b Zone) int { return cmp.Compare(a.Name, b.Name) })
	return zones
}

// count adds an engine to the zone's counts.
func (z *Zone) count(engine *fleet.Engine) {
	if !engine.Ready {
		z.Leaving++
		return
	}
	z.Ready++
	if engine.ColdRemaining > 0 {
		z.Cold++
	}
}
