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

// scope returns the zones, sorted, whose acknowledgement accepts the object: a pool's permitted zones, those of the pools
// that a trainer or an application names, and every zone for a zone or where the resources named don't exist.
func (i objectIndex) scope(object v1.Object) []string {
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

// accepted reports whether every zone in scope, and at least one, has acknowledged the object of the key.
func (i objectIndex) accepted(key ObjectKey, acks map[string]uint64) bool {
	entry := i.entries[key]
	lacks := func(zone string) bool { return acks[zone] < entry.version }
	return len(entry.scope) > 0 && !slices.ContainsFunc(entry.scope, lacks)
}

// missing returns the zones in scope, sorted, that have not acknowledged the object's resourceVersion.
func (i objectIndex) missing(object v1.Object, acks map[string]uint64) []string {
	version := objectapi.ParseRevision(object.Meta().ResourceVersion)
	return slices.DeleteFunc(i.scope(object), func(zone string) bool { return acks[zone] >= version })
}
