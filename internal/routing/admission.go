package routing

import (
	"strings"

	"github.com/covelink/covelink/internal/tenants"
)

// Refusal is why a caller is not served, as logs tell it; empty if the caller is.
type Refusal string

// The refusals.
const (
	Admitted       Refusal = ""
	RefusedNoKey   Refusal = "no key"
	RefusedUnknown Refusal = "unknown key"
)

// noTenant is the name that stands for callers without a known key.
const noTenant = ""

// Admit tells on behalf of which tenant, by its name, a caller with a key is served; empty for none. What is open serves everybody, also
// callers whose key is not known.
func (t *Table) Admit(open bool, key string) (tenant string, refusal Refusal) {
	if t.Tenants == nil {
		return noTenant, Admitted
	}
	if holder := t.Tenants.Holder(key); holder != nil {
		return holder.Name, Admitted
	}
	switch {
	case open:
		return noTenant, Admitted
	case key == "":
		return noTenant, RefusedNoKey
	}
	return noTenant, RefusedUnknown
}

// JobsOpen reports whether calls about batch jobs, which name no route, are open at a host: if a batch route of it is. Whether a job is the
// caller's is for whoever holds the job to say.
func (t *Table) JobsOpen(host string) bool {
	for _, route := range t.routes[strings.ToLower(host)] {
		if route.Kind == KindBatch && route.Open {
			return true
		}
	}
	return false
}

// Rank is the place of requests in every order: the tenant's priority goes before the route's.
type Rank struct {
	Tenant int
	Route  int
}

// Rank returns the rank of a tenant's requests by a route.
func (t *Table) Rank(route *Route, tenant string) Rank {
	return Rank{Tenant: t.directory().Priority(tenant), Route: route.Priority}
}

func (t *Table) directory() *tenants.Directory {
	if t == nil {
		return nil
	}
	return t.Tenants
}

// Compare returns a negative number if r goes first, a positive one if other does, and 0 if neither does.
func (r Rank) Compare(other Rank) int {
	if r.Tenant != other.Tenant {
		return r.Tenant - other.Tenant
	}
	return r.Route - other.Route
}
