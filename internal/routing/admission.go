package routing

import (
	"strings"

	"github.com/covelink/covelink/internal/tenants"
)

// Refusal is why a caller is not admitted, as used in logs; empty if it is admitted.
type Refusal string

// The refusals.
const (
	Admitted       Refusal = ""
	RefusedNoKey   Refusal = "no key"
	RefusedUnknown Refusal = "unknown key"
)

// noTenant is the tenant name of callers without a known key.
const noTenant = ""

// Admit returns the name of the tenant that holds the key; empty for none. Open routes also admit callers without a known key.
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

// JobsOpen reports whether a host has an open batch route, so that calls about batch jobs, which name no route, need no key. Whether the caller
// owns a job is checked by the process that holds it.
func (t *Table) JobsOpen(host string) bool {
	for _, route := range t.routes[strings.ToLower(host)] {
		if route.Kind == KindBatch && route.Open {
			return true
		}
	}
	return false
}

// Rank orders requests by the tenant's priority, then by the route's; the lowest is first.
type Rank struct {
	Tenant int
	Route  int
}

// Rank returns the rank of a tenant's requests on a route.
func (t *Table) Rank(route *Route, tenant string) Rank {
	return Rank{Tenant: t.directory().Priority(tenant), Route: route.Priority}
}

func (t *Table) directory() *tenants.Directory {
	if t == nil {
		return nil
	}
	return t.Tenants
}

// Compare returns a negative number if r precedes other, a positive one if other precedes r, and 0 if they are equal.
func (r Rank) Compare(other Rank) int {
	if r.Tenant != other.Tenant {
		return r.Tenant - other.Tenant
	}
	return r.Route - other.Route
}
