package configsync

import (
	"maps"
	"slices"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/objectapi"
)

// objectIndex holds the decoded resources of one state.
type objectIndex struct {
	objects map[ObjectKey]v1.Object
	// invalid names the objects that could not be decoded; they are not in force.
	invalid []ObjectKey
}

func indexObjects(raws []v1.RawObject) objectIndex {
	index := objectIndex{objects: make(map[ObjectKey]v1.Object, len(raws))}
	for _, raw := range raws {
		object, err := v1.DecodeRaw(raw)
		if err != nil {
			index.invalid = append(index.invalid, keyOf(raw))
			continue
		}
		index.objects[keyOf(raw)] = object
	}
	return index
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

// accepted reports whether every zone in scope, and at least one, has acknowledged the object's resourceVersion.
func (i objectIndex) accepted(object v1.Object, acks map[string]uint64) bool {
	return len(i.scope(object)) > 0 && len(i.missing(object, acks)) == 0
}

// missing returns the zones in scope, sorted, that have not acknowledged the object's resourceVersion.
func (i objectIndex) missing(object v1.Object, acks map[string]uint64) []string {
	version := objectapi.ParseRevision(object.Meta().ResourceVersion)
	return slices.DeleteFunc(i.scope(object), func(zone string) bool { return acks[zone] >= version })
}
