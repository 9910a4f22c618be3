package boottime

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestSuspended(t *testing.T) {
	Convey("Sleeps add up from the first reading on; noise does not", t, func() {
		ahead := 3 * time.Hour
		c := newClock(func() (time.Duration, bool) { return ahead, true })
		So(c.suspended(), ShouldEqual, 0)
		ahead += 4 * time.Second
		So(c.suspended(), ShouldEqual, 4*time.Second)
		ahead += 20 * time.Millisecond
		So(c.suspended(), ShouldEqual, 4*time.Second)
		ahead -= 40 * time.Millisecond
		So(c.suspended(), ShouldEqual, 4*time.Second)
		ahead += time.Second
		So(c.suspended(), ShouldEqual, 4*time.Second+980*time.Millisecond)
	})
	Convey("Without such a clock there is no sleep", t, func() {
		c := newClock(func() (time.Duration, bool) { return 0, false })
		So(c.suspended(), ShouldEqual, 0)
	})
}

func BenchmarkNow(b *testing.B) {
	b.Run("time.Now", func(b *testing.B) {
		for b.Loop() {
			_ = time.Now()
		}
	})
	b.Run("boottime.Now", func(b *testing.B) {
		for b.Loop() {
			_ = Now()
		}
	})
}
