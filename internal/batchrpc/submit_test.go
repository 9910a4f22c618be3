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
	play := func(ends ...error) (attempts int, took time.Duration, err error) {
		synctest.Test(t, func(t *testing.T) {
			began := time.Now()
			err = submitUntilTaken(t.Context(), func(context.Context) error {
				end := ends[min(attempts, len(ends)-1)]
				attempts++
				return end
			})
			took = time.Since(began)
		})
		return attempts, took, err
	}
	Convey("A submission waits for a process that takes it", t, func() {
		attempts, took, err := play(errNotLeading, batch.ErrRefused, batch.ErrUnavailable, nil)
		So(err, ShouldBeNil)
		So(attempts, ShouldEqual, 4)
		So(took, ShouldEqual, 3*submitPause)
	})
	Convey("It is refused in the end, after a bounded time, if no attempt may have been taken", t, func() {
		_, took, err := play(errNotLeading, batch.ErrRefused)
		So(err, ShouldEqual, batch.ErrRefused)
		So(took, ShouldEqual, submitWait)
	})
	Convey("An attempt that may have been taken makes the outcome unknown, whatever comes after", t, func() {
		_, _, err := play(batch.ErrUnavailable, batch.ErrRefused)
		So(err, ShouldEqual, batch.ErrUnavailable)
	})
}
