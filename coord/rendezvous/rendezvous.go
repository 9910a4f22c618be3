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

// scoreBits is the number of bits of a hash that a score is made from; they fit a float64.
const scoreBits = 52

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
	uniform := (float64(Mix(key, member.ID)>>(64-scoreBits)) + 0.5) / (1 << scoreBits)
	return -weightOf(member) / math.Log(uniform)
}

// Fraction returns a number from 0 to 1 that a key and a member's ID determine: those of many IDs are spread evenly, so that the members whose number is
// below a share are about that share of all, and a larger share has the members of a smaller one.
func Fraction(key, id uint64) float64 { return float64(Mix(key, id)) / math.MaxUint64 }

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
	sum := sumOf(members)
	if sum.uniform {
		return pickUniform(key, members, sum.bound(1, factor))
	}
	best := -1
	var bestScore float64
	for index, member := range members {
		if member.Load >= sum.bound(weightOf(member), factor) {
			continue
		}
		score := Score(key, member)
		if best < 0 || score > bestScore || (score == bestScore && member.ID < members[best].ID) {
			best, bestScore = index, score
		}
	}
	return best
}

// pickUniform picks among members of equal weight. Score grows with Mix, so the logarithm can be left out.
func pickUniform(key uint64, members []Member, bound int) int {
	best := -1
	var bestMix uint64
	for index := range members {
		if members[index].Load >= bound {
			continue
		}
		mixed := Mix(key, members[index].ID) >> (64 - scoreBits)
		if best < 0 || mixed > bestMix || (mixed == bestMix && members[index].ID < members[best].ID) {
			best, bestMix = index, mixed
		}
	}
	return best
}

// sums are what the bounds of a set of members follow from. Weights are relative to the first member's when uniform.
type sums struct {
	load    int
	weight  float64
	uniform bool
}

func sumOf(members []Member) sums {
	sum := sums{uniform: true}
	for index := range members {
		weight := weightOf(members[index])
		sum.load += members[index].Load
		sum.weight += weight
		sum.uniform = sum.uniform && weight == weightOf(members[0])
	}
	if sum.uniform {
		sum.weight = float64(len(members))
	}
	return sum
}

// bound returns the load that a member of the weight must stay below.
func (s *sums) bound(weight, factor float64) int {
	if factor <= 0 || s.weight == 0 {
		return math.MaxInt
	}
	return int(math.Ceil(factor * float64(s.load+1) * weight / s.weight))
}

func weightOf(member Member) float64 {
	if member.Weight <= 0 {
		return 1
	}
	return member.Weight
}
