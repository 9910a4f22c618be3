package voterset

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestSet(t *testing.T) {
	Convey("A set of one is ordinary, and sets follow one another by one member", t, func() {
		one := New(1, "a")
		So(one.Majority(), ShouldEqual, 1)
		two := one.With("b")
		So(two, ShouldResemble, New(2, "b", "a"))
		So(two.Majority(), ShouldEqual, 2)
		So(one.CheckNext(two), ShouldBeNil)
		So(two.CheckNext(two.Without("a")), ShouldBeNil)
	})
	Convey("Other successors are refused", t, func() {
		set := New(4, "a", "b")
		So(set.CheckNext(New(6, "a")), ShouldWrap, ErrNotNext)
		So(set.CheckNext(New(4, "a")), ShouldWrap, ErrNotNext)
		So(set.CheckNext(New(5)), ShouldWrap, ErrEmpty)
		So(set.CheckNext(New(5, "a", "c")), ShouldWrap, ErrNotOneMember)
		So(set.CheckNext(New(5, "a", "b")), ShouldWrap, ErrNotOneMember)
	})
}
