package fleetnode

import (
	"io"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/telemetry"
)

func TestCallTally(t *testing.T) {
	Convey("Calls are told by operation and kind, once, and jobs have no label of their own", t, func() {
		registry := telemetry.NewRegistry()
		observed := newMetrics(registry, fleet.NewState(), telemetry.NewAsyncWriter(io.Discard))
		observed.storeCalled("create", "batch-results.7c41e09b52d6a3f8", nil, 0)
		observed.storeCalled("create", "batch-results.8c41e09b52d6a3f8", nil, 0)
		observed.storeCalled("watch", "leases", nil, 0)
		total, counts := observed.tally.take()
		So(total, ShouldEqual, 3)
		So(counts, ShouldResemble, []string{"create_batch-results:2", "watch_leases:1"})
		total, _ = observed.tally.take()
		So(total, ShouldEqual, 0)
	})
}
