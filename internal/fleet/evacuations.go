package fleet

import (
	"maps"
	"slices"
)

// Evacuations is the immutable set of zones under evacuation at a store revision. Nothing may be sent to engines in these zones.
type Evacuations struct {
	revision int64
	// since maps each zone under evacuation to the revision at which its current evacuation began.
	since map[string]int64
}

// NewEvacuations returns the set of zones under evacuation at a store revision. since maps each of them to the revision at which its evacuation
// began.
func NewEvacuations(revision int64, since map[string]int64) *Evacuations {
	return &Evacuations{revision: revision, since: maps.Clone(since)}
}

// Revision returns the store revision of the set.
func (e *Evacuations) Revision() int64 { return e.revision }

// Contains reports whether a zone is under evacuation.
func (e *Evacuations) Contains(zone string) bool {
	_, evacuated := e.since[zone]
	return evacuated
}

// Since returns the revision at which a zone's evacuation began, or zero if the zone is not under evacuation.
func (e *Evacuations) Since(zone string) int64 { return e.since[zone] }

// Zones returns the zones under evacuation, sorted by name.
func (e *Evacuations) Zones() []string { return slices.Sorted(maps.Keys(e.since)) }
