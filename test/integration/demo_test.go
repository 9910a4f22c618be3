package integration

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestDemo runs the demo with 96 samples in CI and 4,096 in the long form.
func TestDemo(t *testing.T) {
	Convey("The demo keeps every promise when each node and stand-in is a process of its own", t, func() {
		description, resources := exampleOf("moreton")
		withDeployment(t, description, resources, func(r *run) {
			r.work()
			result := r.finish()
			So(result.Promises.Whole, ShouldEqual, samples())
			So(result.Promises.Expected, ShouldEqual, samples())
			So(result.Promises.Unknown, ShouldEqual, 0)
			for _, load := range result.Loads {
				So(load.Report.Completed, ShouldBeGreaterThan, 0)
			}
		})
	})
}
