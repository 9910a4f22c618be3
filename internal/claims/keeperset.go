package claims

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/covelink/covelink/internal/cluster"
)

const (
	// maxKeepers bounds the keeper set of a pool.
	maxKeepers = 5
	// targetKeepers is the set size up to which nodes without a disk are added.
	targetKeepers = 3
)

// keeperSet returns the pool's keeper set, sorted by name: nodes in permitted zones of the region of the pool's first
// permitted zone, selected by rendezvous hashing, nodes with a disk preferred. It is empty if the pool is not in the
// view or the region has no eligible node.
func keeperSet(view *cluster.View, pool string, nodes []cluster.Node) []cluster.Node {
	resource, ok := view.Pools[pool]
	if !ok || len(resource.Spec.PermittedZones) == 0 {
		return nil
	}
	first := resource.Spec.PermittedZones[0]
	var disks, others []cluster.Node
	for _, node := range nodes {
		if !view.Permitted(pool, node.Zone) || !sameRegion(view, first, node.Zone) {
			continue
		}
		if node.HasDisk {
			disks = append(disks, node)
		} else {
			others = append(others, node)
		}
	}
	chosen := topScored(pool, disks, maxKeepers)
	chosen = append(chosen, topScored(pool, others, max(0, targetKeepers-len(chosen)))...)
	slices.SortFunc(chosen, func(a, b cluster.Node) int { return cmp.Compare(a.Name, b.Name) })
	return chosen
}

// sameRegion reports whether two zones are in the same region. A zone that the view does not define matches only itself.
func sameRegion(view *cluster.View, a, b string) bool {
	if a == b {
		return true
	}
	zoneA, okA := view.Zones[a]
	zoneB, okB := view.Zones[b]
	return okA && okB && zoneA.Spec.Region == zoneB.Spec.Region
}

// topScored sorts the nodes by descending score for the pool, in place, and returns the first count.
func topScored(pool string, nodes []cluster.Node, count int) []cluster.Node {
	slices.SortFunc(nodes, func(a, b cluster.Node) int {
		return cmp.Or(cmp.Compare(score(pool, b.Name), score(pool, a.Name)), cmp.Compare(a.Name, b.Name))
	})
	return nodes[:min(count, len(nodes))]
}

func score(pool, node string) uint64 { return xxhash.Sum64String(pool + "\x00" + node) }

func names(nodes []cluster.Node) []string {
	result := make([]string, 0, len(nodes))
	for _, node := range nodes {
		result = append(result, node.Name)
	}
	return result
}

// keeperSetPeriod is a present or former keeper set of a pool.
type keeperSetPeriod struct {
	Members []string
	// Until is when this keeper saw the set replaced; zero for the present set.
	Until time.Time
}

// keeperSetHistory holds the keeper sets of each pool, newest last, while claims that they granted may still be valid.
type keeperSetHistory map[string][]keeperSetPeriod

// record adds the pool's present keeper set if it changed and reports whether the history changed.
func (h keeperSetHistory) record(now time.Time, pool string, members []string, keep time.Duration) bool {
	past := h[pool]
	if len(past) > 0 && slices.Equal(past[len(past)-1].Members, members) {
		return false
	}
	if len(past) > 0 {
		past[len(past)-1].Until = now
	}
	past = slices.DeleteFunc(past, func(f keeperSetPeriod) bool { return !f.Until.IsZero() && now.Sub(f.Until) > keep })
	h[pool] = append(past, keeperSetPeriod{Members: members})
	return true
}

// mayGrant reports whether every majority of the present set intersects every majority of each set that was in use
// within keep.
func (h keeperSetHistory) mayGrant(now time.Time, pool string, members []string, keep time.Duration) bool {
	for _, former := range h[pool] {
		recent := former.Until.IsZero() || now.Sub(former.Until) <= keep
		if recent && !majoritiesIntersect(former.Members, members) {
			return false
		}
	}
	return true
}

// majoritiesIntersect reports whether every majority of a intersects every majority of b. An empty set has granted
// nothing, so it conflicts with no other.
func majoritiesIntersect(a, b []string) bool {
	if len(a) == 0 || len(b) == 0 {
		return true
	}
	union := len(a)
	for _, name := range b {
		if !slices.Contains(a, name) {
			union++
		}
	}
	return allGuards.majority(len(a))+allGuards.majority(len(b)) > union
}

// clone returns a copy that is safe to read while h is modified.
func (h keeperSetHistory) clone() keeperSetHistory {
	copied := make(keeperSetHistory, len(h))
	for pool, past := range h {
		copied[pool] = slices.Clone(past)
	}
	return copied
}

// joinNames returns the member names joined by commas.
func joinNames(members []cluster.Node) string { return strings.Join(names(members), ",") }
