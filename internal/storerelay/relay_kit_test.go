package storerelay_test

import (
	"context"
	"errors"
	"fmt"
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
			if found.hasGoneBack() {
				t.Errorf("gateway %d handed out an earlier revision", n)
			}
		}
		cancel()
		c.running.Wait()
	})
}
