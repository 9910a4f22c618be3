package fleetnode

import (
	"cmp"
	"context"
	"errors"
	"math"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/fx"

	"github.com/covelink/covelink/internal/batchrpc"
	"github.com/covelink/covelink/internal/batchrun"
	"github.com/covelink/covelink/internal/boottime"
	"github.com/covelink/covelink/internal/coldstart"
	"github.com/covelink/covelink/internal/decommission"
	"github.com/covelink/covelink/internal/election"
	"github.com/covelink/covelink/internal/enginescale"
	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/fleettime"
	"github.com/covelink/covelink/internal/forward"
	"github.com/covelink/covelink/internal/itemwork"
	"github.com/covelink/covelink/internal/jobresidency"
	"github.com/covelink/covelink/internal/metastore"
	"github.com/covelink/covelink/internal/pause"
	"github.com/covelink/covelink/internal/quarantine"
	"github.com/covelink/covelink/internal/rpc"
	"github.com/covelink/covelink/internal/settings"
	"github.com/covelink/covelink/internal/storerelay"
	"github.com/covelink/covelink/internal/telemetry"
	"github.com/covelink/covelink/internal/weightorder"
	"github.com/covelink/covelink/internal/zonestatus"
	"github.com/covelink/covelink/platform"
)

// coordinatorParts are those of a process that may coordinate.
var coordinatorParts = fx.Options(
	fx.Provide(ownListAge, newDispatcher, newRunner, newOrders, newDecommission, newConsensus, enginescale.NewLoadingSet, newDuties, newQuarantineCoordinator, newColdLimiter),
	fx.Invoke(runCoordinator),
)

func newDispatcher(registry *prometheus.Registry, state *fleet.State, logger log.Logger) *itemwork.Dispatcher {
	dispatcher := itemwork.NewDispatcher(telemetry.For(logger, telemetry.PartBatch))
	dispatcher.Region = func(zone string) string { return state.View().Topology.Region(zone) }
	registerGauge(registry, "workers", "Gateways that run batch items for this process.", dispatcher.Workers)
	return dispatcher
}

func newRunner(config settings.Fleet, state *fleet.State, transport forward.Transport, forwarder *forward.Forwarder,
	guard *quarantine.Guard, store metastore.Client, dispatcher *itemwork.Dispatcher, tracker *coldstart.Tracker, limiter *coldstart.Limiter,
	observed *metrics, logger log.Logger) *batchrun.Runner {
	return batchrun.New(batchrun.Params{
		State:        state,
		Transport:    transport,
		Forwarder:    forwarder,
		Guard:        guard,
		Store:        store,
		Quota:        coldstart.LocalQuota{Tracker: tracker, Limiter: limiter},
		Zone:         config.Node.Zone,
		Dispatcher:   dispatcher,
		EvacuateTime: config.Topology.EvacuateTime,
		Retention:    config.Timing.BatchRetention,
		MaxOpenBytes: callerMemory(config) / openJobShare,
		TextFolder:   config.Data.Folder,
		TextLimit:    config.Data.TextMegabytes << 20,
		Observer:     observed,
		Logger:       telemetry.For(logger, telemetry.PartBatch),
	})
}

// Shares of the callers' memory, as divisors, for the items of open jobs and for those of jobs that are being submitted.
const (
	openJobShare   = 2
	stagedJobShare = 4
)

func newOrders(config settings.Fleet, state *fleet.State, engines *platform.Engines, store metastore.Client, runner *batchrun.Runner,
	loading *enginescale.LoadingSet, observed *metrics, registry *prometheus.Registry, logger log.Logger) *weightorder.Manager {
	onLoading := runner.SetLoading
	if config.Duties.Include(settings.DutyAutoscale) {
		onLoading = func(engineID string, loads bool) {
			runner.SetLoading(engineID, loads)
			loading.Set(engineID, loads)
		}
	}
	orders := weightorder.New(weightorder.Params{
		State:         state,
		Engines:       engines,
		Store:         store,
		Holder:        config.Node.Name,
		LeaseLength:   config.Timing.LeaseLength,
		OnVersion:     runner.RecordVersion,
		OnLoading:     onLoading,
		EventInterval: runner.SettledInterval,
		Demands:       runner.Demands,
		Runs:          runner.EngineRuns,
		OnMoved:       observed.engineMoved,
		Logger:        telemetry.For(logger, telemetry.PartOrders),
	})
	registry.MustRegister(newLoadStats(orders.Stats))
	return orders
}

func newDecommission(config settings.Fleet, store metastore.Client, logger log.Logger) *decommission.Manager {
	report := func(ctx context.Context, request decommission.Request) error {
		return platform.CompleteRetirement(ctx, store, request)
	}
	return decommission.New(config.Node.Name, report, telemetry.For(logger, telemetry.PartElection))
}

type coordinatorParams struct {
	fx.In
	Settings    settings.Fleet
	Logger      log.Logger
	State       *fleet.State
	Store       metastore.Client
	Outage      *metastore.Outage
	Followers   *metastore.Followers
	Runner      *batchrun.Runner
	Dispatcher  *itemwork.Dispatcher
	Orders      *weightorder.Manager
	Leaving     *decommission.Manager
	Clock       *fleettime.Consensus
	Duties      *duties
	Quarantine  *quarantine.Coordinator
	Zones       *zonestatus.Status
	ColdTracker *coldstart.Tracker
	ColdLimiter *coldstart.Limiter
	Metrics     *metrics
	Registry    *prometheus.Registry
	Calls       *rpc.Client
	Tasks       *tasks
}

// coordinator campaigns for the lease, and serves gateways while it holds it.
type coordinator struct {
	coordinatorParams
	logger   log.Logger
	server   *rpc.Server
	listener net.Listener
	elector  *election.Elector
	// candidates are the other processes that ask this one whether it lives.
	candidates *election.Candidates
	// rewards are the bound routes that reward calls of jobs take, as gateways have named them.
	rewards jobresidency.Rewards
	hub     *storerelay.Hub
	// workerShare holds the bits of the share of the gateways that are to run items.
	workerShare atomic.Uint64
	descriptors descriptorLimit
}

func runCoordinator(hooks fx.Lifecycle, params coordinatorParams) {
	c := &coordinator{
		coordinatorParams: params,
		logger:            telemetry.For(params.Logger, telemetry.PartElection),
		candidates:        election.NewCandidates(),
	}
	hooks.Append(fx.Hook{OnStart: c.start, OnStop: c.stop})
}

func (c *coordinator) start(ctx context.Context) error {
	var config net.ListenConfig
	var err error
	if c.listener, err = config.Listen(ctx, "tcp", c.Settings.Listen.Internal); err != nil {
		return err
	}
	params := election.Params{
		Name:      c.Settings.Node.Name,
		Address:   c.address(),
		Store:     c.Store,
		Followers: c.Followers,
		Ping:      c.ping,
		Yield:     c.yield,
		Unserved:  c.Outage.Length,
		Served:    c.Outage.Served,
		Lead:      c.lead,
		Eligible:  c.Leaving.MayCoordinate,
		Zone:      c.Settings.Node.Zone,
		Logger:    c.logger,
	}
	if topology := c.State.View().Topology; topology.MultiRegion() {
		params.Region, params.Distance = topology.Region, c.Outage.CallTime
	}
	c.elector = election.New(params)
	c.hub = c.newHub()
	c.hub.Attach(c.Followers)
	registerHubMetrics(c.Registry, c.hub)
	relay := c.newRelay(c.hub)
	c.Zones.SetSource(c.zoneSource(c.hub))
	c.ColdLimiter.LeaseConfirmedAt = func() time.Time { return c.hub.LastResponseAt(election.KindLeases) }
	c.server = rpc.NewServer(c.Logger)
	c.server.MaxGreetings = c.descriptors.share
	storerelay.Register(c.server, c.hub)
	batchrpc.Register(c.server, c.Runner, c, callerMemory(c.Settings)/stagedJobShare)
	itemwork.Register(c.server, c.Dispatcher)
	c.Duties.register(c.server)
	c.Quarantine.Leading = c.elector.Leading
	quarantine.Register(c.server, c.Quarantine)
	coldstart.Register(c.server, c.ColdLimiter)
	go c.serve()
	c.Tasks.run(c.Outage.Run)
	c.Tasks.run(c.elector.Run)
	c.Tasks.run(relay.Run)
	c.Tasks.run(func(ctx context.Context) {
		platform.FollowRetirements(ctx, c.Followers, c.Leaving.SetRequests, c.logger)
	})
	level.Info(c.logger).Log("msg", "started", "internal", c.listener.Addr())
	return nil
}

// newHub returns what answers gateways and relays with what this process learns from the store.
func (c *coordinator) newHub() *storerelay.Hub {
	return storerelay.NewHub(storerelay.HubParams{
		Leading:     c.elector.Leading,
		ContentKey:  platform.GatewayEssence,
		SameContent: platform.GatewayAlike,
		Relayed:     platform.GatewayFollows,
		Quarantine:  c.Quarantine.Table,
		Lease:       election.KindLeases,
		Candidates:  c.candidates.Addresses,
		MaxDirect:   c.Settings.Coordinators.MaxDirect,

		WorkerShare: func() float64 { return math.Float64frombits(c.workerShare.Load()) },
		Logger:      telemetry.For(c.Logger, telemetry.PartFleet),
	})
}

// newRelay returns what keeps the hub up to date for gateways while another process coordinates.
func (c *coordinator) newRelay(hub *storerelay.Hub) *storerelay.Relay {
	logger := telemetry.For(c.Logger, telemetry.PartFleet)
	return storerelay.NewRelay(storerelay.RelayParams{
		Hub:    hub,
		Direct: func() *metastore.Followers { return metastore.NewFollowers(c.Store) },
		Kinds:  append(platform.GatewayKinds(c.Settings.Topology.EvacuateTime > 0), election.KindLeases),
		Client: storerelay.ClientParams{
			Name:        c.Settings.Node.Name,
			Coordinator: c.elector.Holder,
			Poll: func(ctx context.Context, address string, request storerelay.PollRequest) (storerelay.PollReply, error) {
				return storerelay.Poll(ctx, c.Calls, address, request)
			},
			Quarantine: c.Quarantine.Table,
			Lease:      election.KindLeases,
			MaxAge:     maxAges(c.Settings, relayAgeShare),
			Logger:     logger,
		},
		Now:    boottime.Now,
		Logger: logger,
	})
}

func (c *coordinator) serve() {
	err := c.server.Serve(c.listener)
	if err != nil && !errors.Is(err, net.ErrClosed) {
		level.Error(c.logger).Log("msg", "internal listener ended", "err", err)
	}
}

// Leading implements batchrpc.Lease.
func (c *coordinator) Leading() bool { return c.elector.Leading() }

// address is where other nodes reach this process.
func (c *coordinator) address() string {
	return cmp.Or(c.Settings.Listen.Advertise, c.listener.Addr().String())
}

// AnswerPing implements batchrpc.Lease.
func (c *coordinator) AnswerPing(request batchrpc.PingRequest) batchrpc.PingReply {
	c.candidates.Note(request.Candidate)
	c.Clock.AddVote(request.Candidate, request.Now)
	return batchrpc.PingReply{Leading: request.Instance == c.elector.Instance() && c.Leading(), Unserved: c.Outage.Length()}
}

// YieldTo implements batchrpc.Lease.
func (c *coordinator) YieldTo(ctx context.Context, instance string, token int64) error {
	return c.elector.YieldTo(ctx, instance, token)
}

// AddRewardRoutes implements batchrpc.Lease.
func (c *coordinator) AddRewardRoutes(names []string) { c.rewards.Note(names) }

// errNotLeading reports a process that answers but does not coordinate.
var errNotLeading = errors.New("not coordinating")

func (c *coordinator) ping(ctx context.Context, address, instance string) (unserved time.Duration, err error) {
	request := batchrpc.PingRequest{Instance: instance, Candidate: c.address(), Now: c.Clock.Own.At(boottime.Now())}
	reply, err := rpc.Call[batchrpc.PingRequest, batchrpc.PingReply](ctx, c.Calls, address, request)
	if err == nil && !reply.Leading {
		err = errNotLeading
	}
	return reply.Unserved, err
}

// yield asks the holder of the lease to stop its term.
func (c *coordinator) yield(ctx context.Context, address, instance string, token int64) error {
	request := batchrpc.YieldRequest{Instance: instance, Token: token}
	reply, err := rpc.Call[batchrpc.YieldRequest, batchrpc.YieldReply](ctx, c.Calls, address, request)
	if err == nil && !reply.Yielded {
		err = election.ErrNotYielded
	}
	return err
}

// lead runs the duties of the coordinating process. Only they need routes, engines and versions: what an earlier term has left of
// the first two is forgotten first.
func (c *coordinator) lead(ctx context.Context, term election.Term) {
	c.Metrics.leadingTerms.Inc()
	c.State.Reset()
	c.ColdTracker.Relist()
	var leading sync.WaitGroup
	leading.Go(func() { followFleet(ctx, c.Settings, c.Followers, c.State, c.Metrics, c.Logger) })
	leading.Go(func() {
		platform.FollowVersions(ctx, c.Followers, c.Orders.SetTargets, telemetry.For(c.Logger, telemetry.PartOrders))
	})
	leading.Go(func() { c.followHome(ctx) })
	leading.Go(func() { c.Runner.Lead(ctx, term.Token) })
	leading.Go(func() { c.Orders.Lead(ctx, term) })
	leading.Go(func() { c.Leaving.Lead(ctx) })
	leading.Go(func() { c.Quarantine.Lead(ctx) })
	leading.Go(func() { c.ColdLimiter.Lead(ctx) })
	leading.Go(func() { c.Duties.lead(ctx, term) })
	leading.Go(func() { c.shareWorkers(ctx) })
	leading.Wait()
}

// shareInterval is the pause between two decisions on how many gateways run items: a step's items come within some hundred milliseconds, and the
// gateways that run the first of them take the others meanwhile.
const shareInterval = 500 * time.Millisecond

// shareSettled is how long after the begin of a term the share of the term before is kept, if it is known: relays tell whom they answer each 2 s, and
// until then all gateways would be called, which is a connection, a call that waits and a line of each.
const shareSettled = 3 * time.Second

// shareWorkers decides how many gateways run items until ctx ends.
func (c *coordinator) shareWorkers(ctx context.Context) {
	var need itemwork.Autoscaler
	logger := telemetry.For(c.Logger, telemetry.PartBatch)
	began, learned, told := boottime.Now(), c.hub.RelayedWorkerShare(), 0.0
	for ctx.Err() == nil {
		open, processes := c.Runner.OpenItems(), c.hub.ProcessCount()
		share := need.Share(open, processes, boottime.Now())
		if learned > 0 && boottime.Since(began) < shareSettled {
			share = learned
		}
		c.workerShare.Store(math.Float64bits(share))
		if math.Abs(share-told) > shareLogged {
			level.Info(logger).Log("msg", "share of workers changed", "share", share, "processes", processes, "open_items", open)
			told = share
		}
		pause.For(ctx, shareInterval)
	}
}

// shareLogged is the least change of the share that is worth a line.
const shareLogged = 0.05

// followHome gives the elector the home regions, anew with each route table and each reward route, until ctx ends. It does nothing in a deployment
// of one region.
func (c *coordinator) followHome(ctx context.Context) {
	if !c.State.View().Topology.MultiRegion() {
		return
	}
	for ctx.Err() == nil {
		view, changed := c.State.Changed()
		rewards, moreRewards := c.rewards.Known()
		if view.Routes != nil {
			c.elector.SetHome(jobresidency.Home(view.Routes, view.Topology, rewards))
		}
		select {
		case <-changed:
		case <-moreRewards:
		case <-ctx.Done():
		}
	}
}

func (c *coordinator) stop(context.Context) error {
	c.Tasks.cancel()
	c.Tasks.running.Wait()
	c.listener.Close()
	c.server.Close()
	c.Calls.Close()
	return nil
}
