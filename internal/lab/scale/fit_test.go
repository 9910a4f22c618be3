package scale

import (
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestFit(t *testing.T) {
	Convey("A line is found with the error of its slope", t, func() {
		// Worked out by hand: slope 2.5, squares of the residuals 1.5, squares of x 5, so the error is sqrt(1.5/2/5).
		fit, err := fitLine("q", []float64{1, 2, 3, 4}, []float64{1, 3, 7, 8}, 10)
		So(err, ShouldBeNil)
		So(fit.Slope, ShouldAlmostEqual, 2.5)
		So(fit.Intercept, ShouldAlmostEqual, -1.5)
		So(fit.AtTarget, ShouldAlmostEqual, 23.5)
		So(fit.SlopeError, ShouldAlmostEqual, 0.3872983, 1e-6)
	})

	Convey("Too few sizes, or one size only, give no line", t, func() {
		_, err := fitLine("q", []float64{1, 2}, []float64{1, 2}, 3)
		So(err, ShouldEqual, ErrFewSizes)
		_, err = fitLine("q", []float64{2, 2, 2}, []float64{1, 2, 3}, 3)
		So(err, ShouldEqual, ErrFewSizes)
		_, err = FitReports(nil, 3)
		So(err, ShouldEqual, ErrFewSizes)
	})

	Convey("Quantities that a report lacks are left out", t, func() {
		reports := []Report{{Nodes: 1}, {Nodes: 2}, {Nodes: 3, ConfigSeconds: []float64{1}}}
		fits, err := FitReports(reports, 3)
		So(err, ShouldBeNil)
		for _, fit := range fits {
			So(fit.Quantity, ShouldNotContainSubstring, "in force")
		}
	})
}

func TestParseMethods(t *testing.T) {
	Convey("Both directions of a method are added up, and other metrics are left out", t, func() {
		text := "# HELP covelink_rpc_bytes_total x\n" +
			`covelink_rpc_bytes_total{direction="sent",method="a.B"} 10` + "\n" +
			`covelink_rpc_bytes_total{direction="received",method="a.B"} 1e+01` + "\n" +
			`covelink_rpc_frames_total{direction="sent",method="a.B"} 3` + "\n"
		read, err := parseMethods(strings.NewReader(text))
		So(err, ShouldBeNil)
		So(read, ShouldResemble, methodBytes{"a.B": 20})
	})
}
