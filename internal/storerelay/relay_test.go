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

// Each gateway polled the coordinating process: one change was N messages, and at 835 gateways and 10,000 engines its whole lists were more memory
// than it had. Messages for one change must grow with the relays.
func TestOneChangeCostsTheCoordinatorNoMessageAGateway(t *testing.T) {
	for _, gateways := range []int{100, 400} {
		t.Run(fmt.Sprint(gateways), func(t *testing.T) {
			playCrowd(t, 9, gateways, func(t *testing.T, c *crowd) {
				if holding := c.holding("one"); holding != gateways {
					t.Fatalf("%d of %d gateways hold the list", holding, gateways)
				}
				leader := c.leader.Load()
				if whole := leader.whole.Load(); whole > 8+crowdDirect+1 {
					t.Errorf("the coordinating process sent %d whole lists", whole)
				}
				c.shouldShowRelays(t, gateways)
				before := leader.answers.Load()
				c.put("a", kind, "two")
				time.Sleep(100 * time.Millisecond)
				if holding := c.holding("two"); holding != gateways {
					t.Errorf("%d of %d gateways hold the change after 100 ms", holding, gateways)
				}
				if sent := leader.answers.Load() - before; sent > 8+crowdDirect+1 {
					t.Errorf("the coordinating process answered %d polls for one change", sent)
				}
				if calls := c.storeCalls.Load(); calls > 0 {
					t.Errorf("gateways made %d calls to the store", calls)
				}
				for _, known := range c.candidates {
					if known.whole.Load() > int64(gateways/2) {
						t.Errorf("%s sent %d whole lists", known.name, known.whole.Load())
					}
				}
			})
		})
	}
}

// shouldShowRelays checks that the coordinating process knows how many processes there are, and by which relay each is answered.
func (c *crowd) shouldShowRelays(t *testing.T, gateways int) {
	t.Helper()
	hub := c.leader.Load().hub
	relays := hub.Relays(kind)
	if processes := hub.Processes(); processes != gateways+len(relays) {
		t.Errorf("%d processes are counted for %d gateways and %d relays", processes, gateways, len(relays))
	}
	answered, holding := 0, 0
	for _, relay := range relays {
		answered += relay.Processes
		holding += relay.Holding
	}
	if answered != gateways-crowdDirect || holding != answered {
		t.Errorf("relays answer %d of %d gateways, of which %d hold the newest content", answered, gateways, holding)
	}
	if spread := hub.Spread(kind); len(spread.Pollers) != gateways+len(relays) {
		t.Errorf("the spread names %d processes", len(spread.Pollers))
	}
}

// While coordinators are replaced by this version one after the other, the others cannot relay, and gateways of the earlier version cannot be sent away.
func TestEarlierVersions(t *testing.T) {
	playCrowd(t, 4, 30, func(t *testing.T, c *crowd) {
		for _, known := range c.candidates[1:] {
			known.earlier.Store(true)
		}
		time.Sleep(20 * time.Second)
		c.put("a", kind, "two")
		time.Sleep(time.Second)
		if holding := c.holding("two"); holding != len(c.gateways) {
			t.Errorf("%d of %d gateways hold the change while no other process can relay", holding, len(c.gateways))
		}
		leader := c.leader.Load()
		for n := range 3 * crowdDirect {
			request := pollOf(0)
			if reply := leader.hub.Answer(c.ctx, rpc.Peer{Name: fmt.Sprint("earlier-", n)}, request); reply.Redirect || !reply.Fresh {
				t.Errorf("a gateway of the earlier version was answered %+v", reply)
			}
		}
	})
}

// A lost relay costs its callers a question to another one, and no call to the store.
func TestLostRelays(t *testing.T) {
	playCrowd(t, 6, 60, func(t *testing.T, c *crowd) {
		c.candidates[2].cut.Store(true)
		c.candidates[3].cut.Store(true)
		c.put("a", kind, "two")
		time.Sleep(4 * time.Second)
		if holding := c.holding("two"); holding != len(c.gateways) {
			t.Errorf("%d of %d gateways hold the change", holding, len(c.gateways))
		}
		if calls := c.storeCalls.Load(); calls > 0 {
			t.Errorf("gateways made %d calls to the store", calls)
		}
	})
}

// While nobody coordinates the relays follow the store, and their callers hear from them.
func TestRelaysOutliveTheCoordinator(t *testing.T) {
	playCrowd(t, 6, 60, func(t *testing.T, c *crowd) {
		c.candidates[0].cut.Store(true)
		c.candidates[0].leading.Store(false)
		time.Sleep(3 * time.Second)
		c.put("a", kind, "two")
		time.Sleep(2 * time.Second)
		if holding := c.holding("two"); holding < len(c.gateways)-crowdDirect {
			t.Errorf("%d of %d gateways hold the change", holding, len(c.gateways))
		}
		c.lead(4)
		time.Sleep(3 * time.Second)
		c.put("a", kind, "three")
		time.Sleep(time.Second)
		if holding := c.holding("three"); holding != len(c.gateways) {
			t.Errorf("%d of %d gateways hold the change under the next coordinator", holding, len(c.gateways))
		}
	})
}

// schedule plays changes, cuts of candidates and changes of the coordinator in an order that follows from a seed, and checks at each step that every
// gateway holds what was written before the moment as of which it takes its copy for true, and that none goes back.
func (c *crowd) schedule(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 0))
	written := []time.Time{boottime.Now()}
	c.maxDelay.Store(150)
	for step := range 60 {
		time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond)
		switch chosen := c.candidates[random.IntN(len(c.candidates))]; random.IntN(6) {
		case 0:
			chosen.cut.Store(!chosen.cut.Load())
		case 1:
			if !chosen.cut.Load() {
				c.lead(slices.Index(c.candidates, chosen))
			}
		default:
			c.put("a", kind, fmt.Sprint(len(written)))
			written = append(written, boottime.Now())
		}
		c.shouldHoldWhatIsConfirmed(t, seed, step, written)
	}
}

func (c *crowd) shouldHoldWhatIsConfirmed(t *testing.T, seed uint64, step int, written []time.Time) {
	for n, found := range c.gateways {
		confirmed := c.clients[n].ConfirmedAt(kind)
		held, _ := strconv.Atoi(strings.Trim(found.specs()["a"], `"`))
		for change := held + 1; change < len(written); change++ {
			if written[change].Before(confirmed) {
				t.Fatalf("seed %d, step %d: gateway %d holds change %d, and takes it for true %v after change %d", seed, step, n, held,
					confirmed.Sub(written[change]), change)
			}
		}
	}
}

// A withdrawn key and an evacuated zone are bound by the moment as of which a copy is taken for true: no relay may make it later, whatever is lost.
func TestConfirmationsHoldOverRelays(t *testing.T) {
	for seed := range uint64(25) {
		playCrowd(t, 4, 20, func(t *testing.T, c *crowd) { c.schedule(t, seed) })
	}
}

// 500 engines that start in a second were encoded anew for each poller, and the coordinating process's answers came too late.
func TestManyChangesAreEncodedOnce(t *testing.T) {
	hub := storerelay.NewHub(storerelay.HubParams{Leading: func() bool { return true }, Lease: leaseKind})
	snapshot := metastore.SnapshotOf(10, metastore.Object{Name: "first", Revision: 10})
	hub.Confirm(kind, snapshot)
	edit := snapshot.Objects.Edit()
	for n := range 500 {
		name := fmt.Sprintf("engine-%05d", n)
		edit.Set(name, metastore.Object{Name: name, Revision: metastore.Revision(20 + n), Spec: []byte(`"new"`)})
	}
	hub.Confirm(kind, metastore.Snapshot{Revision: 600, Objects: edit.Map()})
	one, other := hub.Poll(t.Context(), pollOf(10)).Changes[0], hub.Poll(t.Context(), pollOf(15)).Changes[0]
	if len(one.Packed) == 0 || &one.Packed[0] != &other.Packed[0] || len(one.Objects) > 0 {
		t.Errorf("500 changes were told as %d objects and %d bytes", len(one.Objects), len(one.Packed))
	}
	fewer := hub.Poll(t.Context(), pollOf(515)).Changes[0]
	if len(fewer.Objects) != 4 || len(fewer.Packed) > 0 {
		t.Errorf("4 changes were told as %d objects and %d bytes", len(fewer.Objects), len(fewer.Packed))
	}
}
