// Package rendezvous ranks members for a key by weighted rendezvous hashing (highest random weight), with an
// optional bound on each member's load.
//
// Every process that holds the same members ranks them the same way without talking to another. When a member
// leaves, only the keys that it ranked first for move; when one joins, it takes only its own share.
package rendezvous

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Member is one choice.
type Member struct {
	// ID is the hash of the member's name, from Hash.
	ID uint64
	// Weight is the member's share of the keys relative to the others. Zero or less means 1.
	Weight float64
	// Load is the member's present load, in the unit that Pick bounds; Rank ignores it.
	Load int
}

// Hash returns the hash of a name, for Member.ID and for keys.
func Hash(name string) uint64 {
	return xxhash.Sum64String(name)
}

// Mix returns a well spread hash of a key and a member's ID.
func Mix(key, id uint64) uint64 {
	mixed := key ^ (id * 0x9e3779b97f4a7c15)
	mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9
	mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111eb
	return mixed ^ (mixed >> 31)
}

// Score returns the member's score for the key; the highest score ranks first. It is positive.
func Score(key uint64, member Member) float64 {
	const bits = 53
	uniform := (float64(Mix(key, member.ID)>>(64-bits)) + 0.5) / (1 << bits)
	return -weightOf(member) / math.Log(uniform)
}

// Rank returns the indexes of the members in the order of their scores for the key, the highest first.
// It appends to into[:0], which may be nil. Members of the same score keep the order of their IDs.
func Rank(key uint64, members []Member, into []int) []int {
	into = into[:0]
	for index := range members {
		into = append(into, index)
	}
	slices.SortFunc(into, func(a, b int) int {
		if order := cmp.Compare(Score(key, members[b]), Score(key, members[a])); order != 0 {
			return order
		}
		return cmp.Compare(members[a].ID, members[b].ID)
	})
	return into
}

// Pick returns the index of the highest-ranked member whose load is below its bound, or -1 when there is no member.
// A member's bound is factor times its fair share of the total load with the new key counted in, rounded up; with
// factor > 1 some member is always below its bound. A factor of zero or less sets no bound. Pick does not allocate.
func Pick(key uint64, members []Member, factor float64) int {
	totalLoad, totalWeight := totals(members)
	best := -1
	var bestScore float64
	for index, member := range members {
		if factor > 0 && member.Load >= bound(member, factor, totalLoad, totalWeight) {
			continue
		}
		score := Score(key, member)
		if best < 0 || score > bestScore || (score == bestScore && member.ID < members[best].ID) {
			best, bestScore = index, score
		}
	}
	return best
}

func totals(members []Member) (load int, weight float64) {
	for _, member := range members {
		load += member.Load
		weight += weightOf(member)
	}
	return load, weight
}

func bound(member Member, factor float64, totalLoad int, totalWeight float64) int {
	return int(math.Ceil(factor * float64(totalLoad+1) * weightOf(member) / totalWeight))
}

func weightOf(member Member) float64 {
	if member.Weight <= 0 {
		return 1
	}
	return member.Weight
}
