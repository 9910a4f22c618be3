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

// clusterMaxDirect is the MaxDirect of the test's hubs.
const clusterMaxDirect = 4

// candidate is a process that may coordinate.
type candidate struct {
	name        string
	leading     atomic.Bool
	unreachable atomic.Bool
	// oldVersion makes it answer like a version that cannot relay.
	oldVersion atomic.Bool
	hub        *storerelay.Hub
	// answers counts the polls answered, and whole the full lists among the replies.
	answers, whole atomic.Int64
}

// relayCluster is a store, several candidates of which one is the coordinator, and more gateways than its hub answers directly.
type relayCluster struct {
	store      *metastoretest.Store
	candidates []*candidate
	gateways   []*snapshotRecorder
	clients    []*storerelay.Client
	// storeCalls counts the gateways' direct calls to the store.
	storeCalls atomic.Int64
	leader     atomic.Pointer[candidate]
	// maxDelay is the maximum delay of a message in milliseconds, and messages counts the delayed ones.
	maxDelay, messages atomic.Int64
	ctx                context.Context
	running            sync.WaitGroup
}

func newRelayCluster(ctx context.Context, candidates, gateways int) *relayCluster {
	c := &relayCluster{store: metastoretest.New(), ctx: ctx}
	c.put("lease", leaseKind, "coordinator")
	for n := range candidates {
		c.candidates = append(c.candidates, &candidate{name: fmt.Sprintf("candidate-%02d", n)})
	}
	c.setLeader(0)
	for _, process := range c.candidates {
		c.startCandidate(process)
	}
	for n := range gateways {
		c.startGateway(fmt.Sprintf("gateway-%03d", n))
	}
	return c
}

func (c *relayCluster) put(name, kind, spec string) {
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

// delay sleeps for the transit time of a message, which varies from message to message.
func (c *relayCluster) delay() {
	if limit := c.maxDelay.Load(); limit > 0 {
		time.Sleep(time.Duration(c.messages.Add(1)*7919%limit) * time.Millisecond)
	}
}

// setLeader makes a candidate the coordinator.
func (c *relayCluster) setLeader(n int) {
	for _, process := range c.candidates {
		process.leading.Store(false)
	}
	c.candidates[n].leading.Store(true)
	c.leader.Store(c.candidates[n])
}

// others returns the names of the other reachable candidates.
func (c *relayCluster) others(excluded *candidate) (names []string) {
	for _, process := range c.candidates {
		if process != excluded && !process.unreachable.Load() {
			names = append(names, process.name)
		}
	}
	return names
}

func (c *relayCluster) startCandidate(process *candidate) {
	process.hub = storerelay.NewHub(storerelay.HubParams{
		Leading:    process.leading.Load,
		Lease:      leaseKind,
		MaxDirect:  clusterMaxDirect,
		Candidates: func() []string { return c.others(process) },
	})
	relay := storerelay.NewRelay(storerelay.RelayParams{
		Hub:    process.hub,
		Direct: func() *metastore.Followers { return metastore.NewFollowers(c.store.Client()) },
		Kinds:  []string{kind, leaseKind},
		Client: storerelay.ClientParams{Name: process.name, Poll: c.pollFrom(process.name), Coordinator: c.coordinator, Lease: leaseKind, Logger: log.NewNopLogger()},
		Now:    boottime.Now,
		Logger: log.NewNopLogger(),
	})
	c.running.Go(func() { relay.Run(c.ctx) })
	c.running.Go(func() { c.followAsLeader(process) })
}

// followAsLeader follows the store for a candidate while it is the coordinator.
func (c *relayCluster) followAsLeader(process *candidate) {
	followers := metastore.NewFollowers(c.store.Client())
	process.hub.Attach(followers)
	for c.ctx.Err() == nil {
		ctx, cancel := context.WithCancel(c.ctx)
		var following sync.WaitGroup
		if process.leading.Load() {
			for _, followed := range []string{kind, leaseKind} {
				following.Go(func() { followers.Follow(ctx, followed, metastore.FollowOptions{Changed: func(metastore.Snapshot) {}}) })
			}
		}
		for leading := process.leading.Load(); leading == process.leading.Load() && ctx.Err() == nil; {
			time.Sleep(50 * time.Millisecond)
		}
		cancel()
		following.Wait()
	}
}

func (c *relayCluster) coordinator() string { return c.leader.Load().name }

// pollFrom returns the Poll function of a process.
func (c *relayCluster) pollFrom(name string) func(context.Context, string, storerelay.PollRequest) (storerelay.PollReply, error) {
	return func(ctx context.Context, address string, request storerelay.PollRequest) (storerelay.PollReply, error) {
		for _, process := range c.candidates {
			if process.name != address {
				continue
			}
			if process.unreachable.Load() {
				<-ctx.Done()
				return storerelay.PollReply{}, errUnreachable
			}
			c.delay()
			request.Relayed = request.Relayed && !process.oldVersion.Load()
			reply := process.hub.Answer(ctx, rpc.Peer{Name: name}, request)
			c.delay()
			process.answers.Add(1)
			for _, change := range reply.Changes {
				if change.Whole && change.Kind == kind {
					process.whole.Add(1)
				}
			}
			return reply, nil
		}
		return storerelay.PollReply{}, errUnreachable
	}
}

func (c *relayCluster) startGateway(name string) {
	recorder := &snapshotRecorder{}
	direct := c.store.Client()
	direct.Fault = func(string, string, bool) metastoretest.Fault {
		c.storeCalls.Add(1)
		return metastoretest.None
	}
	client := storerelay.NewClient(storerelay.ClientParams{
		Name:        name,
		Direct:      metastore.NewFollowers(direct),
		Poll:        c.pollFrom(name),
		Coordinator: c.coordinator,
		Seeds:       []string{c.candidates[0].name, c.candidates[1].name},
		Lease:       leaseKind,
		Logger:      log.NewNopLogger(),
	})
	c.gateways = append(c.gateways, recorder)
	c.clients = append(c.clients, client)
	c.running.Go(func() { client.Run(c.ctx) })
	c.running.Go(func() { client.Follow(c.ctx, kind, metastore.FollowOptions{Changed: recorder.record}) })
	c.running.Go(func() { client.Follow(c.ctx, leaseKind, metastore.FollowOptions{Changed: func(metastore.Snapshot) {}}) })
}

// holding counts the gateways that have a spec of the object "a".
func (c *relayCluster) holding(spec string) (holding int) {
	for _, recorder := range c.gateways {
		if recorder.specs()["a"] == `"`+spec+`"` {
			holding++
		}
	}
	return holding
}

func runRelayCluster(t *testing.T, candidates, gateways int, scenario func(t *testing.T, c *relayCluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := newRelayCluster(ctx, candidates, gateways)
		c.put("a", kind, "one")
		time.Sleep(5 * time.Second)
		scenario(t, c)
		for n, recorder := range c.gateways {
			if recorder.hasRegressed() {
				t.Errorf("gateway %d published an older revision after a newer one", n)
			}
		}
		cancel()
		c.running.Wait()
	})
}
