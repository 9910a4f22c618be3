package fleetnode

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/fx"

	"github.com/covelink/covelink/internal/batchrun"
	"github.com/covelink/covelink/internal/boottime"
	"github.com/covelink/covelink/internal/duty"
	"github.com/covelink/covelink/internal/election"
	"github.com/covelink/covelink/internal/enginescale"
	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/fleettime"
	"github.com/covelink/covelink/internal/forward"
	"github.com/covelink/covelink/internal/metastore"
	"github.com/covelink/covelink/internal/permits"
	"github.com/covelink/covelink/internal/rpc"
	"github.com/covelink/covelink/internal/settings"
	"github.com/covelink/covelink/internal/telemetry"
	"github.com/covelink/covelink/internal/usage"
	"github.com/covelink/covelink/platform"
)

// dutiesJournal is the name of the journal of calls to the deployment's platform.
const dutiesJournal = "duties"

func newConsensus() *fleettime.Consensus {
	return fleettime.NewConsensus(fleettime.NewLocal(boottime.Now))
}

// duties are the calls to the deployment's platform that fall to this process while it coordinates.
type duties struct {
	config  settings.Fleet
	store   metastore.Client
	observe func(subject string, err error, took time.Duration)
	logger  log.Logger
	// usage is nil if use is not reported, and engines if no engines are ordered.
	usage   *usage.Reporter
	engines *enginescale.Manager
}

func newDuties(config settings.Fleet, state *fleet.State, store metastore.Client, clock *fleettime.Consensus, runner *batchrun.Runner,
	loading *enginescale.LoadingSet, observed *metrics, registry *prometheus.Registry, logger log.Logger) *duties {
	d := &duties{config: config, store: store, observe: observed.dutyCalled, logger: telemetry.For(logger, telemetry.PartDuties)}
	calls := platform.NewDuties(config.Duties.Address)
	reportRefused(calls.Answers, fromDuties, observed, logger)
	if config.Duties.Include(settings.DutyUsage) {
		d.usage = usage.NewReporter(usage.ReporterParams{
			Platform: calls,
			Store:    store,
			Clock:    clock,
			Length:   config.Duties.UsageWindow,
			Due:      config.Duties.UsageDue,
			Logger:   d.logger,
			Observer: observed,
		})
	}
	if config.Duties.Include(settings.DutyAutoscale) {
		d.engines = enginescale.New(enginescale.Params{
			State:       state,
			Platform:    calls,
			Store:       store,
			Logger:      d.logger,
			OfferedLoad: runner.OfferedLoad,
			Loading:     loading.Contains,
		})
		registerGauge(registry, "engines_ordered", "Engines that this process has ordered in all, as it coordinates.", d.engines.Desired)
		registry.MustRegister(newDemandMetrics(d.engines.Demands))
	}
	return d
}

// register makes a server answer for the duties.
func (d *duties) register(server *rpc.Server) {
	if d.usage != nil {
		usage.Register(server, d.usage)
	}
}

// lead does the duties of a term until ctx ends.
func (d *duties) lead(ctx context.Context, term election.Term) {
	if d.usage == nil && d.engines == nil {
		return
	}
	performer := &duty.Executor{
		Stamp: duty.Stamp{Holder: d.config.Node.Name, Token: term.Token},
		Journal: permits.New(permits.Params{
			Store:       d.store,
			Name:        dutiesJournal,
			Holder:      d.config.Node.Name,
			Token:       term.Token,
			LeaseLength: d.config.Timing.LeaseLength,
			Transit:     platform.DutyTransit,
		}),
		Observe: d.observe,
	}
	performer.TakeOver(ctx)
	level.Info(d.logger).Log("msg", "duties begun", "token", term.Token)
	var leading sync.WaitGroup
	if d.usage != nil {
		leading.Go(func() { d.usage.Lead(ctx, performer) })
	}
	if d.engines != nil {
		leading.Go(func() { d.engines.Lead(ctx, performer) })
	}
	leading.Wait()
}

func newUsageClock() *fleettime.Remote { return fleettime.NewRemote(boottime.Now) }

// newMeter returns what counts requests; nil if their use is not reported.
func newMeter(config settings.Fleet, clock *fleettime.Remote) *usage.Meter {
	if !config.Duties.Include(settings.DutyUsage) {
		return nil
	}
	return usage.NewMeter(config.Duties.UsageWindow, clock)
}

// meterRequests counts the requests that gateways forward, and tells the coordinating process until the gateway has stopped.
func meterRequests(hooks fx.Lifecycle, meter *usage.Meter, clock *fleettime.Remote, forwarder *forward.Forwarder, calls *rpc.Client,
	watcher *election.Watcher, store metastore.Client, logger log.Logger) {
	if meter == nil {
		return
	}
	forwarder.OnExecution = meter.Began
	teller := usage.NewTeller(usage.TellerParams{
		Meter:       meter,
		Clock:       clock,
		Coordinator: watcher.Term,
		Send: func(ctx context.Context, address string, request usage.TellRequest) (usage.TellReply, error) {
			return usage.Tell(ctx, calls, address, request)
		},
		Store:  store,
		Logger: telemetry.For(logger, telemetry.PartDuties),
	})
	runUntilStopped(hooks, teller.Run)
}
