package integration

import (
	"strings"
	"testing"

	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/lab/load"
)

// loseDisk kills a node, empties its data folder and starts it again.
func (r *run) loseDisk(node string) {
	So(r.Node(node).Kill(r.ctx), ShouldBeNil)
	So(r.EmptyDataFolder(node), ShouldBeNil)
	So(r.Node(node).Start(r.ctx), ShouldBeNil)
	So(r.WaitNodeReady(r.ctx, node), ShouldBeNil)
}

// waitLog waits until a node has written a line with the text since the test began.
func (r *run) waitLog(node, text string) {
	for !strings.Contains(r.Node(node).Log(), text) {
		So(r.pauseBriefly(), ShouldBeNil)
	}
}

func TestTwoDisksLost(t *testing.T) {
	Convey("With two keepers that lost their disks, repeatable requests are completed, also those with a key", t, func() {
		withSmall(t, func(r *run) {
			r.waitClaims(r.NodeNames())
			for _, node := range r.NodeNames()[:2] {
				r.loseDisk(node)
			}
			for _, node := range r.NodeNames() {
				r.completes(node, applicationToken)
			}
			config := r.Plan().Loads[0]
			config.NotRepeatableShare = 0
			config.Requests = 30
			lookups, err := load.New(config, r.session.Recorder, log.NewNopLogger())
			So(err, ShouldBeNil)
			So(lookups.Run(r.ctx).Completed, ShouldEqual, config.Requests)
			r.judge()
		})
	})
}

func TestAllDisksLostInTurn(t *testing.T) {
	Convey("A request that ran does not run again after each keeper has lost its disk, one after the other", t, func() {
		withSmall(t, func(r *run) {
			nodes := r.NodeNames()
			r.waitClaims(nodes)
			So(r.askOnce(nodes[0], keyed(0)), ShouldBeNil)
			for _, node := range nodes {
				r.loseDisk(node)
				r.waitLog(node, "peer has earlier grants, keeper abstains")
			}
			for _, node := range nodes {
				So(r.askOnce(node, keyed(0)), ShouldBeNil)
			}
			r.judge()
		})
	})
}
