package objectapi

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	v1 "github.com/covelink/covelink/api/v1"
)

// Position is how far a reader has followed the store. It refuses what is older than it has seen, as of a lagging cache.
type Position struct {
	Revision uint64
	// Listed says that the reader watches from here; else it has to list.
	Listed bool
}

// TakeList moves to a list. ErrStale: it is older than what has been seen.
func (p *Position) TakeList(list List) error {
	if list.Revision < p.Revision {
		return fmt.Errorf("%w: list of revision %d after %d", ErrStale, list.Revision, p.Revision)
	}
	p.Revision = list.Revision
	p.Listed = true
	return nil
}

// TakeEvent moves to an event and reports whether it is a change that has not been seen.
func (p *Position) TakeEvent(event Event) bool {
	if event.Revision <= p.Revision {
		return false
	}
	p.Revision = event.Revision
	return event.Type != EventBookmark
}

// Relist makes the reader list again, as after ErrGone.
func (p *Position) Relist() { p.Listed = false }

// Objects is every object of the store as of one revision.
type Objects struct {
	revision uint64
	byKey    map[objectKey]v1.RawObject
}

type objectKey struct {
	kind v1.Kind
	name string
}

func keyOf(object v1.RawObject) objectKey { return objectKey{object.Kind, object.Metadata.Name} }

// NewObjects returns no objects, at revision 0.
func NewObjects() *Objects { return &Objects{byKey: make(map[objectKey]v1.RawObject)} }

// Replace takes a list over.
func (o *Objects) Replace(list List) {
	clear(o.byKey)
	for _, object := range list.Items {
		o.byKey[keyOf(object)] = object
	}
	o.revision = list.Revision
}

// Apply takes one change over.
func (o *Objects) Apply(event Event) {
	o.byKey[keyOf(event.Object)] = event.Object
	if event.Type == EventDeleted {
		delete(o.byKey, keyOf(event.Object))
	}
	o.revision = event.Revision
}

// All returns the objects, sorted by kind and name, and their revision.
func (o *Objects) All() ([]v1.RawObject, uint64) {
	return slices.SortedFunc(maps.Values(o.byKey), compareObjects), o.revision
}

func compareObjects(a, b v1.RawObject) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Metadata.Name, b.Metadata.Name))
}
