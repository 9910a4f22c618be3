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
	// maxKeepers bounds a home.
	maxKeepers = 5
	// wantedKeepers is the number up to which nodes without a disk are taken in.
	wantedKeepers = 3
)

// home returns the keepers of the pool's claims, sorted by name: nodes in permitted zones of the region of the pool's
// first permitted zone, those with a disk first, chosen by rendezvous hashing. It is empty if the view does not know
// the pool or the region has no node.
func home(view *cluster.View, pool string, nodes []cluster.Node) []cluster.Node {
	known, ok := view.Pools[pool]
	if !ok || len(known.Spec.PermittedZones) == 0 {
		return nil
	}
	first := known.Spec.PermittedZones[0]
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
	chosen := highest(pool, disks, maxKeepers)
	chosen = append(chosen, highest(pool, others, max(0, wantedKeepers-len(chosen)))...)
	slices.SortFunc(chosen, func(a, b cluster.Node) int { return cmp.Compare(a.Name, b.Name) })
	return chosen
}

// sameRegion reports whether two zones are in one region. A zone without a resource is a region of its own.
func sameRegion(view *cluster.View, a, b string) bool {
	if a == b {
		return true
	}
	zoneA, okA := view.Zones[a]
	zoneB, okB := view.Zones[b]
	return okA && okB && zoneA.Spec.Region == zoneB.Spec.Region
}

// highest returns the count nodes with the highest scores for the pool.
func highest(pool string, nodes []cluster.Node, count int) []cluster.Node {
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

// formerHome is a set of keepers that was a pool's home until Until.
type formerHome struct {
	Members []string
	// Until is when this keeper last took it for the home; zero while it does.
	Until time.Time
}

// homeHistory remembers the homes of each pool, newest last, for as long as a claim granted by them may count.
type homeHistory map[string][]formerHome

// observe notes the pool's present home and reports whether the history changed.
func (h homeHistory) observe(now time.Time, pool string, members []string, keep time.Duration) bool {
	past := h[pool]
	if len(past) > 0 && slices.Equal(past[len(past)-1].Members, members) {
		return false
	}
	if len(past) > 0 {
		past[len(past)-1].Until = now
	}
	past = slices.DeleteFunc(past, func(f formerHome) bool { return !f.Until.IsZero() && now.Sub(f.Until) > keep })
	h[pool] = append(past, formerHome{Members: members})
	return true
}

// mayGrant reports whether every majority of the present home shares a keeper with every majority of each home that
// may have granted within keep.
func (h homeHistory) mayGrant(now time.Time, pool string, members []string, keep time.Duration) bool {
	for _, former := range h[pool] {
		recent := former.Until.IsZero() || now.Sub(former.Until) <= keep
		if recent && !majoritiesMeet(former.Members, members) {
			return false
		}
	}
	return true
}

// majoritiesMeet reports whether any majority of a shares a member with any majority of b. A set without members has
// granted nothing.
func majoritiesMeet(a, b []string) bool {
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

// clone returns a copy that later changes leave alone.
func (h homeHistory) clone() homeHistory {
	copied := make(homeHistory, len(h))
	for pool, past := range h {
		copied[pool] = slices.Clone(past)
	}
	return copied
}

// label returns the members as one string.
func label(members []cluster.Node) string { return strings.Join(names(members), ",") }
