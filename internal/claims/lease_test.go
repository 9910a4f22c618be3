package claims

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/cluster"
)

// Guards against grants by the view of a lease that has ended, before a timer has cleared Serving.
func TestClaimAfterTheEndOfTheLease(t *testing.T) {
	Convey("A keeper grants, bootstraps and records nothing once its node's lease has ended, although its view still says that it serves", t, func() {
		w := newSimulation(func(int) int { return 1 }, faults{})
		k := w.keepers[0]
		message := claimMessage{Key: modelKey, ID: "claim-0", Members: names(keeperSet(w.source.Current(), testPool, w.seeds))}
		w.source.Update(func(view *cluster.View) *cluster.View {
			next := *view
			next.ServingUntil = w.clock.Now()
			return &next
		})
		So(w.source.Current().Serving, ShouldBeTrue)
		So(k.claim(message, "zone-1").Verdict, ShouldEqual, verdictNotServing)
		_, eligible := k.bootstrapPeers()
		So(eligible, ShouldBeFalse)
		k.recordKeeperSets(w.clock.Now(), w.source.Current())
		So(k.history, ShouldBeEmpty)
		w.source.Extend(w.clock.Now().Add(time.Second))
		So(k.claim(message, "zone-1").Verdict, ShouldNotEqual, verdictNotServing)
	})
}
