// Package configsync brings the resources of the platform's store into force on every node.
//
// Only zone coordinators read the store. Each spreads its zone's State to the zone's nodes and exchanges
// acknowledgements and engine inventories with the other coordinators. A node's resource revision never goes
// back. A node takes new work only while it holds a lease from its coordinator, and the coordinator grants one
// only to a node that applies what the zone has acknowledged; so once a zone has acknowledged a revision, no
// node of the zone serves by an older one.
//
// Replica and Coordinator are pure state with the time passed in; Manager drives them over rpc.
package configsync

import (
	"maps"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/cluster"
)

// Version orders the states that one zone's coordinators spread.
type Version struct {
	// Token is the fencing token of the coordinator's term.
	Token uint64
	// Sequence grows with every change within a term.
	Sequence uint64
	// Revision is the store revision of the resources.
	Revision uint64
}

// Covers reports whether a node that holds v lacks nothing of other.
func (v Version) Covers(other Version) bool {
	if v.Revision < other.Revision || v.Token < other.Token {
		return false
	}
	return v.Token > other.Token || v.Sequence >= other.Sequence
}

// ObjectKey identifies a resource.
type ObjectKey struct {
	Kind v1.Kind
	Name string
}

// Inventory is the engines of one zone, as of (Token, Sequence) of the zone's coordinator.
type Inventory struct {
	Token    uint64
	Sequence uint64
	Engines  []cluster.Engine
}

// newer reports whether i supersedes other.
func (i Inventory) newer(other Inventory) bool {
	if i.Token != other.Token {
		return i.Token > other.Token
	}
	return i.Sequence > other.Sequence
}

// State is what a zone's coordinator spreads. Its maps and slices are never changed after it has been handed out.
type State struct {
	Version
	Objects     []v1.RawObject
	Inventories map[string]Inventory
	// Acks is the revision each zone has acknowledged.
	Acks map[string]uint64
	// Accepted is the revision up to which the changes of each object are accepted; an object is accepted when that is its
	// resourceVersion.
	Accepted map[ObjectKey]uint64
	// index is that of Objects, or of earlier ones; it stays on the node.
	index *objectIndex
}

// indexed returns the index of the objects.
func (s *State) indexed() objectIndex {
	previous := objectIndex{}
	if s.index != nil {
		previous = *s.index
	}
	if s.index == nil || !previous.isOf(s.Objects) {
		built := indexObjects(s.Objects, previous)
		s.index = &built
	}
	return *s.index
}

// Report is what coordinators tell each other: State without the resources.
type Report struct {
	Revision    uint64
	Inventories map[string]Inventory
	Acks        map[string]uint64
	Accepted    map[ObjectKey]uint64
}

// Report returns the part of the state that coordinators exchange.
func (s State) Report() Report {
	return Report{Revision: s.Revision, Inventories: s.Inventories, Acks: s.Acks, Accepted: s.Accepted}
}

// merge takes over what is newer in the report and reports whether anything was. Acknowledgements only grow; acceptances of
// objects that the state doesn't have are left out, or a peer that lags would bring them back again and again.
func (s *State) merge(report Report) bool {
	known := s.indexed().objects
	changed := mergeHighest(&s.Acks, report.Acks, func(string) bool { return true })
	accepted := mergeHighest(&s.Accepted, report.Accepted, func(key ObjectKey) bool {
		_, found := known[key]
		return found
	})
	return s.mergeInventories(report.Inventories) || changed || accepted
}

func (s *State) mergeInventories(theirs map[string]Inventory) bool {
	changed := false
	for zone, inventory := range theirs {
		if !inventory.newer(s.Inventories[zone]) {
			continue
		}
		if !changed {
			s.Inventories = cloneOrMake(s.Inventories)
			changed = true
		}
		s.Inventories[zone] = inventory
	}
	return changed
}

// mergeHighest replaces *mine, if anything changes, by a map that holds the higher value of each key that is taken.
func mergeHighest[K comparable](mine *map[K]uint64, theirs map[K]uint64, take func(K) bool) bool {
	changed := false
	for key, value := range theirs {
		if value <= (*mine)[key] || !take(key) {
			continue
		}
		if !changed {
			*mine = cloneOrMake(*mine)
			changed = true
		}
		(*mine)[key] = value
	}
	return changed
}

// cloneOrMake returns a map that may be changed.
func cloneOrMake[K comparable, V any](held map[K]V) map[K]V {
	if held == nil {
		return make(map[K]V)
	}
	return maps.Clone(held)
}

// refreshAccepted records the objects that are now accepted, drops those that are gone, and reports whether anything changed.
func (s *State) refreshAccepted() bool {
	index := s.indexed()
	changed := false
	change := func(key ObjectKey, through uint64) {
		if !changed {
			s.Accepted = cloneOrMake(s.Accepted)
			changed = true
		}
		s.Accepted[key] = through
	}
	for key := range index.objects {
		if through := index.acceptedThrough(key, s.Acks); through > s.Accepted[key] {
			change(key, through)
		}
	}
	for key := range s.Accepted {
		if _, found := index.objects[key]; !found {
			change(key, 0)
			delete(s.Accepted, key)
		}
	}
	return changed
}
