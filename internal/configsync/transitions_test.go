package configsync

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/cluster"
	"github.com/covelink/covelink/internal/settings"
)

func TestLastTransitionTime(t *testing.T) {
	Convey("A condition tells when it took its status, and not when it was last looked at", t, func() {
		m := New(Params{Holder: cluster.NewHolder(), Timing: settings.Default().Timing, Logger: discard})
		now := time.Unix(100, 0)
		m.now = func() time.Time { return now }
		condition := func() v1.Condition {
			object, err := m.Get(t.Context(), v1.KindZone, "z")
			So(err, ShouldBeNil)
			conditions := object.ObjectStatus().Conditions
			So(conditions[1].Type, ShouldEqual, v1.ConditionInForce)
			So(conditions[1].LastTransitionTime, ShouldEqual, conditions[0].LastTransitionTime)
			return conditions[0]
		}
		offer := func(sequence uint64, acks map[string]uint64) {
			now = now.Add(time.Second)
			m.offerLocked(State{
				Version: Version{Token: 1, Sequence: sequence, Revision: 1},
				Objects: []v1.RawObject{rawZone("z", 1)},
				Acks:    acks,
			})
		}
		offer(1, nil)
		So(condition().Status, ShouldEqual, v1.ConditionFalse)
		So(condition().LastTransitionTime, ShouldEqual, time.Unix(101, 0).UTC())
		offer(2, nil)
		So(condition().LastTransitionTime, ShouldEqual, time.Unix(101, 0).UTC())
		offer(3, map[string]uint64{"z": 1})
		So(condition().Status, ShouldEqual, v1.ConditionTrue)
		So(condition().LastTransitionTime, ShouldEqual, time.Unix(103, 0).UTC())
	})
}
