package ledgerlog

import (
	"slices"

	"github.com/covelink/covelink/coord/rendezvous"
	"github.com/covelink/covelink/internal/cluster"
)

// candidates returns the nodes of the zones in the order in which a new log takes them as replicas: those with a disk
// before those without, each zone once before any twice, and otherwise as rendezvous hashing ranks them.
func candidates(log string, nodes []cluster.Node, zones []string) []cluster.Node {
	nodes = slices.DeleteFunc(slices.Clone(nodes), func(node cluster.Node) bool { return !slices.Contains(zones, node.Zone) })
	members := make([]rendezvous.Member, len(nodes))
	for index, node := range nodes {
		members[index].ID = rendezvous.Hash(node.Name)
	}
	ranked := make([]cluster.Node, 0, len(nodes))
	for _, index := range rendezvous.Rank(rendezvous.Hash(log), members, nil) {
		ranked = append(ranked, nodes[index])
	}
	slices.SortStableFunc(ranked, func(a, b cluster.Node) int { return diskFirst(a) - diskFirst(b) })
	return spread(ranked)
}

func diskFirst(node cluster.Node) int {
	if node.HasDisk {
		return 0
	}
	return 1
}

// spread takes repeatedly the first node, of those as good by disk, whose zone was taken least.
func spread(ranked []cluster.Node) []cluster.Node {
	taken := make(map[string]int)
	ordered := make([]cluster.Node, 0, len(ranked))
	for len(ranked) > 0 {
		best := 0
		for index, node := range ranked {
			if node.HasDisk == ranked[0].HasDisk && taken[node.Zone] < taken[ranked[best].Zone] {
				best = index
			}
		}
		taken[ranked[best].Zone]++
		ordered = append(ordered, ranked[best])
		ranked = slices.Delete(ranked, best, best+1)
	}
	return ordered
}

// nodes returns this node, the seeds, and the nodes of the view, which overrule the others.
func (o *Opener) nodes() []cluster.Node {
	byName := map[string]cluster.Node{o.params.Self.Name: o.params.Self}
	for _, node := range slices.Concat(o.params.Seeds, o.params.Source.Current().Nodes) {
		byName[node.Name] = node
	}
	nodes := make([]cluster.Node, 0, len(byName))
	for _, node := range byName {
		nodes = append(nodes, node)
	}
	slices.SortFunc(nodes, func(a, b cluster.Node) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return nodes
}

// maySilent returns how many of the nodes may fail to answer before a log that nobody knows is created. A log has at
// least two replicas where there are two nodes, so that one silent node can't hide it where there are three.
func maySilent(nodes int) int {
	if nodes >= replicas {
		return 1
	}
	return 0
}
