package cluster

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestServingAt(t *testing.T) {
	now := time.Now()
	Convey("A view serves until its lease ends, whether or not anyone has cleared the flag", t, func() {
		view := &View{Serving: true, ServingUntil: now.Add(time.Second)}
		So(view.ServingAt(now), ShouldBeTrue)
		So(view.ServingAt(now.Add(time.Second)), ShouldBeFalse)
		So(view.WhyNotServing(), ShouldEqual, reasonLapsed)
		So((&View{Serving: true}).ServingAt(now), ShouldBeTrue)
		So((&View{ServingUntil: now.Add(time.Second), NotServingReason: "no lease"}).ServingAt(now), ShouldBeFalse)
		So((&View{NotServingReason: "no lease"}).WhyNotServing(), ShouldEqual, "no lease")
	})
	Convey("A lease that goes on wakes nobody", t, func() {
		holder := NewHolder()
		before, changed := holder.Current(), holder.Changed()
		holder.Extend(now)
		So(holder.Current().ServingUntil, ShouldEqual, now)
		So(before.ServingUntil.IsZero(), ShouldBeTrue)
		So(holder.Changed(), ShouldEqual, changed)
	})
}
