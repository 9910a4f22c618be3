package storerelay

import (
	"cmp"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"github.com/covelink/covelink/internal/metastore"
	"github.com/covelink/covelink/internal/sharedmap"
)

// relayedKind is what a hub knows of a kind.
type relayedKind struct {
	snapshot metastore.Snapshot
	// contentRevision is that of the last snapshot whose content differed from the one before it, for pollers.
	contentRevision metastore.Revision
	// entries are what pollers need of the objects, by name.
	entries map[string]entry
	// confirmed is when the store was last heard from.
	confirmed time.Time
	// removals are the last objects that went, in the order of their revisions, and floor is the revision after which they and changes are complete.
	removals []noted
	floor    metastore.Revision
	// changes are the last objects that changed for pollers, in the order of their revisions, so that telling k of them costs k and not the number of
	// objects: 60 pollers that asked for each change of 10,000 engines cost a tenth of a core.
	changes []noted
	// packed are all objects of the snapshot whose content is that of packedRevision, for pollers; what they do not need of an object
	// may be older.
	packed         []byte
	packedRevision metastore.Revision
	// packedChange are the objects that changed from a revision of changes on, encoded once for the pollers that lack just those: nearly all do.
	packedChange     []byte
	packedChangeSpan revisionSpan
}

// revisionSpan names a run of changes by the revisions of its first and of the content that it leads to.
type revisionSpan struct{ first, last metastore.Revision }

// packFrom is the least number of changed objects that are encoded once for all who ask: fewer are cheaper to tell one by one.
const packFrom = 16

// entry is what pollers need of an object.
type entry struct {
	// seen is the object's revision that it was made of.
	seen    metastore.Revision
	essence string
}

// noted is an object that went or changed, and the revision of that.
type noted struct {
	name     string
	revision metastore.Revision
}

// noteDifference takes in which objects of a kind the next snapshot changes and which it lacks. It reports whether that makes a difference to pollers.
// The mutex must be held.
func (h *Hub) noteDifference(kind string, k *relayedKind, next metastore.Snapshot) bool {
	var changed, removed []noted
	sharedmap.Diff(k.snapshot.Objects, next.Objects, func(name string, object metastore.Object) {
		known, ok := k.entries[name]
		if ok && known.seen == object.Revision {
			return
		}
		if before, listed := k.snapshot.Objects.Get(name); ok && listed && h.Alike != nil && h.Alike(kind, before, object) {
			known.seen = object.Revision
			k.entries[name] = known
			return
		}
		now := entry{seen: object.Revision, essence: h.Essence(kind, object)}
		if !ok || now.essence != known.essence {
			changed = append(changed, noted{name: name, revision: object.Revision})
		}
		k.entries[name] = now
	}, func(name string) {
		delete(k.entries, name)
		removed = append(removed, noted{name: name, revision: next.Revision})
	})
	k.removals, k.floor = trimmed(append(k.removals, removed...), maxRemovals, k.floor)
	k.noteChanges(changed, next.Revision)
	return len(changed)+len(removed) > 0
}

// noteChanges remembers the objects that changed up to a revision.
func (k *relayedKind) noteChanges(changed []noted, revision metastore.Revision) {
	if k.snapshot.Revision == 0 || len(changed) > maxChanges {
		// The first list, or one like it: whoever knows less needs all.
		k.changes, k.floor = nil, max(k.floor, revision)
		return
	}
	slices.SortFunc(changed, func(a, b noted) int { return cmp.Compare(a.revision, b.revision) })
	k.changes, k.floor = trimmed(append(k.changes, changed...), maxChanges, k.floor)
}

// trimmed returns the newest entries, and the revision after which they are complete.
func trimmed(entries []noted, most int, floor metastore.Revision) ([]noted, metastore.Revision) {
	excess := len(entries) - most
	if excess <= 0 {
		return entries, floor
	}
	return entries[excess:], max(floor, entries[excess-1].revision)
}

// after returns the entries of later revisions.
func after(entries []noted, revision metastore.Revision) []noted {
	first, _ := slices.BinarySearchFunc(entries, revision+1, func(entry noted, target metastore.Revision) int {
		return cmp.Compare(entry.revision, target)
	})
	return entries[first:]
}

// news reports whether there is something to tell a caller that knows the kind up to a revision: one that knows nothing is told also
// that there are no objects.
func (k *relayedKind) news(revision metastore.Revision) bool {
	return k.contentRevision > revision || revision == 0 && k.snapshot.Revision > 0
}

// since returns what changed of a kind after a revision. The mutex must be held.
func (h *Hub) since(k *relayedKind, kind string, revision metastore.Revision) Change {
	if revision == 0 || revision < k.floor {
		return h.whole(k, kind)
	}
	change := Change{Kind: kind, Revision: k.snapshot.Revision}
	changes := after(k.changes, revision)
	told := make(map[string]struct{}, len(changes))
	for _, changed := range changes {
		object, listed := k.snapshot.Objects.Get(changed.name)
		if _, twice := told[changed.name]; twice || !listed {
			continue
		}
		told[changed.name] = struct{}{}
		change.Objects = append(change.Objects, object)
	}
	for _, removed := range after(k.removals, revision) {
		if _, back := k.snapshot.Objects.Get(removed.name); !back {
			change.Removed = append(change.Removed, removed.name)
		}
	}
	return h.packedOnce(k, change, changes)
}

// packedOnce returns a change with its objects encoded, once for all who ask for the same ones, if they are many. The mutex must be held.
func (h *Hub) packedOnce(k *relayedKind, change Change, changes []noted) Change {
	if len(change.Objects) < packFrom {
		return change
	}
	span := revisionSpan{first: changes[0].revision, last: k.contentRevision}
	if span != k.packedChangeSpan {
		packed, err := pack(change.Objects)
		if err != nil {
			level.Error(h.Logger).Log("msg", "change not compressed, told object by object", "kind", change.Kind, "objects", len(change.Objects), "err", err)
			return change
		}
		k.packedChange, k.packedChangeSpan = packed, span
	}
	change.Packed, change.Objects = k.packedChange, nil
	return change
}

// whole returns all objects of a kind, encoded once for all who ask until they change. The mutex must be held.
func (h *Hub) whole(k *relayedKind, kind string) Change {
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
			level.Error(h.Logger).Log("msg", "list not compressed, told object by object", "kind", kind, "objects", len(objects), "err", err)
			change.Objects = objects
			return change
		}
		k.packed, k.packedRevision = packed, k.contentRevision
	}
	change.Packed = k.packed
	return change
}
