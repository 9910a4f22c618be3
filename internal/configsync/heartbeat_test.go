package configsync

import (
	"context"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/cluster"
	"github.com/covelink/covelink/internal/leadership"
	"github.com/covelink/covelink/internal/rpc"
)

func TestHeartbeatDigests(t *testing.T) {
	Convey("Whatever differs between two heartbeats, their digests differ", t, func() {
		base := heartbeat{
			Node:   cluster.Node{Name: "a1", Zone: "a", Address: "x:1"},
			Report: NodeReport{Node: "a1", Incarnation: "i", Applied: Version{Token: 3, Sequence: 2, Revision: 1}},
		}
		changes := map[string]func(*heartbeat){
			"address":     func(h *heartbeat) { h.Node.Address = "x:2" },
			"disk":        func(h *heartbeat) { h.Node.HasDisk = true },
			"incarnation": func(h *heartbeat) { h.Report.Incarnation = "j" },
			"token":       func(h *heartbeat) { h.Report.Applied.Token++ },
			"sequence":    func(h *heartbeat) { h.Report.Applied.Sequence++ },
			"revision":    func(h *heartbeat) { h.Report.Applied.Revision++ },
		}
		for name, change := range changes {
			Convey(name, func() {
				other := base
				change(&other)
				So(other.digest(), ShouldNotEqual, base.digest())
			})
		}
	})
	Convey("A grant crosses whole, whether the node applies its version or not", t, func() {
		report := NodeReport{Applied: Version{Token: 3, Sequence: 2, Revision: 1}}
		for _, version := range []Version{report.Applied, {Token: 4, Sequence: 1, Revision: 1}, {}} {
			for _, granted := range []bool{true, false} {
				grant := Grant{Granted: granted, Version: version}
				So(replyOf(grant, report).grant(report), ShouldResemble, grant)
			}
		}
	})
}

func TestHeartbeatsInShort(t *testing.T) {
	Convey("Given a coordinator's term", t, func() {
		c := newTestCluster(map[string]string{"a1": "a", "a2": "a"})
		defer c.stop()
		var coordinator *testNode
		eventually("a term", func() bool {
			for _, n := range c.nodes {
				n.mu.Lock()
				if n.term != nil {
					coordinator = n
				}
				n.mu.Unlock()
			}
			return coordinator != nil
		})
		said := heartbeat{Node: cluster.Node{Name: "a9", Zone: "a", Address: "x:1"}, Report: NodeReport{Node: "a9", Incarnation: "i"}}
		peer := rpc.Peer{Name: "a9", Zone: "a"}
		serve := func(request heartbeatRequest) heartbeatReply {
			reply, err := coordinator.serveHeartbeat(context.Background(), peer, request)
			So(err, ShouldBeNil)
			return reply
		}
		Convey("a digest that it has not heard is asked for in full and changes nothing", func() {
			So(serve(heartbeatRequest{Digest: said.digest()}).Repeat, ShouldBeTrue)
			coordinator.mu.Lock()
			defer coordinator.mu.Unlock()
			So(coordinator.term.heartbeats, ShouldNotContainKey, "a9")
		})
		Convey("a digest that it has heard stands for the heartbeat, until another one comes", func() {
			So(serve(heartbeatRequest{Digest: said.digest(), Full: &said}).Repeat, ShouldBeFalse)
			So(serve(heartbeatRequest{Digest: said.digest()}).Repeat, ShouldBeFalse)
			later := said
			later.Report.Applied.Revision = 9
			So(serve(heartbeatRequest{Digest: later.digest(), Full: &later}).Repeat, ShouldBeFalse)
			So(serve(heartbeatRequest{Digest: said.digest()}).Repeat, ShouldBeTrue)
		})
		Convey("a new term has heard nothing", func() {
			So(serve(heartbeatRequest{Digest: said.digest(), Full: &said}).Repeat, ShouldBeFalse)
			coordinator.mu.Lock()
			held := coordinator.term.held
			coordinator.mu.Unlock()
			coordinator.beginTerm(leadership.Term{Name: held.Name, Token: held.Token + 1})
			So(serve(heartbeatRequest{Digest: said.digest()}).Repeat, ShouldBeTrue)
		})
	})
}
