package fleet

import (
	"maps"
	"slices"
)

// Evacuations are the zones to whose engines nothing may be sent, as of one revision of the store. They are not changed once they are made.
type Evacuations struct {
	revision int64
	// since maps each evacuated zone to the revision at which it became so: a zone that was restored and is evacuated again has another.
	since map[string]int64
}

// NewEvacuations returns the evacuations of a revision, from the evacuated zones and the revision at which each became so.
func NewEvacuations(revision int64, since map[string]int64) *Evacuations {
	return &Evacuations{revision: revision, since: maps.Clone(since)}
}

// Revision is that of the store at which they held.
func (e *Evacuations) Revision() int64 { return e.revision }

// Include reports whether a zone is evacuated.
func (e *Evacuations) Include(zone string) bool {
	_, evacuated := e.since[zone]
	return evacuated
}

// Since returns the revision at which a zone became evacuated; zero if it is not.
func (e *Evacuations) Since(zone string) int64 { return e.since[zone] }

// Zones returns the evacuated zones in the order of their names.
func (e *Evacuations) Zones() []string { return slices.Sorted(maps.Keys(e.since)) }
