// Package placement decides which engines may run a request. Its filter is a pure function of the state of the deployment, and every path that
// sends a request to an engine uses it: lookups, reward calls and the items of batch jobs. The caller chooses among the permitted engines.
//
// Guarantees: an engine that the filter permits is not leaving, its zone is known not to be evacuated, and its region is allowed by both the
// request's route and its tenant. Where that is unknown, nothing is permitted.
package placement

import (
	"slices"
	"strings"

	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/routing"
)

// Reason is why an engine may not run a request. Its value stands in logs and metrics.
type Reason string

// The reasons.
const (
	// Permitted means that the engine may run the request.
	Permitted Reason = ""
	// EngineLeaving means that the engine takes no new work before it ends.
	EngineLeaving Reason = "engine leaving"
	// ZoneEvacuated means that operators have evacuated the engine's zone.
	ZoneEvacuated Reason = "zone evacuated"
	// EvacuationsUnknown means that this process does not know yet which zones are evacuated.
	EvacuationsUnknown Reason = "evacuations unknown"
	// RegionNotAllowed means that the request's data may not go to the engine's region.
	RegionNotAllowed Reason = "region not allowed"
	// NoRegionAllowed means that no region of the deployment is allowed by both the route and the tenant: under this configuration no engine may
	// run the request.
	NoRegionAllowed Reason = "no region allowed"
)

// Residency is in which regions the data of a request may be. The zero value allows all.
type Residency struct {
	// Route and Tenant are the regions that the route and the tenant allow; empty for all. A region must be allowed by both.
	Route, Tenant []string
	// Accepted are the sets of regions that were in force when the data was accepted. A region must be allowed by each of them too.
	Accepted [][]string
}

// ResidencyOf returns the residency of a tenant's requests that come by a route of the table.
func ResidencyOf(table *routing.Table, route *routing.Route, tenant string) Residency {
	residency := Residency{Route: route.AllowedRegions}
	if table != nil && tenant != "" {
		residency.Tenant = table.Tenants.AllowedRegions(tenant)
	}
	return residency
}

// Key returns a key for maps: two residencies with the same key allow the same regions. It is empty if all are allowed. Names of regions contain
// neither of its separators.
func (r Residency) Key() string {
	var key strings.Builder
	for _, set := range r.Sets() {
		key.WriteString(strings.Join(set, ","))
		key.WriteByte(';')
	}
	return key.String()
}

// Bounded reports whether the residency may exclude a region.
func (r Residency) Bounded() bool {
	return len(r.Route) > 0 || len(r.Tenant) > 0 || slices.ContainsFunc(r.Accepted, func(set []string) bool { return len(set) > 0 })
}

// Allows reports whether the data may be in a region. The empty name, for an unknown region, is allowed only if the residency is not bounded.
func (r Residency) Allows(region string) bool {
	for _, accepted := range r.Accepted {
		if !allows(accepted, region) {
			return false
		}
	}
	return allows(r.Route, region) && allows(r.Tenant, region)
}

// Sets returns the sets of regions that bound the residency. A region must be in all of them.
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

// Regions returns the regions of the topology in which the data may be, in the order of the names of their first zones.
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

// Filter tells which engines of one view of the deployment may run a request.
type Filter struct {
	view      *fleet.View
	residency Residency
}

// NewFilter returns the Filter of a view for requests of a residency.
func NewFilter(view *fleet.View, residency Residency) Filter {
	return Filter{view: view, residency: residency}
}

// Check returns why an engine may not run the request now, or Permitted.
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

// Engines returns the engines of a service that may run the request now, in the order of their IDs. If the residency is not bounded it takes
// constant time, however many engines there are. The result must not be changed.
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

// Explain returns why Engines is empty for a service, or Permitted if the service has no engine that is ready.
func (f Filter) Explain(service string) Reason {
	if f.residency.Bounded() && len(f.residency.Regions(f.view.Topology)) == 0 {
		return NoRegionAllowed
	}
	reason := Permitted
	for _, engine := range f.view.Ready(service) {
		reason = f.Check(engine)
		if reason == ZoneEvacuated && f.residency.Allows(f.view.Topology.Region(engine.Zone)) {
			// Operators can change this one by restoring the zone: it is the reason to tell.
			return reason
		}
	}
	return reason
}
