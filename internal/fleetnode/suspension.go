package fleetnode

import (
	"context"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/fx"

	"github.com/covelink/covelink/internal/boottime"
	"github.com/covelink/covelink/internal/pause"
	"github.com/covelink/covelink/internal/telemetry"
)

// suspensionInterval is the pause between two looks for a suspension of the machine. It serves the log alone: promises look at the time when
// they are used.
const suspensionInterval = 500 * time.Millisecond

// tellSuspensions writes a line for each suspension of the machine, and counts them.
func tellSuspensions(hooks fx.Lifecycle, group *tasks, registry *prometheus.Registry, logger log.Logger) {
	logger = telemetry.For(logger, telemetry.PartNode)
	suspensions := prometheus.NewHistogram(prometheus.HistogramOpts{
		Namespace: namespace,
		Name:      "suspension_duration_seconds",
		Help:      "Time for which the machine was suspended, which its steady clock did not count.",
		Buckets:   prometheus.ExponentialBuckets(0.1, 2, 10),
	})
	registry.MustRegister(suspensions)
	hooks.Append(fx.Hook{OnStart: func(context.Context) error {
		group.run(func(ctx context.Context) {
			for known := boottime.Suspended(); ctx.Err() == nil; pause.For(ctx, suspensionInterval) {
				now := boottime.Suspended()
				if now == known {
					continue
				}
				suspensions.Observe((now - known).Seconds())
				level.Warn(logger).Log("msg", "machine was suspended", "for", (now - known).Round(time.Millisecond), "in_all", now.Round(time.Millisecond))
				known = now
			}
		})
		return nil
	}})
}
