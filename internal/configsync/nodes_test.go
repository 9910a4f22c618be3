package configsync

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/cluster"
	"github.com/covelink/covelink/internal/leadership"
	"github.com/covelink/covelink/internal/settings"
)

func TestNodesThatAreNoLongerKnown(t *testing.T) {
	Convey("Given a node that knows another of its zone and one of another zone", t, func() {
		self := cluster.Node{Name: "a1", Zone: "a"}
		neighbour := cluster.Node{Name: "a2", Zone: "a"}
		seeds := []cluster.Node{self, neighbour, {Name: "b1", Zone: "b"}}
		now := time.Unix(1000, 0)
		m := New(Params{
			Self:    self,
			Seeds:   seeds,
			Elector: leadership.NewStatic("a1", seeds[:2], leadership.FixedElectorate(nil)),
			Holder:  cluster.NewHolder(),
			Timing:  settings.Default().Timing,
			Logger:  discard,
		})
		m.now = func() time.Time { return now }

		Convey("a node that is dropped may still hold a lease for a while", func() {
			m.SetNodes([]cluster.Node{self})
			So(m.zoneNodeNames(), ShouldContain, "a2")
			_, complete := m.informants()
			So(complete, ShouldBeFalse)
			now = now.Add(departedMemory)
			So(m.zoneNodeNames(), ShouldNotContain, "a2")
		})

		Convey("a zone of which no node is known is not forgotten", func() {
			m.SetNodes([]cluster.Node{self, neighbour})
			So(m.otherZones(), ShouldContainKey, "b")
		})
	})
}
