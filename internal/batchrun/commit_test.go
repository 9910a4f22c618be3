package batchrun

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/batch"
)

func TestUntilDue(t *testing.T) {
	began := time.Unix(1000, 0)
	Convey("Results wait for others of their job, for a bounded time from the first of them on", t, func() {
		j := &job{wake: make(chan struct{}, 1)}
		So(j.untilDue(began), ShouldEqual, time.Duration(0))
		j.addPending(batch.Result{ID: "a"}, false, began)
		So(j.untilDue(began), ShouldEqual, listingDelay)
		j.addPending(batch.Result{ID: "b"}, false, began.Add(listingDelay/2))
		So(j.untilDue(began.Add(listingDelay/2)), ShouldEqual, listingDelay/2)
		So(j.untilDue(began.Add(listingDelay)), ShouldBeLessThanOrEqualTo, 0)
		Convey("but not once one makes a group whole", func() {
			j.addPending(batch.Result{ID: "c"}, true, began.Add(time.Millisecond))
			So(j.untilDue(began.Add(time.Millisecond)), ShouldEqual, time.Duration(0))
		})
		Convey("nor once the job is to end", func() {
			j.ended = true
			So(j.untilDue(began), ShouldEqual, time.Duration(0))
		})
	})
}
