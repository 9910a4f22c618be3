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

// pollOf is what a process sends that knows the kind up to a revision.
func pollOf(revision metastore.Revision) storerelay.PollRequest {
	return storerelay.PollRequest{Known: map[string]metastore.Revision{kind: revision}}
}

func TestSpread(t *testing.T) {
	Convey("A hub tells which processes knew the newest content of a kind when they last polled", t, func() {
		hub := storerelay.NewHub(storerelay.HubParams{Leading: func() bool { return true }, Lease: leaseKind})
		none := hub.Spread(kind)
		So(none.Revision, ShouldEqual, 0)
		So(none.Holds(storerelay.Poller{}), ShouldBeFalse)
		hub.Confirm(kind, metastore.SnapshotOf(5, metastore.Object{Name: "a", Revision: 5}))
		hub.NotePoll(rpc.Peer{Name: "two", Zone: "zone-b"}, pollOf(4))
		hub.NotePoll(rpc.Peer{Name: "one", Zone: "zone-a"}, pollOf(5))
		hub.NotePoll(rpc.Peer{Name: "other"}, storerelay.PollRequest{Known: map[string]metastore.Revision{leaseKind: 9}})
		spread := hub.Spread(kind)
		So(spread.Revision, ShouldEqual, 5)
		So(spread.Pollers, ShouldHaveLength, 2)
		So(spread.Pollers[0].Name, ShouldEqual, "one")
		So(spread.Pollers[1].Zone, ShouldEqual, "zone-b")
		So(spread.Holds(spread.Pollers[0]), ShouldBeTrue)
		So(spread.Holds(spread.Pollers[1]), ShouldBeFalse)
		Convey("One that learns shows with its next poll, and revisions without a change of content are held by all", func() {
			hub.NotePoll(rpc.Peer{Name: "two", Zone: "zone-b"}, pollOf(5))
			hub.Confirm(kind, metastore.SnapshotOf(8, metastore.Object{Name: "a", Revision: 5}))
			spread := hub.Spread(kind)
			So(spread.Revision, ShouldEqual, 5)
			So(spread.Holds(spread.Pollers[0]), ShouldBeTrue)
			So(spread.Holds(spread.Pollers[1]), ShouldBeTrue)
			hub.Confirm(kind, metastore.Snapshot{Revision: 9})
			So(hub.Spread(kind).Revision, ShouldEqual, 9)
		})
		Convey("It remembers a bounded number of processes, the last ones", func() {
			for n := range 6000 {
				hub.NotePoll(rpc.Peer{Name: fmt.Sprintf("p-%04d", n)}, pollOf(5))
			}
			found := hub.Spread(kind).Pollers
			So(found, ShouldHaveLength, 4096)
			So(found[len(found)-1].Name, ShouldEqual, "p-5999")
		})
	})
}

func TestSpreadForgets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hub := storerelay.NewHub(storerelay.HubParams{Leading: func() bool { return true }, Lease: leaseKind})
		hub.NotePoll(rpc.Peer{Name: "one"}, pollOf(1))
		time.Sleep(4 * time.Minute)
		if found := hub.Spread(kind).Pollers; len(found) != 1 || found[0].Age != 4*time.Minute {
			t.Errorf("after 4 minutes: %v", found)
		}
		time.Sleep(2 * time.Minute)
		if found := hub.Spread(kind).Pollers; len(found) != 0 {
			t.Errorf("after 6 minutes: %v", found)
		}
	})
}
