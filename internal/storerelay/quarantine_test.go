package storerelay_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"github.com/covelink/covelink/internal/metastore"
	"github.com/covelink/covelink/internal/metastore/metastoretest"
	"github.com/covelink/covelink/internal/quarantine"
	"github.com/covelink/covelink/internal/storerelay"
)

// Quarantine updates reach clients immediately, even from a hub that is not the coordinator's.
func TestQuarantineRelayed(t *testing.T) {
	for name, leading := range map[string]bool{"coordinator's hub": true, "other hub": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				table, received := quarantine.NewTable(time.Now), quarantine.NewTable(time.Now)
				hub := storerelay.NewHub(storerelay.HubParams{Leading: func() bool { return leading }, Lease: leaseKind, Quarantine: table})
				client := storerelay.NewClient(storerelay.ClientParams{
					Direct: metastore.NewFollowers(metastoretest.New().Client()),
					Poll: func(ctx context.Context, _ string, request storerelay.PollRequest) (storerelay.PollReply, error) {
						return hub.Poll(ctx, request), nil
					},
					Coordinator: func() string { return "hub" },
					Lease:       leaseKind,
					Quarantine:  received,
					Logger:      log.NewNopLogger(),
				})
				var running sync.WaitGroup
				running.Go(func() { client.Run(ctx) })
				time.Sleep(2 * time.Second)
				suspect := quarantine.FingerprintOf("", "POST", "h", "/", nil)
				table.RecordCrash(suspect, "engine-0")
				time.Sleep(500 * time.Millisecond)
				if state := received.Status(suspect).State; state != quarantine.Suspect {
					t.Errorf("state 500 ms after the engine failure: got %v, want suspect", state)
				}
				table.Release(suspect)
				time.Sleep(500 * time.Millisecond)
				if state := received.Status(suspect).State; state != quarantine.Clear {
					t.Errorf("state 500 ms after the release: got %v, want clear", state)
				}
				cancel()
				running.Wait()
			})
		})
	}
}
