package configsync

import (
	"context"
	"maps"
	"reflect"
	"slices"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/objectapi"
	"github.com/covelink/covelink/internal/resourceapi"
)

const maxDeletions = 1024

// deletion is an object that a revision no longer has.
type deletion struct {
	revision uint64
	object   v1.Object
}

// deletionLog keeps the last deletions that the node has seen, so that watches can resume.
type deletionLog struct {
	// floor is the revision after which every deletion is in entries.
	floor   uint64
	entries []deletion
}

// record notes what next lacks. before is the revision of previous, 0 for none.
func (l *deletionLog) record(before uint64, previous, next objectIndex, revision uint64) {
	if before == 0 {
		l.floor = revision
	}
	for key, object := range previous.objects {
		if _, kept := next.objects[key]; !kept {
			l.entries = append(l.entries, deletion{revision: revision, object: object})
		}
	}
	if excess := len(l.entries) - maxDeletions; excess > 0 {
		l.floor = l.entries[excess-1].revision
		l.entries = slices.Clone(l.entries[excess:])
	}
}

// after returns the deletions of a kind after a revision.
func (l *deletionLog) after(kind v1.Kind, revision uint64) []deletion {
	var found []deletion
	for _, entry := range l.entries {
		if entry.revision > revision && entry.object.ObjectKind() == kind {
			found = append(found, entry)
		}
	}
	return found
}

// watcher is one watch; sent holds the objects as last sent.
type watcher struct {
	manager  *Manager
	kind     v1.Kind
	revision uint64
	sent     map[string]v1.Object
	started  bool
	events   chan resourceapi.WatchEvent
}

// Watch implements resourceapi.Backend from the node's view. It is level-triggered: first it sends every object as it is
// now, since statuses change without a revision, then what differs; changes that follow each other closely may be sent as one.
// After 0 it starts from the present.
func (m *Manager) Watch(ctx context.Context, kind v1.Kind, after uint64) (<-chan resourceapi.WatchEvent, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if after > 0 && after < m.deletions.floor {
		return nil, v1.Errorf(v1.CodeGone, "revision %d is too old: list again", after)
	}
	w := &watcher{
		manager:  m,
		kind:     kind,
		revision: after,
		sent:     make(map[string]v1.Object),
		events:   make(chan resourceapi.WatchEvent),
	}
	go w.run(ctx)
	return w.events, nil
}

func (w *watcher) run(ctx context.Context) {
	defer close(w.events)
	for {
		changed := w.manager.params.Holder.Changed()
		if !w.catchUp(ctx) {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// catchUp sends what differs from the last state sent. It reports whether the watch goes on. A node that lags behind the
// revision asked for sends nothing until it has it.
func (w *watcher) catchUp(ctx context.Context) bool {
	m := w.manager
	m.mu.Lock()
	seen := m.observeLocked()
	deletions := m.deletions.after(w.kind, w.revision)
	gone := w.revision > 0 && w.revision < m.deletions.floor
	m.mu.Unlock()
	if gone {
		return false
	}
	if seen.state.Revision < w.revision {
		return true
	}
	for _, event := range w.diff(seen, deletions) {
		select {
		case w.events <- event:
		case <-ctx.Done():
			return false
		}
	}
	w.revision = seen.state.Revision
	w.started = true
	return true
}

func (w *watcher) diff(seen observation, deletions []deletion) []resourceapi.WatchEvent {
	var events []resourceapi.WatchEvent
	for _, entry := range deletions {
		name := entry.object.Meta().Name
		if _, known := w.sent[name]; !known && w.revision == 0 {
			continue
		}
		delete(w.sent, name)
		events = append(events, resourceapi.WatchEvent{
			Type:     resourceapi.WatchDeleted,
			Object:   copyObject(entry.object),
			Revision: seen.state.Revision,
		})
	}
	for _, object := range seen.read(w.kind) {
		previous, known := w.sent[object.Meta().Name]
		if known && reflect.DeepEqual(previous, object) {
			continue
		}
		events = append(events, resourceapi.WatchEvent{
			Type:     w.changeOf(object, known),
			Object:   object,
			Revision: seen.state.Revision,
		})
		w.sent[object.Meta().Name] = copyObject(object)
	}
	// Whoever resumes in the midst of a batch must get the whole of it again.
	for i := range max(len(events)-1, 0) {
		events[i].Revision = w.revision
	}
	return events
}

// changeOf returns the type of the event for an object that is new or differs from what was sent. At the start, an object
// no newer than the revision asked for is known to the caller.
func (w *watcher) changeOf(object v1.Object, known bool) resourceapi.WatchEventType {
	version := objectapi.ParseRevision(object.Meta().ResourceVersion)
	if known || !w.started && version <= w.revision {
		return resourceapi.WatchModified
	}
	return resourceapi.WatchAdded
}

// copyObject returns a copy that shares nothing the receiver of an event may change.
func copyObject(object v1.Object) v1.Object {
	raw, err := v1.EncodeRaw(object)
	if err != nil {
		panic("configsync: decoded object cannot be encoded: " + err.Error())
	}
	copied, err := v1.DecodeRaw(raw)
	if err != nil {
		panic("configsync: encoded object cannot be decoded: " + err.Error())
	}
	*copied.ObjectStatus() = cloneStatus(*object.ObjectStatus())
	return copied
}

func cloneStatus(status v1.Status) v1.Status {
	status.Conditions = slices.Clone(status.Conditions)
	status.Versions = maps.Clone(status.Versions)
	return status
}
