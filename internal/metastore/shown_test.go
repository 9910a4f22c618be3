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

// delayedClient is a client whose answers are on their way for a while after the store has read the objects.
type delayedClient struct {
	metastore.Client
	delay time.Duration
}

func (c *delayedClient) Watch(ctx context.Context, kind string, after metastore.Revision, wait time.Duration) (metastore.Events, error) {
	events, err := c.Client.Watch(ctx, kind, after, wait)
	time.Sleep(c.delay)
	return events, err
}

// Guards against a copy that counts as current from when a slow answer arrives: it lacks what the store took in meanwhile.
func TestConfirmedAsOfASlowAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A confirmation never counts from after a change that its copy lacks, and is as young as the answers allow", t, func() {
			const delay, wait = 300 * time.Millisecond, 500 * time.Millisecond
			store := metastoretest.New()
			put(t, store.Client(), "engines", "e", "0")
			followers := metastore.NewFollowers(&delayedClient{Client: store.Client(), delay: delay})
			written := map[string]time.Time{"0": boottime.Now()}
			var mu sync.Mutex
			var failures []string
			followers.Confirmed = func(_ string, snapshot metastore.Snapshot, at time.Time) {
				mu.Lock()
				defer mu.Unlock()
				object, _ := snapshot.Objects.Get("e")
				for spec, when := range written {
					if string(object.Spec) < spec && when.Before(at) {
						failures = append(failures, "confirmed "+string(object.Spec)+" as of "+at.Sub(when).String()+" after "+spec)
					}
				}
			}
			ctx, cancel := context.WithCancel(t.Context())
			var running sync.WaitGroup
			running.Go(func() {
				followers.Follow(ctx, "engines", metastore.FollowOptions{Wait: wait, Pause: 200 * time.Millisecond, Exact: true, Changed: func(metastore.Snapshot) {}})
			})
			time.Sleep(time.Second)
			oldest := time.Duration(0)
			for n := range 400 {
				if n%13 == 0 {
					mu.Lock()
					spec := string(rune('1' + n/13))
					put(t, store.Client(), "engines", "e", spec)
					written[spec] = boottime.Now()
					mu.Unlock()
				}
				time.Sleep(7 * time.Millisecond)
				oldest = max(oldest, boottime.Since(followers.ConfirmedAt("engines")))
			}
			cancel()
			running.Wait()
			So(failures, ShouldBeEmpty)
			// A watch with its delay, the pause, and the short watch that follows a change.
			So(oldest, ShouldBeLessThan, wait+2*delay+200*time.Millisecond+100*time.Millisecond)
		})
	})
}
