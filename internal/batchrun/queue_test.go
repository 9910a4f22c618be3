package batchrun

import (
	"sort"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/routing"
)

func TestUrgency(t *testing.T) {
	now := time.Now()
	at := func(seconds int) time.Time { return now.Add(time.Duration(seconds) * time.Second) }
	Convey("Items are ordered by rank, then restarted items, then items that are waited for, then the least slack", t, func() {
		ordered := []urgency{
			{rank: routing.Rank{Route: 0}, latestStart: at(9)},
			{rank: routing.Rank{Route: 1}, renewed: true, spare: true, latestStart: at(7)},
			{rank: routing.Rank{Route: 1}, latestStart: at(1)},
			{rank: routing.Rank{Route: 1}, latestStart: at(2)},
			{rank: routing.Rank{Route: 1}, spare: true, latestStart: at(-3)},
			{rank: routing.Rank{Route: 1}, spare: true, latestStart: at(0)},
			{rank: routing.Rank{Route: 2}, latestStart: at(-9)},
		}
		shuffled := []urgency{ordered[4], ordered[6], ordered[2], ordered[0], ordered[5], ordered[3], ordered[1]}
		sort.SliceStable(shuffled, func(a, b int) bool { return shuffled[a].before(shuffled[b]) })
		So(shuffled, ShouldResemble, ordered)
		for _, u := range ordered {
			So(u.before(u), ShouldBeFalse)
		}
	})
}
