package rendezvous_test

import (
	"fmt"
	"math"
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/covelink/covelink/coord/rendezvous"
)

func members(count int) []rendezvous.Member {
	made := make([]rendezvous.Member, count)
	for index := range made {
		made[index].ID = rendezvous.Hash(fmt.Sprintf("member-%d", index))
	}
	return made
}

func TestRankMovesOnlyTheKeysOfALeavingMember(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := members(rapid.IntRange(2, 30).Draw(t, "members"))
		gone := rapid.IntRange(0, len(all)-1).Draw(t, "gone")
		key := rapid.Uint64().Draw(t, "key")
		rest := slices.Delete(slices.Clone(all), gone, gone+1)
		before := all[rendezvous.Rank(key, all, nil)[0]]
		after := rest[rendezvous.Rank(key, rest, nil)[0]]
		if before != all[gone] && before != after {
			t.Fatalf("key moved although its member stayed")
		}
	})
}

func TestPickKeepsLoadsBelowTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := members(rapid.IntRange(1, 20).Draw(t, "members"))
		keys := rapid.SliceOfN(rapid.Uint64Range(0, 3), 1, 200).Draw(t, "keys")
		const factor = 1.25
		for placed, key := range keys {
			index := rendezvous.Pick(key, all, factor)
			if index < 0 {
				t.Fatalf("no member below the bound")
			}
			all[index].Load++
			bound := int(math.Ceil(factor * float64(placed+1) / float64(len(all))))
			if all[index].Load > bound {
				t.Fatalf("load %d above the bound %d", all[index].Load, bound)
			}
		}
	})
}

func TestWeights(t *testing.T) {
	Convey("Keys spread in proportion to the weights, and Pick without a bound agrees with Rank", t, func() {
		all := members(3)
		all[0].Weight, all[1].Weight, all[2].Weight = 1, 2, 5
		counts := make([]int, len(all))
		var ranked []int
		const keys = 40000
		for key := range keys {
			hash := rendezvous.Hash(fmt.Sprint(key))
			ranked = rendezvous.Rank(hash, all, ranked)
			picked := rendezvous.Pick(hash, all, 0)
			if picked != ranked[0] {
				So(picked, ShouldEqual, ranked[0])
			}
			counts[picked]++
		}
		for index, member := range all {
			So(float64(counts[index])/keys, ShouldAlmostEqual, member.Weight/8, 0.02)
		}
	})
	Convey("There is nothing to pick among no members", t, func() {
		So(rendezvous.Pick(1, nil, 1.25), ShouldEqual, -1)
	})
}
