package itemwork

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/placement"
)

func TestDispatcherAssignsBoundRunsToAllowedRegions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		dispatcher := NewDispatcher(log.NewNopLogger())
		dispatcher.Region = func(zone string) string { return strings.TrimRight(zone, "0123456789") }
		done := make(chan struct{})
		go func() {
			defer close(done)
			dispatcher.Lead(ctx, 7, &lostWorkers{}, alwaysReady)
		}()
		defer func() {
			cancel()
			<-done
		}()
		meet := func(zone string, leaving bool) {
			dispatcher.Poll(t.Context(), PollRequest{Worker: WorkerID{Name: "w-" + zone, Zone: zone, Instance: "first", Leaving: leaving}, Term: 1})
		}
		time.Sleep(time.Millisecond)
		meet("north1", false)
		meet("north2", false)
		meet("south1", false)
		assign := func(engineZone string, residency placement.Residency) string {
			worker, _ := dispatcher.Assign(residency, &fleet.Engine{ID: "e-" + engineZone, Zone: engineZone}, &Assignment{})
			return worker
		}
		south := placement.Residency{Route: []string{"south"}}
		Convey("A bound assignment goes only to a worker in an allowed region, preferably in the engine's zone", t, func() {
			So(assign("north1", placement.Residency{}), ShouldEqual, "w-north1/first")
			So(assign("north1", south), ShouldEqual, "w-south1/first")
			So(assign("north1", placement.Residency{Tenant: []string{"north"}}), ShouldEqual, "w-north1/first")
			So(assign("north1", placement.Residency{Tenant: []string{"north"}, Accepted: [][]string{{"south"}}}), ShouldBeEmpty)
			So(assign("south1", south), ShouldEqual, "w-south1/first")
			So(assign("north1", placement.Residency{}), ShouldEqual, "w-north1/first")
			So(dispatcher.HasEligibleWorker(south), ShouldBeTrue)
			meet("south1", true)
			So(assign("south1", south), ShouldBeEmpty)
			So(dispatcher.HasEligibleWorker(south), ShouldBeFalse)
			So(dispatcher.HasEligibleWorker(placement.Residency{}), ShouldBeTrue)
		})
		Convey("A dispatcher without a region lookup assigns nothing that is bound", t, func() {
			dispatcher.Region = nil
			So(assign("north1", placement.Residency{Route: []string{"north"}}), ShouldBeEmpty)
			So(dispatcher.HasEligibleWorker(placement.Residency{Route: []string{"north"}}), ShouldBeFalse)
		})
	})
}
