package fleet

import (
	"maps"
	"slices"
)

// Topology maps the zones of the deployment to their regions. It is immutable; the zero value has no zones.
type Topology struct {
	regions map[string]string
}

// NewTopology returns the Topology of a map from zones to regions.
func NewTopology(regions map[string]string) Topology { return Topology{regions: maps.Clone(regions)} }

// Region returns the region of a zone; empty for an unknown zone, which data bound to regions must not enter.
func (t Topology) Region(zone string) string { return t.regions[zone] }

// Zones returns the known zones, sorted.
func (t Topology) Zones() []string { return slices.Sorted(maps.Keys(t.regions)) }

// MultiRegion reports whether the known zones are in more than one region.
func (t Topology) MultiRegion() bool {
	first := ""
	for _, region := range t.regions {
		if first == "" {
			first = region
		}
		if region != first {
			return true
		}
	}
	return false
}
