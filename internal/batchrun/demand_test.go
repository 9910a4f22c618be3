package batchrun_test

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestDemandOfOpenJobs guards against loads by a demand that leaves out jobs whose items all run, or that takes an old job for a new step.
func TestDemandOfOpenJobs(t *testing.T) {
	runScenario(t, "The demand for a model tells the ages of the oldest and the newest open job and the version that open jobs require", func(h *harness) {
		So(h.runner.Demands()[model].NewestOpen, ShouldEqual, 0)
		job := newJob("first", 3)
		job.MinVersion = 2
		So(h.runner.Submit(context.Background(), job), ShouldBeNil)
		time.Sleep(5 * time.Second)
		So(h.runner.Submit(context.Background(), newJob("second", 3)), ShouldBeNil)
		time.Sleep(time.Millisecond)
		demand := h.runner.Demands()[model]
		So(demand.OldestOpen, ShouldBeBetweenOrEqual, 5*time.Second, 6*time.Second)
		So(demand.NewestOpen, ShouldBeBetweenOrEqual, time.Millisecond, time.Second)
		So(demand.OpenMinVersion, ShouldEqual, 2)
	})
}
