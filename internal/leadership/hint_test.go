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

func TestHolderObserver(t *testing.T) {
	Convey("Given a cached holder", t, func() {
		const length = time.Second
		now := time.Unix(1000, 0)
		self := cluster.Node{Name: "n", Zone: "z"}
		e := New(Params{
			Self: self, Seeds: []cluster.Node{self, {Name: "h", Zone: "z"}}, Logger: log.NewNopLogger(),
			Timing: settings.Timing{LeaseLength: length}, Now: func() time.Time { return now },
		})
		e.applySighting(e.now(), lease.Sighting{Name: "a", Holder: "h", Token: 7, Remaining: length / 2})
		cached := e.hints["a"]
		Convey("a confirmation with the same token extends it to a lease length from now", func() {
			now = now.Add(length / 4)
			e.Confirm("a", 7)
			So(cached.expires, ShouldEqual, length/4+length)
		})
		Convey("a confirmation with another token is ignored", func() {
			e.Confirm("a", 6)
			So(cached.expires, ShouldEqual, length/2)
		})
		Convey("an invalidation expires it, and a newer sighting replaces it", func() {
			e.Invalidate("a")
			So(cached.expires, ShouldEqual, 0)
			e.applySighting(e.now(), lease.Sighting{Name: "a", Holder: "n", Token: 8, Remaining: length})
			So(cached.holder, ShouldEqual, "n")
			So(cached.expires, ShouldEqual, length)
		})
	})
}
