package jobresidency_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/go-kit/log"

	"github.com/covelink/covelink/internal/batch"
	"github.com/covelink/covelink/internal/batchrpc"
	"github.com/covelink/covelink/internal/batchrun"
	"github.com/covelink/covelink/internal/election"
	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/forward"
	"github.com/covelink/covelink/internal/itemwork"
	"github.com/covelink/covelink/internal/jobresidency"
	"github.com/covelink/covelink/internal/metastore"
	"github.com/covelink/covelink/internal/metastore/metastoretest"
	"github.com/covelink/covelink/internal/placement"
	"github.com/covelink/covelink/internal/routing"
	"github.com/covelink/covelink/internal/rpc"
)

const (
	host  = "host.example"
	model = "model-a"
	// judges is the name of the route of reward calls, the only one that is no batch route.
	judges = "judges"
)

var topology = fleet.NewTopology(map[string]string{"n1": "north", "n2": "north", "s1": "south", "s2": "south"})

// deployment is a coordinator and a gateway in each zone.
type deployment struct {
	network *network
	store   *metastoretest.Store
	table   *routing.Table
	states  []*fleet.State

	coordinators map[string]*coordinator
	gateways     map[string]*gateway

	mu sync.Mutex
	// read are the objects of jobs' items and results that the coordinator of a zone has read, as zone/kind/name.
	read []string
	// hold, while set, makes engines answer nothing.
	hold bool
	// sends is the number of requests that engines got.
	sends int
}

func newDeployment(routes ...routing.Route) *deployment {
	d := &deployment{
		network:      &network{listeners: make(map[string]*listener)},
		store:        metastoretest.New(),
		coordinators: make(map[string]*coordinator),
		gateways:     make(map[string]*gateway),
	}
	d.table = newTable(1, routes...)
	for _, zone := range topology.Zones() {
		d.startCoordinator(zone)
	}
	time.Sleep(3 * time.Second)
	for _, zone := range topology.Zones() {
		d.startGateway(zone)
	}
	time.Sleep(3 * time.Second)
	return d
}

// bound returns a batch route that is bound to regions.
func bound(name string, regions ...string) routing.Route {
	return routing.Route{Name: name, AllowedRegions: regions}
}

func newTable(version int64, routes ...routing.Route) *routing.Table {
	for i := range routes {
		route := &routes[i]
		route.Host, route.Prefix, route.Kind = host, "/"+route.Name+"/", routing.KindBatch
		route.Targets = []routing.Target{{Service: "pool", Weight: 1}}
		if route.Name == judges {
			route.Kind = routing.KindIdempotent
		}
		route.MaxAttempts, route.MaxQueue, route.ResultDeadline = 3, time.Hour, 8*time.Second
	}
	return routing.NewTable(version, routes, []routing.Service{{Name: "pool"}}, routing.Limits{})
}

func (d *deployment) newState() *fleet.State {
	state := fleet.NewState()
	state.SetTopology(topology)
	state.SetRoutes(d.table)
	state.SetEngineList([]*fleet.Engine{
		{ID: "en", Service: "pool", Zone: "n1", Slots: 8, Ready: true, Versions: map[string]int64{model: 1}},
		{ID: "es", Service: "pool", Zone: "s1", Slots: 8, Ready: true, Versions: map[string]int64{model: 1}},
	})
	d.states = append(d.states, state)
	return state
}

// configure puts another table in force everywhere.
func (d *deployment) configure(version int64, routes ...routing.Route) {
	d.table = newTable(version, routes...)
	for _, state := range d.states {
		state.SetRoutes(d.table)
	}
}

// Send implements forward.Transport: each engine makes one event.
func (d *deployment) Send(ctx context.Context, _ *fleet.Engine, request *forward.Request, _ forward.SendOptions) (*forward.Answer, error) {
	d.mu.Lock()
	d.sends++
	d.mu.Unlock()
	for {
		d.mu.Lock()
		hold := d.hold
		d.mu.Unlock()
		if !hold {
			break
		}
		select {
		case <-time.After(50 * time.Millisecond):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	body := io.NopCloser(strings.NewReader("id: 1\ndata: " + text(request.ID) + "\n\n"))
	return &forward.Answer{Status: http.StatusOK, Valid: true, Signature: "signed", WeightVersion: 1, Header: http.Header{}, Body: body}, nil
}

func (d *deployment) countSends() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.sends
}

func (d *deployment) setHold(hold bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.hold = hold
}

// readIn returns the objects of items and results that coordinators of a region have read.
func (d *deployment) readIn(region, job string) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var found []string
	for _, read := range d.read {
		if topology.Region(read[:2]) == region && strings.Contains(read, job) {
			found = append(found, read)
		}
	}
	return found
}

// coordinator is a process that may coordinate.
type coordinator struct {
	elector *election.Elector
	outage  *metastore.Outage
	runner  *batchrun.Runner
	rewards jobresidency.Rewards
	stop    func()
}

func (c *coordinator) Leading() bool { return c.elector.Leading() }

func (c *coordinator) AnswerPing(request batchrpc.PingRequest) batchrpc.PingReply {
	return batchrpc.PingReply{Leading: request.Instance == c.elector.Instance() && c.Leading(), Unserved: c.outage.Length()}
}

func (c *coordinator) AddRewardRoutes(names []string) { c.rewards.Note(names) }

func (c *coordinator) YieldTo(ctx context.Context, instance string, token int64) error {
	return c.elector.YieldTo(ctx, instance, token)
}

// startCoordinator starts the coordinator of a zone.
func (d *deployment) startCoordinator(zone string) {
	name := "coordinator-" + zone
	inner := d.store.Client()
	inner.Fault = func(kind, object string, write bool) metastoretest.Fault {
		if !write && strings.HasPrefix(kind, "batch-") {
			d.mu.Lock()
			d.read = append(d.read, zone+"/"+kind+"/"+object)
			d.mu.Unlock()
		}
		return metastoretest.None
	}
	c := &coordinator{outage: metastore.NewOutage()}
	store := metastore.Watched(inner, c.outage)
	state := d.newState()
	dispatcher := itemwork.NewDispatcher(log.NewNopLogger())
	dispatcher.Region = topology.Region
	c.runner = batchrun.New(batchrun.Params{State: state, Transport: d, Store: store, Zone: zone, Dispatcher: dispatcher, Logger: log.NewNopLogger(),
		Forwarder: forward.New(state, d, forward.NewPicker(time.Now), log.NewNopLogger())})
	calls := rpc.NewClient(rpc.Peer{Name: name, Zone: zone}, d.network.dialFrom(zone, name))
	c.elector = election.New(election.Params{
		Name: name, Address: name, Zone: zone, Region: topology.Region, Store: store, Followers: metastore.NewFollowers(store),
		Ping: func(ctx context.Context, address, instance string) (time.Duration, error) {
			reply, err := rpc.Call[batchrpc.PingRequest, batchrpc.PingReply](ctx, calls, address, batchrpc.PingRequest{Instance: instance})
			if err == nil && !reply.Leading {
				err = errors.New("not leading")
			}
			return reply.Unserved, err
		},
		Yield: func(ctx context.Context, address, instance string, token int64) error {
			reply, err := rpc.Call[batchrpc.YieldRequest, batchrpc.YieldReply](ctx, calls, address, batchrpc.YieldRequest{Instance: instance, Token: token})
			if err == nil && !reply.Yielded {
				err = election.ErrNotYielded
			}
			return err
		},
		Unserved: c.outage.Length, Served: c.outage.Served,
		Lead: func(ctx context.Context, term election.Term) {
			var leading sync.WaitGroup
			leading.Go(func() { d.followHome(ctx, state, c) })
			leading.Go(func() { c.runner.Lead(ctx, term.Token) })
			leading.Wait()
		},
		Logger: log.NewNopLogger(),
	})
	server := rpc.NewServer(log.NewNopLogger())
	const maxStagedBytes = 64 << 20
	batchrpc.Register(server, c.runner, c, maxStagedBytes)
	itemwork.Register(server, dispatcher)
	incoming := &listener{address: name, conns: make(chan net.Conn), closed: make(chan struct{})}
	d.network.mu.Lock()
	d.network.listeners[name] = incoming
	d.network.mu.Unlock()
	var running sync.WaitGroup
	ctx, cancel := context.WithCancel(context.Background())
	running.Go(func() { _ = server.Serve(incoming) })
	running.Go(func() { c.elector.Run(ctx) })
	c.stop = func() {
		cancel()
		incoming.Close()
		server.Close()
		calls.Close()
		running.Wait()
	}
	d.coordinators[zone] = c
}

func (d *deployment) followHome(ctx context.Context, state *fleet.State, c *coordinator) {
	for ctx.Err() == nil {
		view, changed := state.Changed()
		rewards, more := c.rewards.Known()
		c.elector.SetHome(jobresidency.Home(view.Routes, view.Topology, rewards))
		select {
		case <-changed:
		case <-more:
		case <-ctx.Done():
		}
	}
}

// gateway is a process that takes callers' jobs and runs items.
type gateway struct {
	client *batchrpc.Client
	stop   func()
}

func (d *deployment) startGateway(zone string) {
	name := "gateway-" + zone
	store := d.store.Client()
	state := d.newState()
	calls := rpc.NewClient(rpc.Peer{Name: name, Zone: zone}, d.network.dialFrom(zone, name))
	watcher := election.NewWatcher(metastore.NewFollowers(store), log.NewNopLogger())
	client := batchrpc.NewClient(batchrpc.ClientParams{Calls: calls, State: state, Logger: log.NewNopLogger(), Coordinator: func() batchrpc.Coordinator {
		return batchrpc.Coordinator{Address: watcher.Term().Address, Zone: watcher.Term().Zone}
	}})
	worker := itemwork.NewWorker(itemwork.WorkerParams{
		Name: name, Zone: zone, Instance: "first", Coordinator: watcher.Holder,
		Executor: &itemwork.Executor{State: state, Transport: d, Forwarder: forward.New(state, d, forward.NewPicker(time.Now), log.NewNopLogger())},
		Poll: func(ctx context.Context, address string, request itemwork.PollRequest) (itemwork.PollReply, error) {
			return itemwork.Poll(ctx, calls, address, request)
		},
		Report: func(ctx context.Context, address string, request itemwork.ReportRequest) (itemwork.ReportReply, error) {
			return itemwork.SendReports(ctx, calls, address, request)
		},
		MayReport: func(address string, begunBy int64, residency placement.Residency) bool {
			term := watcher.Term()
			return !residency.Restricted() || term.Address == address && (term.Token == begunBy || residency.Allows(topology.Region(term.Zone)))
		},
		Draining: func() bool { return false },
		Logger:   log.NewNopLogger(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { watcher.Run(ctx) })
	running.Go(func() { worker.Run(ctx) })
	d.gateways[zone] = &gateway{client: client, stop: func() {
		cancel()
		client.Close()
		calls.Close()
		running.Wait()
	}}
}

func (d *deployment) stop() {
	for _, g := range d.gateways {
		g.stop()
	}
	for _, c := range d.coordinators {
		c.stop()
	}
}

// leads returns the zone of the coordinator that leads.
func (d *deployment) leads() string {
	for zone, c := range d.coordinators {
		if c.Leading() {
			return zone
		}
	}
	return ""
}

// text is what engines make of an item.
func text(item string) string { return "text-of-" + item }

// body is what the items of a job hold.
func body(job string) string { return "body-of-" + job }

func newJob(id, route string) batch.Job {
	job := batch.Job{ID: id, Host: host, Path: "/" + route + "/job", Model: model, MinVersion: 1, Desired: 1}
	for _, item := range []string{"0", "1", "2", "3"} {
		job.Items = append(job.Items, batch.Item{ID: id + "-" + item, Path: "/" + route + "/item", Body: []byte(body(id)), Group: "g", Prefix: "g"})
	}
	return job
}

func (d *deployment) submit(zone, id, route string) error {
	return d.gateways[zone].client.Submit(context.Background(), newJob(id, route))
}

// results returns how many results the gateway of a zone reads, from a second later.
func (d *deployment) results(zone, id string) (int, error) {
	time.Sleep(time.Second)
	reading, err := d.gateways[zone].client.Read(context.Background(), batch.Ref{ID: id}, 0, 0)
	return len(reading.Results), err
}
