package configsync

import (
	"bytes"
	"maps"
	"slices"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/objectapi"
)

// objectIndex holds the decoded resources of one state. It is never changed.
type objectIndex struct {
	objects map[ObjectKey]v1.Object
	// invalid names the objects that could not be decoded; they are not in force.
	invalid []ObjectKey
	// entries holds what the objects were decoded from and the zones that accept them.
	entries map[ObjectKey]indexEntry
}

type indexEntry struct {
	raw     v1.RawObject
	version uint64
	scope   []string
}

// indexObjects decodes the objects that previous doesn't have already.
func indexObjects(raws []v1.RawObject, previous objectIndex) objectIndex {
	index := objectIndex{
		objects: make(map[ObjectKey]v1.Object, len(raws)),
		entries: make(map[ObjectKey]indexEntry, len(raws)),
	}
	for _, raw := range raws {
		key := keyOf(raw)
		object, err := previous.decode(key, raw)
		index.entries[key] = indexEntry{raw: raw, version: objectapi.ParseRevision(raw.Metadata.ResourceVersion)}
		if err != nil {
			index.invalid = append(index.invalid, key)
			continue
		}
		index.objects[key] = object
	}
	for key, object := range index.objects {
		entry := index.entries[key]
		entry.scope = index.scope(object)
		index.entries[key] = entry
	}
	return index
}

// decode returns the object as decoded before if it is the same.
func (i objectIndex) decode(key ObjectKey, raw v1.RawObject) (v1.Object, error) {
	if object, known := i.objects[key]; known && sameVersion(i.entries[key].raw, raw) {
		return object, nil
	}
	return v1.DecodeRaw(raw)
}

// isOf reports whether the index is that of the objects.
func (i objectIndex) isOf(raws []v1.RawObject) bool {
	if len(i.entries) != len(raws) {
		return false
	}
	return !slices.ContainsFunc(raws, func(raw v1.RawObject) bool { return !sameVersion(i.entries[keyOf(raw)].raw, raw) })
}

// sameVersion reports whether two objects of the same key are the same, which the store's versions tell.
func sameVersion(a, b v1.RawObject) bool {
	return a.Metadata.ResourceVersion == b.Metadata.ResourceVersion && bytes.Equal(a.Spec, b.Spec)
}

func keyOf(raw v1.RawObject) ObjectKey {
	return ObjectKey{Kind: raw.Kind, Name: raw.Metadata.Name}
}

// scope returns the zones, sorted, whose acknowledgement accepts the object: those that it concerns and its former zones.
func (i objectIndex) scope(object v1.Object) []string {
	zones := append(i.concerned(object), object.Meta().FormerZones...)
	slices.Sort(zones)
	return slices.Compact(zones)
}

// concerned returns the zones that the object itself concerns: a pool's permitted zones, those of the pools that a trainer or
// an application names, and every zone for a zone or where the resources named don't exist.
func (i objectIndex) concerned(object v1.Object) []string {
	zones := make(map[string]struct{})
	add := func(names []string) {
		for _, name := range names {
			zones[name] = struct{}{}
		}
	}
	switch typed := object.(type) {
	case *v1.Zone:
		add(i.zones())
	case *v1.Pool:
		add(typed.Spec.PermittedZones)
	case *v1.Trainer:
		add(i.permitted(typed.Spec.Pool))
	case *v1.Application:
		for _, pool := range typed.Spec.Pools {
			add(i.permitted(pool))
		}
	}
	if len(zones) == 0 {
		add(i.zones())
	}
	return slices.Sorted(maps.Keys(zones))
}

func (i objectIndex) zones() []string {
	var names []string
	for key := range i.objects {
		if key.Kind == v1.KindZone {
			names = append(names, key.Name)
		}
	}
	return names
}

func (i objectIndex) permitted(pool string) []string {
	found, ok := i.objects[ObjectKey{Kind: v1.KindPool, Name: pool}].(*v1.Pool)
	if !ok {
		return nil
	}
	return found.Spec.PermittedZones
}

// acceptedThrough returns the revision, at most the object's own, up to which every change of the object has been acknowledged
// by all zones in scope. The scope holds those of all earlier versions that may be in force, so that a version that is replaced
// before every zone has acknowledged it still counts; else an object that is written again and again would never be accepted.
func (i objectIndex) acceptedThrough(key ObjectKey, acks map[string]uint64) uint64 {
	entry := i.entries[key]
	if len(entry.scope) == 0 {
		return 0
	}
	through := entry.version
	for _, zone := range entry.scope {
		through = min(through, acks[zone])
	}
	return through
}

// missing returns the zones in scope, sorted, that have not acknowledged the object's resourceVersion.
func (i objectIndex) missing(object v1.Object, acks map[string]uint64) []string {
	version := objectapi.ParseRevision(object.Meta().ResourceVersion)
	return slices.DeleteFunc(i.scope(object), func(zone string) bool { return acks[zone] >= version })
}

// PrepareUpdate returns the object as it is to be stored in place of current, by what a coordinator with the state knows: its
// generation, and the zones where a version that may still be in force applies and the new one doesn't.
func PrepareUpdate(state State, current, object v1.RawObject) v1.RawObject {
	object.Metadata.Generation = current.Metadata.Generation
	if !sameSpec(current, object) {
		object.Metadata.Generation++
	}
	object.Metadata.FormerZones = formerZones(state, current, object)
	return object
}

func formerZones(state State, current, object v1.RawObject) []string {
	before, beforeErr := v1.DecodeRaw(current)
	after, afterErr := v1.DecodeRaw(object)
	if beforeErr != nil || afterErr != nil {
		return nil
	}
	index := state.indexed()
	zones := index.concerned(before)
	if state.Accepted[keyOf(current)] < objectapi.ParseRevision(current.Metadata.ResourceVersion) {
		zones = append(zones, current.Metadata.FormerZones...)
	}
	still := index.concerned(after)
	zones = slices.DeleteFunc(zones, func(zone string) bool { return slices.Contains(still, zone) })
	slices.Sort(zones)
	return slices.Compact(zones)
}
