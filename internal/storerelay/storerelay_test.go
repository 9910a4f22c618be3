package storerelay_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
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
	kind      = "things"
	leaseKind = "leases"
	watchWait = 2500 * time.Millisecond
)

// errUnreachable is the error of a poll of an unreachable hub.
var errUnreachable = errors.New("hub unreachable")

// relayHarness is a store, a coordinator with its hub, and several clients.
type relayHarness struct {
	store *metastoretest.Store
	// hubStore is the hub's connection to the store, which does not answer while storeSilent is set.
	hubStore    *metastoretest.Client
	storeSilent atomic.Bool
	leading     atomic.Bool
	// unreachable makes polls fail, and unresponsive leaves them unanswered.
	unreachable, unresponsive atomic.Bool
	// slowReplies makes replies that have changes arrive after the poll's timeout.
	slowReplies atomic.Bool
	// storeRefuses makes the store refuse the clients' calls.
	storeRefuses atomic.Bool
	hub          *storerelay.Hub
	clients      []*snapshotRecorder
	relayClients []*storerelay.Client
	// relayed counts the objects and packed bytes that the hub has sent.
	relayed atomic.Int64
	ctx     context.Context
	running sync.WaitGroup
}

// snapshotRecorder records the snapshots of a client.
type snapshotRecorder struct {
	mu       sync.Mutex
	snapshot metastore.Snapshot
	// regressed is set once a snapshot was older than the one before.
	regressed bool
}

func (o *snapshotRecorder) record(snapshot metastore.Snapshot) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.regressed = o.regressed || snapshot.Revision < o.snapshot.Revision
	o.snapshot = snapshot
}

func (o *snapshotRecorder) hasRegressed() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.regressed
}

// specs returns the specs of the current snapshot by object name.
func (o *snapshotRecorder) specs() map[string]string {
	o.mu.Lock()
	defer o.mu.Unlock()
	specs := make(map[string]string)
	for name, object := range o.snapshot.Objects.All() {
		specs[name] = string(object.Spec)
	}
	return specs
}

func newRelayHarness(ctx context.Context, clients int) *relayHarness {
	w := &relayHarness{store: metastoretest.New(), ctx: ctx}
	w.hubStore = w.store.Client()
	w.hubStore.Fault = func(string, string, bool) metastoretest.Fault {
		if w.storeSilent.Load() {
			return metastoretest.Silent
		}
		return metastoretest.None
	}
	// Without a lease object, its kind would stay unknown and clients would wait as at startup.
	if _, err := w.store.Client().Create(ctx, leaseKind, metastore.Object{Name: "lease", Spec: []byte(`"coordinator"`)}); err != nil {
		panic(err)
	}
	w.leading.Store(true)
	w.hub = storerelay.NewHub(storerelay.HubParams{Leading: w.leading.Load, Lease: leaseKind, Candidates: func() []string { return []string{standby} }})
	followers := metastore.NewFollowers(w.hubStore)
	w.hub.Attach(followers)
	for _, followed := range []string{kind, leaseKind} {
		w.running.Go(func() {
			followers.Follow(ctx, followed, metastore.FollowOptions{Wait: watchWait, Changed: func(metastore.Snapshot) {}})
		})
	}
	for range clients {
		w.startClient()
	}
	return w
}

func (w *relayHarness) startClient() {
	recorder := &snapshotRecorder{}
	w.clients = append(w.clients, recorder)
	direct := w.store.Client()
	direct.Fault = func(string, string, bool) metastoretest.Fault {
		if w.storeRefuses.Load() {
			return metastoretest.Refused
		}
		return metastoretest.None
	}
	client := storerelay.NewClient(storerelay.ClientParams{
		Direct:      metastore.NewFollowers(direct),
		Poll:        w.poll,
		Coordinator: func() string { return "coordinator" },
		Seeds:       []string{"coordinator"},
		Lease:       leaseKind,
		Logger:      log.NewNopLogger(),
	})
	w.relayClients = append(w.relayClients, client)
	w.running.Go(func() { client.Run(w.ctx) })
	w.running.Go(func() {
		client.Follow(w.ctx, kind, metastore.FollowOptions{Wait: watchWait, Changed: recorder.record})
	})
	w.running.Go(func() {
		client.Follow(w.ctx, leaseKind, metastore.FollowOptions{Changed: func(metastore.Snapshot) {}})
	})
}

// standby is the address of a candidate that is not the coordinator and has no data.
const standby = "standby"

func (w *relayHarness) poll(ctx context.Context, address string, request storerelay.PollRequest) (storerelay.PollReply, error) {
	if address == standby {
		return storerelay.PollReply{}, nil
	}
	if w.unreachable.Load() {
		return storerelay.PollReply{}, errUnreachable
	}
	if w.unresponsive.Load() {
		<-ctx.Done()
		return storerelay.PollReply{}, ctx.Err()
	}
	reply := w.hub.Poll(ctx, request)
	if w.slowReplies.Load() && len(reply.Changes) > 0 {
		return storerelay.PollReply{}, slowReply(ctx)
	}
	for _, change := range reply.Changes {
		w.relayed.Add(int64(len(change.Objects) + len(change.Packed)))
	}
	return reply, nil
}

// write sets an object, or deletes it if the spec is empty.
func (w *relayHarness) write(name, spec string) {
	client := w.store.Client()
	if spec == "" {
		_ = client.Delete(w.ctx, kind, name, 0)
		return
	}
	object := metastore.Object{Name: name, Spec: []byte(spec)}
	if _, err := client.Replace(w.ctx, kind, object); err == nil {
		return
	}
	if _, err := client.Create(w.ctx, kind, object); err != nil {
		panic(err)
	}
}

// runScenario runs a scenario in virtual time.
func runScenario(t *testing.T, name string, clients int, scenario func(w *relayHarness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		w := newRelayHarness(ctx, clients)
		defer func() {
			cancel()
			w.running.Wait()
		}()
		time.Sleep(time.Second)
		Convey(name, t, func() {
			scenario(w)
			for _, client := range w.clients {
				So(client.regressed, ShouldBeFalse)
			}
		})
	})
}

func TestRelay(t *testing.T) {
	runScenario(t, "Clients receive changes from the hub without delay, and only the hub calls the store", 50, func(w *relayHarness) {
		w.write("a", `"1"`)
		w.write("b", `"1"`)
		time.Sleep(5 * time.Second)
		before := w.store.Calls()
		w.write("a", `"2"`)
		w.write("b", "")
		time.Sleep(10 * time.Millisecond)
		for _, client := range w.clients {
			So(client.specs(), ShouldResemble, map[string]string{"a": `"2"`})
		}
		time.Sleep(time.Minute)
		// Watches of two kinds: the lease once per second, the other every 0.75 s.
		So(w.store.Calls()-before, ShouldBeLessThan, 150)
	})
	for _, fault := range []struct {
		name  string
		begin func(w *relayHarness)
	}{
		{"is unreachable", func(w *relayHarness) { w.unreachable.Store(true) }},
		{"is unresponsive", func(w *relayHarness) { w.unresponsive.Store(true) }},
		{"is no longer the coordinator's", func(w *relayHarness) { w.leading.Store(false) }},
	} {
		runScenario(t, "A client reads a change from the store within 3.5 s when the hub "+fault.name, 3, func(w *relayHarness) {
			w.write("a", `"1"`)
			time.Sleep(5 * time.Second)
			fault.begin(w)
			w.write("a", `"2"`)
			time.Sleep(3500 * time.Millisecond)
			for _, client := range w.clients {
				So(client.specs(), ShouldResemble, map[string]string{"a": `"2"`})
			}
			w.unreachable.Store(false)
			w.unresponsive.Store(false)
			w.leading.Store(true)
			time.Sleep(3 * time.Second)
			before := w.store.Calls()
			time.Sleep(10 * time.Second)
			Convey("and stops calling the store once the hub answers again", func() {
				So(w.store.Calls()-before, ShouldBeLessThan, 30)
			})
		})
	}
	// A change that coincides with the loss of the hub must be known within 2 s.
	for _, fault := range []struct {
		name  string
		begin func(w *relayHarness)
	}{
		{"is unresponsive", func(w *relayHarness) { w.unresponsive.Store(true) }},
		{"gets no answer from the store", func(w *relayHarness) { w.storeSilent.Store(true) }},
		{"is unresponsive and gets no answer from the store", func(w *relayHarness) { w.unresponsive.Store(true); w.storeSilent.Store(true) }},
	} {
		for offset := range 6 {
			runScenario(t, "A client has a change within 2 s when, just before it, the hub "+fault.name, 8, func(w *relayHarness) {
				w.write("a", `"1"`)
				time.Sleep(5*time.Second + time.Duration(offset)*170*time.Millisecond)
				fault.begin(w)
				w.write("a", `"2"`)
				time.Sleep(2 * time.Second)
				for _, client := range w.clients {
					So(client.specs(), ShouldResemble, map[string]string{"a": `"2"`})
				}
			})
		}
	}
	runScenario(t, "ConfirmedAt follows the hub or the store, and stops while neither answers", 1, func(w *relayHarness) {
		age := func() time.Duration { return boottime.Since(w.relayClients[0].ConfirmedAt(kind)) }
		time.Sleep(3 * time.Second)
		So(age(), ShouldBeLessThan, 3500*time.Millisecond)
		w.unreachable.Store(true)
		time.Sleep(8 * time.Second)
		So(age(), ShouldBeLessThan, 3500*time.Millisecond)
		w.storeRefuses.Store(true)
		time.Sleep(8 * time.Second)
		So(age(), ShouldBeGreaterThan, 4*time.Second)
		w.storeRefuses.Store(false)
		w.unreachable.Store(false)
		time.Sleep(4 * time.Second)
		So(age(), ShouldBeLessThan, 3500*time.Millisecond)
	})
	runScenario(t, "A hub that gets no answer from the store reports stale data, and clients read changes from the store", 3, func(w *relayHarness) {
		w.write("a", `"1"`)
		time.Sleep(5 * time.Second)
		w.storeSilent.Store(true)
		time.Sleep(2500 * time.Millisecond)
		w.write("a", `"2"`)
		time.Sleep(1200 * time.Millisecond)
		for _, client := range w.clients {
			So(client.specs(), ShouldResemble, map[string]string{"a": `"2"`})
		}
	})
	runScenario(t, "A client that follows the store after its history was compacted lists again", 2, func(w *relayHarness) {
		w.write("a", `"1"`)
		time.Sleep(5 * time.Second)
		w.unresponsive.Store(true)
		w.write("a", `"2"`)
		w.write("b", `"2"`)
		w.store.Compact()
		time.Sleep(4 * time.Second)
		for _, client := range w.clients {
			So(client.specs(), ShouldResemble, map[string]string{"a": `"2"`, "b": `"2"`})
		}
	})
}

// After random changes, removals and faults, every client must have the content of the store.
func TestRelayRandom(t *testing.T) {
	for seed := range uint64(40) {
		runScenario(t, "Random changes and faults with seed "+strconv.FormatUint(seed, 10), 4, func(w *relayHarness) {
			random := rand.New(rand.NewPCG(seed, 1))
			want := make(map[string]string)
			for step := range 150 {
				name := fmt.Sprintf("thing-%d", random.IntN(12))
				switch random.IntN(12) {
				case 0:
					w.unreachable.Store(random.IntN(2) == 0)
				case 1:
					w.unresponsive.Store(random.IntN(2) == 0)
				case 2:
					w.leading.Store(random.IntN(3) > 0)
				case 3:
					w.storeSilent.Store(random.IntN(2) == 0)
				case 4:
					w.store.Compact()
				case 5, 6, 7:
					w.write(name, "")
					delete(want, name)
				default:
					spec := strconv.Itoa(step)
					w.write(name, spec)
					want[name] = spec
				}
				time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond)
			}
			w.unreachable.Store(false)
			w.unresponsive.Store(false)
			w.leading.Store(true)
			w.storeSilent.Store(false)
			time.Sleep(10 * time.Second)
			for _, client := range w.clients {
				So(client.specs(), ShouldResemble, want)
			}
		})
	}
}

func TestContentForPollers(t *testing.T) {
	Convey("A change outside the content for pollers is not sent; a later one inside it is, with the whole object", t, func() {
		contentKey := func(_ string, object metastore.Object) string { return string(object.Spec[:1]) }
		hub := storerelay.NewHub(storerelay.HubParams{Leading: func() bool { return true }, ContentKey: contentKey})
		confirm := func(revision metastore.Revision, objects ...metastore.Object) {
			hub.Confirm(kind, metastore.SnapshotOf(revision, objects...))
		}
		poll := func(known metastore.Revision) storerelay.PollReply {
			request := storerelay.PollRequest{Known: map[string]metastore.Revision{kind: known}, Wait: time.Millisecond}
			return hub.Poll(t.Context(), request)
		}
		object := func(name, spec string, revision metastore.Revision) metastore.Object {
			return metastore.Object{Name: name, Revision: revision, Spec: []byte(spec)}
		}
		confirm(3, object("a", "x1", 2), object("b", "x1", 3))
		So(poll(0).Changes[0].Whole, ShouldBeTrue)
		So(poll(2).Changes[0].Whole, ShouldBeTrue)
		confirm(4, object("a", "x2", 4), object("b", "x1", 3))
		unchanged := poll(3)
		So(unchanged.Changes, ShouldBeEmpty)
		So(unchanged.Revisions[kind], ShouldEqual, metastore.Revision(4))
		confirm(5, object("a", "y2", 5), object("b", "x1", 3))
		So(poll(4).Changes[0].Objects, ShouldResemble, []metastore.Object{object("a", "y2", 5)})
		confirm(6, object("a", "y2", 5))
		So(poll(5).Changes[0].Removed, ShouldResemble, []string{"b"})
	})
}
