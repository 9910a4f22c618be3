package storerelay_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/covelink/covelink/internal/boottime"
	"github.com/covelink/covelink/internal/metastore"
	"github.com/covelink/covelink/internal/storerelay"
)

// A hub must not report stale snapshots as fresh after its machine was suspended, during which the monotonic clock stops.
func TestHubStaleAfterSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hub := storerelay.NewHub(storerelay.HubParams{Leading: func() bool { return true }, Lease: leaseKind})
		hub.Confirm(kind, metastore.Snapshot{Revision: 1})
		request := storerelay.PollRequest{Known: map[string]metastore.Revision{kind: 1}, Wait: time.Millisecond}
		if !hub.Poll(t.Context(), request).Fresh {
			t.Error("hub is not fresh after Confirm")
		}
		boottime.SimulateSuspension(10 * time.Second)
		if hub.Poll(t.Context(), request).Fresh {
			t.Error("hub is fresh after a suspension")
		}
		hub.Confirm(kind, metastore.Snapshot{Revision: 1})
		if !hub.Poll(t.Context(), request).Fresh {
			t.Error("hub is not fresh after Confirm following a suspension")
		}
	})
}
