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

// A permit whose holder is suspended is over when the holder wakes, and the holder's next act stands in the journal at its own time: the one
// before it is as old as it is, not as old as the steady clock tells.
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
			t.Error("the permit has outlived the suspension")
		}
	})
}
