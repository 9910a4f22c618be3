package storerelay

import (
	"context"
	"maps"
	"reflect"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/covelink/covelink/internal/boottime"
	"github.com/covelink/covelink/internal/metastore"
	"github.com/covelink/covelink/internal/pause"
	"github.com/covelink/covelink/internal/quarantine"
)

// HubParams are what a Hub works with.
type HubParams struct {
	// Leading reports whether the process coordinates.
	Leading func() bool
	// Essence returns what pollers need of an object, such that equal strings mean that nothing has changed for them; nil means the
	// whole object.
	Essence func(kind string, object metastore.Object) string
	// Relays reports whether pollers ask for a kind; nil means for every kind.
	Relays func(kind string) bool
	// Lease is the kind that tells who coordinates. It is told also while the process does not coordinate.
	Lease string
	// Quarantine is the table that pollers learn from; nil for none.
	Quarantine *quarantine.Table
	// Candidates returns the internal addresses of other processes that may coordinate; nil if they are not known.
	Candidates func() []string
	// Logger may be nil.
	Logger log.Logger
}

// Hub holds the newest snapshots of the kinds that its process follows. It is safe for concurrent use.
type Hub struct {
	HubParams
	pollers pollers

	mu    sync.Mutex
	kinds map[string]*relayedKind
	// shown is, by kind, the time as of which the store last answered a call, whether or not a call has failed since (metastore.Followers.Shown).
	shown   map[string]time.Time
	changed chan struct{}
}

// relayedKind is what a hub knows of a kind.
type relayedKind struct {
	snapshot metastore.Snapshot
	// contentRevision is that of the last snapshot whose content differed from the one before it, for pollers.
	contentRevision metastore.Revision
	// entries are what pollers need of the objects, by name.
	entries map[string]entry
	// confirmed is when the store was last heard from.
	confirmed time.Time
	// removals are the last objects that went, and floor is the revision after which they are complete.
	removals []removal
	floor    metastore.Revision
	// packed are all objects of the snapshot whose content is that of packedRevision, for pollers; what they do not need of an object
	// may be older.
	packed         []byte
	packedRevision metastore.Revision
}

// entry is what pollers need of an object.
type entry struct {
	// seen is the object's revision that it was made of, and changed the one in which it last became another.
	seen, changed metastore.Revision
	essence       string
}

type removal struct {
	name     string
	revision metastore.Revision
}

// NewHub returns a Hub.
func NewHub(params HubParams) *Hub {
	if params.Essence == nil {
		params.Essence = func(_ string, object metastore.Object) string { return strconv.FormatInt(int64(object.Revision), 10) }
	}
	if params.Candidates == nil {
		params.Candidates = func() []string { return nil }
	}
	if params.Logger == nil {
		params.Logger = log.NewNopLogger()
	}
	return &Hub{HubParams: params, kinds: make(map[string]*relayedKind), shown: make(map[string]time.Time), changed: make(chan struct{})}
}

// Confirm takes in a kind as the store has just shown it.
func (h *Hub) Confirm(kind string, snapshot metastore.Snapshot) {
	h.mu.Lock()
	defer h.mu.Unlock()
	known, ok := h.kinds[kind]
	if !ok {
		known = &relayedKind{floor: snapshot.Revision, entries: make(map[string]entry)}
		h.kinds[kind] = known
	}
	known.confirmed = boottime.Now()
	if snapshot.Revision < known.snapshot.Revision {
		return
	}
	differs := !ok
	if !sameMap(known.snapshot.Objects, snapshot.Objects) {
		removed := known.noteRemovals(snapshot)
		changed := known.noteChanges(snapshot, func(object metastore.Object) string { return h.Essence(kind, object) })
		differs = differs || removed || changed
	}
	if differs {
		known.contentRevision = snapshot.Revision
	}
	known.snapshot = snapshot
	if differs {
		close(h.changed)
		h.changed = make(chan struct{})
	}
}

// Doubt takes in that the store did not show a kind when it was asked.
func (h *Hub) Doubt(kind string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	known, ok := h.kinds[kind]
	if !ok || known.confirmed.IsZero() {
		return
	}
	known.confirmed = time.Time{}
	close(h.changed)
	h.changed = make(chan struct{})
}

// ShownAt returns the time, by boottime, as of which the store last answered a call about a kind; zero if it never did.
func (h *Hub) ShownAt(kind string) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.shown[kind]
}

// noteShown records that the store answered a call about a kind, as of a time.
func (h *Hub) noteShown(kind string, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.shown[kind] = at
}

// Attach makes the hub learn from what its process follows. It must be called before the first Follow.
func (h *Hub) Attach(followers *metastore.Followers) {
	followers.Confirmed = h.Confirm
	followers.Shown = h.noteShown
	followers.Doubted = h.Doubt
	followers.MaxWait = h.maxWait
}

// maxWait bounds the waits of the watches of a kind while the process coordinates.
func (h *Hub) maxWait(kind string) time.Duration {
	switch {
	case !h.Leading():
		return 0
	case kind == h.Lease:
		return maxLeaseWait
	case h.Relays != nil && !h.Relays(kind):
		return maxOtherWait
	}
	return maxWatchWait
}

// sameMap reports whether two sets of objects are one: followers hand on the very map while nothing changes.
func sameMap(a, b map[string]metastore.Object) bool {
	return reflect.ValueOf(a).Pointer() == reflect.ValueOf(b).Pointer()
}

// noteChanges takes in the objects of the next snapshot. It reports whether one of them has changed for pollers.
func (k *relayedKind) noteChanges(next metastore.Snapshot, essence func(metastore.Object) string) (changed bool) {
	for name, object := range next.Objects {
		known, ok := k.entries[name]
		if ok && known.seen == object.Revision {
			continue
		}
		now := entry{seen: object.Revision, changed: known.changed, essence: essence(object)}
		if !ok || now.essence != known.essence {
			now.changed = object.Revision
			changed = true
		}
		k.entries[name] = now
	}
	return changed
}

// noteRemovals takes in which objects the next snapshot lacks. It reports whether there are some.
func (k *relayedKind) noteRemovals(next metastore.Snapshot) (removed bool) {
	for name := range k.snapshot.Objects {
		if _, kept := next.Objects[name]; !kept {
			removed = true
			delete(k.entries, name)
			k.removals = append(k.removals, removal{name: name, revision: next.Revision})
		}
	}
	if excess := len(k.removals) - maxRemovals; excess > 0 {
		k.floor = k.removals[excess-1].revision
		k.removals = k.removals[excess:]
	}
	return removed
}

// Poll returns what changed of the kinds that were asked for, as soon as there is something or the wait is over.
func (h *Hub) Poll(ctx context.Context, request PollRequest) PollReply {
	wait := request.Wait
	if !h.Leading() {
		wait = guideWait
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		reply, changed := h.changes(request.Known)
		news, found := h.found(request.Quarantine)
		reply.Quarantine = news
		if len(reply.Changes) > 0 || len(news.Records) > 0 || changed == nil {
			return reply
		}
		select {
		case <-changed:
		case <-found:
			pause.For(ctx, quarantineGather)
		case <-ctx.Done():
			reply, _ = h.changes(request.Known)
			reply.Quarantine, _ = h.found(request.Quarantine)
			return reply
		}
	}
}

// found returns what is new in the table, and a channel that is closed when there may be more; nil if there is no table.
func (h *Hub) found(known quarantine.Cursor) (quarantine.News, <-chan struct{}) {
	if h.Quarantine == nil {
		return quarantine.News{}, nil
	}
	news, changed := h.Quarantine.Since(known)
	if news.Cursor == known {
		return quarantine.News{}, changed
	}
	return news, changed
}

// changes returns what there is to tell now, and a channel that is closed when that may be more; nil if waiting for it is of no use.
func (h *Hub) changes(known map[string]metastore.Revision) (reply PollReply, changed <-chan struct{}) {
	leading := h.Leading()
	reply.Candidates = h.Candidates()
	h.mu.Lock()
	defer h.mu.Unlock()
	if !leading {
		reply.Changes = h.leaseChange(known)
		return reply, h.changed
	}
	reply.Revisions = make(map[string]metastore.Revision, len(known))
	// One reading for all kinds: it takes two system calls, and hundreds of clients ask several times a second.
	now := boottime.Now()
	for kind, revision := range known {
		relayed, ok := h.kinds[kind]
		if !ok || now.Sub(relayed.confirmed) > maxAge {
			return PollReply{Changes: h.leaseChange(known), Candidates: reply.Candidates}, nil
		}
		reply.Revisions[kind] = relayed.snapshot.Revision
		reply.Age = max(reply.Age, now.Sub(relayed.confirmed))
		if relayed.news(revision) {
			reply.Changes = append(reply.Changes, h.since(relayed, kind, revision))
		}
	}
	reply.Fresh = true
	return reply, h.changed
}

// leaseChange returns what the caller does not know of the lease; nil if nothing. The mutex must be held.
func (h *Hub) leaseChange(known map[string]metastore.Revision) []Change {
	revision, asked := known[h.Lease]
	relayed, ok := h.kinds[h.Lease]
	if !asked || !ok || !relayed.news(revision) {
		return nil
	}
	return []Change{h.since(relayed, h.Lease, revision)}
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
	for name, object := range k.snapshot.Objects {
		if k.entries[name].changed > revision {
			change.Objects = append(change.Objects, object)
		}
	}
	for _, removed := range k.removals {
		if _, back := k.snapshot.Objects[removed.name]; !back && removed.revision > revision {
			change.Removed = append(change.Removed, removed.name)
		}
	}
	return change
}

// whole returns all objects of a kind, encoded once for all who ask until they change. The mutex must be held.
func (h *Hub) whole(k *relayedKind, kind string) Change {
	change := Change{Kind: kind, Revision: k.snapshot.Revision, Whole: true}
	if len(k.snapshot.Objects) == 0 {
		return change
	}
	if k.packedRevision != k.contentRevision {
		objects := slices.Collect(maps.Values(k.snapshot.Objects))
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
