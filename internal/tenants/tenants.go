// Package tenants holds whom a deployment serves: the tenants of one version of its configuration, each with a name, a priority and
// any number of keys. A Directory is never changed once it is built, so that a key which a newer version has withdrawn is unknown from
// the moment at which that version is in force.
package tenants

import (
	"maps"
	"slices"

	"github.com/covelink/covelink/internal/secretindex"
)

// Tenant is one customer of the deployment.
type Tenant struct {
	Name string
	// Priority is the rank of the tenant's requests, 0 first. It goes before that of their route.
	Priority int
	// AllowedRegions are the regions in which the tenant's requests may be served, cached and stored; empty for all.
	AllowedRegions []string
}

// Entry is a tenant with its keys, for a new Directory.
type Entry struct {
	Tenant
	Keys []string
}

// Directory finds tenants by key and by name. A nil Directory is that of a deployment without tenants.
type Directory struct {
	byKey  *secretindex.Index[*Tenant]
	byName map[string]*Tenant
	// keyHashes are the beginnings of the keys' hashes, by tenant.
	keyHashes map[string][]string
}

// NewDirectory returns a Directory. Of two tenants with one key or one name the first has it.
func NewDirectory(entries []Entry) *Directory {
	directory := &Directory{byKey: secretindex.New[*Tenant](), byName: make(map[string]*Tenant, len(entries)), keyHashes: make(map[string][]string, len(entries))}
	for _, entry := range entries {
		// A copy, which does not keep the entry's keys in memory.
		tenant := &Tenant{Name: entry.Name, Priority: entry.Priority, AllowedRegions: entry.AllowedRegions}
		if _, known := directory.byName[entry.Name]; !known {
			directory.byName[entry.Name] = tenant
		}
		for _, key := range entry.Keys {
			hash := secretindex.HashOf(key)
			if _, known := directory.byKey.At(hash); !known {
				directory.byKey.Put(hash, tenant)
				directory.keyHashes[entry.Name] = append(directory.keyHashes[entry.Name], hash.Short())
			}
		}
	}
	return directory
}

// Holder returns the tenant that holds a key; nil if nobody does.
func (d *Directory) Holder(key string) *Tenant {
	if d == nil {
		return nil
	}
	tenant, _ := d.byKey.Find(key)
	return tenant
}

// Priority returns the priority of the tenant of a name; 0 if there is none, as for requests without a tenant.
func (d *Directory) Priority(name string) int {
	if d == nil {
		return 0
	}
	if tenant := d.byName[name]; tenant != nil {
		return tenant.Priority
	}
	return 0
}

// AllowedRegions returns the AllowedRegions of the tenant of a name; none if the tenant is not known.
func (d *Directory) AllowedRegions(name string) []string {
	if d == nil {
		return nil
	}
	if tenant := d.byName[name]; tenant != nil {
		return tenant.AllowedRegions
	}
	return nil
}

// Bounds returns the AllowedRegions of each tenant that has any, in the order of the tenants' names.
func (d *Directory) Bounds() [][]string {
	if d == nil {
		return nil
	}
	var sets [][]string
	for _, name := range slices.Sorted(maps.Keys(d.byName)) {
		if regions := d.byName[name].AllowedRegions; len(regions) > 0 {
			sets = append(sets, regions)
		}
	}
	return sets
}

// Count returns the number of tenants.
func (d *Directory) Count() int {
	if d == nil {
		return 0
	}
	return len(d.byName)
}
