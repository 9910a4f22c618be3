package batchrpc

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/batch"
)

func TestSubmitUntilTaken(t *testing.T) {
	// play submits with attempts that end as listed; the last holds for all after it.
	play := func(ends ...error) (err error, attempts int, took time.Duration) {
		synctest.Test(t, func(t *testing.T) {
			began := time.Now()
			err = submitUntilTaken(t.Context(), func(context.Context) error {
				end := ends[min(attempts, len(ends)-1)]
				attempts++
				return end
			})
			took = time.Since(began)
		})
		return err, attempts, took
	}
	Convey("A submission waits for a process that takes it", t, func() {
		err, attempts, took := play(errNotLeading, batch.ErrRefused, batch.ErrUnavailable, nil)
		So(err, ShouldBeNil)
		So(attempts, ShouldEqual, 4)
		So(took, ShouldEqual, 3*submitPause)
	})
	Convey("It is refused in the end, after a bounded time, if no attempt may have been taken", t, func() {
		err, _, took := play(errNotLeading, batch.ErrRefused)
		So(err, ShouldEqual, batch.ErrRefused)
		So(took, ShouldEqual, submitWait)
	})
	Convey("An attempt that may have been taken makes the outcome unknown, whatever comes after", t, func() {
		err, _, _ := play(batch.ErrUnavailable, batch.ErrRefused)
		So(err, ShouldEqual, batch.ErrUnavailable)
	})
}
