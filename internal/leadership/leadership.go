// Package leadership tells which node holds a named lease and runs work while this node holds it.
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

// Elector is a node's part in the leases.
type Elector interface {
	// Holder returns the node believed to hold the lease. It is a hint: the node asked must check its own term.
	Holder(name string) (cluster.Node, bool)
	// Campaign takes part in the election of name among the nodes of the zones until ctx ends. Whenever this node wins, it
	// calls lead with a context that ends before another node can hold the lease; the next
	// campaign starts after lead has returned.
	Campaign(ctx context.Context, name string, zones []string, lead func(ctx context.Context, term Term))
}

// Witness is an Elector that takes in what its user learns of a holder, so that the voters need not be asked.
type Witness interface {
	// Confirm tells that the holder has just acted under the token.
	Confirm(name string, token uint64)
	// Doubt tells that the holder believed in has not answered, or not as the holder.
	Doubt(name string)
}
