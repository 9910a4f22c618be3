package batchrpc

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/batch"
)

// A caller whose request to end a job is not confirmed may not retry; without retries here, the job would run on.
func TestEndRetrier(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var attempts atomic.Int32
		e := newEndRetrier(func(context.Context, batch.Ref) error {
			if attempts.Add(1) < 5 {
				return batch.ErrUnavailable
			}
			return nil
		})
		defer e.close()
		Convey("Ending a job is retried by one loop until it is confirmed, and not after that", t, func() {
			e.retry(batch.Ref{ID: "job"})
			e.retry(batch.Ref{ID: "job"})
			time.Sleep(3 * time.Second)
			So(attempts.Load(), ShouldEqual, 5)
			time.Sleep(time.Minute)
			So(attempts.Load(), ShouldEqual, 5)
		})
	})
	synctest.Test(t, func(t *testing.T) {
		var attempts atomic.Int32
		e := newEndRetrier(func(context.Context, batch.Ref) error {
			attempts.Add(1)
			return batch.ErrNotFound
		})
		defer e.close()
		Convey("Ending a job that does not exist is not retried", t, func() {
			e.retry(batch.Ref{ID: "job"})
			time.Sleep(time.Minute)
			So(attempts.Load(), ShouldEqual, 1)
		})
	})
}
