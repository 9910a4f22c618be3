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

// A caller that is told that an end is not confirmed may not ask again, and the items would run on for good.
func TestEnderInsists(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var attempts atomic.Int32
		e := newEnder(func(context.Context, batch.Ref) error {
			if attempts.Add(1) < 5 {
				return batch.ErrUnavailable
			}
			return nil
		})
		defer e.close()
		Convey("A job's end is repeated until it is confirmed, once at a time, and not after that", t, func() {
			e.insist(batch.Ref{ID: "job"})
			e.insist(batch.Ref{ID: "job"})
			time.Sleep(3 * time.Second)
			So(attempts.Load(), ShouldEqual, 5)
			time.Sleep(time.Minute)
			So(attempts.Load(), ShouldEqual, 5)
		})
	})
	synctest.Test(t, func(t *testing.T) {
		var attempts atomic.Int32
		e := newEnder(func(context.Context, batch.Ref) error {
			attempts.Add(1)
			return batch.ErrNotFound
		})
		defer e.close()
		Convey("A job that does not exist is not asked for again", t, func() {
			e.insist(batch.Ref{ID: "job"})
			time.Sleep(time.Minute)
			So(attempts.Load(), ShouldEqual, 1)
		})
	})
}
