package lease

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestSteadyState(t *testing.T) {
	Convey("With a working network each lease is acquired once and kept", t, func() {
		for _, voters := range []int{1, 2, 3, 5} {
			s := newSimulation(1, voters, "a", "b", "c").start()
			var events []Event
			s.trace = func(_ time.Duration, _ string, event Event) { events = append(events, event) }
			s.run(20 * simLength)
			So(s.failure, ShouldBeNil)
			So(len(events), ShouldEqual, 3)
			for _, name := range s.names {
				So(len(s.holders(name)), ShouldEqual, 1)
			}
		}
	})
}
