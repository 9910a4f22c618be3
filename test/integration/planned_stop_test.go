package integration

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestPlannedStops stops each node in turn by SIGTERM under load and starts it again.
func TestPlannedStops(t *testing.T) {
	Convey("Planned stops of each node in turn cut off no request and lose no sample", t, func() {
		withSmall(t, func(r *run) {
			r.work()
			for number, name := range r.NodeNames() {
				r.waitDelivered(samples() * number / (len(r.NodeNames()) + 1))
				code, err := r.Node(name).Terminate(r.ctx)
				So(err, ShouldBeNil)
				So(code, ShouldEqual, 0)
				So(r.Node(name).Start(r.ctx), ShouldBeNil)
				So(r.WaitNodeReady(r.ctx, name), ShouldBeNil)
			}
			result := r.finish()
			So(result.Promises.Whole, ShouldEqual, samples())
			So(result.Promises.Unknown, ShouldEqual, 0)
		})
	})
}
