package storerelay_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/covelink/covelink/internal/boottime"
	"github.com/covelink/covelink/internal/metastore"
	"github.com/covelink/covelink/internal/rpc"
	"github.com/covelink/covelink/internal/storerelay"
)

// Guards against coordinator traffic that grows with the gateways: messages per change must grow with the relays only.
func TestCoordinatorMessagesGrowWithRelaysOnly(t *testing.T) {
	for _, gateways := range []int{100, 400} {
		t.Run(fmt.Sprint(gateways), func(t *testing.T) {
			runRelayCluster(t, 9, gateways, func(t *testing.T, c *relayCluster) {
				if holding := c.holding("one"); holding != gateways {
					t.Fatalf("%d of %d gateways have the full list", holding, gateways)
				}
				leader := c.leader.Load()
				if whole := leader.whole.Load(); whole > 8+clusterMaxDirect+1 {
					t.Errorf("coordinator sent %d full lists", whole)
				}
				c.checkRelayStatus(t, gateways)
				before := leader.answers.Load()
				c.put("a", kind, "two")
				time.Sleep(100 * time.Millisecond)
				if holding := c.holding("two"); holding != gateways {
					t.Errorf("%d of %d gateways have the change after 100 ms", holding, gateways)
				}
				if sent := leader.answers.Load() - before; sent > 8+clusterMaxDirect+1 {
					t.Errorf("coordinator answered %d polls for one change", sent)
				}
				if calls := c.storeCalls.Load(); calls > 0 {
					t.Errorf("gateways made %d calls to the store, want 0", calls)
				}
				for _, process := range c.candidates {
					if process.whole.Load() > int64(gateways/2) {
						t.Errorf("%s sent %d full lists", process.name, process.whole.Load())
					}
				}
			})
		})
	}
}

// checkRelayStatus checks that the coordinator counts all processes, and attributes each to its relay.
func (c *relayCluster) checkRelayStatus(t *testing.T, gateways int) {
	t.Helper()
	hub := c.leader.Load().hub
	relays := hub.Relays(kind)
	if processes := hub.ProcessCount(); processes != gateways+len(relays) {
		t.Errorf("coordinator counts %d processes for %d gateways and %d relays", processes, gateways, len(relays))
	}
	answered, holding := 0, 0
	for _, relay := range relays {
		answered += relay.Processes
		holding += relay.UpToDate
	}
	if answered != gateways-clusterMaxDirect || holding != answered {
		t.Errorf("relays answer %d of %d gateways, of which %d have the newest content", answered, gateways, holding)
	}
	if propagation := hub.Propagation(kind); len(propagation.Pollers) != gateways+len(relays) {
		t.Errorf("coordinator lists %d pollers", len(propagation.Pollers))
	}
}

// During a rolling upgrade, candidates of the old version cannot relay and gateways of the old version cannot be redirected.
func TestMixedVersions(t *testing.T) {
	runRelayCluster(t, 4, 30, func(t *testing.T, c *relayCluster) {
		for _, process := range c.candidates[1:] {
			process.oldVersion.Store(true)
		}
		time.Sleep(20 * time.Second)
		c.put("a", kind, "two")
		time.Sleep(time.Second)
		if holding := c.holding("two"); holding != len(c.gateways) {
			t.Errorf("%d of %d gateways have the change while no other process can relay", holding, len(c.gateways))
		}
		leader := c.leader.Load()
		for n := range 3 * clusterMaxDirect {
			request := pollRequestAt(0)
			if reply := leader.hub.Answer(c.ctx, rpc.Peer{Name: fmt.Sprint("earlier-", n)}, request); reply.Redirect || !reply.Fresh {
				t.Errorf("reply to a gateway of the old version: got %+v, want a fresh one without redirect", reply)
			}
		}
	})
}

// Clients of a lost relay move to another one without a call to the store.
func TestRelayFailover(t *testing.T) {
	runRelayCluster(t, 6, 60, func(t *testing.T, c *relayCluster) {
		c.candidates[2].unreachable.Store(true)
		c.candidates[3].unreachable.Store(true)
		c.put("a", kind, "two")
		time.Sleep(4 * time.Second)
		if holding := c.holding("two"); holding != len(c.gateways) {
			t.Errorf("%d of %d gateways have the change", holding, len(c.gateways))
		}
		if calls := c.storeCalls.Load(); calls > 0 {
			t.Errorf("gateways made %d calls to the store, want 0", calls)
		}
	})
}

// Without a coordinator, relays follow the store and continue to answer their clients.
func TestRelaysWithoutCoordinator(t *testing.T) {
	runRelayCluster(t, 6, 60, func(t *testing.T, c *relayCluster) {
		c.candidates[0].unreachable.Store(true)
		c.candidates[0].leading.Store(false)
		time.Sleep(3 * time.Second)
		c.put("a", kind, "two")
		time.Sleep(2 * time.Second)
		if holding := c.holding("two"); holding < len(c.gateways)-clusterMaxDirect {
			t.Errorf("%d of %d gateways have the change", holding, len(c.gateways))
		}
		c.setLeader(4)
		time.Sleep(3 * time.Second)
		c.put("a", kind, "three")
		time.Sleep(time.Second)
		if holding := c.holding("three"); holding != len(c.gateways) {
			t.Errorf("%d of %d gateways have the change under the next coordinator", holding, len(c.gateways))
		}
	})
}

// runRandomSchedule applies changes, candidate outages and changes of the coordinator in a seeded random order, and checks the gateways after
// each step.
func (c *relayCluster) runRandomSchedule(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 0))
	written := []time.Time{boottime.Now()}
	c.maxDelay.Store(150)
	for step := range 60 {
		time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond)
		switch chosen := c.candidates[random.IntN(len(c.candidates))]; random.IntN(6) {
		case 0:
			chosen.unreachable.Store(!chosen.unreachable.Load())
		case 1:
			if !chosen.unreachable.Load() {
				c.setLeader(slices.Index(c.candidates, chosen))
			}
		default:
			c.put("a", kind, fmt.Sprint(len(written)))
			written = append(written, boottime.Now())
		}
		c.checkConfirmedChanges(t, seed, step, written)
	}
}

func (c *relayCluster) checkConfirmedChanges(t *testing.T, seed uint64, step int, written []time.Time) {
	for n, recorder := range c.gateways {
		confirmed := c.clients[n].ConfirmedAt(kind)
		current, _ := strconv.Atoi(strings.Trim(recorder.specs()["a"], `"`))
		for change := current + 1; change < len(written); change++ {
			if written[change].Before(confirmed) {
				t.Fatalf("seed %d, step %d: gateway %d has change %d, and reports it as current %v after change %d", seed, step, n, current,
					confirmed.Sub(written[change]), change)
			}
		}
	}
}

// Enforcement of revoked keys and evacuated zones relies on ConfirmedAt: no gateway may report a time later than a change that it lacks.
func TestConfirmedAtThroughRelays(t *testing.T) {
	for seed := range uint64(25) {
		runRelayCluster(t, 4, 20, func(t *testing.T, c *relayCluster) { c.runRandomSchedule(t, seed) })
	}
}

// Guards against encoding a large change once per poller, which delays the coordinator's replies.
func TestLargeChangeEncodedOnce(t *testing.T) {
	hub := storerelay.NewHub(storerelay.HubParams{Leading: func() bool { return true }, Lease: leaseKind})
	snapshot := metastore.SnapshotOf(10, metastore.Object{Name: "first", Revision: 10})
	hub.Confirm(kind, snapshot)
	edit := snapshot.Objects.Edit()
	for n := range 500 {
		name := fmt.Sprintf("engine-%05d", n)
		edit.Set(name, metastore.Object{Name: name, Revision: metastore.Revision(20 + n), Spec: []byte(`"new"`)})
	}
	hub.Confirm(kind, metastore.Snapshot{Revision: 600, Objects: edit.Map()})
	one, other := hub.Poll(t.Context(), pollRequestAt(10)).Changes[0], hub.Poll(t.Context(), pollRequestAt(15)).Changes[0]
	if len(one.Packed) == 0 || &one.Packed[0] != &other.Packed[0] || len(one.Objects) > 0 {
		t.Errorf("500 changes were sent as %d objects and %d packed bytes, want one shared encoding", len(one.Objects), len(one.Packed))
	}
	fewer := hub.Poll(t.Context(), pollRequestAt(515)).Changes[0]
	if len(fewer.Objects) != 4 || len(fewer.Packed) > 0 {
		t.Errorf("4 changes were sent as %d objects and %d packed bytes, want 4 objects", len(fewer.Objects), len(fewer.Packed))
	}
}

// Guards against sending a large object in full to each poller, behind which changes of other kinds wait.
func TestLargeObjectCompressedOnce(t *testing.T) {
	hub := storerelay.NewHub(storerelay.HubParams{Leading: func() bool { return true }, Lease: leaseKind})
	hub.Confirm(kind, metastore.SnapshotOf(10, metastore.Object{Name: "routes", Revision: 10, Spec: []byte(`[]`)}))
	var spec strings.Builder
	for n := range 4000 {
		fmt.Fprintf(&spec, `{"name":"route-%d","hostname":"host-%d.example","path-prefix":"/idle/","service":"lookups","max-attempts":2},`, n*7919, n)
	}
	hub.Confirm(kind, metastore.SnapshotOf(20, metastore.Object{Name: "routes", Revision: 20, Spec: []byte(spec.String())}))
	one, other := hub.Poll(t.Context(), pollRequestAt(10)).Changes[0], hub.Poll(t.Context(), pollRequestAt(11)).Changes[0]
	if len(one.Objects) > 0 || len(one.Packed) == 0 || len(one.Packed) > spec.Len()/4 {
		t.Errorf("an object of %d bytes was sent as %d objects and %d packed bytes, want at most a quarter, packed", spec.Len(), len(one.Objects), len(one.Packed))
	}
	if len(one.Packed) > 0 && len(other.Packed) > 0 && &one.Packed[0] != &other.Packed[0] {
		t.Error("the object was compressed for each poller, want once")
	}
}
