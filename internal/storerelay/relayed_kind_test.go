package storerelay

import (
	"fmt"
	"testing"

	"github.com/covelink/covelink/internal/metastore"
)

// The cost of an update must depend on the number of changes, not on the number of objects of the kind.
func TestChangeCostIndependentOfObjectCount(t *testing.T) {
	const kind, count = "things", 10000
	hub := NewHub(HubParams{Leading: func() bool { return true }, Lease: "leases"})
	var objects []metastore.Object
	for n := range count {
		objects = append(objects, metastore.Object{Name: fmt.Sprintf("engine-%05d", n), Revision: metastore.Revision(n + 1)})
	}
	snapshot := metastore.SnapshotOf(count, objects...)
	hub.Confirm(kind, snapshot)
	edit := snapshot.Objects.Edit()
	edit.Set("engine-00007", metastore.Object{Name: "engine-00007", Revision: count + 1})
	edit.Delete("engine-00008")
	hub.Confirm(kind, metastore.Snapshot{Revision: count + 2, Objects: edit.Map()})
	known := hub.kinds[kind]
	if visited := len(entriesAfter(known.changes, count)) + len(entriesAfter(known.removals, count)); visited != 2 {
		t.Errorf("a change and a removal among %d objects visit %d history entries, want 2", count, visited)
	}
	reply := hub.Poll(t.Context(), PollRequest{Known: map[string]metastore.Revision{kind: count}})
	change := reply.Changes[0]
	if len(change.Objects) != 1 || len(change.Removed) != 1 || change.Whole {
		t.Errorf("got %d objects and %d removals, whole %v; want 1, 1, false", len(change.Objects), len(change.Removed), change.Whole)
	}
}

// A poller that needs more than the history receives the full list; one within the history receives every change.
func TestFullListBeyondHistory(t *testing.T) {
	const kind = "things"
	hub := NewHub(HubParams{Leading: func() bool { return true }, Lease: "leases"})
	snapshot := metastore.SnapshotOf(1, metastore.Object{Name: "first", Revision: 1})
	hub.Confirm(kind, snapshot)
	revision := metastore.Revision(1)
	for range 3 {
		edit := snapshot.Objects.Edit()
		for range maxChanges / 2 {
			revision++
			name := fmt.Sprint("engine-", revision)
			edit.Set(name, metastore.Object{Name: name, Revision: revision})
		}
		snapshot = metastore.Snapshot{Revision: revision, Objects: edit.Map()}
		hub.Confirm(kind, snapshot)
	}
	fetch := func(known metastore.Revision) (objects int, whole bool) {
		change, err := hub.Poll(t.Context(), PollRequest{Known: map[string]metastore.Revision{kind: known}}).Changes[0].unpacked()
		if err != nil {
			t.Fatal(err)
		}
		return len(change.Objects), change.Whole
	}
	if _, whole := fetch(1); !whole {
		t.Error("a poller that needs more than the history did not receive the full list")
	}
	if objects, whole := fetch(revision - 100); whole || objects != 100 {
		t.Errorf("a poller that missed 100 changes received %d objects, whole %v", objects, whole)
	}
}
