package leadership

import (
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/prometheus/client_golang/prometheus"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/boottime"
)

// Guards against a suspended holder that outlives its lease because its monotonic clock stopped and its wall clock was set
// back.
func TestClockAdvancesDuringSuspension(t *testing.T) {
	const slept = 10 * time.Second
	Convey("The elector's monotonic clock advances during a suspension", t, func() {
		elector := New(Params{Logger: log.NewNopLogger(), Registerer: prometheus.NewRegistry()})
		before := elector.now()
		boottime.SimulateSuspension(slept)
		after := elector.now()
		So(after.Monotonic-before.Monotonic, ShouldBeGreaterThanOrEqualTo, slept)
		So(after.Wall.Sub(before.Wall), ShouldBeLessThan, slept)
	})
}
