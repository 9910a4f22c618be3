// Package placement decides which engines may run a request. Its filter is a pure function of the deployment's state, used on every path to an
// engine: lookups, reward calls and items of batch jobs. The caller selects among the permitted engines.
//
// Guarantees: a permitted engine is not draining, its zone is known not to be evacuated, and its region is allowed by both the request's route
// and its tenant. If any of this is unknown, nothing is permitted.
package placement

import (
	"slices"
	"strings"

	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/routing"
)

// Reason is why an engine may not run a request, as used in logs and metrics.
type Reason string

// The reasons.
const (
	// Permitted means that the engine may run the request.
	Permitted Reason = ""
	// EngineDraining means that the engine accepts no new work before it ends.
	EngineDraining Reason = "engine leaving"
	// ZoneEvacuated means that operators have evacuated the engine's zone.
	ZoneEvacuated Reason = "zone evacuated"
	// EvacuationsUnknown means that this process has not yet received the list of evacuated zones.
	EvacuationsUnknown Reason = "evacuations unknown"
	// RegionNotAllowed means that the request's data may not be sent to the engine's region.
	RegionNotAllowed Reason = "region not allowed"
	// NoRegionAllowed means that no region of the deployment is allowed by both the route and the tenant: with this configuration no engine may
	// run the request.
	NoRegionAllowed Reason = "no region allowed"
)

// Residency restricts the regions that may hold a request's data. The zero value allows all.
type Residency struct {
	// Route and Tenant are the regions allowed by the route and by the tenant; empty for all. A region must be allowed by both.
	Route, Tenant []string
	// Accepted are the region sets in force when the data was accepted. A region must be allowed by each of them too.
	Accepted [][]string
}

// ResidencyOf returns the residency of a tenant's requests on a route of the table.
func ResidencyOf(table *routing.Table, route *routing.Route, tenant string) Residency {
	residency := Residency{Route: route.AllowedRegions}
	if table != nil && tenant != "" {
		residency.Tenant = table.Tenants.AllowedRegions(tenant)
	}
	return residency
}

// Key returns a map key: residencies with the same key allow the same regions. It is empty if all are allowed. Region names contain neither of
// its separators.
func (r Residency) Key() string {
	var key strings.Builder
	for _, set := range r.RegionSets() {
		key.WriteString(strings.Join(set, ","))
		key.WriteByte(';')
	}
	return key.String()
}

// Restricted reports whether the residency may exclude a region.
func (r Residency) Restricted() bool {
	return len(r.Route) > 0 || len(r.Tenant) > 0 || slices.ContainsFunc(r.Accepted, func(set []string) bool { return len(set) > 0 })
}

// Allows reports whether the data may be in a region. The empty name, for an unknown region, is allowed only if the residency is unrestricted.
func (r Residency) Allows(region string) bool {
	for _, accepted := range r.Accepted {
		if !allows(accepted, region) {
			return false
		}
	}
	return allows(r.Route, region) && allows(r.Tenant, region)
}

// RegionSets returns the region sets that restrict the residency. A region must be in all of them.
func (r Residency) RegionSets() [][]string {
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

// Regions returns the allowed regions of the topology, ordered by the names of their first zones.
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

// Filter determines which engines in a view of the deployment may run a request.
type Filter struct {
	view      *fleet.View
	residency Residency
}

// NewFilter returns the Filter of a view for requests with the given residency.
func NewFilter(view *fleet.View, residency Residency) Filter {
	return Filter{view: view, residency: residency}
}

// Check returns why an engine may not run the request now, or Permitted.
func (f Filter) Check(engine *fleet.Engine) Reason {
	switch {
	case !engine.Ready:
		return EngineDraining
	case f.view.Evacuations == nil:
		return EvacuationsUnknown
	case f.view.Evacuations.Contains(engine.Zone):
		return ZoneEvacuated
	case f.residency.Restricted() && !f.residency.Allows(f.view.Topology.Region(engine.Zone)):
		return RegionNotAllowed
	}
	return Permitted
}

// Engines returns the engines of a service that may run the request now, ordered by ID. It takes constant time if the residency is unrestricted.
// The result must not be modified.
func (f Filter) Engines(service string) []*fleet.Engine {
	open := f.view.Dispatchable(service)
	if !f.residency.Restricted() {
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

// Explain returns why Engines is empty for a service, or Permitted if the service has no ready engine.
func (f Filter) Explain(service string) Reason {
	if f.residency.Restricted() && len(f.residency.Regions(f.view.Topology)) == 0 {
		return NoRegionAllowed
	}
	reason := Permitted
	for _, engine := range f.view.Ready(service) {
		reason = f.Check(engine)
		if reason == ZoneEvacuated && f.residency.Allows(f.view.Topology.Region(engine.Zone)) {
			// Operators can resolve this reason by restoring the zone, so it takes precedence.
			return reason
		}
	}
	return reason
}
