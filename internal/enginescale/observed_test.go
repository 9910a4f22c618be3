package enginescale

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestObservedLoad(t *testing.T) {
	start := time.Now()
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	Convey("The recent load is the mean of one step, once it was known for a while (guards against orders that follow each submitted job)", t, func() {
		var observed observedLoad
		for second, slots := range []float64{200, 90, 80, 70, 60, 95} {
			_, ok := observed.recent(at(second))
			So(ok, ShouldEqual, second >= 2)
			observed.add(at(second), slots)
		}
		recent, ok := observed.recent(at(5))
		So(ok, ShouldBeTrue)
		So(recent, ShouldEqual, 79)
		So(observed.peak(), ShouldEqual, 200)
	})
	Convey("The peak is that of the last minute (guards against a need that never falls, and against a history that grows)", t, func() {
		var observed observedLoad
		for second := range 200 {
			observed.add(at(second), float64(1000-second))
		}
		So(observed.peak(), ShouldEqual, 1000-139)
		So(len(observed.samples), ShouldEqual, 61)
	})
	Convey("The mean share of loads follows its samples by their time (guards against a share set by one burst of loads)", t, func() {
		var mean decayedMean
		So(mean.value(), ShouldEqual, 0)
		for second := range 120 {
			share := 0.0
			if second%4 == 0 {
				share = 1
			}
			mean.add(at(second), share, loadingDecay)
		}
		So(mean.value(), ShouldAlmostEqual, 0.25, 0.03)
	})
	Convey("The set holds engines from the start to the end of a load (guards against a share that only grows)", t, func() {
		loading := NewLoadingSet()
		loading.Set("a", true)
		So(loading.Contains("a"), ShouldBeTrue)
		loading.Set("a", false)
		So(loading.Contains("a"), ShouldBeFalse)
	})
}
