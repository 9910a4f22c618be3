package leadership

import (
	"context"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/covelink/covelink/internal/cluster"
)

// staticToken is the fencing token of every term of a Static elector.
const staticToken = 1

// Static is an Elector over a fixed list of nodes. The holder is the node of the zones that ranks highest by rendezvous
// hashing. There is no failover, so it is only for single-node deployments and tests.
type Static struct {
	self  string
	nodes []cluster.Node
	zones Electorate
}

// Electorate returns the zones whose nodes may hold the lease of a name; none means every zone.
type Electorate func(name string) []string

// FixedElectorate returns an Electorate backed by a map from lease names to zones.
func FixedElectorate(zones map[string][]string) Electorate {
	return func(name string) []string { return zones[name] }
}

// NewStatic returns the elector of the node self. Holder uses zones to find the electorate of a lease.
func NewStatic(self string, nodes []cluster.Node, zones Electorate) *Static {
	return &Static{self: self, nodes: nodes, zones: zones}
}

// Holder implements Elector. A lease without an electorate may be held by any node.
func (s *Static) Holder(name string) (cluster.Node, bool) {
	return s.highest(name, s.zones(name))
}

// Campaign implements Elector.
func (s *Static) Campaign(ctx context.Context, name string, zones []string, lead func(ctx context.Context, term Term)) {
	holder, ok := s.highest(name, zones)
	if ok && holder.Name == s.self {
		lead(ctx, Term{Name: name, Token: staticToken})
	}
	<-ctx.Done()
}

func (s *Static) highest(name string, zones []string) (best cluster.Node, found bool) {
	var bestScore uint64
	for _, node := range s.nodes {
		if len(zones) > 0 && !slices.Contains(zones, node.Zone) {
			continue
		}
		score := xxhash.Sum64String(name + "\x00" + node.Name)
		if !found || score > bestScore {
			best, bestScore, found = node, score, true
		}
	}
	return best, found
}
