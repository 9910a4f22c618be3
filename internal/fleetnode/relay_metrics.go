package fleetnode

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/covelink/covelink/internal/boottime"
	"github.com/covelink/covelink/internal/storerelay"
)

// registerHubMetrics exports whom a process that may coordinate answers.
func registerHubMetrics(registry *prometheus.Registry, hub *storerelay.Hub) {
	registerGauge(registry, "polling_processes", "Processes that this one has answered lately, itself or by relays.", hub.ProcessCount)
	registerCount(registry, "polls_redirected_total", "Polls that were answered by sending the caller to a relay.", hub.Redirects)
	registerGauge(registry, "relaying", "1 while this process answers gateways for the coordinating one.", func() int {
		if hub.Relaying() {
			return 1
		}
		return 0
	})
}

// registerConfirmedAge exports how old a process's copy of a part of the store may be.
func registerConfirmedAge(registry *prometheus.Registry, name, description string, confirmedAt func() time.Time) {
	registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: namespace,
		Name:      name + "_confirmed_age_seconds",
		Help:      "Time since the " + description + " was last known to be the store's; -1 before that.",
	}, func() float64 {
		at := confirmedAt()
		if at.IsZero() {
			return -1
		}
		return boottime.Since(at).Seconds()
	}))
}
