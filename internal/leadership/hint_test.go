package leadership

import (
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/coord/lease"
	"github.com/covelink/covelink/internal/cluster"
	"github.com/covelink/covelink/internal/settings"
)

func TestWitness(t *testing.T) {
	Convey("Given a node that has heard of a holder", t, func() {
		const length = time.Second
		now := time.Unix(1000, 0)
		self := cluster.Node{Name: "n", Zone: "z"}
		e := New(Params{
			Self: self, Seeds: []cluster.Node{self, {Name: "h", Zone: "z"}}, Logger: log.NewNopLogger(),
			Timing: settings.Timing{LeaseLength: length}, Now: func() time.Time { return now },
		})
		e.sighted(e.now(), lease.Sighting{Name: "a", Holder: "h", Token: 7, Remaining: length / 2})
		known := e.hints["a"]
		Convey("a confirmation under its token makes it last a lease length from now", func() {
			now = now.Add(length / 4)
			e.Confirm("a", 7)
			So(known.until, ShouldEqual, length/4+length)
		})
		Convey("one under another token changes nothing", func() {
			e.Confirm("a", 6)
			So(known.until, ShouldEqual, length/2)
		})
		Convey("a doubt ends it, and a newer sighting counts again", func() {
			e.Doubt("a")
			So(known.until, ShouldEqual, 0)
			e.sighted(e.now(), lease.Sighting{Name: "a", Holder: "n", Token: 8, Remaining: length})
			So(known.holder, ShouldEqual, "n")
			So(known.until, ShouldEqual, length)
		})
	})
}
