package fleetnode

import (
	"github.com/go-kit/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/covelink/covelink/internal/election"
	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/metastore"
	"github.com/covelink/covelink/internal/settings"
	"github.com/covelink/covelink/internal/storerelay"
	"github.com/covelink/covelink/internal/telemetry"
	"github.com/covelink/covelink/internal/zonestatus"
	"github.com/covelink/covelink/platform"
)

// newZoneStatus returns the Status of this process. It writes to the store only if the settings let zones be evacuated.
func newZoneStatus(config settings.Fleet, state *fleet.State, store metastore.Client, registry *prometheus.Registry,
	logger log.Logger) *zonestatus.Status {
	registry.MustRegister(newZoneMetrics(state))
	params := zonestatus.Params{Node: config.Node.Name, State: state, Logger: telemetry.For(logger, telemetry.PartFleet)}
	if config.Topology.EvacuateTime > 0 {
		params.Writer = platform.Evacuations{Store: store}
	}
	return zonestatus.New(params)
}

// tellCoordinator makes a gateway's zone list name the coordinating process.
func tellCoordinator(status *zonestatus.Status, watcher *election.Watcher) {
	status.SetSource(zonestatus.Source{Coordinator: func() zonestatus.Coordinator { return coordinatorOf(watcher) }})
}

// zoneSource returns what a process that may coordinate knows of zones beside its state.
func (c *coordinator) zoneSource(hub *storerelay.Hub) zonestatus.Source {
	return zonestatus.Source{
		Follows:     c.Leading,
		Coordinator: func() zonestatus.Coordinator { return coordinatorOf(c.elector.Watcher) },
		Spread: func() (storerelay.Propagation, bool) {
			return platform.SpreadOfEvacuations(hub), c.Leading()
		},
		Relays: func() []storerelay.RelayStatus { return hub.Relays(platform.KindConfig) },
	}
}

func coordinatorOf(watcher *election.Watcher) zonestatus.Coordinator {
	return zonestatus.Coordinator{Name: watcher.HolderName(), Address: watcher.Holder()}
}

// zoneMetrics exports the zones of the state. It implements prometheus.Collector.
type zoneMetrics struct {
	state                        *fleet.State
	evacuated, revision, engines *prometheus.Desc
}

// otherZones is the label of all zones that the settings do not name, so that the number of label values is bounded.
const otherZones = "other"

func newZoneMetrics(state *fleet.State) *zoneMetrics {
	return &zoneMetrics{
		state:     state,
		evacuated: newGaugeDesc("zones_evacuated", "Zones that are evacuated, as far as this process knows."),
		revision:  newGaugeDesc("evacuations_revision", "Revision of the evacuations that this process goes by; 0 for none."),
		engines:   newGaugeDesc("zone_engines", "Engines by zone; cold ones are also ready.", "zone", "state"),
	}
}

// Describe implements prometheus.Collector.
func (m *zoneMetrics) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- m.evacuated
	descriptions <- m.revision
	descriptions <- m.engines
}

// Collect implements prometheus.Collector.
func (m *zoneMetrics) Collect(metrics chan<- prometheus.Metric) {
	view := m.state.View()
	evacuated, revision := 0, int64(0)
	if view.Evacuations != nil {
		evacuated, revision = len(view.Evacuations.Zones()), view.Evacuations.Revision()
	}
	sendGauge(metrics, m.evacuated, float64(evacuated))
	sendGauge(metrics, m.revision, float64(revision))
	for name, zone := range boundedZones(view) {
		sendGauge(metrics, m.engines, float64(zone.Ready), name, "ready")
		sendGauge(metrics, m.engines, float64(zone.Leaving), name, "leaving")
		sendGauge(metrics, m.engines, float64(zone.Cold), name, "cold")
	}
}

// boundedZones returns the counts of the settings' zones by name, and the sum of all others as otherZones.
func boundedZones(view *fleet.View) map[string]zonestatus.Zone {
	byName := make(map[string]zonestatus.Zone)
	for _, zone := range zonestatus.ZonesOf(view) {
		name := zone.Name
		if zone.Region == "" {
			name = otherZones
		}
		sum := byName[name]
		sum.Ready += zone.Ready
		sum.Leaving += zone.Leaving
		sum.Cold += zone.Cold
		byName[name] = sum
	}
	return byName
}
