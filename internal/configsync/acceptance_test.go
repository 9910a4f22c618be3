package configsync

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	v1 "github.com/covelink/covelink/api/v1"
)

func rawPool(version, zones string, former ...string) v1.RawObject {
	return v1.RawObject{
		Kind:     v1.KindPool,
		Metadata: v1.ObjectMeta{Name: "p", ResourceVersion: version, Generation: 1, FormerZones: former},
		Spec:     []byte(`{"model":"m","permittedZones":[` + zones + `]}`),
	}
}

func TestFormerZones(t *testing.T) {
	key := ObjectKey{Kind: v1.KindPool, Name: "p"}
	Convey("A pool taken from a zone is accepted only once that zone has acknowledged", t, func() {
		state := State{Objects: []v1.RawObject{rawPool("3", `"y","z"`)}, Acks: map[string]uint64{"y": 3, "z": 3}}
		state.refreshAccepted()
		So(state.Accepted[key], ShouldEqual, 3)
		next := PrepareUpdate(state, state.Objects[0], rawPool("3", `"y"`))
		So(next.Metadata.FormerZones, ShouldResemble, []string{"z"})
		So(next.Metadata.Generation, ShouldEqual, 2)
		next.Metadata.ResourceVersion = "4"
		state.Objects = []v1.RawObject{next}
		state.Acks = map[string]uint64{"y": 4, "z": 3}
		state.refreshAccepted()
		So(state.Accepted[key], ShouldEqual, 3)

		Convey("and a change on top of it, while it is pending, still waits for that zone", func() {
			again := PrepareUpdate(state, next, rawPool("4", `"x"`))
			So(again.Metadata.FormerZones, ShouldResemble, []string{"y", "z"})
		})
		Convey("and once it is accepted the zone is out of the next change's scope", func() {
			state.Acks = map[string]uint64{"y": 4, "z": 4}
			state.refreshAccepted()
			So(state.Accepted[key], ShouldEqual, 4)
			So(PrepareUpdate(state, next, rawPool("4", `"x"`)).Metadata.FormerZones, ShouldResemble, []string{"y"})
		})
	})
	Convey("An object written faster than its zones acknowledge is accepted up to what they have acknowledged", t, func() {
		state := State{Acks: map[string]uint64{"y": 7, "z": 6}, Objects: []v1.RawObject{rawPool("9", `"y","z"`)}}
		state.refreshAccepted()
		So(state.Accepted[key], ShouldEqual, 6)
	})
}
