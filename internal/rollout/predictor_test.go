package rollout

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestPredictorBoundsGroups(t *testing.T) {
	Convey("A predictor that has seen more groups than it remembers", t, func() {
		p := newPredictor()
		p.observeLength("first", 1000)
		p.observeLength("kept", 700)
		for index := range maxGroups - 1 {
			p.observeRunning("kept", index)
			p.observeLength(fmt.Sprint(index), 10)
		}
		Convey("holds maxGroups of them", func() {
			So(len(p.groups), ShouldEqual, maxGroups)
			So(p.recent.Len(), ShouldEqual, maxGroups)
		})
		Convey("has forgotten the one not observed for the longest time, which is as long as the others", func() {
			So(p.tried("first"), ShouldBeFalse)
			So(p.length("first", 5000), ShouldBeLessThan, 20)
		})
		Convey("still knows one that was observed since", func() {
			So(p.tried("kept"), ShouldBeTrue)
			So(p.length("kept", 5000), ShouldEqual, 700)
		})
	})
}
