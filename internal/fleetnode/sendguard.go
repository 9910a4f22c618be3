package fleetnode

import (
	"time"

	"github.com/go-kit/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/forward"
	"github.com/covelink/covelink/internal/metastore"
	"github.com/covelink/covelink/internal/sendguard"
	"github.com/covelink/covelink/internal/settings"
	"github.com/covelink/covelink/internal/storerelay"
	"github.com/covelink/covelink/internal/telemetry"
	"github.com/covelink/covelink/platform"
)

const (
	// sendAgeShare is the share of the drain time up to which a confirmation of an engine is relied on. The rest covers the way to the engine.
	sendAgeShare = 0.9
	// gatewayAgeShare and relayAgeShare are the shares of the drain time after which gateways and relays follow the engines in the store, whatever
	// hubs answer. A relay is earlier, as its callers add the age of their own copies.
	gatewayAgeShare = 0.7
	relayAgeShare   = 0.5
	// watchShare and pauseShare are the shares of the drain time that a watch of the engines and the pause after a change may take.
	watchShare = 1.0 / 6
	pauseShare = 0.25
)

// listConfirmedAt returns the boottime as of which this process's engine list is known to be current; zero if it never was.
type listConfirmedAt func() time.Time

// relayedListAge is for a gateway, which receives the list from the coordinator, a relay or the store.
func relayedListAge(relay *storerelay.Client) listConfirmedAt {
	return func() time.Time { return relay.ConfirmedAt(platform.KindEngines) }
}

// ownListAge is for a coordinator, which follows the store.
func ownListAge(followers *metastore.Followers) listConfirmedAt {
	return func() time.Time { return followers.ConfirmedAt(platform.KindEngines) }
}

// maxAges returns the MaxAge of the client of a gateway or relay.
func maxAges(config settings.Fleet, share float64) map[string]time.Duration {
	return map[string]time.Duration{platform.KindEngines: shareOf(config.Timing.DrainTime, share)}
}

func shareOf(whole time.Duration, share float64) time.Duration {
	return time.Duration(share * float64(whole))
}

// engineTiming returns how closely a process follows the engines in the store. A gateway that does so beside a hub reads them at intervals instead
// (storerelay.ClientParams.MaxAge).
func engineTiming(config settings.Fleet) platform.EngineTiming {
	return platform.EngineTiming{Wait: shareOf(config.Timing.DrainTime, watchShare), Pause: shareOf(config.Timing.DrainTime, pauseShare)}
}

// newTransport returns the transport of all requests to engines.
func newTransport(config settings.Fleet, state *fleet.State, engines *platform.Engines, confirmedAt listConfirmedAt, registry *prometheus.Registry,
	logger log.Logger) forward.Transport {
	registerConfirmedAge(registry, "engines", "engine list", confirmedAt)
	sends := prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace,
		Name:      "engine_sends_total",
		Help:      "Requests to engines, by what showed that the engine is ready; those with none were not sent.",
	}, []string{"evidence"})
	registry.MustRegister(sends)
	return sendguard.New(sendguard.Params{
		Next:            engines,
		State:           state,
		ListConfirmedAt: confirmedAt,
		AskReady:        engines.AskReady,
		MaxAge:          shareOf(config.Timing.DrainTime, sendAgeShare),
		Observe:         func(evidence sendguard.Evidence) { sends.WithLabelValues(string(evidence)).Inc() },
		Logger:          telemetry.For(logger, telemetry.PartForward),
	})
}
