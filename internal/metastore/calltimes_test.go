package metastore

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestCallTimes(t *testing.T) {
	Convey("The usual time of a call is the middle one of the last, which single slow calls don't change", t, func() {
		var times callTimes
		So(times.median(), ShouldEqual, 0)
		times.note(9 * time.Second)
		So(times.median(), ShouldEqual, 9*time.Second)
		for range maxCallTimes - 1 {
			times.note(7 * time.Millisecond)
		}
		So(times.median(), ShouldEqual, 7*time.Millisecond)
		for range maxCallTimes {
			times.note(47 * time.Millisecond)
		}
		So(times.median(), ShouldEqual, 47*time.Millisecond)
		So(len(times.taken), ShouldEqual, maxCallTimes)
	})
}

func TestCallTimesLeaveWatchesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		outage := NewOutage()
		Convey("Calls that were answered count with their time; watches and calls without an answer don't", t, func() {
			for _, err := range []error{nil, ErrNotFound, ErrUnknown} {
				end := outage.begin()
				time.Sleep(20 * time.Millisecond)
				end(err)
				outage.ended(outage.attention.now(), nil)
			}
			So(outage.CallTime(), ShouldEqual, 20*time.Millisecond)
			So(len(outage.times.taken), ShouldEqual, 2)
		})
	})
}
