package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/fx"

	"github.com/covelink/covelink/internal/auth"
	"github.com/covelink/covelink/internal/claims"
	"github.com/covelink/covelink/internal/cluster"
	"github.com/covelink/covelink/internal/configsync"
	"github.com/covelink/covelink/internal/dispatch"
	"github.com/covelink/covelink/internal/engine"
	"github.com/covelink/covelink/internal/gateway"
	"github.com/covelink/covelink/internal/httpdrain"
	"github.com/covelink/covelink/internal/inventory"
	"github.com/covelink/covelink/internal/keeper"
	"github.com/covelink/covelink/internal/leadership"
	"github.com/covelink/covelink/internal/ledgerlog"
	"github.com/covelink/covelink/internal/membership"
	"github.com/covelink/covelink/internal/recorder"
	"github.com/covelink/covelink/internal/resourceapi"
	"github.com/covelink/covelink/internal/rollout"
	"github.com/covelink/covelink/internal/rpc"
	"github.com/covelink/covelink/internal/settings"
	"github.com/covelink/covelink/internal/telemetry"
	"github.com/covelink/covelink/internal/weights"
)

const (
	startTimeout = 15 * time.Second
	// stopMargin is what a planned stop may take beyond the drain.
	stopMargin = 15 * time.Second
	// leaveTimeout bounds the wait for other nodes to hear of the stop.
	leaveTimeout = time.Second
	// closeTimeout bounds the end of idle connections after the drain.
	closeTimeout = 5 * time.Second
)

// lifecycleParams are the parts that a node's life acts on.
type lifecycleParams struct {
	fx.In

	Settings  settings.Settings
	Self      cluster.Node
	Logger    log.Logger
	Listeners listeners
	TLS       certificates
	Server    *rpc.Server
	Client    *rpc.Client
	Elector   *leadership.LeaseElector
	Sync      *configsync.Manager
	Members   *membership.Manager
	Engines   *engine.Client
	Inventory *inventory.Inventory
	Weights   *weights.Manager
	Dispatch  *dispatch.Manager
	Keeper    *keeper.Keeper
	Logs      *ledgerlog.Opener
	Rollout   *rollout.Manager
	Claims    *claims.Manager
	Gateway   *gateway.Gateway
	Resources *resourceapi.API
	HTTP      *http.Server
	Callers   *httpdrain.Connections
}

// lifecycle runs the parts of a node and stops them in order.
type lifecycle struct {
	lifecycleParams
	logger log.Logger
	cancel context.CancelFunc
	tasks  sync.WaitGroup
	// campaigns are the tasks that may hold leases; the elector outlasts them, so that they release what they hold.
	campaigns     sync.WaitGroup
	cancelElector context.CancelFunc
}

func registerLifecycle(hooks fx.Lifecycle, params lifecycleParams) {
	l := &lifecycle{lifecycleParams: params, logger: telemetry.For(params.Logger, telemetry.PartNode)}
	hooks.Append(fx.Hook{OnStart: l.start, OnStop: l.stop})
}

// start launches every part. Order matters only in that handlers are registered before the listener serves.
func (l *lifecycle) start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	l.cancel = cancel
	electorCtx, cancelElector := context.WithCancel(context.Background())
	l.cancelElector = cancelElector
	l.Elector.Register(l.Server)
	l.Members.Register(l.Server)
	l.Sync.Register(l.Server)
	l.Weights.Register(l.Server)
	l.Keeper.Register(l.Server)
	l.Rollout.Register(l.Server)
	l.Claims.Register(l.Server)
	l.run(func() {
		l.report("internal listener ended", l.Server.Serve(secure(l.Listeners.internal, l.TLS.internal)))
	})
	l.run(func() { l.report("http listener ended", l.HTTP.Serve(secure(l.Listeners.http, l.TLS.callers))) })
	l.run(func() { l.report("elector ended", l.Elector.Run(electorCtx)) })
	l.run(func() { l.Members.Run(ctx) })
	l.run(func() { l.report("config sync ended", l.Sync.Run(ctx)) })
	l.run(func() { l.Weights.Run(ctx) })
	l.run(func() { l.Dispatch.Run(ctx) })
	l.run(func() { l.Keeper.Run(ctx) })
	l.run(func() { l.report("claims ended", l.Claims.Run(ctx)) })
	l.campaigns.Go(func() { l.report("rollout ended", l.Rollout.Run(ctx)) })
	l.campaigns.Go(func() { l.coordinate(ctx) })
	l.Gateway.SetReady(true, "")
	level.Info(l.logger).Log("msg", "started", "node", l.Self.Name, "zone", l.Self.Zone,
		"http", l.Listeners.http.Addr(), "internal", l.Listeners.internal.Addr())
	return nil
}

// coordinate campaigns for the coordinator lease of the zone and runs the coordinator parts while it is held.
func (l *lifecycle) coordinate(ctx context.Context) {
	name := leadership.ZoneLease(l.Self.Zone)
	l.Elector.Campaign(ctx, name, []string{l.Self.Zone}, func(ctx context.Context, term leadership.Term) {
		level.Info(l.logger).Log("msg", "coordinating the zone", "zone", l.Self.Zone, "token", term.Token)
		var leading sync.WaitGroup
		leading.Go(func() { l.Sync.Lead(ctx, term) })
		leading.Go(func() { l.Inventory.Lead(ctx, term) })
		leading.Go(func() { l.Weights.Lead(ctx, term) })
		leading.Wait()
		level.Info(l.logger).Log("msg", "no longer coordinating", "zone", l.Self.Zone, "token", term.Token)
	})
}

// stop is the planned stop: other nodes told, no new work, batches handed over, requests in flight finished, then everything closed.
func (l *lifecycle) stop(ctx context.Context) error {
	drainCtx, cancel := context.WithTimeout(ctx, l.Settings.Timing.DrainTimeout)
	defer cancel()
	level.Info(l.logger).Log("msg", "draining")
	l.leave(drainCtx)
	l.Gateway.SetReady(false, "draining")
	l.Resources.Stop()
	err := errors.Join(
		l.Rollout.HandOver(drainCtx),
		l.Gateway.Drain(drainCtx),
		l.Dispatch.Drain(drainCtx),
	)
	l.cancel()
	l.campaigns.Wait()
	err = errors.Join(err, l.Server.Drain(drainCtx))
	l.cancelElector()
	l.close()
	l.tasks.Wait()
	// Last: this node's replicas serve other nodes' ledgers until no request is left.
	l.Logs.Close()
	err = errors.Join(err, l.Keeper.Close())
	level.Info(l.logger).Log("msg", "stopped", "err", err)
	return err
}

// leave tells other nodes of the stop, without waiting long for those that don't answer.
func (l *lifecycle) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	l.Members.Leave(ctx)
}

// close ends every connection; requests were drained before.
func (l *lifecycle) close() {
	closeCtx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	l.Callers.AwaitLeft(closeCtx)
	l.Listeners.http.Close()
	l.Callers.AwaitQuiet(closeCtx)
	if err := l.HTTP.Shutdown(closeCtx); err != nil {
		l.HTTP.Close()
	}
	l.Listeners.internal.Close()
	l.Server.Close()
	l.Client.Close()
}

func (l *lifecycle) run(task func()) { l.tasks.Go(task) }

func (l *lifecycle) report(msg string, err error) {
	if err == nil || errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) || errors.Is(err, context.Canceled) {
		return
	}
	level.Error(l.logger).Log("msg", msg, "err", err)
}

// newHTTPServer serves callers, operators and metrics on one listener.
func newHTTPServer(config settings.Settings, self cluster.Node, source cluster.Source, callers *gateway.Gateway, operators *resourceapi.API,
	recorded *recorder.Recorder, authenticator *auth.Authenticator, registry *prometheus.Registry,
	open *httpdrain.Connections) *http.Server {
	gin.SetMode(gin.ReleaseMode)
	router := gin.New()
	router.Use(gin.Recovery())
	callers.Routes(router)
	operators.Routes(router)
	recorder.Handlers{Recorder: recorded, Self: self, Source: source}.Routes(router, authenticator.Authenticate(), auth.RequireOperatorRead())
	router.GET("/metrics", gin.WrapH(telemetry.Handler(registry)))
	server := gateway.NewHTTPServer(router, config.Limits)
	server.ConnState = open.Note
	return server
}
