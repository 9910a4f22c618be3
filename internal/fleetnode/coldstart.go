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

// newColdTracker returns the tracker of cold engines, which follows the state from start to stop.
func newColdTracker(hooks fx.Lifecycle, group *tasks, state *fleet.State, registry *prometheus.Registry, logger log.Logger) *coldstart.Tracker {
	tracker := coldstart.NewTracker(state, boottime.Now, telemetry.For(logger, telemetry.PartFleet))
	registerGauge(registry, "cold_engines", "Engines that this process takes for cold.", tracker.Count)
	hooks.Append(fx.Hook{OnStart: func(context.Context) error {
		group.run(tracker.Run)
		return nil
	}})
	return tracker
}

// setColdQuota makes requests of this process to cold engines wait for grants, which ask requests.
func setColdQuota(forwarder *forward.Forwarder, tracker *coldstart.Tracker, observed *metrics, logger log.Logger,
	ask func(ctx context.Context, request coldstart.Request) (coldstart.Reply, error)) {
	forwarder.Quota = coldstart.NewClient(coldstart.ClientParams{
		Tracker: tracker,
		Ask:     ask,
		Now:     boottime.Now,
		Observe: observed.grantAnswered,
		Logger:  telemetry.For(logger, telemetry.PartForward),
	})
}

// setRemoteColdQuota makes a gateway request grants from the coordinator. The zero Reply means that there is none.
func setRemoteColdQuota(forwarder *forward.Forwarder, tracker *coldstart.Tracker, calls *rpc.Client, watcher *election.Watcher, observed *metrics,
	logger log.Logger) {
	setColdQuota(forwarder, tracker, observed, logger, func(ctx context.Context, request coldstart.Request) (coldstart.Reply, error) {
		address := watcher.Holder()
		if address == "" {
			return coldstart.Reply{}, nil
		}
		return coldstart.Ask(ctx, calls, address, request)
	})
}

// newColdLimiter returns the Limiter that issues grants while this process is the coordinator. Requests of this process use it directly.
func newColdLimiter(forwarder *forward.Forwarder, tracker *coldstart.Tracker, registry *prometheus.Registry, observed *metrics,
	logger log.Logger) *coldstart.Limiter {
	limiter := coldstart.NewLimiter(coldstart.LimiterParams{
		Rate: tracker.Rate,
		// Replaced by start, once the hub exists.
		LeaseConfirmedAt: func() time.Time { return time.Time{} },
		Now:              boottime.Now,
		Logger:           telemetry.For(logger, telemetry.PartFleet),
	})
	registerGauge(registry, "cold_grants_waiting", "Requests of all processes that wait for a cold engine.", limiter.Waiting)
	registerCount(registry, "cold_grants_total", "Sends to cold engines that this process has granted.", func() int64 { return limiter.Counts().Granted })
	registerCount(registry, "cold_refusals_total", "Sends to cold engines that this process has refused.", func() int64 { return limiter.Counts().Refused })
	setColdQuota(forwarder, tracker, observed, logger, func(ctx context.Context, request coldstart.Request) (coldstart.Reply, error) {
		return limiter.Ask(ctx, request), nil
	})
	return limiter
}
