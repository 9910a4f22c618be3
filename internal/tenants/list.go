package tenants

import (
	"cmp"
	"slices"
)

// ListPath is where a process lists the tenants of the configuration in force, at the address that serves its metrics.
const ListPath = "/debug/tenants"

// List is what operators are told of tenants.
type List struct {
	// Config is the version of the configuration in force.
	Config  int64     `json:"config"`
	Tenants []Listing `json:"tenants"`
}

// Listing is a tenant as operators are told of it.
type Listing struct {
	Name     string `json:"name"`
	Priority int    `json:"priority"`
	// KeyHashes are the beginnings of the hashes of its keys, as logs tell them.
	KeyHashes []string `json:"keyHashes"`
}

// Listings returns the tenants in the order of their names.
func (d *Directory) Listings() []Listing {
	if d == nil {
		return nil
	}
	listings := make([]Listing, 0, len(d.byName))
	for _, tenant := range d.byName {
		listing := Listing{Name: tenant.Name, Priority: tenant.Priority, KeyHashes: slices.Clone(d.keyHashes[tenant.Name])}
		slices.Sort(listing.KeyHashes)
		listings = append(listings, listing)
	}
	slices.SortFunc(listings, func(a, b Listing) int { return cmp.Compare(a.Name, b.Name) })
	return listings
}
