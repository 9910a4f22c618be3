// Package objectapi is a stand-in of the platform's object API, with faults that can be injected. Store is the
// pure state; Server serves it over HTTP.
package objectapi

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/objectapi"
)

// DefaultHistory is the number of events a Store keeps unless told otherwise.
const DefaultHistory = 1024

type key struct {
	kind v1.Kind
	name string
}

// change is an event with what it replaced, so that older states can be rebuilt.
type change struct {
	event    objectapi.Event
	previous *v1.RawObject
}

// Store keeps objects under one revision that grows by one with every write. It does no I/O and is safe for concurrent use.
type Store struct {
	now     func() time.Time
	history int

	mu        sync.Mutex
	revision  uint64
	compacted uint64
	objects   map[key]v1.RawObject
	changes   []change
	changed   chan struct{}
}

// NewStore returns an empty Store that keeps the last history events (0: DefaultHistory). A nil now means time.Now.
func NewStore(history int, now func() time.Time) *Store {
	if history <= 0 {
		history = DefaultHistory
	}
	if now == nil {
		now = time.Now
	}
	return &Store{now: now, history: history, objects: make(map[key]v1.RawObject), changed: make(chan struct{})}
}

// Create stores a new object. ErrConflict: the name exists.
func (s *Store) Create(object v1.RawObject) (v1.RawObject, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, exists := s.objects[keyOf(object)]; exists {
		return v1.RawObject{}, objectapi.ErrConflict
	}
	object.Metadata.CreationTimestamp = s.now().UTC()
	return s.put(objectapi.EventAdded, object, nil), nil
}

// Update replaces the object of the stated resourceVersion. ErrNotFound, ErrConflict.
func (s *Store) Update(object v1.RawObject) (v1.RawObject, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current, exists := s.objects[keyOf(object)]
	if !exists {
		return v1.RawObject{}, objectapi.ErrNotFound
	}
	if object.Metadata.ResourceVersion != current.Metadata.ResourceVersion {
		return v1.RawObject{}, objectapi.ErrConflict
	}
	object.Metadata.CreationTimestamp = current.Metadata.CreationTimestamp
	return s.put(objectapi.EventModified, object, &current), nil
}

// Delete removes an object; an empty resourceVersion matches any. ErrNotFound, ErrConflict.
func (s *Store) Delete(kind v1.Kind, name, resourceVersion string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	current, exists := s.objects[key{kind, name}]
	if !exists {
		return objectapi.ErrNotFound
	}
	if resourceVersion != "" && resourceVersion != current.Metadata.ResourceVersion {
		return objectapi.ErrConflict
	}
	delete(s.objects, key{kind, name})
	s.record(objectapi.EventDeleted, current, &current)
	return nil
}

// Get returns one object. ErrNotFound.
func (s *Store) Get(kind v1.Kind, name string) (v1.RawObject, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	object, exists := s.objects[key{kind, name}]
	if !exists {
		return v1.RawObject{}, objectapi.ErrNotFound
	}
	return object, nil
}

// List returns every object as of staleBy revisions ago, as far back as the history reaches.
func (s *Store) List(staleBy uint64) objectapi.List {
	s.mu.Lock()
	defer s.mu.Unlock()
	objects := maps.Clone(s.objects)
	list := objectapi.List{Revision: s.revision, Items: []v1.RawObject{}}
	for i := len(s.changes) - 1; i >= 0 && s.revision-list.Revision < staleBy; i-- {
		undo(objects, s.changes[i])
		list.Revision--
	}
	for _, object := range objects {
		list.Items = append(list.Items, object)
	}
	slices.SortFunc(list.Items, func(a, b v1.RawObject) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Metadata.Name, b.Metadata.Name))
	})
	return list
}

func undo(objects map[key]v1.RawObject, last change) {
	if last.previous == nil {
		delete(objects, keyOf(last.event.Object))
		return
	}
	objects[keyOf(last.event.Object)] = *last.previous
}

// Since returns the events after a revision. ErrGone: some have been compacted.
func (s *Store) Since(after uint64) ([]objectapi.Event, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.compacted {
		return nil, objectapi.ErrGone
	}
	var events []objectapi.Event
	for _, change := range s.changes {
		if change.event.Revision > after {
			events = append(events, change.event)
		}
	}
	return events, nil
}

// Compact drops the whole history.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changes = nil
	s.compacted = s.revision
}

// Revision returns the revision of the last write.
func (s *Store) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Changed returns a channel that is closed at the next write.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

func (s *Store) put(eventType objectapi.EventType, object v1.RawObject, previous *v1.RawObject) v1.RawObject {
	object.Spec = bytes.Clone(object.Spec)
	object.Metadata.Labels = maps.Clone(object.Metadata.Labels)
	object.Metadata.ResourceVersion = objectapi.FormatRevision(s.revision + 1)
	s.objects[keyOf(object)] = object
	s.record(eventType, object, previous)
	return object
}

func (s *Store) record(eventType objectapi.EventType, object v1.RawObject, previous *v1.RawObject) {
	s.revision++
	event := objectapi.Event{Type: eventType, Revision: s.revision, Object: object}
	s.changes = append(s.changes, change{event: event, previous: previous})
	if excess := len(s.changes) - s.history; excess > 0 {
		s.compacted = s.changes[excess-1].event.Revision
		s.changes = slices.Clone(s.changes[excess:])
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func keyOf(object v1.RawObject) key { return key{object.Kind, object.Metadata.Name} }
