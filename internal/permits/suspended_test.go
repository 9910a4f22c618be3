package permits_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/covelink/covelink/internal/boottime"
	"github.com/covelink/covelink/internal/metastore/metastoretest"
	"github.com/covelink/covelink/internal/permits"
)

// TestPermitOfSuspendedHolder guards against a permit that outlives a suspension of its holder because the monotonic clock stops.
func TestPermitOfSuspendedHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		journal := permits.New(permits.Params{
			Store:       metastoretest.New().Client(),
			Name:        "orders",
			Holder:      "node-1",
			Token:       1,
			LeaseLength: 3 * time.Second,
			Transit:     800 * time.Millisecond,
		})
		journal.TakeOver(context.Background())
		allowed, deadline, err := journal.Permit(t.Context(), []string{"engine-1"})
		if err != nil || len(allowed) != 1 {
			t.Fatalf("%v, %v", allowed, err)
		}
		boottime.SimulateSuspension(10 * time.Second)
		if boottime.Now().Before(deadline) {
			t.Error("the permit is still valid after the suspension")
		}
	})
}
