package integration

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/client"
)

// batchName is the name of the only batch of a session.
const batchName = "step-0000"

// owner returns the node that owns the batch.
func (r *run) owner() string {
	config := r.Plan().Trainer
	service, err := client.New(client.Options{BaseURLs: r.CallerURLs(), Token: config.Token, HTTPClient: plainClient()})
	So(err, ShouldBeNil)
	for {
		status, err := service.Batch(r.ctx, config.Trainer, batchName)
		if err == nil && status.Owner != "" {
			return status.Owner
		}
		select {
		case <-time.After(20 * time.Millisecond):
		case <-r.ctx.Done():
			So(err, ShouldBeNil)
			So(r.ctx.Err(), ShouldBeNil)
		}
	}
}

// otherThan returns a node that is not the given one.
func (r *run) otherThan(node string) string {
	for _, name := range r.NodeNames() {
		if name != node {
			return name
		}
	}
	panic("there is one node only")
}

func TestOwnerKilled(t *testing.T) {
	Convey("The batch owner is killed in the middle of its batch and comes back", t, func() {
		withSmall(t, func(r *run) {
			r.work()
			r.waitDelivered(samples() / 4)
			owner := r.owner()
			So(r.Node(owner).Kill(r.ctx), ShouldBeNil)
			r.waitDelivered(samples() / 2)
			So(r.owner(), ShouldNotEqual, owner)
			So(r.Node(owner).Start(r.ctx), ShouldBeNil)
			So(r.finish().Promises.Whole, ShouldEqual, samples())
		})
	})
}

func TestOwnerPaused(t *testing.T) {
	Convey("The batch owner is paused past its lease and goes on as if nothing had happened", t, func() {
		withSmall(t, func(r *run) {
			r.work()
			r.waitDelivered(samples() / 4)
			owner := r.owner()
			So(r.Node(owner).Pause(), ShouldBeNil)
			r.waitDelivered(samples() / 2)
			So(r.Node(owner).Continue(), ShouldBeNil)
			So(r.finish().Promises.Whole, ShouldEqual, samples())
		})
	})
}

func TestKeeperLosesItsDisk(t *testing.T) {
	Convey("A node that is not the owner is killed and comes back with an empty data folder", t, func() {
		withSmall(t, func(r *run) {
			r.work()
			r.waitDelivered(samples() / 4)
			keeper := r.otherThan(r.owner())
			So(r.Node(keeper).Kill(r.ctx), ShouldBeNil)
			So(r.EmptyDataFolder(keeper), ShouldBeNil)
			So(r.Node(keeper).Start(r.ctx), ShouldBeNil)
			r.waitDelivered(samples() / 2)
			So(r.Node(r.owner()).Kill(r.ctx), ShouldBeNil)
			So(r.finish().Promises.Whole, ShouldEqual, samples())
		})
	})
}
