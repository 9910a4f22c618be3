package leadership

import (
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/prometheus/client_golang/prometheus"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/boottime"
)

// A holder that is suspended compares its lease's deadline by a clock that went on: until now only its wall clock told it, which may have been
// set back meanwhile.
func TestClockOfSuspendedHolder(t *testing.T) {
	const slept = 10 * time.Second
	Convey("The clock by which leases are judged counts a suspension", t, func() {
		elector := New(Params{Logger: log.NewNopLogger(), Registerer: prometheus.NewRegistry()})
		before := elector.now()
		boottime.SimulateSuspension(slept)
		after := elector.now()
		So(after.Monotonic-before.Monotonic, ShouldBeGreaterThanOrEqualTo, slept)
		So(after.Wall.Sub(before.Wall), ShouldBeLessThan, slept)
	})
}
