package storerelay_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/covelink/covelink/internal/boottime"
	"github.com/covelink/covelink/internal/metastore"
	"github.com/covelink/covelink/internal/storerelay"
)

// A hub whose machine was suspended has not heard from the store for as long, whatever its steady clock tells: it must not answer that it is up
// to date.
func TestHubOfSuspendedMachine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hub := storerelay.NewHub(storerelay.HubParams{Leading: func() bool { return true }, Lease: leaseKind})
		hub.Confirm(kind, metastore.Snapshot{Revision: 1})
		request := storerelay.PollRequest{Known: map[string]metastore.Revision{kind: 1}, Wait: time.Millisecond}
		if !hub.Poll(t.Context(), request).Fresh {
			t.Error("not fresh though just confirmed")
		}
		boottime.SimulateSuspension(10 * time.Second)
		if hub.Poll(t.Context(), request).Fresh {
			t.Error("fresh after a suspension")
		}
		hub.Confirm(kind, metastore.Snapshot{Revision: 1})
		if !hub.Poll(t.Context(), request).Fresh {
			t.Error("not fresh though confirmed again")
		}
	})
}
