package dispatch_test

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	v1 "github.com/covelink/covelink/api/v1"

	"github.com/covelink/covelink/api/enginev1"
	"github.com/covelink/covelink/internal/cluster"
	"github.com/covelink/covelink/internal/dispatch"
	"github.com/covelink/covelink/internal/engine"
	"github.com/covelink/covelink/internal/scheduler"
)

func TestRequestsCarryThePoolsSlots(t *testing.T) {
	Convey("Engines are told the slots of the class, so that they refuse what many nodes together send too much", t, func() {
		r := newRig("a")
		defer r.close()
		rollout := task("rollout")
		rollout.Class = dispatch.ClassRollout
		So(r.manager.Dispatch(context.Background(), task("interactive"), nil).Outcome, ShouldEqual, v1.OutcomeCompleted)
		So(r.manager.Dispatch(context.Background(), rollout, nil).Outcome, ShouldEqual, v1.OutcomeCompleted)
		received := r.engines[0].requests()
		So(received[0].MaxInFlight, ShouldEqual, 4)
		So(received[1].MaxInFlight, ShouldEqual, 3)
	})
}

// coreRig is a Core with one engine of two slots.
type coreRig struct {
	core *dispatch.Core
	now  time.Time
	last dispatch.Placement
}

func newCoreRig() *coreRig {
	view := &cluster.View{
		Serving: true,
		Zones:   map[string]*v1.Zone{"a": {}},
		Pools:   map[string]*v1.Pool{"pool": {Spec: v1.PoolSpec{PermittedZones: []string{"a"}, MaxConcurrent: 2}}},
		Engines: []cluster.Engine{{Name: "e", Pool: "pool", Zone: "a", Incarnation: "1", ActiveVersion: 1}},
	}
	limits := scheduler.QueueLimits{Requests: 100, Tokens: 1 << 20}
	return &coreRig{core: dispatch.NewCore(view, "a", limits), now: time.Unix(0, 0)}
}

func (r *coreRig) enqueue(left time.Duration) *dispatch.Refusal {
	item := scheduler.Item{Interactive: true, Pool: "pool", Caller: "c", Deadline: r.now.Add(left)}
	_, refused := r.core.Enqueue(r.now, item, scheduler.Request{Pool: "pool", Interactive: true}, dispatch.ClassInteractive)
	return refused
}

func (r *coreRig) place() dispatch.Placement {
	r.last = dispatch.Placement{}
	r.core.Place(r.now, func(decided dispatch.Placement) { r.last = decided })
	return r.last
}

func (r *coreRig) answer(held *dispatch.Grant, took time.Duration) {
	r.now = r.now.Add(took)
	r.core.Finished(r.now, held, &engine.StreamResult{Outcome: v1.OutcomeCompleted, Tokens: make([]string, 10)}, false, 0)
}

// measured returns a rig that has seen answers of two seconds.
func measured() *coreRig {
	r := newCoreRig()
	for range 8 {
		So(r.enqueue(time.Minute), ShouldBeNil)
		r.answer(r.place().Grant, 2*time.Second)
	}
	return r
}

func TestCoreUnderOverload(t *testing.T) {
	Convey("What cannot end by its deadline is refused as not run before it starts, with advice", t, func() {
		r := measured()
		refused := r.enqueue(time.Second)
		So(refused, ShouldNotBeNil)
		So(refused.Err.Outcome, ShouldEqual, v1.OutcomeNotRun)
		So(refused.Err.RetryAfter, ShouldBeGreaterThan, 0)
		So(r.enqueue(3*time.Second), ShouldBeNil)
	})
	Convey("What has waited until it cannot end any more is refused at once, though a slot is free", t, func() {
		r := measured()
		So(r.enqueue(3*time.Second), ShouldBeNil)
		r.now = r.now.Add(1500 * time.Millisecond)
		refused := r.place().Refusal
		So(refused, ShouldNotBeNil)
		So(refused.Err.Outcome, ShouldEqual, v1.OutcomeNotRun)
	})
	Convey("What waits too long for a slot is refused while all are taken, and not for any other reason", t, func() {
		r := measured()
		for range 2 {
			So(r.enqueue(time.Minute), ShouldBeNil)
			So(r.place().Grant, ShouldNotBeNil)
		}
		So(r.enqueue(time.Minute), ShouldBeNil)
		r.now = r.now.Add(3 * time.Second)
		So(r.place(), ShouldResemble, dispatch.Placement{})
		r.now = r.now.Add(2 * time.Second)
		refused := r.place().Refusal
		So(refused, ShouldNotBeNil)
		So(refused.Err.Outcome, ShouldEqual, v1.OutcomeNotRun)
		So(refused.Err.RetryAfter, ShouldBeGreaterThan, 0)
	})
	Convey("An engine that refuses as full is left alone for a while, and asked again then", t, func() {
		r := newCoreRig()
		So(r.enqueue(time.Minute), ShouldBeNil)
		full := &engine.StreamResult{Outcome: v1.OutcomeNotRun, Refusal: &enginev1.Refusal{Reason: enginev1.RefusedFull}}
		r.core.Finished(r.now, r.place().Grant, full, false, 0.5)
		So(r.enqueue(time.Minute), ShouldBeNil)
		So(r.place(), ShouldResemble, dispatch.Placement{})
		r.now = r.now.Add(25 * time.Millisecond)
		So(r.place().Grant, ShouldNotBeNil)
	})
}
