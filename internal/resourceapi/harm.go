package resourceapi

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"

	v1 "github.com/covelink/covelink/api/v1"
)

// resourceKey identifies a resource.
type resourceKey struct {
	kind v1.Kind
	name string
}

// resourceSet holds every resource. It is not changed once built.
//
// The lists it is built from are read one after the other, and two operators may write two resources at once, so a
// check over it can miss a change made at the same moment. What it then misses is shown, not unsafe: work is placed
// only in zones that a pool permits and that exist.
type resourceSet struct {
	objects map[resourceKey]v1.Object
}

// load reads every resource from the backend.
func (a *API) load(ctx context.Context) (*resourceSet, error) {
	set := &resourceSet{objects: make(map[resourceKey]v1.Object)}
	for _, kind := range v1.Kinds {
		objects, _, err := a.backend.List(ctx, kind)
		if err != nil {
			return nil, err
		}
		for _, object := range objects {
			set.objects[keyOf(object)] = object
		}
	}
	return set, nil
}

func keyOf(object v1.Object) resourceKey {
	return resourceKey{kind: object.ObjectKind(), name: object.Meta().Name}
}

// exists is a v1.Lookup.
func (s *resourceSet) exists(kind v1.Kind, name string) bool {
	_, found := s.objects[resourceKey{kind: kind, name: name}]
	return found
}

// with returns the set with the object added or replaced.
func (s *resourceSet) with(object v1.Object) *resourceSet {
	objects := maps.Clone(s.objects)
	objects[keyOf(object)] = object
	return &resourceSet{objects: objects}
}

// without returns the set with a resource removed.
func (s *resourceSet) without(kind v1.Kind, name string) *resourceSet {
	objects := maps.Clone(s.objects)
	delete(objects, resourceKey{kind: kind, name: name})
	return &resourceSet{objects: objects}
}

// newHarm describes, sorted, what is wrong after a change and was not before it.
func newHarm(before, after *resourceSet) []string {
	known := before.faults()
	found := after.faults()
	maps.DeleteFunc(found, func(text string, _ struct{}) bool {
		_, old := known[text]
		return old
	})
	return slices.Sorted(maps.Keys(found))
}

// faults describes references to nothing and pools that no zone takes work for.
func (s *resourceSet) faults() map[string]struct{} {
	found := make(map[string]struct{})
	for _, object := range s.objects {
		for _, reference := range v1.References(object) {
			if !s.exists(reference.Kind, reference.Name) {
				found[describeReference(object, reference)] = struct{}{}
			}
		}
		if pool, isPool := object.(*v1.Pool); isPool && !s.hasZone(pool) {
			found[fmt.Sprintf("pool %q would be left without a zone that takes work", pool.Metadata.Name)] = struct{}{}
		}
	}
	return found
}

func describeReference(object v1.Object, reference v1.Reference) string {
	verb := "uses"
	if object.ObjectKind() == v1.KindPool {
		verb = "permits"
	}
	return fmt.Sprintf("%s %q %s %s %q", strings.ToLower(string(object.ObjectKind())), object.Meta().Name, verb,
		strings.ToLower(string(reference.Kind)), reference.Name)
}

// hasZone reports whether a permitted zone of the pool exists and takes new work.
func (s *resourceSet) hasZone(pool *v1.Pool) bool {
	return slices.ContainsFunc(pool.Spec.PermittedZones, func(name string) bool {
		zone, found := s.objects[resourceKey{kind: v1.KindZone, name: name}].(*v1.Zone)
		return found && !zone.Spec.Cordoned
	})
}
