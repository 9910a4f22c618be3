package metastore_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/metastore"
	"github.com/covelink/covelink/internal/metastore/metastoretest"
)

func TestOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var fault atomic.Int32
		client := metastoretest.New().Client()
		client.Fault = func(string, string, bool) metastoretest.Fault { return metastoretest.Fault(fault.Load()) }
		outage := metastore.NewOutage()
		store := metastore.Watched(client, outage)
		call := func(timeout time.Duration) {
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			_, _ = store.Get(ctx, "kind", "name")
		}
		Convey("An outage lasts from the first of two calls in a row that were refused to the next that is answered", t, func() {
			So(outage.Length(), ShouldEqual, time.Duration(0))
			fault.Store(int32(metastoretest.Refused))
			call(time.Second)
			time.Sleep(time.Second)
			So(outage.Length(), ShouldEqual, time.Duration(0))
			call(time.Second)
			time.Sleep(time.Second)
			So(outage.Length(), ShouldEqual, 2*time.Second)
			So(outage.Served(), ShouldEqual, time.Duration(0))
			fault.Store(int32(metastoretest.None))
			call(time.Second)
			So(outage.Length(), ShouldEqual, time.Duration(0))
			time.Sleep(time.Second)
			So(outage.Served(), ShouldEqual, time.Second)
		})
		Convey("A call without an answer counts while it lasts", t, func() {
			fault.Store(int32(metastoretest.Silent))
			go call(3 * time.Second)
			time.Sleep(500 * time.Millisecond)
			So(outage.Length(), ShouldEqual, time.Duration(0))
			time.Sleep(time.Second)
			So(outage.Length(), ShouldEqual, 1500*time.Millisecond)
			time.Sleep(2 * time.Second)
			fault.Store(int32(metastoretest.None))
			call(time.Second)
			So(outage.Length(), ShouldEqual, time.Duration(0))
		})
		Convey("but not once the store has served a later one: the answer was lost, and never comes", t, func() {
			fault.Store(int32(metastoretest.Silent))
			go call(10 * time.Second)
			time.Sleep(500 * time.Millisecond)
			fault.Store(int32(metastoretest.None))
			for range 8 {
				time.Sleep(300 * time.Millisecond)
				call(time.Second)
				So(outage.Length(), ShouldEqual, time.Duration(0))
			}
			time.Sleep(time.Second)
			So(outage.Length(), ShouldEqual, time.Second)
			time.Sleep(10 * time.Second)
		})
	})
}
