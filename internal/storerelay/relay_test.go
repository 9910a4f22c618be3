package storerelay_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"github.com/covelink/covelink/internal/boottime"
	"github.com/covelink/covelink/internal/metastore"
	"github.com/covelink/covelink/internal/metastore/metastoretest"
	"github.com/covelink/covelink/internal/rpc"
	"github.com/covelink/covelink/internal/storerelay"
)

// crowdDirect bounds the processes that the test's coordinating process answers by itself.
const crowdDirect = 4

// candidate is a process of the test that may coordinate.
type candidate struct {
	name    string
	leading atomic.Bool
	cut     atomic.Bool
	// earlier makes it answer as an earlier version does, which cannot relay.
	earlier atomic.Bool
	hub     *storerelay.Hub
	// answers counts the polls that it answered, and whole the whole lists among them.
	answers, whole atomic.Int64
}

// crowd is a store, candidates of which one coordinates, and more gateways than that answers by itself.
type crowd struct {
	store      *metastoretest.Store
	candidates []*candidate
	gateways   []*observed
	clients    []*storerelay.Client
	// storeCalls counts the gateways' own calls to the store.
	storeCalls atomic.Int64
	leader     atomic.Pointer[candidate]
	// maxDelay is the longest delay of a message in milliseconds, and messages counts those that were delayed.
	maxDelay, messages atomic.Int64
	ctx                context.Context
	running            sync.WaitGroup
}

func newCrowd(ctx context.Context, candidates, gateways int) *crowd {
	c := &crowd{store: metastoretest.New(), ctx: ctx}
	c.put("lease", leaseKind, "coordinator")
	for n := range candidates {
		c.candidates = append(c.candidates, &candidate{name: fmt.Sprintf("candidate-%02d", n)})
	}
	c.lead(0)
	for _, made := range c.candidates {
		c.startCandidate(made)
	}
	for n := range gateways {
		c.startGateway(fmt.Sprintf("gateway-%03d", n))
	}
	return c
}

func (c *crowd) put(name, kind, spec string) {
	client := c.store.Client()
	object, err := client.Get(c.ctx, kind, name)
	if errors.Is(err, metastore.ErrNotFound) {
		_, err = client.Create(c.ctx, kind, metastore.Object{Name: name, Spec: []byte(`"` + spec + `"`)})
	} else if err == nil {
		object.Spec = []byte(`"` + spec + `"`)
		_, err = client.Replace(c.ctx, kind, object)
	}
	if err != nil {
		panic(err)
	}
}

// delay takes as long as a message of the test takes on its way, a time that differs from message to message.
func (c *crowd) delay() {
	if most := c.maxDelay.Load(); most > 0 {
		time.Sleep(time.Duration(c.messages.Add(1)*7919%most) * time.Millisecond)
	}
}

// lead makes a candidate the one that coordinates.
func (c *crowd) lead(n int) {
	for _, known := range c.candidates {
		known.leading.Store(false)
	}
	c.candidates[n].leading.Store(true)
	c.leader.Store(c.candidates[n])
}

// others returns the names of the candidates beside one.
func (c *crowd) others(than *candidate) (names []string) {
	for _, known := range c.candidates {
		if known != than && !known.cut.Load() {
			names = append(names, known.name)
		}
	}
	return names
}

func (c *crowd) startCandidate(made *candidate) {
	made.hub = storerelay.NewHub(storerelay.HubParams{
		Leading:    made.leading.Load,
		Lease:      leaseKind,
		MaxDirect:  crowdDirect,
		Candidates: func() []string { return c.others(made) },
	})
	relay := storerelay.NewRelay(storerelay.RelayParams{
		Hub:    made.hub,
		Direct: func() *metastore.Followers { return metastore.NewFollowers(c.store.Client()) },
		Kinds:  []string{kind, leaseKind},
		Client: storerelay.ClientParams{Name: made.name, Poll: c.pollOf(made.name), Coordinator: c.coordinator, Lease: leaseKind, Logger: log.NewNopLogger()},
		Now:    boottime.Now,
		Logger: log.NewNopLogger(),
	})
	c.running.Go(func() { relay.Run(c.ctx) })
	c.running.Go(func() { c.followAsLeader(made) })
}

// followAsLeader follows the store for a candidate while it coordinates.
func (c *crowd) followAsLeader(made *candidate) {
	followers := metastore.NewFollowers(c.store.Client())
	made.hub.Attach(followers)
	for c.ctx.Err() == nil {
		ctx, cancel := context.WithCancel(c.ctx)
		var following sync.WaitGroup
		if made.leading.Load() {
			for _, followed := range []string{kind, leaseKind} {
				following.Go(func() { followers.Follow(ctx, followed, metastore.FollowOptions{Changed: func(metastore.Snapshot) {}}) })
			}
		}
		for leading := made.leading.Load(); leading == made.leading.Load() && ctx.Err() == nil; {
			time.Sleep(50 * time.Millisecond)
		}
		cancel()
		following.Wait()
	}
}

func (c *crowd) coordinator() string { return c.leader.Load().name }

// pollOf returns the Poll of the process of a name.
func (c *crowd) pollOf(name string) func(context.Context, string, storerelay.PollRequest) (storerelay.PollReply, error) {
	return func(ctx context.Context, address string, request storerelay.PollRequest) (storerelay.PollReply, error) {
		for _, known := range c.candidates {
			if known.name != address {
				continue
			}
			if known.cut.Load() {
				<-ctx.Done()
				return storerelay.PollReply{}, errCut
			}
			c.delay()
			request.Relayed = request.Relayed && !known.earlier.Load()
			reply := known.hub.Answer(ctx, rpc.Peer{Name: name}, request)
			c.delay()
			known.answers.Add(1)
			for _, change := range reply.Changes {
				if change.Whole && change.Kind == kind {
					known.whole.Add(1)
				}
			}
			return reply, nil
		}
		return storerelay.PollReply{}, errCut
	}
}

func (c *crowd) startGateway(name string) {
	found := &observed{}
	direct := c.store.Client()
	direct.Fault = func(string, string, bool) metastoretest.Fault {
		c.storeCalls.Add(1)
		return metastoretest.None
	}
	client := storerelay.NewClient(storerelay.ClientParams{
		Name:        name,
		Direct:      metastore.NewFollowers(direct),
		Poll:        c.pollOf(name),
		Coordinator: c.coordinator,
		Seeds:       []string{c.candidates[0].name, c.candidates[1].name},
		Lease:       leaseKind,
		Logger:      log.NewNopLogger(),
	})
	c.gateways = append(c.gateways, found)
	c.clients = append(c.clients, client)
	c.running.Go(func() { client.Run(c.ctx) })
	c.running.Go(func() { client.Follow(c.ctx, kind, metastore.FollowOptions{Changed: found.take}) })
	c.running.Go(func() { client.Follow(c.ctx, leaseKind, metastore.FollowOptions{Changed: func(metastore.Snapshot) {}}) })
}

// holding counts the gateways that hold a spec of the object "a".
func (c *crowd) holding(spec string) (holding int) {
	for _, found := range c.gateways {
		if found.specs()["a"] == `"`+spec+`"` {
			holding++
		}
	}
	return holding
}

func playCrowd(t *testing.T, candidates, gateways int, scene func(t *testing.T, c *crowd)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := newCrowd(ctx, candidates, gateways)
		c.put("a", kind, "one")
		time.Sleep(5 * time.Second)
		scene(t, c)
		for n, found := range c.gateways {
			if found.wentBack {
				t.Errorf("gateway %d handed out an earlier revision", n)
			}
		}
		cancel()
		c.running.Wait()
	})
}

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

// A change of one object among many is told without a look at the others.
func TestTellingAChangeCostsTheChange(t *testing.T) {
	hub := storerelay.NewHub(storerelay.HubParams{Leading: func() bool { return true }, Lease: leaseKind})
	var objects []metastore.Object
	for n := range 10000 {
		name := fmt.Sprintf("engine-%05d", n)
		objects = append(objects, metastore.Object{Name: name, Revision: metastore.Revision(n + 1), Spec: []byte(strings.Repeat("x", 200))})
	}
	snapshot := metastore.SnapshotOf(10000, objects...)
	hub.Confirm(kind, snapshot)
	edit := snapshot.Objects.Edit()
	edit.Set("engine-00007", metastore.Object{Name: "engine-00007", Revision: 10001})
	edit.Delete("engine-00008")
	hub.Confirm(kind, metastore.Snapshot{Revision: 10002, Objects: edit.Map()})
	poll := func() storerelay.PollReply { return hub.Poll(t.Context(), pollOf(10000)) }
	change := poll().Changes[0]
	if len(change.Objects) != 1 || len(change.Removed) != 1 || change.Whole {
		t.Errorf("told %d objects and %d removals, whole %v", len(change.Objects), len(change.Removed), change.Whole)
	}
	took := testing.Benchmark(func(b *testing.B) {
		for b.Loop() {
			poll()
		}
	})
	// Going through 10,000 objects takes some 200 µs.
	if took.NsPerOp() > 50_000 {
		t.Errorf("telling one change of 10,000 objects takes %d ns", took.NsPerOp())
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
