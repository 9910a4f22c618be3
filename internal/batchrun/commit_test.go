package batchrun

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/batch"
)

func TestUntilDue(t *testing.T) {
	began := time.Unix(1000, 0)
	Convey("Results wait for others of their job for at most maxBatchDelay from the first of them", t, func() {
		j := &job{commitWake: make(chan struct{}, 1)}
		So(j.untilDue(began), ShouldEqual, time.Duration(0))
		j.addPending(batch.Result{ID: "a"}, false, began)
		So(j.untilDue(began), ShouldEqual, maxBatchDelay)
		j.addPending(batch.Result{ID: "b"}, false, began.Add(maxBatchDelay/2))
		So(j.untilDue(began.Add(maxBatchDelay/2)), ShouldEqual, maxBatchDelay/2)
		So(j.untilDue(began.Add(maxBatchDelay)), ShouldBeLessThanOrEqualTo, 0)
		Convey("but not once one completes a group", func() {
			j.addPending(batch.Result{ID: "c"}, true, began.Add(time.Millisecond))
			So(j.untilDue(began.Add(time.Millisecond)), ShouldEqual, time.Duration(0))
		})
		Convey("nor once the end of the job was requested", func() {
			j.ended = true
			So(j.untilDue(began), ShouldEqual, time.Duration(0))
		})
	})
}
