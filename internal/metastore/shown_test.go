package metastore_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/boottime"
	"github.com/covelink/covelink/internal/metastore"
	"github.com/covelink/covelink/internal/metastore/metastoretest"
)

// sleepyClient is a client whose machine is suspended between the answer to its third watch and the moment at which that is read.
type sleepyClient struct {
	metastore.Client
	mu      sync.Mutex
	watches int
}

const slept = 5 * time.Second

func (c *sleepyClient) Watch(ctx context.Context, kind string, after metastore.Revision, wait time.Duration) (metastore.Events, error) {
	events, err := c.Client.Watch(ctx, kind, after, wait)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.watches++; c.watches == 3 {
		boottime.SimulateSuspension(slept)
	}
	return events, err
}

// An answer that is read after a suspension tells what the store held before it: a replaced holder must not count it as news of its lease.
func TestShownAfterSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("An answer counts as of when it can have been made", t, func() {
			store := metastoretest.New()
			put(t, store.Client(), "leases", "a", "1")
			followers := metastore.NewFollowers(&sleepyClient{Client: store.Client()})
			var mu sync.Mutex
			var ages []time.Duration
			followers.Shown = func(_ string, at time.Time) {
				mu.Lock()
				defer mu.Unlock()
				ages = append(ages, boottime.Since(at))
			}
			follow(t, followers, "leases", time.Second)
			time.Sleep(4500 * time.Millisecond)
			synctest.Wait()
			mu.Lock()
			defer mu.Unlock()
			So(ages, ShouldResemble, []time.Duration{0, 0, 0, slept + time.Second, 0})
		})
	})
}
