package fleetnode

import (
	"cmp"
	"context"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/fx"

	"github.com/covelink/covelink/internal/batch"
	"github.com/covelink/covelink/internal/batchrpc"
	"github.com/covelink/covelink/internal/boottime"
	"github.com/covelink/covelink/internal/election"
	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/forward"
	"github.com/covelink/covelink/internal/intake"
	"github.com/covelink/covelink/internal/itemwork"
	"github.com/covelink/covelink/internal/metastore"
	"github.com/covelink/covelink/internal/placement"
	"github.com/covelink/covelink/internal/quarantine"
	"github.com/covelink/covelink/internal/routing"
	"github.com/covelink/covelink/internal/rpc"
	"github.com/covelink/covelink/internal/settings"
	"github.com/covelink/covelink/internal/storerelay"
	"github.com/covelink/covelink/internal/telemetry"
	"github.com/covelink/covelink/platform"
)

// gatewayParts are those of a process that takes callers' requests.
var gatewayParts = fx.Options(
	fx.Provide(newStoreRelay, relayedListAge, newLeaseWatcher, newBatchClient, newWorker, newUsageClock, newMeter, func() *stopFlag { return &stopFlag{} }),
	fx.Invoke(alwaysFollowFleet, runStoreRelay, tellCoordinator, shareQuarantine, setRemoteColdQuota, runWorker, meterRequests, runGateway),
)

// alwaysFollowFleet keeps the state at what the store holds from start to stop.
func alwaysFollowFleet(hooks fx.Lifecycle, group *tasks, config settings.Fleet, followers *storerelay.Client, state *fleet.State,
	observed *metrics, logger log.Logger) {
	hooks.Append(fx.Hook{OnStart: func(context.Context) error {
		group.run(func(ctx context.Context) { followFleet(ctx, config, followers, state, observed, logger) })
		return nil
	}})
}

// newStoreRelay returns what follows the store through the coordinating process.
func newStoreRelay(config settings.Fleet, calls *rpc.Client, direct *metastore.Followers, suspects *quarantine.Table,
	logger log.Logger) *storerelay.Client {
	poll := func(ctx context.Context, address string, request storerelay.PollRequest) (storerelay.PollReply, error) {
		return storerelay.Poll(ctx, calls, address, request)
	}
	return storerelay.NewClient(storerelay.ClientParams{
		Direct:          direct,
		Poll:            poll,
		Seeds:           config.Coordinators.Seeds,
		Quarantine:      suspects,
		Lease:           election.KindLeases,
		FailoverTimeout: storerelay.FailoverTimeoutWithin(config.Timing.CatchUpTime),
		MaxAge:          maxAges(config, gatewayAgeShare),
		Name:            config.Node.Name,
		Logger:          telemetry.For(logger, telemetry.PartFleet),
	})
}

// runStoreRelay polls whoever coordinates.
func runStoreRelay(hooks fx.Lifecycle, group *tasks, relay *storerelay.Client, watcher *election.Watcher, registry *prometheus.Registry) {
	relay.Coordinator = watcher.Holder
	registerConfirmedAge(registry, "config", "configuration", func() time.Time { return relay.ConfirmedAt(platform.KindConfig) })
	hooks.Append(fx.Hook{OnStart: func(context.Context) error {
		group.run(relay.Run)
		return nil
	}})
}

// newLeaseWatcher follows the lease, to know who coordinates.
func newLeaseWatcher(hooks fx.Lifecycle, group *tasks, followers *storerelay.Client, logger log.Logger) *election.Watcher {
	watcher := election.NewWatcher(followers, telemetry.For(logger, telemetry.PartElection))
	hooks.Append(fx.Hook{OnStart: func(context.Context) error {
		group.run(watcher.Run)
		return nil
	}})
	return watcher
}

func newBatchClient(hooks fx.Lifecycle, calls *rpc.Client, state *fleet.State, watcher *election.Watcher, logger log.Logger) batch.Service {
	client := batchrpc.NewClient(batchrpc.ClientParams{
		Calls: calls,
		Coordinator: func() batchrpc.Coordinator {
			term := watcher.Term()
			return batchrpc.Coordinator{Address: term.Address, Zone: term.Zone}
		},
		WhileCoordinator: watcher.WhileHolder,
		State:            state,
		Logger:           telemetry.For(logger, telemetry.PartBatch),
	})
	hooks.Append(fx.Hook{OnStop: func(context.Context) error {
		client.Close()
		return nil
	}})
	return client
}

// newWorker returns what runs batch items for the coordinating process.
func newWorker(config settings.Fleet, state *fleet.State, transport forward.Transport, forwarder *forward.Forwarder,
	guard *quarantine.Guard, calls *rpc.Client, watcher *election.Watcher, stopping *stopFlag, relay *storerelay.Client,
	registry *prometheus.Registry, logger log.Logger) *itemwork.Worker {
	worker := itemwork.NewWorker(itemwork.WorkerParams{
		Name:             config.Node.Name,
		Zone:             config.Node.Zone,
		Instance:         uuid.NewString(),
		Executor:         &itemwork.Executor{State: state, Transport: transport, Forwarder: forwarder, Guard: guard},
		Coordinator:      watcher.Holder,
		WhileCoordinator: watcher.WhileHolder,
		Poll: func(ctx context.Context, address string, request itemwork.PollRequest) (itemwork.PollReply, error) {
			return itemwork.Poll(ctx, calls, address, request)
		},
		Report: func(ctx context.Context, address string, request itemwork.ReportRequest) (itemwork.ReportReply, error) {
			return itemwork.SendReports(ctx, calls, address, request)
		},
		MayReport: func(address string, begunBy int64, residency placement.Residency) bool {
			term := watcher.Term()
			return !residency.Restricted() || term.Address == address && (term.Token == begunBy || residency.Allows(state.View().Topology.Region(term.Zone)))
		},
		Draining: stopping.Load,
		Selected: func() bool {
			share, known := relay.WorkerShare()
			return known && itemwork.InShare(config.Node.Name, share)
		},
		Logger: telemetry.For(logger, telemetry.PartBatch),
	})
	registerGauge(registry, "worker_runs", "Runs of batch items that this process carries out.", worker.Running)
	return worker
}

// runWorker runs the worker until the gateway has stopped.
func runWorker(hooks fx.Lifecycle, worker *itemwork.Worker) { runUntilStopped(hooks, worker.Run) }

// runUntilStopped runs a task from start to stop, which waits until it has ended what it does.
func runUntilStopped(hooks fx.Lifecycle, task func(ctx context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	hooks.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go func() {
				defer close(stopped)
				task(ctx)
			}()
			return nil
		},
		OnStop: func(ctx context.Context) error {
			cancel()
			select {
			case <-stopped:
			case <-ctx.Done():
			}
			return nil
		},
	})
}

type gatewayParams struct {
	fx.In
	Settings  settings.Fleet
	Timing    *timing
	Logger    log.Logger
	State     *fleet.State
	Forwarder *forward.Forwarder
	Batches   batch.Service
	Stopping  *stopFlag
	Relay     *storerelay.Client
	Metrics   *metrics
	Registry  *prometheus.Registry
}

// gateway serves callers.
type gateway struct {
	gatewayParams
	logger  log.Logger
	callers *httpServer
	probes  *httpServer
	// cutAt is the boottime at which requests in flight are cut off, once callers had time to notice that the process stops.
	cutAt atomic.Pointer[time.Time]
}

func runGateway(hooks fx.Lifecycle, params gatewayParams) {
	g := &gateway{gatewayParams: params, logger: telemetry.For(params.Logger, telemetry.PartGateway)}
	hooks.Append(fx.Hook{OnStart: g.start, OnStop: g.stop})
}

func (g *gateway) start(ctx context.Context) error {
	ingress := platform.NewIngress(platform.IngressParams{
		State:     g.State,
		Forwarder: g.Forwarder,
		Batches:   g.Batches,
		Logger:    g.logger,
		Draining:  g.Stopping.Load,
		Refused:   g.Metrics.requestRefused,
		CutAt:     g.cutTime,

		Unconfirmed: g.unconfirmed,
	})
	var err error
	if g.callers, err = listenHTTP(ctx, g.Settings.Listen.HTTP, ingress, g.callerListener(), g.logger); err != nil {
		return err
	}
	if g.probes, err = listenHTTP(ctx, g.Settings.Listen.Ready, platform.NewReadiness(g.ready), operatorListener(g.logger), g.logger); err != nil {
		return err
	}
	go g.callers.serve()
	go g.probes.serve()
	level.Info(g.logger).Log("msg", "started", "http", g.callers.listener.Addr(), "ready", g.probes.listener.Addr())
	return nil
}

// callerListener returns the bounds of the callers' listener.
func (g *gateway) callerListener() listenerOptions {
	limits := callerLimitsOf(g.Settings)
	pool := intake.NewPool(intake.Params{
		MaxBytes:       limits.bytes,
		MaxConnections: limits.maxConnections,
		OnLimit:        g.Metrics.callerLimitMet,
		Logger:         g.logger,
	})
	registerGauge(g.Registry, "caller_connections", "Open connections of callers.", func() int {
		connections, _ := pool.Usage()
		return connections
	})
	registerGauge(g.Registry, "caller_bytes", "Bytes of callers' requests and answers that are held.", func() int {
		_, bytes := pool.Usage()
		return int(bytes)
	})
	return listenerOptions{pool: pool, limits: g.limits}
}

// limits returns the limits of the configuration in force; those that it does not set are generous.
func (g *gateway) limits() routing.Limits {
	limits := defaultLimits
	routes := g.State.View().Routes
	if routes == nil {
		return limits
	}
	limits.MaxHeaderBytes = cmp.Or(routes.Limits.MaxHeaderBytes, limits.MaxHeaderBytes)
	limits.HeaderTimeout = cmp.Or(routes.Limits.HeaderTimeout, limits.HeaderTimeout)
	limits.IdleTimeout = cmp.Or(routes.Limits.IdleTimeout, limits.IdleTimeout)
	return limits
}

// unconfirmed reports that nobody has confirmed the configuration for longer than keys may be withdrawn unnoticed.
func (g *gateway) unconfirmed() bool {
	timing := g.Timing.current.Load()
	return timing.StrictRevoke && boottime.Since(g.Relay.ConfirmedAt(platform.KindConfig)) > timing.RevokeTime
}

// ready is true while the gateway can serve: it takes connections, holds a configuration, knows which zones are evacuated and is not stopping.
func (g *gateway) ready() bool {
	view := g.State.View()
	return !g.Stopping.Load() && view.Routes != nil && view.Evacuations != nil && g.callers.listener.accepting()
}

// cutTime returns the boottime at which requests in flight are cut off; zero before callers had time to notice that the process stops.
func (g *gateway) cutTime() time.Time {
	if cutAt := g.cutAt.Load(); cutAt != nil {
		return *cutAt
	}
	return time.Time{}
}

// stop sends callers elsewhere, waits until they have noticed, and finishes what is in flight. Meanwhile it takes no request that may last longer.
func (g *gateway) stop(ctx context.Context) error {
	started := time.Now()
	timeout := g.Timing.stopTimeout()
	g.Stopping.Store(true)
	level.Info(g.logger).Log("msg", "stopping")
	select {
	case <-time.After(min(noticeTime, timeout/3)):
	case <-ctx.Done():
	}
	left := timeout - stopMargin - time.Since(started)
	cutAt := boottime.Now().Add(left)
	g.cutAt.Store(&cutAt)
	limit, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	err := g.callers.drain(limit)
	g.probes.close()
	level.Info(g.logger).Log("msg", "stopped", "took", time.Since(started), "err", err)
	return nil
}
