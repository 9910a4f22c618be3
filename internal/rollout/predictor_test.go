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
			p.observeRunning("kept")
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

func TestPredictorExpectsByRunningAttempts(t *testing.T) {
	Convey("Given groups whose answers differ more between than within them", t, func() {
		p := newPredictor()
		const limit = 4096
		for group := range 32 {
			for answer := range 4 {
				p.observeLength(fmt.Sprint("seen", group), (50+10*answer)*(1+group))
			}
		}
		p.observeRunning("g")
		before := p.another("g", nil, limit)
		Convey("the longer an attempt runs, the longer the rest is expected to be", func() {
			last := before
			for _, tokens := range []int{500, 1000, 2000, 4000} {
				next := p.another("g", []int{tokens}, limit)
				So(next, ShouldBeGreaterThan, last)
				last = next
			}
			So(last, ShouldBeLessThanOrEqualTo, limit)
		})
		Convey("also after one of the group has finished short", func() {
			p.observeLength("g", 300)
			short := p.another("g", nil, limit)
			So(short, ShouldBeLessThan, before)
			So(p.another("g", []int{3000}, limit), ShouldBeGreaterThan, short)
			So(p.another("g", []int{3000, 3000}, limit), ShouldBeGreaterThan, p.another("g", []int{3000}, limit))
		})
		Convey("finished answers decide once there are many", func() {
			for range 50 {
				p.observeLength("g", 300)
			}
			So(p.another("g", nil, limit), ShouldBeBetween, 250, 400)
		})
		Convey("a prediction never exceeds the limit and is never lost", func() {
			So(p.another("g", []int{1, 4096, 1 << 30}, 10), ShouldBeBetween, 0, 11)
			So(newPredictor().another("new", []int{7}, limit), ShouldEqual, limit)
		})
	})
}
