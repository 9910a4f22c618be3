// Package fleetnode wires the parts of a covelinkd process whose lasting state lives in a metadata store, and runs its life:
// start, serve, planned stop.
package fleetnode

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"reflect"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/fx"

	"github.com/covelink/covelink/internal/boottime"
	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/forward"
	"github.com/covelink/covelink/internal/metastore"
	"github.com/covelink/covelink/internal/netdial"
	"github.com/covelink/covelink/internal/quarantine"
	"github.com/covelink/covelink/internal/rpc"
	"github.com/covelink/covelink/internal/settings"
	"github.com/covelink/covelink/internal/telemetry"
	"github.com/covelink/covelink/internal/tenants"
	"github.com/covelink/covelink/internal/zonestatus"
	"github.com/covelink/covelink/platform"
)

const (
	startTimeout = 10 * time.Second
	// maxStopTime bounds a planned stop whatever the settings say.
	maxStopTime = 10 * time.Minute
	// noticeTime is how long callers need to notice that a process is not ready any more.
	noticeTime = 2500 * time.Millisecond
	// stopMargin is what is left of the stop timeout for closing.
	stopMargin = time.Second
)

// Node is one process.
type Node struct {
	app    *fx.App
	config settings.Fleet
	timing *timing
}

// timing holds the settings that may change while the process runs.
type timing struct {
	current atomic.Pointer[settings.FleetTiming]
}

func (t *timing) stopTimeout() time.Duration { return t.current.Load().StopTimeout }

// New builds a node whose lines go through a writer. It does nothing until Start.
func New(config settings.Fleet, logger log.Logger, lines *telemetry.AsyncWriter) (*Node, error) {
	role := gatewayParts
	if config.Node.Role == settings.RoleCoordinator {
		role = coordinatorParts
	}
	changing := &timing{}
	changing.current.Store(&config.Timing)
	app := fx.New(
		fx.NopLogger,
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(maxStopTime),
		fx.Supply(config, changing, lines),
		fx.Provide(func() log.Logger { return logger }),
		commonParts,
		role,
	)
	if err := app.Err(); err != nil {
		return nil, fmt.Errorf("node: %w", err)
	}
	return &Node{app: app, config: config, timing: changing}, nil
}

// ErrNeedsRestart reports changed settings that a running process cannot take.
var ErrNeedsRestart = errors.New("node: name, zone, role, addresses, store, data, topology and duties take effect at the next start")

// Reload takes in changed settings. Those of timing take effect at once; ErrNeedsRestart if others differ as well.
func (n *Node) Reload(changed settings.Fleet) error {
	n.timing.current.Store(&changed.Timing)
	if changed.Node != n.config.Node || changed.Listen != n.config.Listen || changed.Store != n.config.Store || changed.Data != n.config.Data ||
		!reflect.DeepEqual(changed.Duties, n.config.Duties) || !reflect.DeepEqual(changed.Topology, n.config.Topology) {
		return ErrNeedsRestart
	}
	return nil
}

// Start begins to serve. The node calls itself ready once it holds a configuration.
func (n *Node) Start(ctx context.Context) error { return n.app.Start(ctx) }

// Stop is the planned stop: callers are sent elsewhere, requests in flight are finished.
func (n *Node) Stop(ctx context.Context) error { return n.app.Stop(ctx) }

// commonParts are those of every role.
var commonParts = fx.Options(
	fx.Provide(
		newState,
		telemetry.NewRegistry,
		newMetrics,
		metastore.NewOutage,
		func(config settings.Fleet, observed *metrics, outage *metastore.Outage, logger log.Logger) metastore.Client {
			return metastore.Watched(newStore(config, observed, logger), outage)
		},
		metastore.NewFollowers,
		newEngines,
		newTransport,
		newCalls,
		func() *forward.Picker { return forward.NewPicker(time.Now) },
		func() *quarantine.Table { return quarantine.NewTable(boottime.Now) },
		newGuard,
		newForwarder,
		newZoneStatus,
		newColdTracker,
		newTasks,
	),
	fx.Invoke(serveMetrics, tellStoreCalls, tellSuspensions),
)

// newState returns a state with the settings' zones. If zones may be evacuated, it permits nothing until the evacuations are known.
func newState(config settings.Fleet) *fleet.State {
	state := fleet.NewState()
	state.SetTopology(fleet.NewTopology(config.Topology.Regions()))
	if config.Topology.EvacuateTime > 0 {
		state.MarkEvacuationsUnknown()
	}
	return state
}

func newForwarder(state *fleet.State, transport forward.Transport, picker *forward.Picker, guard *quarantine.Guard, observed *metrics,
	registry *prometheus.Registry, logger log.Logger) *forward.Forwarder {
	forwarder := forward.New(state, transport, picker, telemetry.For(logger, telemetry.PartForward))
	forwarder.Observer = observed
	registerLoadMetrics(registry, forwarder)
	forwarder.Guard = guard
	return forwarder
}

// tellStoreCalls writes the calls to the store into the log from start to stop.
func tellStoreCalls(hooks fx.Lifecycle, group *tasks, observed *metrics, logger log.Logger) {
	hooks.Append(fx.Hook{OnStart: func(context.Context) error {
		group.run(func(ctx context.Context) { observed.tally.run(ctx, telemetry.For(logger, telemetry.PartFleet)) })
		return nil
	}})
}

// serveMetrics serves counters and histograms where the settings say.
func serveMetrics(hooks fx.Lifecycle, config settings.Fleet, registry *prometheus.Registry, state *fleet.State, guard *quarantine.Guard,
	zones *zonestatus.Status, logger log.Logger) {
	if config.Listen.Metrics == "" {
		return
	}
	routes := http.NewServeMux()
	routes.Handle("GET /metrics", telemetry.Handler(registry))
	routes.HandleFunc("GET "+tenants.ListPath, func(w http.ResponseWriter, _ *http.Request) { listTenants(w, state) })
	quarantine.Handle(routes, guard)
	zones.Handle(routes)
	var server *httpServer
	hooks.Append(fx.Hook{
		OnStart: func(ctx context.Context) error {
			var err error
			if server, err = listenHTTP(ctx, config.Listen.Metrics, routes, operatorListener(logger), telemetry.For(logger, telemetry.PartNode)); err != nil {
				return err
			}
			go server.serve()
			level.Info(telemetry.For(logger, telemetry.PartNode)).Log("msg", "metrics served", "metrics", server.listener.Addr())
			return nil
		},
		OnStop: func(context.Context) error {
			server.close()
			return nil
		},
	})
}

// listTenants answers with the tenants of the configuration in force.
func listTenants(w http.ResponseWriter, state *fleet.State) {
	routes := state.View().Routes
	if routes == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	content, err := json.Marshal(tenants.List{Config: routes.Version, Tenants: routes.Tenants.Listings()})
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(content)
}

// newCalls returns the client of other nodes' internal addresses.
func newCalls(config settings.Fleet) *rpc.Client {
	dialer := netdial.New(netdial.Options{
		ConnectTimeout: callConnectTimeout,
		UserTimeout:    callUserTimeout,
		ProbeInterval:  callProbeInterval,
		ProbeCount:     callProbeCount,
	})
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", address)
	}
	return rpc.NewClient(rpc.Peer{Name: config.Node.Name, Zone: config.Node.Zone}, dial)
}

const (
	callConnectTimeout = 700 * time.Millisecond
	callUserTimeout    = 1500 * time.Millisecond
	callProbeInterval  = time.Second
	callProbeCount     = 2
)

// tasks are goroutines that run from start to stop.
type tasks struct {
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
}

func newTasks(hooks fx.Lifecycle) *tasks {
	t := &tasks{}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	hooks.Append(fx.Hook{OnStop: func(context.Context) error {
		t.cancel()
		t.running.Wait()
		return nil
	}})
	return t
}

// run starts a task that ends with the context.
func (t *tasks) run(task func(ctx context.Context)) {
	t.running.Go(func() { task(t.ctx) })
}

// followFleet keeps the state at what the store holds until ctx ends.
func followFleet(ctx context.Context, config settings.Fleet, followers metastore.Follower, state *fleet.State, observed *metrics,
	logger log.Logger) {
	logger = telemetry.For(logger, telemetry.PartFleet)
	var following sync.WaitGroup
	following.Go(func() { platform.FollowConfig(ctx, followers, state, observed.configRefused.Inc, logger) })
	following.Go(func() { platform.FollowEngines(ctx, followers, state, engineTiming(config), logger) })
	if config.Topology.EvacuateTime > 0 {
		following.Go(func() { platform.FollowEvacuations(ctx, followers, state, logger) })
	}
	following.Wait()
}

// stopFlag tells whether the process is stopping.
type stopFlag struct{ atomic.Bool }
