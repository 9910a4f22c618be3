// Package leadership elects holders of named leases, resolves the current holder, and runs work while this node holds a lease.
package leadership

import (
	"context"

	"github.com/covelink/covelink/internal/cluster"
)

// ZoneLease returns the name of the lease of a zone's coordinator.
func ZoneLease(zone string) string { return "zone/" + zone }

// TrainerLease returns the name of the lease of a trainer's batch owner.
func TrainerLease(trainer string) string { return "trainer/" + trainer }

// Term is one period in which this node holds a lease.
type Term struct {
	Name string
	// Token is the fencing token; a later term of the same name has a higher one.
	Token uint64
}

// Elector campaigns for leases and resolves their holders.
type Elector interface {
	// Holder returns the node that probably holds the lease. The result may be stale: the receiver must check its own term.
	Holder(name string) (cluster.Node, bool)
	// Campaign campaigns for the lease among the nodes of the zones until ctx ends. Each time this node wins, it calls lead
	// with a context that ends before another node can hold the lease, and campaigns again only after lead has returned.
	Campaign(ctx context.Context, name string, zones []string, lead func(ctx context.Context, term Term))
}

// HolderObserver is implemented by electors that update cached holders from their users' calls, which saves queries to voters.
type HolderObserver interface {
	// Confirm reports that the holder has just acted under the token.
	Confirm(name string, token uint64)
	// Invalidate reports that the cached holder did not reply, or replied that it is not the holder.
	Invalidate(name string)
}
