package storerelay

import (
	"cmp"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"github.com/covelink/covelink/internal/metastore"
	"github.com/covelink/covelink/internal/sharedmap"
)

// relayedKind is a hub's cache of a kind.
type relayedKind struct {
	snapshot metastore.Snapshot
	// contentRevision is the revision of the last snapshot whose content changed for pollers.
	contentRevision metastore.Revision
	// entries maps each object's name to its content for pollers.
	entries map[string]entry
	// confirmed is the boottime as of which the snapshot is known to be current; zero if it is stale.
	confirmed time.Time
	// removals are the newest removed objects by ascending revision. historyFloor is the revision after which removals and changes are
	// complete.
	removals     []historyEntry
	historyFloor metastore.Revision
	// changes are the newest objects changed for pollers, by ascending revision, so that the cost of an update depends on the number of
	// changes, not of objects.
	changes []historyEntry
	// packed is the encoded full list as of packedRevision. Parts that pollers do not need may be older.
	packed         []byte
	packedRevision metastore.Revision
	// packedChange is the encoded change of packedChangeSpan, shared by all pollers that lack the same changes.
	packedChange     []byte
	packedChangeSpan revisionSpan
}

// revisionSpan identifies a range of changes by the revision of the first and the resulting content revision.
type revisionSpan struct{ first, last metastore.Revision }

// A change of minPackedObjects or minPackedBytes is encoded and compressed once for all callers. Smaller changes are cheaper to send unpacked.
const (
	minPackedObjects = 16
	minPackedBytes   = 16 << 10
)

// entry is the content of an object for pollers.
type entry struct {
	// revision is the object revision from which contentKey was computed.
	revision   metastore.Revision
	contentKey string
}

// historyEntry is a changed or removed object, and the revision of that.
type historyEntry struct {
	name     string
	revision metastore.Revision
}

// recordDiff records which objects the next snapshot changes or removes. It reports whether any of that matters to pollers. The mutex must be
// held.
func (h *Hub) recordDiff(kind string, k *relayedKind, next metastore.Snapshot) bool {
	var changed, removed []historyEntry
	sharedmap.Diff(k.snapshot.Objects, next.Objects, func(name string, object metastore.Object) {
		known, ok := k.entries[name]
		if ok && known.revision == object.Revision {
			return
		}
		if before, listed := k.snapshot.Objects.Get(name); ok && listed && h.SameContent != nil && h.SameContent(kind, before, object) {
			known.revision = object.Revision
			k.entries[name] = known
			return
		}
		current := entry{revision: object.Revision, contentKey: h.ContentKey(kind, object)}
		if !ok || current.contentKey != known.contentKey {
			changed = append(changed, historyEntry{name: name, revision: object.Revision})
		}
		k.entries[name] = current
	}, func(name string) {
		delete(k.entries, name)
		removed = append(removed, historyEntry{name: name, revision: next.Revision})
	})
	k.removals, k.historyFloor = trimHistory(append(k.removals, removed...), maxRemovals, k.historyFloor)
	k.recordChanges(changed, next.Revision)
	return len(changed)+len(removed) > 0
}

// recordChanges appends changed objects to the history, up to a revision.
func (k *relayedKind) recordChanges(changed []historyEntry, revision metastore.Revision) {
	if k.snapshot.Revision == 0 || len(changed) > maxChanges {
		// First or very large update: callers with an older revision need the full list.
		k.changes, k.historyFloor = nil, max(k.historyFloor, revision)
		return
	}
	slices.SortFunc(changed, func(a, b historyEntry) int { return cmp.Compare(a.revision, b.revision) })
	k.changes, k.historyFloor = trimHistory(append(k.changes, changed...), maxChanges, k.historyFloor)
}

// trimHistory returns the newest entries, and the revision after which they are complete.
func trimHistory(entries []historyEntry, limit int, floor metastore.Revision) ([]historyEntry, metastore.Revision) {
	excess := len(entries) - limit
	if excess <= 0 {
		return entries, floor
	}
	return entries[excess:], max(floor, entries[excess-1].revision)
}

// entriesAfter returns the entries with revisions later than the given one.
func entriesAfter(entries []historyEntry, revision metastore.Revision) []historyEntry {
	first, _ := slices.BinarySearchFunc(entries, revision+1, func(entry historyEntry, target metastore.Revision) int {
		return cmp.Compare(entry.revision, target)
	})
	return entries[first:]
}

// hasChangesSince reports whether a caller with the given revision needs an update. A caller without a snapshot also needs an empty list.
func (k *relayedKind) hasChangesSince(revision metastore.Revision) bool {
	return k.contentRevision > revision || revision == 0 && k.snapshot.Revision > 0
}

// changeSince returns the changes of a kind after a revision. The mutex must be held.
func (h *Hub) changeSince(k *relayedKind, kind string, revision metastore.Revision) Change {
	if revision == 0 || revision < k.historyFloor {
		return h.fullList(k, kind)
	}
	change := Change{Kind: kind, Revision: k.snapshot.Revision}
	changes := entriesAfter(k.changes, revision)
	sent := make(map[string]struct{}, len(changes))
	for _, changed := range changes {
		object, listed := k.snapshot.Objects.Get(changed.name)
		if _, duplicate := sent[changed.name]; duplicate || !listed {
			continue
		}
		sent[changed.name] = struct{}{}
		change.Objects = append(change.Objects, object)
	}
	for _, removed := range entriesAfter(k.removals, revision) {
		if _, restored := k.snapshot.Objects.Get(removed.name); !restored {
			change.Removed = append(change.Removed, removed.name)
		}
	}
	return h.packShared(k, change, changes)
}

// packShared returns a change with its objects encoded if they are many or large, reusing the encoding for callers that lack the same changes. The
// mutex must be held.
func (h *Hub) packShared(k *relayedKind, change Change, changes []historyEntry) Change {
	if len(change.Objects) < minPackedObjects && change.size() < minPackedBytes {
		return change
	}
	span := revisionSpan{first: changes[0].revision, last: k.contentRevision}
	if span != k.packedChangeSpan {
		packed, err := pack(change.Objects)
		if err != nil {
			level.Error(h.Logger).Log("msg", "failed to compress change; sending objects uncompressed", "kind", change.Kind, "objects", len(change.Objects), "err", err)
			return change
		}
		k.packedChange, k.packedChangeSpan = packed, span
	}
	change.Packed, change.Objects = k.packedChange, nil
	return change
}

// fullList returns all objects of a kind, reusing the encoding until the content changes. The mutex must be held.
func (h *Hub) fullList(k *relayedKind, kind string) Change {
	change := Change{Kind: kind, Revision: k.snapshot.Revision, Whole: true}
	if k.snapshot.Objects.Len() == 0 {
		return change
	}
	if k.packedRevision != k.contentRevision {
		objects := make([]metastore.Object, 0, k.snapshot.Objects.Len())
		for _, object := range k.snapshot.Objects.All() {
			objects = append(objects, object)
		}
		packed, err := pack(objects)
		if err != nil {
			level.Error(h.Logger).Log("msg", "failed to compress full list; sending objects uncompressed", "kind", kind, "objects", len(objects), "err", err)
			change.Objects = objects
			return change
		}
		k.packed, k.packedRevision = packed, k.contentRevision
	}
	change.Packed = k.packed
	return change
}
