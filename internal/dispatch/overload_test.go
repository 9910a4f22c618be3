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

func TestRequestCarriesSlotLimit(t *testing.T) {
	Convey("Requests carry the slot limit of the class, so that engines can enforce it across nodes", t, func() {
		r := newHarness("a")
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

// coreHarness drives a Core with one engine of two slots in virtual time.
type coreHarness struct {
	core *dispatch.Core
	now  time.Time
	last dispatch.Placement
}

func newCoreHarness() *coreHarness {
	view := &cluster.View{
		Serving: true,
		Zones:   map[string]*v1.Zone{"a": {}},
		Pools:   map[string]*v1.Pool{"pool": {Spec: v1.PoolSpec{PermittedZones: []string{"a"}, MaxConcurrent: 2}}},
		Engines: []cluster.Engine{{Name: "e", Pool: "pool", Zone: "a", Incarnation: "1", ActiveVersion: 1}},
	}
	limits := scheduler.QueueLimits{Requests: 100, Tokens: 1 << 20}
	return &coreHarness{core: dispatch.NewCore(view, "a", limits), now: time.Unix(0, 0)}
}

func (r *coreHarness) enqueue(left time.Duration) *dispatch.Refusal {
	item := scheduler.Item{Interactive: true, Pool: "pool", Caller: "c", Deadline: r.now.Add(left)}
	_, refused := r.core.Enqueue(r.now, item, scheduler.Request{Pool: "pool", Interactive: true}, dispatch.ClassInteractive)
	return refused
}

func (r *coreHarness) place() dispatch.Placement {
	r.last = dispatch.Placement{}
	r.core.Place(r.now, func(decision dispatch.Placement) { r.last = decision })
	return r.last
}

func (r *coreHarness) answer(grant *dispatch.Grant, took time.Duration) {
	r.now = r.now.Add(took)
	r.core.FinishAttempt(r.now, grant, &engine.StreamResult{Outcome: v1.OutcomeCompleted, Tokens: make([]string, 10)}, false, 0)
}

// newLoadedCoreHarness returns a coreHarness with an observed service time of two seconds.
func newLoadedCoreHarness() *coreHarness {
	r := newCoreHarness()
	for range 8 {
		So(r.enqueue(time.Minute), ShouldBeNil)
		r.answer(r.place().Grant, 2*time.Second)
	}
	return r
}

func TestCoreUnderOverload(t *testing.T) {
	Convey("A task that cannot finish by its deadline is refused on arrival as not run, with Retry-After", t, func() {
		r := newLoadedCoreHarness()
		refused := r.enqueue(time.Second)
		So(refused, ShouldNotBeNil)
		So(refused.Err.Outcome, ShouldEqual, v1.OutcomeNotRun)
		So(refused.Err.RetryAfter, ShouldBeGreaterThan, 0)
		So(r.enqueue(3*time.Second), ShouldBeNil)
	})
	Convey("A queued task that can no longer finish by its deadline is refused even if a slot is free", t, func() {
		r := newLoadedCoreHarness()
		So(r.enqueue(3*time.Second), ShouldBeNil)
		r.now = r.now.Add(1500 * time.Millisecond)
		refused := r.place().Refusal
		So(refused, ShouldNotBeNil)
		So(refused.Err.Outcome, ShouldEqual, v1.OutcomeNotRun)
	})
	Convey("An overdue task is refused only while all slots are taken", t, func() {
		r := newLoadedCoreHarness()
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
	Convey("An engine that refuses a request as full gets no new requests for a while, then is tried again", t, func() {
		r := newCoreHarness()
		So(r.enqueue(time.Minute), ShouldBeNil)
		full := &engine.StreamResult{Outcome: v1.OutcomeNotRun, Refusal: &enginev1.Refusal{Reason: enginev1.RefusedFull}}
		r.core.FinishAttempt(r.now, r.place().Grant, full, false, 0.5)
		So(r.enqueue(time.Minute), ShouldBeNil)
		So(r.place(), ShouldResemble, dispatch.Placement{})
		r.now = r.now.Add(25 * time.Millisecond)
		So(r.place().Grant, ShouldNotBeNil)
	})
}
