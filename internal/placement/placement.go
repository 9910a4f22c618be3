// Package placement decides where a request may run at all: one pure filter over the state of the deployment, which every path that sends a
// request to an engine asks, lookups, reward calls and the items of batch jobs alike. Which of the permitted engines is best is for the
// caller to say.
//
// Guarantees: an engine that the filter permits is not leaving, its zone is known not to be evacuated, and its region is one of those that the
// request's route and its tenant allow. What is not known permits nothing.
package placement

import (
	"slices"
	"strings"

	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/routing"
)

// Reason is why an engine may not run a request, as logs and metrics tell it.
type Reason string

// The reasons.
const (
	// Permitted means that the engine may run the request.
	Permitted Reason = ""
	// EngineLeaving means that the engine is about to end.
	EngineLeaving Reason = "engine leaving"
	// ZoneEvacuated means that operators have asked that nothing be sent to the engine's zone.
	ZoneEvacuated Reason = "zone evacuated"
	// EvacuationsUnknown means that this process does not know yet which zones are evacuated.
	EvacuationsUnknown Reason = "evacuations unknown"
	// RegionNotAllowed means that the request's data may not go to the engine's region.
	RegionNotAllowed Reason = "region not allowed"
	// NoRegionAllowed means that no region of the deployment is allowed by both the route and the tenant: no engine may ever run the request
	// under this configuration.
	NoRegionAllowed Reason = "no region allowed"
)

// Residency is where the data of a request may be. The zero value sets no bound.
type Residency struct {
	// Route and Tenant are the regions that each allows; empty for all. Both bind.
	Route, Tenant []string
	// Accepted are sets of regions under which the data was accepted earlier; each binds beside the others.
	Accepted [][]string
}

// ResidencyOf returns the residency of a tenant's requests by a route of the table.
func ResidencyOf(table *routing.Table, route *routing.Route, tenant string) Residency {
	residency := Residency{Route: route.AllowedRegions}
	if table != nil && tenant != "" {
		residency.Tenant = table.Tenants.AllowedRegions(tenant)
	}
	return residency
}

// Key returns what two residencies have in common only if they allow the same regions; empty without a bound. No region's name contains
// one of the separators.
func (r Residency) Key() string {
	var key strings.Builder
	for _, set := range r.Sets() {
		key.WriteString(strings.Join(set, ","))
		key.WriteByte(';')
	}
	return key.String()
}

// Bounded reports whether the residency excludes any region.
func (r Residency) Bounded() bool {
	return len(r.Route) > 0 || len(r.Tenant) > 0 || slices.ContainsFunc(r.Accepted, func(set []string) bool { return len(set) > 0 })
}

// Allows reports whether the data may be in a region. An unknown region, the empty one, is allowed only without a bound.
func (r Residency) Allows(region string) bool {
	for _, accepted := range r.Accepted {
		if !allows(accepted, region) {
			return false
		}
	}
	return allows(r.Route, region) && allows(r.Tenant, region)
}

// Sets returns the sets of regions that bind, each of them.
func (r Residency) Sets() [][]string {
	var sets [][]string
	for _, set := range append([][]string{r.Route, r.Tenant}, r.Accepted...) {
		if len(set) > 0 {
			sets = append(sets, set)
		}
	}
	return sets
}

func allows(regions []string, region string) bool {
	return len(regions) == 0 || slices.Contains(regions, region)
}

// Regions returns the regions of the topology in which the data may be, in the order of their zones' names.
func (r Residency) Regions(topology fleet.Topology) []string {
	var regions []string
	for _, zone := range topology.Zones() {
		region := topology.Region(zone)
		if r.Allows(region) && !slices.Contains(regions, region) {
			regions = append(regions, region)
		}
	}
	return regions
}

// Filter answers for one request over one view of the deployment.
type Filter struct {
	view      *fleet.View
	residency Residency
}

// NewFilter returns the Filter of requests of a residency over a view.
func NewFilter(view *fleet.View, residency Residency) Filter {
	return Filter{view: view, residency: residency}
}

// Check tells whether an engine may run the request now.
func (f Filter) Check(engine *fleet.Engine) Reason {
	switch {
	case !engine.Ready:
		return EngineLeaving
	case f.view.Evacuations == nil:
		return EvacuationsUnknown
	case f.view.Evacuations.Include(engine.Zone):
		return ZoneEvacuated
	case f.residency.Bounded() && !f.residency.Allows(f.view.Topology.Region(engine.Zone)):
		return RegionNotAllowed
	}
	return Permitted
}

// Engines returns the engines of a service that may run the request now, in the order of their IDs. Without a bound on regions it takes no
// time for each engine. The result must not be changed.
func (f Filter) Engines(service string) []*fleet.Engine {
	open := f.view.Open(service)
	if !f.residency.Bounded() {
		return open
	}
	permitted := make([]*fleet.Engine, 0, len(open))
	for _, engine := range open {
		if f.residency.Allows(f.view.Topology.Region(engine.Zone)) {
			permitted = append(permitted, engine)
		}
	}
	return permitted
}

// Explain tells why Engines returns none for a service; Permitted if the service has no engine that is ready.
func (f Filter) Explain(service string) Reason {
	if f.residency.Bounded() && len(f.residency.Regions(f.view.Topology)) == 0 {
		return NoRegionAllowed
	}
	reason := Permitted
	for _, engine := range f.view.Ready(service) {
		reason = f.Check(engine)
		if reason == ZoneEvacuated && f.residency.Allows(f.view.Topology.Region(engine.Zone)) {
			// The request could run there once the zone is restored.
			return reason
		}
	}
	return reason
}
