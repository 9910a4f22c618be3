package batchrun

import (
	"math"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestLengthModel(t *testing.T) {
	Convey("Estimates are corrected by completed texts", t, func() {
		m := newLengthModel()
		for range 200 {
			m.observe(1000, 10)
			m.observe(4000, 40)
		}
		So(m.remaining(2000, 0), ShouldAlmostEqual, 20, 1)
		So(m.remaining(3000, 10), ShouldAlmostEqual, 20, 2)
	})
	Convey("A text beyond its estimate is expected to grow further, but not beyond the longest completed text", t, func() {
		m := newLengthModel()
		for _, events := range []int{5, 10, 20, 40, 165} {
			m.observe(events*50, events)
		}
		previous := 0.0
		for _, produced := range []int{0, 10, 20, 60, 120} {
			expected := float64(produced) + m.remaining(500, produced)
			So(expected, ShouldBeGreaterThan, previous)
			So(expected, ShouldBeLessThanOrEqualTo, 165)
			previous = expected
		}
		So(m.remaining(500, 164), ShouldEqual, 1)
		So(m.remaining(500, 400), ShouldBeBetween, 0, 100)
	})
	Convey("Estimates that are all off by one factor keep their order and are corrected", t, func() {
		m := newLengthModel()
		for i := range 400 {
			events := 5 + i%60
			m.observe(events*150, events)
		}
		So(m.remaining(150*30, 0), ShouldAlmostEqual, 30, 3)
		So(m.remaining(150*60, 0), ShouldBeGreaterThan, m.remaining(150*30, 0))
	})
	Convey("Texts without an estimate are predicted from others without one; empty texts are ignored", t, func() {
		m := newLengthModel()
		m.observe(0, 0)
		for range 100 {
			m.observe(0, 12)
		}
		So(m.remaining(0, 0), ShouldBeBetween, 11, 25)
		for _, produced := range []int{0, 1, 1000, 100000} {
			So(math.IsNaN(m.remaining(0, produced)), ShouldBeFalse)
			So(m.remaining(0, produced), ShouldBeGreaterThanOrEqualTo, 1)
		}
	})
	// Guards against uncertain texts on slow engines, where they would end their job.
	Convey("The margin covers nine of ten texts, and is larger for uncertain ones", t, func() {
		m := newLengthModel()
		factors := []float64{0.5, 0.7, 0.85, 1, 1, 1.15, 1.3, 1.6, 0.9, 1.1}
		for range 50 {
			for _, factor := range factors {
				m.observe(1000, int(20*factor))
				m.observe(4000, int(80*factor))
			}
		}
		bound, longer := m.remainingAtMost(1000, 0), 0
		for _, factor := range factors {
			if 20*factor > bound {
				longer++
			}
		}
		So(longer, ShouldBeLessThanOrEqualTo, 1)
		So(bound, ShouldBeBetween, m.remaining(1000, 0), 2*m.remaining(1000, 0))
		So(m.remainingAtMost(0, 0)/m.remaining(0, 0), ShouldBeGreaterThan, bound/m.remaining(1000, 0))
	})
	Convey("The margin holds for texts in progress and beyond their estimate", t, func() {
		m := newLengthModel()
		for _, produced := range []int{0, 1, 20, 60, 1000, 100000} {
			for _, tokens := range []int{0, 500, 5000} {
				So(math.IsNaN(m.remainingAtMost(tokens, produced)), ShouldBeFalse)
				So(math.IsInf(m.remainingAtMost(tokens, produced), 0), ShouldBeFalse)
				So(m.remainingAtMost(tokens, produced), ShouldBeGreaterThanOrEqualTo, 1)
			}
		}
	})
}
