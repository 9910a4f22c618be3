package fleet

import (
	"maps"
	"slices"
)

// Evacuations is the immutable set of evacuated zones, to whose engines nothing may be sent, as of a store revision.
type Evacuations struct {
	revision int64
	// since maps each evacuated zone to the revision at which its current evacuation began.
	since map[string]int64
}

// NewEvacuations returns the evacuations as of a revision. since maps each evacuated zone to the revision at which its evacuation began.
func NewEvacuations(revision int64, since map[string]int64) *Evacuations {
	return &Evacuations{revision: revision, since: maps.Clone(since)}
}

// Revision returns the store revision of the set.
func (e *Evacuations) Revision() int64 { return e.revision }

// Contains reports whether a zone is evacuated.
func (e *Evacuations) Contains(zone string) bool {
	_, evacuated := e.since[zone]
	return evacuated
}

// Since returns the revision at which a zone's evacuation began; zero if it is not evacuated.
func (e *Evacuations) Since(zone string) int64 { return e.since[zone] }

// Zones returns the evacuated zones, sorted.
func (e *Evacuations) Zones() []string { return slices.Sorted(maps.Keys(e.since)) }
