package metastore_test

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/metastore"
	"github.com/covelink/covelink/internal/metastore/metastoretest"
)

// seen is the newest snapshot that a follower handed out.
type seen struct {
	mu       sync.Mutex
	snapshot metastore.Snapshot
}

func (s *seen) take(snapshot metastore.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshot = snapshot
}

func (s *seen) spec(name string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	object, _ := s.snapshot.Objects.Get(name)
	return string(object.Spec)
}

func put(t *testing.T, client metastore.Client, kind, name, spec string) {
	t.Helper()
	object := metastore.Object{Name: name, Spec: json.RawMessage(spec)}
	if _, err := client.Replace(t.Context(), kind, object); err == nil {
		return
	}
	if _, err := client.Create(t.Context(), kind, object); err != nil {
		t.Fatal(err)
	}
}

// follow starts a follower that ends with the test.
func follow(t *testing.T, followers *metastore.Followers, kind string, wait time.Duration) *seen {
	t.Helper()
	found := &seen{}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { followers.Follow(ctx, kind, metastore.FollowOptions{Wait: wait, Changed: found.take}) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return found
}

func TestFollowerSeesChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := metastoretest.New()
		client := store.Client()
		put(t, client, "config", "main", "1")
		found := follow(t, metastore.NewFollowers(client), "config", 3*time.Second)
		synctest.Wait()
		Convey("A follower lists what is there and takes in each change at once", t, func() {
			So(found.spec("main"), ShouldEqual, "1")
			put(t, client, "config", "main", "2")
			synctest.Wait()
			So(found.spec("main"), ShouldEqual, "2")
			So(client.Delete(t.Context(), "config", "main", 0), ShouldBeNil)
			synctest.Wait()
			So(found.spec("main"), ShouldEqual, "")
		})
	})
}

// A store that drops its history may leave a watch waiting in silence: the change that it missed was found only when the
// watch ended after 10 s.
func TestFollowerOfDroppedHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := metastoretest.New()
		client := store.Client()
		put(t, client, "config", "main", "1")
		put(t, client, "servers", "a", "1")
		followers := metastore.NewFollowers(client)
		config := follow(t, followers, "config", 3*time.Second)
		engines := follow(t, followers, "servers", 10*time.Second)
		synctest.Wait()
		store.Mute(true)
		put(t, client, "config", "main", "2")
		put(t, client, "servers", "a", "2")
		synctest.Wait()
		store.Compact()
		store.Mute(false)
		synctest.Wait()
		Convey("A watch that was muted learns of the change within its own wait, and the others with it", t, func() {
			So(config.spec("main"), ShouldEqual, "1")
			time.Sleep(3100 * time.Millisecond)
			synctest.Wait()
			So(config.spec("main"), ShouldEqual, "2")
			So(engines.spec("a"), ShouldEqual, "2")
		})
	})
}

func TestFollowerOfStoreThatFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := metastoretest.New()
		plain := store.Client()
		put(t, plain, "config", "main", "1")
		faulty := store.Client()
		var down atomic.Bool
		down.Store(true)
		faulty.Fault = func(string, string, bool) metastoretest.Fault {
			if down.Load() {
				return metastoretest.Silent
			}
			return metastoretest.None
		}
		found := follow(t, metastore.NewFollowers(faulty), "config", 3*time.Second)
		time.Sleep(5 * time.Second)
		Convey("A follower goes on once the store answers again", t, func() {
			So(found.spec("main"), ShouldEqual, "")
			down.Store(false)
			time.Sleep(2 * time.Second)
			synctest.Wait()
			So(found.spec("main"), ShouldEqual, "1")
		})
	})
}

func TestSettleCreate(t *testing.T) {
	object := metastore.Object{Name: "a", Spec: json.RawMessage(`"mine"`)}
	own := func(current metastore.Object) bool { return string(current.Spec) == `"mine"` }
	cases := []struct {
		name  string
		fault metastoretest.Fault
	}{
		{"whose answer is lost", metastoretest.AnswerLost},
		{"that is done late", metastoretest.Late},
		{"that is refused at first", metastoretest.Refused},
		{"that reaches nobody at first", metastoretest.Silent},
	}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			store := metastoretest.New()
			client := store.Client()
			faults := 2
			client.Fault = func(_, _ string, write bool) metastoretest.Fault {
				if write && faults > 0 {
					faults--
					return c.fault
				}
				return metastoretest.None
			}
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			Convey("A write "+c.name+" is settled as the caller's", t, func() {
				stored, err := metastore.SettleCreate(ctx, client, "kind", object, own)
				So(err, ShouldBeNil)
				So(string(stored.Spec), ShouldEqual, `"mine"`)
				time.Sleep(2 * metastoretest.LateBy)
				current, err := store.Client().Get(ctx, "kind", "a")
				So(err, ShouldBeNil)
				So(current.Revision, ShouldEqual, stored.Revision)
			})
		})
	}
	synctest.Test(t, func(t *testing.T) {
		store := metastoretest.New()
		put(t, store.Client(), "kind", "a", `"theirs"`)
		Convey("Another's object is a conflict", t, func() {
			_, err := metastore.SettleCreate(t.Context(), store.Client(), "kind", object, own)
			var conflict *metastore.ConflictError
			So(err, ShouldHaveSameTypeAs, conflict)
		})
	})
	synctest.Test(t, func(t *testing.T) {
		client := metastoretest.New().Client()
		client.Fault = func(string, string, bool) metastoretest.Fault { return metastoretest.Refused }
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		Convey("A write that was only refused is known not to be done", t, func() {
			_, err := metastore.SettleCreate(ctx, client, "kind", object, own)
			So(err, ShouldWrap, metastore.ErrNotDone)
		})
	})
}

// A store that is down in silence never answers the watches that were begun meanwhile: a gateway knew config version 7 only
// 2.7 s after it was acknowledged, since its watch was given up 5 s after its start (CONFIG on store-service-outages of
// Cairnpath), and one of 10 s would have been silent for 12.
func TestFollowerOfSilentStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := metastoretest.New()
		plain := store.Client()
		put(t, plain, "config", "main", "1")
		put(t, plain, "leases", "a", "1")
		client := store.Client()
		var down atomic.Bool
		client.Fault = func(string, string, bool) metastoretest.Fault {
			if down.Load() {
				return metastoretest.Silent
			}
			return metastoretest.None
		}
		followers := metastore.NewFollowers(client)
		config := follow(t, followers, "config", 2500*time.Millisecond)
		lease := follow(t, followers, "leases", 10*time.Second)
		time.Sleep(9 * time.Second)
		down.Store(true)
		time.Sleep(5 * time.Second)
		down.Store(false)
		put(t, plain, "config", "main", "2")
		put(t, plain, "leases", "a", "2")
		Convey("Within 3 s after a silent outage every follower is up to date", t, func() {
			time.Sleep(3 * time.Second)
			synctest.Wait()
			So(config.spec("main"), ShouldEqual, "2")
			So(lease.spec("a"), ShouldEqual, "2")
		})
	})
}

func TestFollowerAfterSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := metastoretest.New()
		var silent atomic.Bool
		client := store.Client()
		client.Fault = func(string, string, bool) metastoretest.Fault {
			if silent.Load() {
				return metastoretest.Silent
			}
			return metastoretest.None
		}
		put(t, store.Client(), "kind", "name", `"before"`)
		found := follow(t, metastore.NewFollowers(client), "kind", 2*time.Second)
		time.Sleep(100 * time.Millisecond)
		silent.Store(true)
		time.Sleep(4500 * time.Millisecond)
		silent.Store(false)
		put(t, store.Client(), "kind", "name", `"after"`)
		time.Sleep(1200 * time.Millisecond)
		Convey("A change is seen soon after a silent store is back: calls that were made into the silence are not waited for", t, func() {
			So(found.spec("name"), ShouldEqual, `"after"`)
		})
	})
}

func TestChangeHandedOutBeforeThePause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A change is handed out and confirmed as it arrives, not after the pause that collects later ones", t, func() {
			store := metastoretest.New()
			put(t, store.Client(), "engines", "e", `"ready"`)
			followers := metastore.NewFollowers(store.Client())
			var confirmed seen
			followers.Confirmed = func(_ string, snapshot metastore.Snapshot, _ time.Time) { confirmed.take(snapshot) }
			ctx, cancel := context.WithCancel(t.Context())
			var running sync.WaitGroup
			running.Go(func() {
				followers.Follow(ctx, "engines", metastore.FollowOptions{Wait: time.Second, Pause: time.Minute, Changed: func(metastore.Snapshot) {}})
			})
			synctest.Wait()
			put(t, store.Client(), "engines", "e", `"draining"`)
			synctest.Wait()
			So(confirmed.spec("e"), ShouldEqual, `"draining"`)
			cancel()
			running.Wait()
		})
	})
}
