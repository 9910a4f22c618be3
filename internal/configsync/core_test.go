package configsync

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/cluster"
	"github.com/covelink/covelink/internal/objectapi"
)

const testLease = 3 * time.Second

var testStart = time.Unix(1000, 0)

func rawZone(name string, revision uint64) v1.RawObject {
	return v1.RawObject{
		Kind:     v1.KindZone,
		Metadata: v1.ObjectMeta{Name: name, ResourceVersion: objectapi.FormatRevision(revision), Generation: 1},
		Spec:     []byte(`{"region":"r"}`),
	}
}

func at(token, sequence, revision uint64) State {
	return State{Version: Version{Token: token, Sequence: sequence, Revision: revision}}
}

// beat sends the heartbeat of a node that applies the revision.
func beat(c *Coordinator, node string, revision uint64, now time.Time) Grant {
	return c.Heartbeat(NodeReport{Node: node, Incarnation: node, Applied: Version{Revision: revision}}, now)
}

func TestReplica(t *testing.T) {
	Convey("Given a replica at token 2, sequence 5, revision 10", t, func() {
		var replica Replica
		So(replica.Offer(at(2, 5, 10)), ShouldBeTrue)

		Convey("it refuses a lower token, a lower revision and an older sequence", func() {
			So(replica.Offer(at(1, 9, 20)), ShouldBeFalse)
			So(replica.Offer(at(3, 1, 9)), ShouldBeFalse)
			So(replica.Offer(at(2, 4, 10)), ShouldBeFalse)
			So(replica.State().Revision, ShouldEqual, 10)
		})

		Convey("it takes a new term at the same revision and keeps what it knew of acknowledgements", func() {
			So(replica.Offer(State{Version: Version{2, 6, 10}, Acks: map[string]uint64{"z": 10}}), ShouldBeTrue)
			So(replica.Offer(State{Version: Version{3, 1, 10}, Acks: map[string]uint64{"z": 8}}), ShouldBeTrue)
			So(replica.State().Acks["z"], ShouldEqual, 10)
		})

		Convey("it serves exactly as long as its lease, counted from before it asked", func() {
			serving, reason := replica.Serving(testStart)
			So(serving, ShouldBeFalse)
			So(reason, ShouldEqual, reasonNoLease)
			So(replica.Renew(2, testStart, testLease), ShouldBeTrue)
			serving, _ = replica.Serving(testStart.Add(testLease - 1))
			So(serving, ShouldBeTrue)
			serving, reason = replica.Serving(testStart.Add(testLease))
			So(serving, ShouldBeFalse)
			So(reason, ShouldEqual, reasonLeaseExpired)
		})

		Convey("a superseded coordinator renews nothing", func() {
			So(replica.Renew(3, testStart, testLease), ShouldBeTrue)
			So(replica.Renew(2, testStart.Add(time.Second), testLease), ShouldBeFalse)
			So(replica.Offer(at(2, 6, 11)), ShouldBeFalse)
		})
	})
}

func TestReplicaNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var replica Replica
		steps := rapid.IntRange(1, 50).Draw(t, "steps")
		for range steps {
			before := replica.State().Version
			offered := at(
				rapid.Uint64Range(1, 4).Draw(t, "token"),
				rapid.Uint64Range(1, 8).Draw(t, "sequence"),
				rapid.Uint64Range(1, 8).Draw(t, "revision"),
			)
			replica.Offer(offered)
			if after := replica.State().Version; !after.Covers(before) {
				t.Fatalf("went from %+v to %+v", before, after)
			}
		}
	})
}

func TestCoordinatorLeases(t *testing.T) {
	Convey("Given the term of a zone with nodes a and b at revision 5", t, func() {
		held := at(1, 7, 5)
		held.Objects = []v1.RawObject{rawZone("z", 5)}
		c := NewCoordinator("z", 2, held, testStart, testLease)
		c.SetNodes([]string{"a", "b"})

		Convey("no lease is granted until it is informed or earlier leases have lapsed", func() {
			So(beat(c, "a", 5, testStart).Granted, ShouldBeFalse)
			So(beat(c, "a", 5, testStart.Add(testLease)).Granted, ShouldBeTrue)
		})

		Convey("when informed", func() {
			c.SetInformed()

			Convey("a starting node gets a lease only at the newest revision", func() {
				grant := beat(c, "a", 4, testStart)
				So(grant.Granted, ShouldBeFalse)
				So(grant.Version.Revision, ShouldEqual, 5)
				So(beat(c, "a", 5, testStart).Granted, ShouldBeTrue)
			})

			Convey("a lease of an earlier term does not let a node in below the newest revision", func() {
				So(beat(c, "a", 4, testStart).Granted, ShouldBeFalse)
				So(beat(c, "a", 4, testStart).Granted, ShouldBeFalse)
			})

			Convey("a node that restarts, or whose lease lapsed, needs the newest revision, not just the acknowledged one", func() {
				beat(c, "a", 5, testStart)
				beat(c, "b", 5, testStart)
				c.ApplyResources([]v1.RawObject{rawZone("z", 6)}, 6, testStart)
				So(beat(c, "a", 5, testStart).Granted, ShouldBeTrue)
				restarted := NodeReport{Node: "a", Incarnation: "a again", Applied: Version{Revision: 5}}
				So(c.Heartbeat(restarted, testStart).Granted, ShouldBeFalse)
				So(beat(c, "b", 5, testStart.Add(testLease)).Granted, ShouldBeFalse)
			})

			Convey("a silent node holds the acknowledgement back until its lease must have lapsed", func() {
				beat(c, "a", 5, testStart)
				So(c.State().Acks["z"], ShouldEqual, 0)
				later := testStart.Add(testLease - time.Nanosecond)
				beat(c, "a", 5, later)
				So(c.State().Acks["z"], ShouldEqual, 0)
				c.Tick(later.Add(time.Nanosecond))
				So(c.State().Acks["z"], ShouldEqual, 5)
			})

			Convey("the acknowledgement is the lowest revision among leased nodes", func() {
				beat(c, "a", 5, testStart)
				beat(c, "b", 5, testStart)
				So(c.State().Acks["z"], ShouldEqual, 5)
				c.ApplyResources([]v1.RawObject{rawZone("z", 6)}, 6, testStart)
				beat(c, "a", 6, testStart)
				So(c.State().Acks["z"], ShouldEqual, 5)
				c.Acknowledge(NodeReport{Node: "b", Incarnation: "another start", Applied: Version{Revision: 6}}, testStart)
				So(c.State().Acks["z"], ShouldEqual, 5)
				c.Acknowledge(NodeReport{Node: "b", Incarnation: "b", Applied: Version{Revision: 6}}, testStart)
				So(c.State().Acks["z"], ShouldEqual, 6)
			})

			Convey("a node that lapsed below the acknowledgement is not renewed until it has caught up", func() {
				beat(c, "a", 5, testStart)
				beat(c, "b", 5, testStart)
				c.ApplyResources([]v1.RawObject{rawZone("z", 6)}, 6, testStart)
				later := testStart.Add(testLease)
				beat(c, "a", 6, later)
				So(c.State().Acks["z"], ShouldEqual, 6)
				So(beat(c, "b", 5, later).Granted, ShouldBeFalse)
				So(beat(c, "b", 6, later).Granted, ShouldBeTrue)
			})
		})
	})
}

func TestCoordinatorSpread(t *testing.T) {
	Convey("Given a coordinator of a zone", t, func() {
		c := NewCoordinator("z", 1, State{}, testStart, testLease)

		Convey("its resource revision never goes back, whatever the store or others say", func() {
			So(c.ApplyResources(nil, 9, testStart), ShouldBeTrue)
			So(c.ApplyResources([]v1.RawObject{rawZone("z", 4)}, 4, testStart), ShouldBeFalse)
			c.Adopt(at(1, 1, 8), testStart)
			So(c.State().Revision, ShouldEqual, 9)
			c.Adopt(at(1, 1, 12), testStart)
			So(c.State().Revision, ShouldEqual, 12)
		})

		Convey("its engines supersede those of an earlier start under the same token", func() {
			fresh := []cluster.Engine{{Name: "fresh"}}
			c.SetEngines(fresh, testStart)
			old := map[string]Inventory{
				"z": {Token: 1, Sequence: 40, Engines: []cluster.Engine{{Name: "old"}}},
				"y": {Token: 1, Sequence: 1, Engines: []cluster.Engine{{Name: "other"}}},
			}
			c.Merge(Report{Inventories: old}, testStart)
			So(c.State().Inventories["z"].Engines, ShouldResemble, fresh)
			So(c.State().Inventories["z"].Sequence, ShouldBeGreaterThan, 40)
			So(c.State().Inventories["y"].Engines[0].Name, ShouldEqual, "other")
		})

		Convey("it outruns the sequence a node holds from an earlier start, so that the node takes its state", func() {
			c.SetInformed()
			c.ApplyResources(nil, 3, testStart)
			var replica Replica
			So(replica.Offer(at(1, 50, 3)), ShouldBeTrue)
			c.Heartbeat(NodeReport{Node: "n", Incarnation: "n", Applied: replica.State().Version}, testStart)
			So(replica.Offer(c.State()), ShouldBeTrue)
		})

		Convey("a report that brings nothing new changes nothing", func() {
			c.ApplyResources([]v1.RawObject{rawZone("z", 3)}, 3, testStart)
			report := Report{Acks: map[string]uint64{"y": 3}, Accepted: map[ObjectKey]uint64{{v1.KindZone, "gone"}: 2}}
			c.Merge(report, testStart)
			before := c.State().Version
			c.Merge(report, testStart)
			So(c.State().Version, ShouldResemble, before)
		})
	})
}

func TestConditions(t *testing.T) {
	Convey("Given zones y and z, and a pool permitted in z", t, func() {
		pool := v1.RawObject{
			Kind:     v1.KindPool,
			Metadata: v1.ObjectMeta{Name: "p", ResourceVersion: "3", Generation: 1},
			Spec:     []byte(`{"model":"m","permittedZones":["z"]}`),
		}
		state := State{
			Version: Version{Revision: 3},
			Objects: []v1.RawObject{pool, rawZone("y", 1), rawZone("z", 2)},
			Acks:    map[string]uint64{"y": 1, "z": 3},
		}
		condition := func(kind v1.Kind, name string) v1.Condition {
			state.refreshAccepted()
			seen := observation{state: state, index: state.indexed()}
			for _, object := range seen.read(kind) {
				if object.Meta().Name == name {
					return object.ObjectStatus().Conditions[0]
				}
			}
			return v1.Condition{}
		}

		Convey("only the zones in scope count, and a pending condition names those missing", func() {
			So(condition(v1.KindPool, "p").Status, ShouldEqual, v1.ConditionTrue)
			So(condition(v1.KindZone, "y").Status, ShouldEqual, v1.ConditionTrue)
			pending := condition(v1.KindZone, "z")
			So(pending.Status, ShouldEqual, v1.ConditionFalse)
			So(pending.Reason, ShouldEqual, "Pending")
			So(pending.Message, ShouldEndWith, ": y")
		})

		Convey("a trainer of a pool that does not exist waits for every zone", func() {
			state.Objects = append(state.Objects, v1.RawObject{
				Kind:     v1.KindTrainer,
				Metadata: v1.ObjectMeta{Name: "t", ResourceVersion: "2"},
				Spec:     []byte(`{"pool":"none"}`),
			})
			So(condition(v1.KindTrainer, "t").Message, ShouldEndWith, ": y")
		})

		Convey("what was accepted stays so when the scope grows, until it is written again", func() {
			So(condition(v1.KindZone, "y").Status, ShouldEqual, v1.ConditionTrue)
			state.Objects = append(state.Objects, rawZone("x", 4))
			So(condition(v1.KindZone, "y").Status, ShouldEqual, v1.ConditionTrue)
			state.Objects[1] = rawZone("y", 5)
			So(condition(v1.KindZone, "y").Status, ShouldEqual, v1.ConditionFalse)
		})
	})
}
