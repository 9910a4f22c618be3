package rollout

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/cluster"
)

func TestCallEndsWhenOwnerChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A call to an owner that does not answer ends once another node owns the batches, and not before", t, func() {
			paused, next := cluster.Node{Name: "paused"}, cluster.Node{Name: "next"}
			table := &leaseTable{holder: &paused}
			m := &Manager{params: Params{Elector: tableElector{table: table}}}
			ctx, cancel := context.WithCancel(context.Background())
			endWatch := m.endWhenOwnerChanges(ctx, cancel, "t", paused)

			for _, holder := range []*cluster.Node{&paused, nil} {
				table.set(holder)
				time.Sleep(10 * ownerCheckInterval)
				So(ctx.Err(), ShouldBeNil)
			}
			table.set(&next)
			time.Sleep(2 * ownerCheckInterval)
			So(ctx.Err(), ShouldEqual, context.Canceled)
			endWatch()
		})
	})
}

func (l *leaseTable) set(holder *cluster.Node) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holder = holder
}
