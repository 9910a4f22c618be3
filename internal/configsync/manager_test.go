package configsync

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/cluster"
	lab "github.com/covelink/covelink/internal/lab/objectapi"
	"github.com/covelink/covelink/internal/objectapi"
	"github.com/covelink/covelink/internal/resourceapi"
	"github.com/covelink/covelink/internal/settings"
)

// acceptedAt returns the Accepted condition of a zone resource as the node sees it.
func (n *testNode) acceptedAt(ctx context.Context, name string) v1.Condition {
	object, err := n.Get(ctx, v1.KindZone, name)
	if err != nil {
		return v1.Condition{}
	}
	return object.ObjectStatus().Conditions[0]
}

func (n *testNode) accepted(ctx context.Context, name string) func() bool {
	return func() bool { return n.acceptedAt(ctx, name).Status == v1.ConditionTrue }
}

// leaseEnd returns when the node stops serving unless its lease is renewed.
func (n *testNode) leaseEnd() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.replica.LeaseUntil()
}

func errorCode(err error) v1.ErrorCode {
	var typed *v1.Error
	if !errors.As(err, &typed) {
		return ""
	}
	return typed.Code
}

func TestLeaseCountsFromTheRequest(t *testing.T) {
	Convey("A lease granted to a heartbeat lasts from before the heartbeat was sent", t, func() {
		timing := settings.Default().Timing
		m := New(Params{Holder: cluster.NewHolder(), Timing: timing, Logger: discard})
		sentAt := time.Now().Add(-timing.NodeLeaseLength / 2)
		m.takeGrant(Grant{Granted: true, Version: Version{Token: 1, Sequence: 1, Revision: 1}}, sentAt)
		So(m.replica.LeaseUntil(), ShouldEqual, sentAt.Add(timing.NodeLeaseLength))
	})
}

func TestThreeZones(t *testing.T) {
	Convey("Given three nodes in three zones with a resource for each", t, func() {
		ctx := t.Context()
		c := newTestCluster(map[string]string{"na": "a", "nb": "b", "nc": "c"})
		Reset(c.stop)
		na, nb, nc := c.nodes["na"], c.nodes["nb"], c.nodes["nc"]
		So(na.params.Holder.Current().Serving, ShouldBeFalse)
		for _, zone := range []string{"a", "b", "c"} {
			var created v1.Object
			eventually("create zone "+zone, func() (done bool) {
				var err error
				created, err = na.Create(ctx, testZone(zone))
				return err == nil
			})
			So(created.Meta().Generation, ShouldEqual, 1)
		}
		for _, node := range c.nodes {
			So(node.CatchUp(ctx), ShouldBeNil)
			eventually("accepted", node.accepted(ctx, "c"))
			So(node.params.Holder.Current().Zones, ShouldHaveLength, 3)
		}

		Convey("only coordinators watch the store, and engines of every zone are known everywhere", func() {
			c.watchesSettleAt(3)
			na.SetEngines([]cluster.Engine{{Name: "ea", Zone: "a"}})
			nb.SetEngines([]cluster.Engine{{Name: "eb", Zone: "b"}})
			eventually("engines", func() bool { return len(nc.params.Holder.Current().Engines) == 2 })
		})

		Convey("two operators that race on one resource get one conflict and lose nothing", func() {
			eventually("seen", func() bool { return len(nb.params.Holder.Current().Zones) == 3 })
			left, err := na.Get(ctx, v1.KindZone, "a")
			So(err, ShouldBeNil)
			right, err := nb.Get(ctx, v1.KindZone, "a")
			So(err, ShouldBeNil)
			left.(*v1.Zone).Spec.Cordoned = true
			right.Meta().Labels = map[string]string{"by": "right"}
			results := make(chan error, 2)
			go func() { _, err := na.Update(ctx, left); results <- err }()
			go func() { _, err := nb.Update(ctx, right); results <- err }()
			first, second := <-results, <-results
			So((first == nil) != (second == nil), ShouldBeTrue)
			So(errorCode(errors.Join(first, second)), ShouldEqual, v1.CodeConflict)
			eventually("accepted", func() bool {
				object, err := nc.Get(ctx, v1.KindZone, "a")
				return err == nil && object.Meta().ResourceVersion == "4" && nc.accepted(ctx, "a")()
			})
		})

		Convey("a write whose reply from the store is lost is confirmed", func() {
			c.store.SetFaults(lab.Faults{LoseReplies: 1})
			_, err := nb.Create(ctx, testZone("d"))
			So(err, ShouldBeNil)
			So(c.store.Store.Revision(), ShouldEqual, 4)
		})

		Convey("a cut-off zone keeps a change pending, is named, stops serving, and accepts once healed", func() {
			c.setCut(nc.node.Address, true)
			_, err := na.Create(ctx, testZone("d"))
			So(err, ShouldBeNil)
			eventually("pending", func() bool {
				condition := na.acceptedAt(ctx, "d")
				return condition.Reason == "Pending" && condition.Message == "not yet acknowledged by: c, d"
			})
			So(na.acceptedAt(ctx, "c").Status, ShouldEqual, v1.ConditionTrue)
			So(na.Delete(ctx, v1.KindZone, "d", ""), ShouldBeNil)
			object, err := na.Get(ctx, v1.KindZone, "a")
			So(err, ShouldBeNil)
			_, err = na.Update(ctx, object)
			So(err, ShouldBeNil)
			eventually("names c", func() bool {
				return na.acceptedAt(ctx, "a").Message == "not yet acknowledged by: c"
			})
			c.setCut(nc.node.Address, false)
			eventually("accepted", na.accepted(ctx, "a"))
		})

		Convey("while the store is down every node serves on, writes are refused as not run, and reads answer", func() {
			c.store.Stop()
			short, cancel := context.WithTimeout(ctx, 200*time.Millisecond)
			defer cancel()
			_, err := na.Create(short, testZone("d"))
			var refused *v1.Error
			So(errors.As(err, &refused), ShouldBeTrue)
			So(refused.Outcome, ShouldEqual, v1.OutcomeNotRun)
			for _, node := range c.nodes {
				until := node.leaseEnd()
				eventually("lease outlived", func() bool { return time.Now().After(until) })
				eventually("serves on", func() bool { return node.serves(3) })
			}

			Convey("and a coordinator that starts then takes the revision from the other zones", func() {
				nc.kill()
				listener, err := net.Listen("tcp", nc.node.Address)
				So(err, ShouldBeNil)
				restarted := c.start(nc.node, listener)
				So(restarted.CatchUp(ctx), ShouldBeNil)
				So(restarted.params.Holder.Current().Zones, ShouldHaveLength, 3)
			})
		})
	})
}

func TestOneZone(t *testing.T) {
	Convey("Given a zone of three nodes", t, func() {
		ctx := t.Context()
		c := newTestCluster(map[string]string{"n1": "z", "n2": "z", "n3": "z"})
		Reset(c.stop)
		_, err := c.store.Store.Create(rawZone("z", 0))
		So(err, ShouldBeNil)
		for _, node := range c.nodes {
			So(node.CatchUp(ctx), ShouldBeNil)
		}
		var leader, follower, other *testNode
		for _, node := range c.nodes {
			holder, _ := node.params.Elector.Holder("zone/z")
			switch {
			case holder.Name == node.node.Name:
				leader = node
			case follower == nil:
				follower = node
			default:
				other = node
			}
		}

		Convey("only the coordinator reads the store, and writes through any node reach it", func() {
			c.watchesSettleAt(1)
			created, err := follower.Create(ctx, testZone("y"))
			So(err, ShouldBeNil)
			So(created.ObjectStatus().Conditions[0].Reason, ShouldEqual, "Pending")
			eventually("applied", func() bool { return other.serves(2) })
			_, err = other.Create(ctx, testZone("y"))
			So(errorCode(err), ShouldEqual, v1.CodeConflict)
			So(errorCode(other.Delete(ctx, v1.KindZone, "none", "")), ShouldEqual, v1.CodeNotFound)
		})

		Convey("statuses cost the store nothing: while leases go on, there is one watch and no read or write", func() {
			c.watchesSettleAt(1)
			before := c.store.Counts()
			for range 3 {
				until := follower.leaseEnd()
				eventually("lease renewed", func() bool { return follower.leaseEnd().After(until) })
			}
			after := c.store.Counts()
			So(after, ShouldResemble, before)
		})

		Convey("a node cut off from its coordinator stops serving before a change that it lacks is accepted", func() {
			c.setCut(follower.node.Address, true)
			object, err := leader.Get(ctx, v1.KindZone, "z")
			So(err, ShouldBeNil)
			object.(*v1.Zone).Spec.Cordoned = true
			updated, err := leader.Update(ctx, object)
			So(err, ShouldBeNil)
			So(updated.Meta().Generation, ShouldEqual, 2)
			eventually("accepted", func() bool {
				seen, err := leader.Get(ctx, v1.KindZone, "z")
				return err == nil && seen.Meta().ResourceVersion == "2" && leader.accepted(ctx, "z")()
			})
			// Serving is cleared by a timer, which may be late; whoever starts work asks ServingAt.
			view := follower.params.Holder.Current()
			So(view.ServingAt(follower.now()), ShouldBeFalse)
			So(view.WhyNotServing(), ShouldEqual, reasonLeaseExpired)
			eventually("the view to say so", func() bool {
				view := follower.params.Holder.Current()
				return !view.Serving && view.NotServingReason == reasonLeaseExpired
			})
			c.setCut(follower.node.Address, false)
			eventually("serves the new revision", func() bool { return follower.serves(2) })
		})

		Convey("a node that starts serves only with the zone's revision", func() {
			follower.kill()
			_, err := c.store.Store.Create(rawZone("y", 0))
			So(err, ShouldBeNil)
			eventually("zone at revision 2", func() bool { return leader.serves(2) })
			listener, err := net.Listen("tcp", follower.node.Address)
			So(err, ShouldBeNil)
			restarted := c.start(follower.node, listener)
			So(restarted.CatchUp(ctx), ShouldBeNil)
			So(restarted.params.Holder.Current().Revision, ShouldEqual, 2)
		})

		Convey("a coordinator that starts anew goes on where its zone is", func() {
			leader.SetEngines([]cluster.Engine{{Name: "old", Zone: "z"}})
			eventually("engines", func() bool { return len(follower.params.Holder.Current().Engines) == 1 })
			leader.kill()
			listener, err := net.Listen("tcp", leader.node.Address)
			So(err, ShouldBeNil)
			restarted := c.start(leader.node, listener)
			restarted.SetEngines([]cluster.Engine{{Name: "new", Zone: "z"}})
			eventually("engines", func() bool {
				engines := follower.params.Holder.Current().Engines
				return len(engines) == 1 && engines[0].Name == "new"
			})
			So(restarted.CatchUp(ctx), ShouldBeNil)
		})

		Convey("a watch sends what there is, what changes, acceptance, and deletions", func() {
			watching, cancel := context.WithCancel(ctx)
			defer cancel()
			_, revision, err := other.List(ctx, v1.KindZone)
			So(err, ShouldBeNil)
			events, err := other.Watch(watching, v1.KindZone, revision)
			So(err, ShouldBeNil)
			expect := func(eventType resourceapi.WatchEventType, name string, status v1.ConditionStatus) {
				for event := range events {
					matches := event.Type == eventType && event.Object.Meta().Name == name
					conditions := event.Object.ObjectStatus().Conditions
					if matches && (status == "" || conditions[0].Status == status) {
						return
					}
				}
				So("watch ended", ShouldBeEmpty)
			}
			expect(resourceapi.WatchModified, "z", v1.ConditionTrue)
			_, err = follower.Create(ctx, testZone("y"))
			So(err, ShouldBeNil)
			expect(resourceapi.WatchAdded, "y", "")
			So(follower.Delete(ctx, v1.KindZone, "y", ""), ShouldBeNil)
			expect(resourceapi.WatchDeleted, "y", "")
			cancel()
			for range events {
			}
		})

		Convey("a watch from before the node's first revision is told to list again", func() {
			_, err := c.store.Store.Create(rawZone("y", 0))
			So(err, ShouldBeNil)
			follower.kill()
			listener, err := net.Listen("tcp", follower.node.Address)
			So(err, ShouldBeNil)
			restarted := c.start(follower.node, listener)
			eventually("revision 2", func() bool { return restarted.serves(2) })
			_, err = restarted.Watch(ctx, v1.KindZone, 1)
			So(errorCode(err), ShouldEqual, v1.CodeGone)
		})

		Convey("a stale list after a restart of the coordinator does not bring back an older revision", func() {
			_, err := c.store.Store.Create(rawZone("y", 0))
			So(err, ShouldBeNil)
			eventually("revision 2", func() bool { return leader.serves(2) && follower.serves(2) && other.serves(2) })
			c.store.SetFaults(lab.Faults{StaleBy: 1})
			leader.kill()
			listener, err := net.Listen("tcp", leader.node.Address)
			So(err, ShouldBeNil)
			restarted := c.start(leader.node, listener)
			So(restarted.CatchUp(ctx), ShouldBeNil)
			for _, node := range []*testNode{restarted, follower, other} {
				So(node.params.Holder.Current().Revision, ShouldEqual, 2)
			}
		})
	})
}

var _ Store = (*objectapi.Client)(nil)
