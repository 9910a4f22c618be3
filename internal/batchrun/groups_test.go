package batchrun

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/batch"
)

func TestSpareGroups(t *testing.T) {
	running := func(seconds int) groupForecast { return groupForecast{timeLeft: time.Duration(seconds) * time.Second} }
	Convey("The longest groups beyond the desired number are spare", t, func() {
		spare, longest := spareGroups([]groupForecast{running(3), running(9), running(1), running(5)}, 2)
		So(spare, ShouldResemble, []bool{false, true, false, true})
		So(longest, ShouldEqual, 3*time.Second)
	})
	Convey("Finished groups count towards the desired number", t, func() {
		spare, longest := spareGroups([]groupForecast{{finished: true}, running(9), running(1), running(5)}, 2)
		So(spare, ShouldResemble, []bool{false, true, false, true})
		So(longest, ShouldEqual, time.Second)
	})
	Convey("Groups that are required are never spare, however long they take", t, func() {
		required := running(20)
		required.required = true
		spare, longest := spareGroups([]groupForecast{required, running(2), running(4)}, 2)
		So(spare, ShouldResemble, []bool{false, false, true})
		So(longest, ShouldEqual, 20*time.Second)
	})
	Convey("Restarted groups are spare before others", t, func() {
		renewed := running(1)
		renewed.renewed = true
		spare, _ := spareGroups([]groupForecast{renewed, running(9), running(2)}, 2)
		So(spare, ShouldResemble, []bool{true, false, false})
	})
	Convey("No group is spare if the trainer wants all, or more than there are", t, func() {
		for _, desired := range []int{2, 5} {
			spare, _ := spareGroups([]groupForecast{running(1), running(2)}, desired)
			So(spare, ShouldResemble, []bool{false, false})
		}
	})
	Convey("Once the desired number is finished all others are spare", t, func() {
		spare, longest := spareGroups([]groupForecast{{finished: true}, running(2), running(3)}, 1)
		So(spare, ShouldResemble, []bool{false, true, true})
		So(longest, ShouldEqual, time.Duration(0))
	})
}

func TestGroups(t *testing.T) {
	named := func(group string) *item { return &item{Item: batch.Item{Group: group}} }
	Convey("Items are divided by their group; an item without a group forms its own", t, func() {
		items := []*item{named("a"), named("b"), named("a"), named(""), named("")}
		groups := newGroups(items)
		So(groups, ShouldHaveLength, 4)
		So(groups[0].items, ShouldResemble, []*item{items[0], items[2]})
		So(items[3].group == items[4].group, ShouldBeFalse)
	})
	Convey("Groups that may be carried over come first, and are at most half of what the trainer wants", t, func() {
		j := &job{Job: batch.Job{Desired: 3}, groups: newGroups([]*item{named("a"), named("a"), named("b"), named("c"), named("d")})}
		j.assumeCarriedOver()
		var carried []bool
		for _, group := range j.groups {
			carried = append(carried, group.carriedOver())
		}
		So(carried, ShouldResemble, []bool{true, true, false, false})
	})
}
