package batchrpc

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/batch"
)

func TestSubmitUntilAccepted(t *testing.T) {
	// play submits with attempts that return the listed errors; the last one repeats.
	play := func(ends ...error) (attempts int, took time.Duration, err error) {
		synctest.Test(t, func(t *testing.T) {
			began := time.Now()
			err = submitUntilAccepted(t.Context(), func(context.Context) error {
				end := ends[min(attempts, len(ends)-1)]
				attempts++
				return end
			})
			took = time.Since(began)
		})
		return attempts, took, err
	}
	Convey("A submission is retried until it is accepted", t, func() {
		attempts, took, err := play(errNotLeading, batch.ErrRefused, batch.ErrUnavailable, nil)
		So(err, ShouldBeNil)
		So(attempts, ShouldEqual, 4)
		So(took, ShouldEqual, 3*submitPause)
	})
	Convey("It is refused after a bounded time if no attempt can have been accepted", t, func() {
		_, took, err := play(errNotLeading, batch.ErrRefused)
		So(err, ShouldEqual, batch.ErrRefused)
		So(took, ShouldEqual, submitWait)
	})
	Convey("The outcome is unknown if any attempt may have been accepted", t, func() {
		_, _, err := play(batch.ErrUnavailable, batch.ErrRefused)
		So(err, ShouldEqual, batch.ErrUnavailable)
	})
}
