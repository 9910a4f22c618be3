package fleetnode

import (
	"time"

	"github.com/go-kit/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/covelink/covelink/internal/forward"
	"github.com/covelink/covelink/internal/metastore"
	"github.com/covelink/covelink/internal/sendguard"
	"github.com/covelink/covelink/internal/storerelay"
	"github.com/covelink/covelink/internal/telemetry"
	"github.com/covelink/covelink/platform"
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

// newTransport returns the transport of all requests to engines.
func newTransport(engines *platform.Engines, confirmedAt listConfirmedAt, registry *prometheus.Registry, logger log.Logger) forward.Transport {
	registerConfirmedAge(registry, "engines", "engine list", confirmedAt)
	return sendguard.New(sendguard.Params{Next: engines, ListConfirmedAt: confirmedAt, Logger: telemetry.For(logger, telemetry.PartForward)})
}
