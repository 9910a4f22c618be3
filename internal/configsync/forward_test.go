package configsync

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/cluster"
	"github.com/covelink/covelink/internal/settings"
)

func TestPausedProcess(t *testing.T) {
	Convey("A process that resumes after its lease has lapsed does not serve, before any of its timers has run", t, func() {
		holder := cluster.NewHolder()
		m := New(Params{Holder: holder, Timing: settings.Default().Timing, Logger: discard})
		now := time.Now()
		m.now = func() time.Time { return now }
		m.offerLocked(State{Version: Version{Token: 1, Sequence: 1, Revision: 1}})
		granted := Grant{Granted: true, Version: Version{Token: 1, Sequence: 1, Revision: 1}}
		length := m.params.Timing.NodeLeaseLength
		m.takeGrant(granted, now)
		So(holder.Current().ServingAt(now.Add(length-1)), ShouldBeTrue)
		resumed := now.Add(length)
		So(holder.Current().Serving, ShouldBeTrue)
		So(holder.Current().ServingAt(resumed), ShouldBeFalse)

		Convey("and whoever waits for it to serve is woken by the next lease", func() {
			now = resumed
			changed := holder.Changed()
			m.takeGrant(granted, now)
			So(isClosed(changed), ShouldBeTrue)
			So(holder.Current().ServingAt(now), ShouldBeTrue)
		})
		Convey("and a lease renewed in time wakes nobody", func() {
			now = now.Add(length / 2)
			changed := holder.Changed()
			m.takeGrant(granted, now)
			So(isClosed(changed), ShouldBeFalse)
			So(holder.Current().ServingAt(resumed), ShouldBeTrue)
		})
	})
}

func isClosed(channel <-chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}

// cuttingStore ends the connections of the node that asks for a write, after the write has been stored.
type cuttingStore struct {
	Store
	cut atomic.Pointer[func()]
}

func (s *cuttingStore) written() {
	if cut := s.cut.Swap(nil); cut != nil {
		(*cut)()
	}
}

func (s *cuttingStore) Create(ctx context.Context, object v1.RawObject) (v1.RawObject, error) {
	defer s.written()
	return s.Store.Create(ctx, object)
}

func (s *cuttingStore) Update(ctx context.Context, object v1.RawObject) (v1.RawObject, error) {
	defer s.written()
	return s.Store.Update(ctx, object)
}

func (s *cuttingStore) Delete(ctx context.Context, kind v1.Kind, name, version string) error {
	defer s.written()
	return s.Store.Delete(ctx, kind, name, version)
}

func TestLostAnswerOfCoordinator(t *testing.T) {
	Convey("Given a coordinator whose connections break right after it has written to the store", t, func() {
		ctx := t.Context()
		c := newTestCluster(map[string]string{"n1": "z", "n2": "z"})
		Reset(c.stop)
		_, err := c.store.Store.Create(rawZone("z", 0))
		So(err, ShouldBeNil)
		for _, node := range c.nodes {
			So(node.CatchUp(ctx), ShouldBeNil)
		}
		leader, follower := c.nodes["n1"], c.nodes["n2"]
		if holder, _ := leader.params.Elector.Holder("zone/z"); holder.Name != "n1" {
			leader, follower = follower, leader
		}
		store := &cuttingStore{Store: newStoreClient(c.store.URL())}
		leader.kill()
		listener, err := net.Listen("tcp", leader.node.Address)
		So(err, ShouldBeNil)
		leader = c.startWith(leader.node, listener, store)
		So(leader.CatchUp(ctx), ShouldBeNil)
		breakOnce := func() {
			cut := func() {
				c.setCut(follower.node.Address, true)
				c.setCut(follower.node.Address, false)
			}
			store.cut.Store(&cut)
		}
		eventually("a write through the coordinator that has started anew", func() bool {
			_, err := follower.Create(ctx, testZone("x"))
			return err == nil || errorCode(err) == v1.CodeConflict
		})

		Convey("a create, an update and a delete are read back as done", func() {
			breakOnce()
			created, err := follower.Create(ctx, testZone("y"))
			So(err, ShouldBeNil)
			breakOnce()
			created.(*v1.Zone).Spec.Cordoned = true
			updated, err := follower.Update(ctx, created)
			So(err, ShouldBeNil)
			So(updated.Meta().Generation, ShouldEqual, 2)
			breakOnce()
			So(follower.Delete(ctx, v1.KindZone, "y", updated.Meta().ResourceVersion), ShouldBeNil)
			So(c.store.Store.Revision(), ShouldEqual, 5)
		})
	})
}

func TestJudge(t *testing.T) {
	object := func(version, id string) v1.RawObject {
		return v1.RawObject{Metadata: v1.ObjectMeta{ResourceVersion: version, WriteID: id}}
	}
	there := func(version, id string) readBackReply { return readBackReply{Found: true, Object: object(version, id)} }
	for _, c := range []struct {
		name    string
		request writeRequest
		current readBackReply
		want    Fate
	}{
		{"create stored", writeRequest{OperationCreate, object("", "mine")}, there("4", "mine"), FateDone},
		{"create not there", writeRequest{OperationCreate, object("", "mine")}, readBackReply{}, FateOpen},
		{"create of another", writeRequest{OperationCreate, object("", "mine")}, there("4", "theirs"), FateUnknown},
		{"update stored", writeRequest{OperationUpdate, object("3", "mine")}, there("4", "mine"), FateDone},
		{"update not stored", writeRequest{OperationUpdate, object("3", "mine")}, there("3", "older"), FateOpen},
		{"update covered", writeRequest{OperationUpdate, object("3", "mine")}, there("5", "theirs"), FateUnknown},
		{"updated object deleted", writeRequest{OperationUpdate, object("3", "mine")}, readBackReply{}, FateUnknown},
		{"delete done", writeRequest{OperationDelete, object("3", "mine")}, readBackReply{}, FateDone},
		{"delete not done", writeRequest{OperationDelete, object("3", "mine")}, there("3", "older"), FateOpen},
		{"delete covered", writeRequest{OperationDelete, object("3", "mine")}, there("5", "theirs"), FateUnknown},
	} {
		Convey("Read back: "+c.name, t, func() {
			So(JudgeWrite(c.request.Operation, c.request.Object, c.current.Object, c.current.Found), ShouldEqual, c.want)
		})
	}
}
