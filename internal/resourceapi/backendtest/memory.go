// Package backendtest holds a resourceapi.Backend in memory, for tests.
package backendtest

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"sort"
	"strconv"
	"sync"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/resourceapi"
)

// MemoryBackend keeps resources in memory. It is safe for concurrent use.
type MemoryBackend struct {
	mu       sync.Mutex
	revision uint64
	// compacted is the last revision whose event is no longer kept.
	compacted uint64
	objects   map[key]v1.Object
	events    []resourceapi.WatchEvent
	changed   chan struct{}
	// fail, if set, is asked before each call and may answer it with an error.
	fail func(call string) error
}

type key struct {
	kind v1.Kind
	name string
}

// New returns an empty backend.
func New() *MemoryBackend {
	return &MemoryBackend{objects: make(map[key]v1.Object), changed: make(chan struct{})}
}

// FailWith makes every call ask fail first; its error, if any, answers the call. The call is "list", "get", "create",
// "update", "delete" or "watch".
func (m *MemoryBackend) FailWith(fail func(call string) error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fail = fail
}

// Compact forgets all events, so that watches from an earlier revision answer gone.
func (m *MemoryBackend) Compact() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.events = nil
	m.compacted = m.revision
}

// SetConditions writes the conditions of a resource as the system would, for its present generation.
func (m *MemoryBackend) SetConditions(kind v1.Kind, name string, conditions ...v1.Condition) {
	m.mu.Lock()
	defer m.mu.Unlock()
	object := clone(m.objects[key{kind, name}])
	generation := object.Meta().Generation
	for index := range conditions {
		conditions[index].ObservedGeneration = generation
	}
	object.ObjectStatus().ObservedGeneration = generation
	object.ObjectStatus().Conditions = conditions
	m.store(resourceapi.WatchModified, object)
}

// List implements resourceapi.Backend.
func (m *MemoryBackend) List(_ context.Context, kind v1.Kind) ([]v1.Object, uint64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.check("list"); err != nil {
		return nil, 0, err
	}
	var found []v1.Object
	for k, object := range m.objects {
		if k.kind == kind {
			found = append(found, clone(object))
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Meta().Name < found[j].Meta().Name })
	return found, m.revision, nil
}

// Get implements resourceapi.Backend.
func (m *MemoryBackend) Get(_ context.Context, kind v1.Kind, name string) (v1.Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.check("get"); err != nil {
		return nil, err
	}
	object, found := m.objects[key{kind, name}]
	if !found {
		return nil, v1.Errorf(v1.CodeNotFound, "%s %q not found", kind, name)
	}
	return clone(object), nil
}

// Stored implements resourceapi.Backend.
func (m *MemoryBackend) Stored(ctx context.Context, kind v1.Kind, name string) (bool, error) {
	_, err := m.Get(ctx, kind, name)
	var typed *v1.Error
	if errors.As(err, &typed) && typed.Code == v1.CodeNotFound {
		return false, nil
	}
	return err == nil, err
}

// Create implements resourceapi.Backend.
func (m *MemoryBackend) Create(_ context.Context, object v1.Object) (v1.Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.check("create"); err != nil {
		return nil, err
	}
	if _, found := m.objects[keyOf(object)]; found {
		return nil, v1.Errorf(v1.CodeConflict, "%s %q already exists", object.ObjectKind(), object.Meta().Name)
	}
	stored := clone(object)
	stored.Meta().Generation = 1
	return clone(m.store(resourceapi.WatchAdded, stored)), nil
}

// Update implements resourceapi.Backend.
func (m *MemoryBackend) Update(_ context.Context, object v1.Object) (v1.Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.check("update"); err != nil {
		return nil, err
	}
	current, err := m.match(keyOf(object), object.Meta().ResourceVersion)
	if err != nil {
		return nil, err
	}
	stored := clone(object)
	*stored.ObjectStatus() = *current.ObjectStatus()
	stored.Meta().Generation = current.Meta().Generation + 1
	return clone(m.store(resourceapi.WatchModified, stored)), nil
}

// Delete implements resourceapi.Backend.
func (m *MemoryBackend) Delete(_ context.Context, kind v1.Kind, name, resourceVersion string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.check("delete"); err != nil {
		return err
	}
	current, err := m.match(key{kind, name}, resourceVersion)
	if err != nil {
		return err
	}
	m.store(resourceapi.WatchDeleted, clone(current))
	delete(m.objects, key{kind, name})
	return nil
}

// Watch implements resourceapi.Backend.
func (m *MemoryBackend) Watch(ctx context.Context, kind v1.Kind, after uint64) (<-chan resourceapi.WatchEvent, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.check("watch"); err != nil {
		return nil, err
	}
	if after < m.compacted {
		return nil, v1.Errorf(v1.CodeGone, "revision %d is no longer kept: list again", after)
	}
	events := make(chan resourceapi.WatchEvent)
	go m.send(ctx, kind, after, events)
	return events, nil
}

// send runs one watch.
func (m *MemoryBackend) send(ctx context.Context, kind v1.Kind, after uint64, events chan<- resourceapi.WatchEvent) {
	defer close(events)
	for {
		pending, changed := m.pending(kind, after)
		for _, event := range pending {
			select {
			case events <- event:
				after = event.Revision
			case <-ctx.Done():
				return
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// pending returns the events of a kind after a revision, and a channel that is closed by the next change.
func (m *MemoryBackend) pending(kind v1.Kind, after uint64) ([]resourceapi.WatchEvent, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var pending []resourceapi.WatchEvent
	for _, event := range m.events {
		if event.Revision > after && event.Object.ObjectKind() == kind {
			event.Object = clone(event.Object)
			pending = append(pending, event)
		}
	}
	return pending, m.changed
}

// store records an object at the next revision. The caller holds the lock.
func (m *MemoryBackend) store(eventType resourceapi.WatchEventType, object v1.Object) v1.Object {
	m.revision++
	object.Meta().ResourceVersion = strconv.FormatUint(m.revision, 10)
	m.objects[keyOf(object)] = object
	m.events = append(m.events, resourceapi.WatchEvent{Type: eventType, Object: clone(object), Revision: m.revision})
	close(m.changed)
	m.changed = make(chan struct{})
	return object
}

func (m *MemoryBackend) match(k key, resourceVersion string) (v1.Object, error) {
	current, found := m.objects[k]
	if !found {
		return nil, v1.Errorf(v1.CodeNotFound, "%s %q not found", k.kind, k.name)
	}
	if resourceVersion != "" && resourceVersion != current.Meta().ResourceVersion {
		return nil, v1.Errorf(v1.CodeConflict, "%s %q has changed", k.kind, k.name)
	}
	return current, nil
}

func (m *MemoryBackend) check(call string) error {
	if m.fail == nil {
		return nil
	}
	return m.fail(call)
}

func keyOf(object v1.Object) key { return key{object.ObjectKind(), object.Meta().Name} }

// clone copies an object through JSON: backend and caller must share nothing.
func clone(object v1.Object) v1.Object {
	data, err := json.Marshal(object)
	if err != nil {
		panic(err)
	}
	copied := v1.NewObject(object.ObjectKind())
	if err := json.NewDecoder(bytes.NewReader(data)).Decode(copied); err != nil {
		panic(err)
	}
	return copied
}
