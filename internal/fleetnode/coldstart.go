package fleetnode

import (
	"context"
	"time"

	"github.com/go-kit/log"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/fx"

	"github.com/covelink/covelink/internal/boottime"
	"github.com/covelink/covelink/internal/coldstart"
	"github.com/covelink/covelink/internal/election"
	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/forward"
	"github.com/covelink/covelink/internal/rpc"
	"github.com/covelink/covelink/internal/telemetry"
)

// newWarmth returns the record of which engines are cold, which follows the state from start to stop.
func newWarmth(hooks fx.Lifecycle, group *tasks, state *fleet.State, registry *prometheus.Registry, logger log.Logger) *coldstart.Tracker {
	warmth := coldstart.NewTracker(state, boottime.Now, telemetry.For(logger, telemetry.PartFleet))
	registerGauge(registry, "cold_engines", "Engines that this process takes for cold.", warmth.Count)
	hooks.Append(fx.Hook{OnStart: func(context.Context) error {
		group.run(warmth.Run)
		return nil
	}})
	return warmth
}

// askGrants makes this process's requests to cold engines wait for grants from ask.
func askGrants(forwarder *forward.Forwarder, warmth *coldstart.Tracker, observed *metrics, logger log.Logger,
	ask func(ctx context.Context, request coldstart.Request) (coldstart.Reply, error)) {
	forwarder.Quota = coldstart.NewClient(coldstart.ClientParams{
		Tracker: warmth,
		Ask:     ask,
		Now:     boottime.Now,
		Observe: observed.grantAnswered,
		Logger:  telemetry.For(logger, telemetry.PartForward),
	})
}

// askCoordinator makes a gateway ask the coordinating process for grants. The zero Reply says that nobody coordinates.
func askCoordinator(forwarder *forward.Forwarder, warmth *coldstart.Tracker, calls *rpc.Client, watcher *election.Watcher, observed *metrics,
	logger log.Logger) {
	askGrants(forwarder, warmth, observed, logger, func(ctx context.Context, request coldstart.Request) (coldstart.Reply, error) {
		address := watcher.Holder()
		if address == "" {
			return coldstart.Reply{}, nil
		}
		return coldstart.Ask(ctx, calls, address, request)
	})
}

// newGrants returns the Limiter that gives grants while this process coordinates; requests of this process ask it directly.
func newGrants(forwarder *forward.Forwarder, warmth *coldstart.Tracker, registry *prometheus.Registry, observed *metrics,
	logger log.Logger) *coldstart.Limiter {
	keeper := coldstart.NewLimiter(coldstart.LimiterParams{
		Rate: warmth.Rate,
		// The hub is made later; start replaces this.
		LeaseConfirmedAt: func() time.Time { return time.Time{} },
		Now:              boottime.Now,
		Logger:           telemetry.For(logger, telemetry.PartFleet),
	})
	registerGauge(registry, "cold_grants_waiting", "Requests of all processes that wait for a cold engine.", keeper.Waiting)
	registerCount(registry, "cold_grants_total", "Sends to cold engines that this process has granted.", func() int64 { return keeper.Counts().Granted })
	registerCount(registry, "cold_refusals_total", "Sends to cold engines that this process has refused.", func() int64 { return keeper.Counts().Refused })
	askGrants(forwarder, warmth, observed, logger, func(ctx context.Context, request coldstart.Request) (coldstart.Reply, error) {
		return keeper.Ask(ctx, request), nil
	})
	return keeper
}
