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

// newGuard returns the guard against requests that crash engines. The process's role sets CallTrial and CallReturn.
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
		Detector: quarantine.NewDetector(quarantine.DetectorParams{Prober: engines, Observe: observed.attemptDisconnected, Logger: logger}),
		Observe:  observed.guardDecided,
		Logger:   logger,
	})
}

// newQuarantineCoordinator returns the coordinator of quarantined requests, from which the guard of this process requests its trials.
func newQuarantineCoordinator(table *quarantine.Table, guard *quarantine.Guard, store metastore.Client, observed *metrics,
	logger log.Logger) *quarantine.Coordinator {
	coordinator := quarantine.NewCoordinator(quarantine.CoordinatorParams{
		Table:   table,
		Store:   store,
		Observe: observed.trialAnswered,
		Logger:  telemetry.For(logger, telemetry.PartQuarantine),
	})
	guard.CallTrial = func(ctx context.Context, request quarantine.TrialRequest) (quarantine.TrialReply, error) {
		return coordinator.HandleTrial(ctx, request), nil
	}
	guard.CallReturn = func(_ context.Context, request quarantine.ReturnRequest) (quarantine.ReturnReply, error) {
		return coordinator.HandleReturn(request), nil
	}
	return coordinator
}

// shareQuarantine reports the records of this gateway to the coordinator, from which the gateway's guard requests its trials.
func shareQuarantine(hooks fx.Lifecycle, group *tasks, table *quarantine.Table, guard *quarantine.Guard, calls *rpc.Client,
	watcher *election.Watcher, logger log.Logger) {
	guard.CallTrial = func(ctx context.Context, request quarantine.TrialRequest) (quarantine.TrialReply, error) {
		address := watcher.Holder()
		if address == "" {
			return quarantine.TrialReply{}, nil
		}
		return quarantine.RequestTrial(ctx, calls, address, request)
	}
	guard.CallReturn = func(ctx context.Context, request quarantine.ReturnRequest) (quarantine.ReturnReply, error) {
		address := watcher.Holder()
		if address == "" {
			return quarantine.ReturnReply{}, nil
		}
		return quarantine.ReturnTrial(ctx, calls, address, request)
	}
	reporter := quarantine.NewReporter(quarantine.ReporterParams{
		Table:       table,
		Coordinator: watcher.Term,
		Send: func(ctx context.Context, address string, request quarantine.TellRequest) (quarantine.TellReply, error) {
			return quarantine.Report(ctx, calls, address, request)
		},
		Logger: telemetry.For(logger, telemetry.PartQuarantine),
	})
	hooks.Append(fx.Hook{OnStart: func(context.Context) error {
		group.run(reporter.Run)
		return nil
	}})
}
