package node

import (
	"net/http"
	"strings"
	"time"

	"github.com/go-kit/log"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/fx"

	"github.com/covelink/covelink/api/machinesv1"
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
	"github.com/covelink/covelink/internal/objectapi"
	"github.com/covelink/covelink/internal/recorder"
	"github.com/covelink/covelink/internal/resourceapi"
	"github.com/covelink/covelink/internal/rollout"
	"github.com/covelink/covelink/internal/rpc"
	"github.com/covelink/covelink/internal/settings"
	"github.com/covelink/covelink/internal/telemetry"
	"github.com/covelink/covelink/internal/weights"
)

const platformTimeout = 5 * time.Second

// parts provides every part of a node.
var parts = fx.Options(
	fx.Provide(
		telemetry.NewRegistry,
		func(registry *prometheus.Registry) prometheus.Registerer { return registry },
		telemetry.NewRPCMetrics,
		newCertificates,
		newRPCServer,
		newRPCClient,
		cluster.NewHolder,
		func(holder *cluster.Holder) cluster.Source { return holder },
		newElector,
		func(elector *leadership.LeaseElector) leadership.Elector { return elector },
		newStore,
		newConfigSync,
		newMembership,
		newEngineClient,
		newInventory,
		newWeights,
		newDispatch,
		newRecorder,
		newRecordedDispatcher,
		newKeeper,
		newLogs,
		newRollout,
		newClaims,
		newAuthenticator,
		newGateway,
		newResourceAPI,
		httpdrain.New,
		newHTTPServer,
	),
)

func newRPCServer(config settings.Settings, logger log.Logger, observer *telemetry.RPCMetrics) *rpc.Server {
	server := rpc.NewServer(logger)
	server.MaxFrameBytes = config.Limits.MaxFrameBytes
	server.Observer = observer
	return server
}

func newRPCClient(config settings.Settings, self cluster.Node, options Options, loaded certificates,
	observer *telemetry.RPCMetrics) *rpc.Client {
	dial := options.Dial
	if dial == nil {
		dial = loaded.dial()
	}
	client := rpc.NewClient(rpc.Peer{Name: self.Name, Zone: self.Zone}, newRoutes(config).nodes(dial))
	client.MaxFrameBytes = config.Limits.MaxFrameBytes
	client.Observer = observer
	return client
}

// newElector returns the elector whose voters are the nodes of the settings.
func newElector(config settings.Settings, self cluster.Node, source cluster.Source, client *rpc.Client,
	logger log.Logger, registerer prometheus.Registerer) *leadership.LeaseElector {
	return leadership.New(leadership.Params{
		Self:       self,
		Seeds:      seeds(config),
		Nodes:      func() []cluster.Node { return source.Current().Nodes },
		Electorate: func(name string) []string { return electorate(source.Current(), name) },
		Client:     client,
		Timing:     config.Timing,
		Logger:     logger,
		Registerer: registerer,
	})
}

// electorate returns the zones whose nodes may hold a lease.
func electorate(view *cluster.View, lease string) []string {
	if zone, ok := strings.CutPrefix(lease, leadership.ZoneLease("")); ok {
		return []string{zone}
	}
	name, _ := strings.CutPrefix(lease, leadership.TrainerLease(""))
	trainer, ok := view.Trainers[name]
	if !ok {
		return nil
	}
	pool, ok := view.Pools[trainer.Spec.Pool]
	if !ok {
		return nil
	}
	return pool.Spec.PermittedZones
}

func newStore(config settings.Settings) *objectapi.Client {
	return objectapi.NewClient(objectapi.Config{BaseURL: config.Platform.ObjectAPI})
}

func newConfigSync(config settings.Settings, self cluster.Node, store *objectapi.Client, elector *leadership.LeaseElector,
	client *rpc.Client, holder *cluster.Holder, logger log.Logger, registerer prometheus.Registerer) *configsync.Manager {
	return configsync.New(configsync.Params{
		Self:       self,
		Seeds:      seeds(config),
		Store:      store,
		Elector:    elector,
		Client:     client,
		Holder:     holder,
		Timing:     config.Timing,
		Logger:     logger,
		Fenced:     elector.ObserveToken,
		Registerer: registerer,
	})
}

func newMembership(config settings.Settings, self cluster.Node, client *rpc.Client, sync *configsync.Manager,
	logger log.Logger, registerer prometheus.Registerer) *membership.Manager {
	manager := membership.New(membership.Params{
		Self:       self,
		Seeds:      seeds(config),
		Client:     client,
		Timing:     config.Timing,
		Logger:     logger,
		Registerer: registerer,
	})
	manager.OnChange(sync.SetNodes)
	return manager
}

func newEngineClient(config settings.Settings) *engine.Client {
	return engine.New(engine.Config{Dial: newRoutes(config).engines()})
}

func newInventory(config settings.Settings, self cluster.Node, engines *engine.Client, source cluster.Source,
	sync *configsync.Manager, members *membership.Manager, logger log.Logger, registerer prometheus.Registerer) *inventory.Inventory {
	return inventory.New(inventory.Params{
		Zone:       self.Zone,
		Machines:   inventory.NewHTTPMachineLister(config.Platform.MachineList, &http.Client{Timeout: platformTimeout}),
		Engines:    engines,
		Source:     source,
		Timing:     config.Timing,
		Publish:    sync.SetEngines,
		Listed:     func(machines []machinesv1.Machine) { members.SetLeaving(leavingNodes(machines)) },
		Logger:     logger,
		Registerer: registerer,
	})
}

func newWeights(self cluster.Node, source cluster.Source, engines *engine.Client, elector *leadership.LeaseElector, client *rpc.Client,
	engineInventory *inventory.Inventory, logger log.Logger, registerer prometheus.Registerer) *weights.Manager {
	return weights.New(weights.Params{
		Self:       self,
		Source:     source,
		Orders:     engineOrders{engines},
		Elector:    elector,
		Client:     client,
		Observe:    engineInventory.Observe,
		Fenced:     elector.ObserveToken,
		Logger:     logger,
		Registerer: registerer,
	})
}

func newDispatch(config settings.Settings, self cluster.Node, source cluster.Source, engines *engine.Client,
	logger log.Logger, registerer prometheus.Registerer) *dispatch.Manager {
	return dispatch.New(dispatch.Params{
		Source:     source,
		Self:       self,
		Engines:    engines,
		Limits:     config.Limits,
		Logger:     logger,
		Registerer: registerer,
	})
}

func newRecorder() *recorder.Recorder { return recorder.New(nil) }

func newRecordedDispatcher(recorded *recorder.Recorder, manager *dispatch.Manager) *recorder.Dispatcher {
	return recorder.NewDispatcher(recorded, manager, manager)
}

func newKeeper(config settings.Settings, self cluster.Node, source cluster.Source, logger log.Logger,
	registerer prometheus.Registerer) (*keeper.Keeper, error) {
	return keeper.New(keeper.Params{
		Self:       self,
		Source:     source,
		Node:       config.Node,
		Logger:     telemetry.For(logger, telemetry.PartKeeper),
		Registerer: registerer,
	})
}

func newLogs(config settings.Settings, self cluster.Node, source cluster.Source, client *rpc.Client, local *keeper.Keeper,
	logger log.Logger) *ledgerlog.Opener {
	return ledgerlog.New(ledgerlog.Params{
		Self:   self,
		Source: source,
		Seeds:  seeds(config),
		Client: client,
		Local:  local,
		Logger: telemetry.For(logger, telemetry.PartKeeper),
	})
}

func newRollout(config settings.Settings, self cluster.Node, source cluster.Source, dispatcher *recorder.Dispatcher, elector leadership.Elector,
	client *rpc.Client, publisher *weights.Manager, logs *ledgerlog.Opener, logger log.Logger, registerer prometheus.Registerer) *rollout.Manager {
	return rollout.New(rollout.Params{
		Self:       self,
		Source:     source,
		Dispatcher: dispatcher,
		Elector:    elector,
		Client:     client,
		Publisher:  publisher,
		Logs:       logs,
		Scorer:     rollout.HTTPScorer{Client: &http.Client{Timeout: config.Timing.RequestTimeout}},
		Limits:     config.Limits,
		Logger:     logger,
		Registerer: registerer,
	})
}

func newClaims(config settings.Settings, self cluster.Node, source cluster.Source, client *rpc.Client,
	logger log.Logger, registerer prometheus.Registerer) (*claims.Manager, error) {
	return claims.New(claims.Params{
		Self:       self,
		Source:     source,
		Client:     client,
		Seeds:      seeds(config),
		DataDir:    config.Node.DataDir,
		Retention:  config.Timing.ClaimRetention,
		Logger:     logger,
		Registerer: registerer,
	})
}

func newAuthenticator(config settings.Settings, source cluster.Source) *auth.Authenticator {
	return auth.New(source, config.Operators)
}

func newGateway(config settings.Settings, self cluster.Node, source cluster.Source, dispatcher *recorder.Dispatcher, rollouts *rollout.Manager,
	recorded *recorder.Recorder, claimed *claims.Manager, authenticator *auth.Authenticator, logger log.Logger, registerer prometheus.Registerer) *gateway.Gateway {
	return gateway.New(gateway.Params{
		Self:       self,
		Source:     source,
		Dispatcher: dispatcher,
		Rollouts:   recorder.NewService(recorded, rollouts.Service()),
		Claims:     claimed,
		Auth:       authenticator,
		Limits:     config.Limits,
		Timing:     config.Timing,
		Logger:     logger,
		Registerer: registerer,
	})
}

func newResourceAPI(backend *configsync.Manager, authenticator *auth.Authenticator, logger log.Logger) *resourceapi.API {
	return resourceapi.New(resourceapi.Params{
		Backend:    backend,
		Identifier: authenticator,
		Logger:     logger,
	})
}
