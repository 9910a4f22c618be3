package scale

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestMeasureControl(t *testing.T) {
	Convey("Members settle and their traffic is counted the same way every time", t, func() {
		first, err := MeasureControl(24, 1)
		So(err, ShouldBeNil)
		So(first.Settled, ShouldBeTrue)
		So(first.Frames, ShouldBeGreaterThan, 0)
		again, err := MeasureControl(24, 1)
		So(err, ShouldBeNil)
		So(again.SentBytes, ShouldEqual, first.SentBytes)
		So(again.BusiestBytes, ShouldEqual, first.BusiestBytes)
	})

	Convey("Too few members for the zones are refused", t, func() {
		_, err := MeasureControl(3, 1)
		So(err, ShouldNotBeNil)
	})
}
