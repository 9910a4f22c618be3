package fleetnode

import (
	"context"

	"github.com/go-kit/log"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/fx"

	"github.com/covelink/covelink/internal/election"
	"github.com/covelink/covelink/internal/metastore"
	"github.com/covelink/covelink/internal/quarantine"
	"github.com/covelink/covelink/internal/rpc"
	"github.com/covelink/covelink/internal/telemetry"
	"github.com/covelink/covelink/platform"
)

// newGuard returns what decides on requests under which engines have ended. Whom it asks for trials is set by the role.
func newGuard(engines *platform.Engines, table *quarantine.Table, observed *metrics, registry *prometheus.Registry,
	logger log.Logger) *quarantine.Guard {
	logger = telemetry.For(logger, telemetry.PartQuarantine)
	registerGauge(registry, "requests_held", "Requests that are refused because too many engines have ended under them.", func() int {
		held, _ := table.Count()
		return held
	})
	registerGauge(registry, "requests_suspect", "Requests under which engines have ended, not so many yet that they are held.", func() int {
		_, suspect := table.Count()
		return suspect
	})
	return quarantine.NewGuard(quarantine.GuardParams{
		Table:    table,
		Detector: quarantine.NewDetector(quarantine.DetectorParams{Prober: engines, Observe: observed.attemptBroke, Logger: logger}),
		Observe:  observed.guardDecided,
		Logger:   logger,
	})
}

// newKeeper returns what answers for the table of this process while it coordinates, and has its own guard ask that.
func newKeeper(table *quarantine.Table, guard *quarantine.Guard, store metastore.Client, logger log.Logger) *quarantine.Coordinator {
	keeper := quarantine.NewCoordinator(quarantine.CoordinatorParams{
		Table:  table,
		Store:  store,
		Logger: telemetry.For(logger, telemetry.PartQuarantine),
	})
	guard.RequestTrial = func(ctx context.Context, known quarantine.Record) (quarantine.TrialReply, error) {
		return keeper.HandleTrial(ctx, known), nil
	}
	return keeper
}

// shareQuarantine tells the coordinating process what this gateway finds out, and has the gateway's guard ask it for trials.
func shareQuarantine(hooks fx.Lifecycle, group *tasks, table *quarantine.Table, guard *quarantine.Guard, calls *rpc.Client,
	watcher *election.Watcher, logger log.Logger) {
	guard.RequestTrial = func(ctx context.Context, known quarantine.Record) (quarantine.TrialReply, error) {
		address := watcher.Holder()
		if address == "" {
			return quarantine.TrialReply{}, nil
		}
		return quarantine.RequestTrial(ctx, calls, address, quarantine.TrialRequest{Known: known})
	}
	teller := quarantine.NewReporter(quarantine.ReporterParams{
		Table:       table,
		Coordinator: watcher.Term,
		Send: func(ctx context.Context, address string, request quarantine.TellRequest) (quarantine.TellReply, error) {
			return quarantine.Report(ctx, calls, address, request)
		},
		Logger: telemetry.For(logger, telemetry.PartQuarantine),
	})
	hooks.Append(fx.Hook{OnStart: func(context.Context) error {
		group.run(teller.Run)
		return nil
	}})
}
