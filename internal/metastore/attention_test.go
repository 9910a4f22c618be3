package metastore

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// A coordinator that took 820 to 884 ms to read a long answer on half of a core was asked by twenty candidates to yield, while the
// store served it.
func TestOutageOfBusyProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A call that waits while its process does not get to run is no outage, one that waits while it runs is", t, func() {
			outage := NewOutage()
			outage.attention.look()
			end := outage.begin()
			time.Sleep(5 * time.Second)
			So(outage.Length(), ShouldEqual, time.Duration(0))
			outage.attention.look()
			So(outage.Length(), ShouldEqual, time.Duration(0))
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			outage.Run(ctx)
			So(outage.Length(), ShouldBeBetween, 900*time.Millisecond, 1200*time.Millisecond)
			end(nil)
			So(outage.Length(), ShouldEqual, time.Duration(0))
		})
	})
}
