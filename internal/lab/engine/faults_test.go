package engine_test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/api/enginev1"
	"github.com/covelink/covelink/internal/lab/engine"
)

func TestFaults(t *testing.T) {
	Convey("Each stream fault shows to the client, on one stream only", t, func() {
		emulator := started(testConfig())
		struck := func(kind engine.FaultKind) answer {
			fault := engine.Fault{Kind: kind, AfterEvents: 2}
			So(call(emulator, engine.PathFaults, fault, nil), ShouldEqual, http.StatusNoContent)
			got := complete(emulator, requestFor(emulator, string(kind)), nil)
			after := complete(emulator, requestFor(emulator, "after-"+string(kind)), nil)
			So(after.err, ShouldBeNil)
			So(after.sequences(), ShouldHaveLength, answerTokens)
			return got
		}
		So(struck(engine.FaultDuplicate).sequences()[:5], ShouldResemble, []uint64{0, 1, 2, 2, 3})
		So(struck(engine.FaultReorder).sequences()[:5], ShouldResemble, []uint64{0, 1, 3, 2, 4})
		So(struck(engine.FaultDrop).sequences()[:4], ShouldResemble, []uint64{0, 1, 3, 4})
		unversioned := struck(engine.FaultUnversioned)
		So(unversioned.events[1].Version, ShouldEqual, 1)
		So(unversioned.events[2].Version, ShouldEqual, 0)
		truncated := struck(engine.FaultTruncate)
		So(truncated.err, ShouldBeNil)
		So(truncated.done, ShouldBeFalse)
		So(truncated.sequences(), ShouldResemble, []uint64{0, 1})
		reset := struck(engine.FaultReset)
		So(reset.err, ShouldNotBeNil)
		So(len(reset.events), ShouldBeLessThanOrEqualTo, 2)
		before := emulator.Incarnation()
		So(struck(engine.FaultCrash).err, ShouldNotBeNil)
		So(emulator.Incarnation(), ShouldNotEqual, before)
		So(call(emulator, engine.PathFaults, engine.Fault{Kind: "other"}, nil), ShouldEqual, http.StatusBadRequest)
	})
	Convey("A restart loses all work in flight and the incarnation", t, func() {
		config := testConfig()
		config.Simulation.Lengths.Median = 4000
		emulator := started(config)
		request := requestFor(emulator, "a")
		lost := complete(emulator, request, sync.OnceFunc(emulator.Restart))
		So(lost.err, ShouldNotBeNil)
		So(emulator.Executions()[0].Finish, ShouldEqual, engine.FinishLost)
		So(emulator.Load().Running, ShouldEqual, 0)
		So(complete(emulator, request, nil).refusal.Reason, ShouldEqual, enginev1.RefusedIncarnation)
	})
	Convey("A frozen engine answers once the time is over, and a late refusal executes nothing", t, func() {
		const delay = 100 * time.Millisecond
		emulator := started(testConfig())
		begun := time.Now()
		So(emulator.Inject(engine.Fault{Kind: engine.FaultFreeze, DelayMillis: delay.Milliseconds()}), ShouldBeNil)
		So(complete(emulator, requestFor(emulator, "a"), nil).done, ShouldBeTrue)
		So(time.Since(begun), ShouldBeGreaterThanOrEqualTo, delay)
		begun = time.Now()
		So(emulator.Inject(engine.Fault{Kind: engine.FaultRefuseLate, DelayMillis: delay.Milliseconds()}), ShouldBeNil)
		So(complete(emulator, requestFor(emulator, "b"), nil).refusal.Reason, ShouldEqual, enginev1.RefusedFull)
		So(time.Since(begun), ShouldBeGreaterThanOrEqualTo, delay)
		So(emulator.Executions(), ShouldHaveLength, 1)
	})
	Convey("A planned stop lets streams end", t, func() {
		emulator := started(testConfig())
		stopped := make(chan error, 1)
		got := complete(emulator, requestFor(emulator, "a"), sync.OnceFunc(func() {
			go func() { stopped <- emulator.Stop(context.Background()) }()
		}))
		So(got.done, ShouldBeTrue)
		So(<-stopped, ShouldBeNil)
	})
}
