package storerelay_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/boottime"
	"github.com/covelink/covelink/internal/metastore"
	"github.com/covelink/covelink/internal/metastore/metastoretest"
	"github.com/covelink/covelink/internal/storerelay"
)

const (
	// copyMaxAge is the MaxAge of the test's clients, and copyReadTime the time that a direct read of the store may take beyond it.
	copyMaxAge   = 2100 * time.Millisecond
	copyReadTime = 150 * time.Millisecond
)

// startBoundedClient starts a client whose copy has a MaxAge, and that otherwise waits long for a hub.
func (w *relayHarness) startBoundedClient() (*storerelay.Client, *snapshotRecorder) {
	recorder := &snapshotRecorder{}
	client := storerelay.NewClient(storerelay.ClientParams{
		Direct:          metastore.NewFollowers(w.store.Client()),
		Poll:            w.poll,
		Coordinator:     func() string { return "coordinator" },
		Seeds:           []string{"coordinator"},
		Lease:           leaseKind,
		FailoverTimeout: time.Minute,
		MaxAge:          map[string]time.Duration{kind: copyMaxAge},
		Logger:          log.NewNopLogger(),
	})
	w.running.Go(func() { client.Run(w.ctx) })
	w.running.Go(func() {
		client.Follow(w.ctx, kind, metastore.FollowOptions{Wait: copyMaxAge / 3, Exact: true, Changed: recorder.record})
	})
	w.running.Go(func() {
		client.Follow(w.ctx, leaseKind, metastore.FollowOptions{Changed: func(metastore.Snapshot) {}})
	})
	return client, recorder
}

// oldest returns the largest age of a client's copy over a time.
func oldest(client *storerelay.Client, length time.Duration) time.Duration {
	var most time.Duration
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		most = max(most, boottime.Since(client.ConfirmedAt(kind)))
	}
	return most
}

// Guards against a copy that grows old while a hub is slow, suspended or cut off from the store, although the store answers.
func TestCopyKeptYoungWithoutHub(t *testing.T) {
	disturbances := map[string]func(w *relayHarness){
		"whose polls stay unanswered":                func(w *relayHarness) { w.unresponsive.Store(true) },
		"that cannot be reached":                     func(w *relayHarness) { w.unreachable.Store(true) },
		"that the store does not answer":             func(w *relayHarness) { w.storeSilent.Store(true) },
		"that does not coordinate for a while":       func(w *relayHarness) { w.leading.Store(false) },
		"that answers only after the polls' timeout": func(w *relayHarness) { w.slowReplies.Store(true) },
	}
	for name, disturb := range disturbances {
		runScenario(t, "With a hub "+name+" a client learns changes within the bound, and returns to the hub", 0, func(w *relayHarness) {
			w.write("a", `"1"`)
			client, recorder := w.startBoundedClient()
			time.Sleep(5 * time.Second)
			direct := w.store.Calls()
			So(oldest(client, 5*time.Second), ShouldBeLessThan, copyMaxAge)
			calm := w.store.Calls() - direct
			disturb(w)
			w.write("a", `"2"`)
			So(oldest(client, 10*time.Second), ShouldBeLessThan, copyMaxAge+copyReadTime)
			So(recorder.specs(), ShouldResemble, map[string]string{"a": `"2"`})
			w.unresponsive.Store(false)
			w.unreachable.Store(false)
			w.storeSilent.Store(false)
			w.slowReplies.Store(false)
			w.leading.Store(true)
			time.Sleep(5 * time.Second)
			after := w.store.Calls()
			So(oldest(client, 5*time.Second), ShouldBeLessThan, copyMaxAge)
			So(w.store.Calls()-after, ShouldBeLessThanOrEqualTo, calm+2)
		})
	}
}

// slowReply delays a reply until the poll's timeout, as a large change on a narrow link does.
func slowReply(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

// Guards against a kind that counts as old because another kind of the same reply is.
func TestConfirmedAtOfEachKind(t *testing.T) {
	for _, told := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			Convey("A kind counts as current by its own age, or by the oldest if the hub tells that alone", t, func() {
				ctx, cancel := context.WithCancel(t.Context())
				reply := storerelay.PollReply{Fresh: true, Age: time.Second, Held: 100 * time.Millisecond,
					Changes:   []storerelay.Change{{Kind: kind, Revision: 1, Whole: true}, {Kind: leaseKind, Revision: 1, Whole: true}},
					Revisions: map[string]metastore.Revision{kind: 1, leaseKind: 1}}
				if told {
					reply.Ages = map[string]time.Duration{kind: 300 * time.Millisecond, leaseKind: time.Second}
				}
				client := storerelay.NewClient(storerelay.ClientParams{
					Direct: metastore.NewFollowers(metastoretest.New().Client()),
					Poll: func(ctx context.Context, _ string, _ storerelay.PollRequest) (storerelay.PollReply, error) {
						time.Sleep(reply.Held)
						return reply, nil
					},
					Coordinator: func() string { return "coordinator" },
					Seeds:       []string{"coordinator"},
					Lease:       leaseKind,
					Logger:      log.NewNopLogger(),
				})
				var running sync.WaitGroup
				running.Go(func() { client.Run(ctx) })
				for _, followed := range []string{kind, leaseKind} {
					running.Go(func() { client.Follow(ctx, followed, metastore.FollowOptions{Changed: func(metastore.Snapshot) {}}) })
				}
				time.Sleep(time.Second)
				difference := client.ConfirmedAt(kind).Sub(client.ConfirmedAt(leaseKind))
				cancel()
				running.Wait()
				if told {
					So(difference, ShouldEqual, 700*time.Millisecond)
				} else {
					So(difference, ShouldEqual, 0)
				}
			})
		})
	}
}
