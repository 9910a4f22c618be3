package storerelay_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/metastore"
	"github.com/covelink/covelink/internal/rpc"
	"github.com/covelink/covelink/internal/storerelay"
)

// pollRequestAt is the poll of a process that has the kind at a revision.
func pollRequestAt(revision metastore.Revision) storerelay.PollRequest {
	return storerelay.PollRequest{Known: map[string]metastore.Revision{kind: revision}}
}

func TestPropagation(t *testing.T) {
	Convey("A hub reports which processes had the newest content of a kind at their last poll", t, func() {
		hub := storerelay.NewHub(storerelay.HubParams{Leading: func() bool { return true }, Lease: leaseKind})
		none := hub.Propagation(kind)
		So(none.Revision, ShouldEqual, 0)
		So(none.UpToDate(storerelay.Poller{}), ShouldBeFalse)
		hub.Confirm(kind, metastore.SnapshotOf(5, metastore.Object{Name: "a", Revision: 5}))
		hub.RecordPoll(rpc.Peer{Name: "two", Zone: "zone-b"}, pollRequestAt(4))
		hub.RecordPoll(rpc.Peer{Name: "one", Zone: "zone-a"}, pollRequestAt(5))
		hub.RecordPoll(rpc.Peer{Name: "other"}, storerelay.PollRequest{Known: map[string]metastore.Revision{leaseKind: 9}})
		propagation := hub.Propagation(kind)
		So(propagation.Revision, ShouldEqual, 5)
		So(propagation.Pollers, ShouldHaveLength, 2)
		So(propagation.Pollers[0].Name, ShouldEqual, "one")
		So(propagation.Pollers[1].Zone, ShouldEqual, "zone-b")
		So(propagation.UpToDate(propagation.Pollers[0]), ShouldBeTrue)
		So(propagation.UpToDate(propagation.Pollers[1]), ShouldBeFalse)
		Convey("A process counts as up to date from its next poll, and a revision without a content change needs no poll", func() {
			hub.RecordPoll(rpc.Peer{Name: "two", Zone: "zone-b"}, pollRequestAt(5))
			hub.Confirm(kind, metastore.SnapshotOf(8, metastore.Object{Name: "a", Revision: 5}))
			propagation := hub.Propagation(kind)
			So(propagation.Revision, ShouldEqual, 5)
			So(propagation.UpToDate(propagation.Pollers[0]), ShouldBeTrue)
			So(propagation.UpToDate(propagation.Pollers[1]), ShouldBeTrue)
			hub.Confirm(kind, metastore.Snapshot{Revision: 9})
			So(hub.Propagation(kind).Revision, ShouldEqual, 9)
		})
		Convey("It keeps a bounded number of processes, those with the newest polls", func() {
			for n := range 6000 {
				hub.RecordPoll(rpc.Peer{Name: fmt.Sprintf("p-%04d", n)}, pollRequestAt(5))
			}
			found := hub.Propagation(kind).Pollers
			So(found, ShouldHaveLength, 4096)
			So(found[len(found)-1].Name, ShouldEqual, "p-5999")
		})
	})
}

func TestPollerRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hub := storerelay.NewHub(storerelay.HubParams{Leading: func() bool { return true }, Lease: leaseKind})
		hub.RecordPoll(rpc.Peer{Name: "one"}, pollRequestAt(1))
		time.Sleep(4 * time.Minute)
		if found := hub.Propagation(kind).Pollers; len(found) != 1 || found[0].Age != 4*time.Minute {
			t.Errorf("pollers after 4 minutes: got %v, want one with an age of 4 minutes", found)
		}
		time.Sleep(2 * time.Minute)
		if found := hub.Propagation(kind).Pollers; len(found) != 0 {
			t.Errorf("pollers after 6 minutes: got %v, want none", found)
		}
	})
}
