package dispatch_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	v1 "github.com/covelink/covelink/api/v1"

	"github.com/covelink/covelink/api/enginev1"
	"github.com/covelink/covelink/internal/cluster"
	"github.com/covelink/covelink/internal/dispatch"
)

func TestAnswers(t *testing.T) {
	ctx := context.Background()
	Convey("A crash in mid-stream is resumed elsewhere: a whole answer with the versions of both engines", t, func() {
		r := newRig("a", "b")
		defer r.close()
		r.engines[0].setScript(crashAfter(5))
		var seen []string
		result := r.manager.Dispatch(ctx, task("x"), func(p dispatch.Progress) error {
			if p.Index != len(seen) {
				return errors.New("gap")
			}
			seen = append(seen, p.Tokens...)
			return nil
		})
		So(result.Outcome, ShouldEqual, v1.OutcomeCompleted)
		So(result.Err, ShouldBeNil)
		So(result.Tokens, ShouldResemble, answerOf("x"))
		So(seen, ShouldResemble, answerOf("x"))
		So(result.Segments, ShouldResemble, []v1.Segment{
			{Version: 1, Engine: "e0", Tokens: 5}, {Version: 2, Engine: "e1", FirstToken: 5, Tokens: 7},
		})
		So(result.Attempts, ShouldEqual, 2)
		So(result.Engine, ShouldEqual, "e1")
		resumed := r.engines[1].requests()[0]
		So(resumed.Resume, ShouldResemble, answerOf("x")[:5])
		So(resumed.PermittedZones, ShouldResemble, []string{"a", "b"})
		So(resumed.Attempt, ShouldNotEqual, r.engines[0].requests()[0].Attempt)
	})
	Convey("A swap in mid-stream shows in the segments", t, func() {
		r := newRig("a")
		defer r.close()
		r.engines[0].setScript(func(e *testEngine, w http.ResponseWriter, _ *http.Request, q enginev1.CompletionRequest) {
			e.send(w, q, 4)
			tokens := answerOf(q.Prompt)
			e.event(w, q, enginev1.TokenEvent{Sequence: 4, Index: 4, Tokens: tokens[4:], Version: 9})
			e.final(w, q, 5)
		})
		result := r.manager.Dispatch(ctx, task("x"), nil)
		So(result.Segments, ShouldResemble, []v1.Segment{
			{Version: 1, Engine: "e0", Tokens: 4}, {Version: 9, Engine: "e0", FirstToken: 4, Tokens: 8},
		})
		So(r.manager.Observations().Engines[0].Version, ShouldEqual, 9)
	})
	Convey("A failed checksum is run again, unless the tokens were passed on already", t, func() {
		r := newRig("a", "b")
		defer r.close()
		r.engines[0].setScript(func(e *testEngine, w http.ResponseWriter, _ *http.Request, q enginev1.CompletionRequest) {
			wrong := q
			wrong.Prompt = "other"
			e.final(w, q, e.send(w, wrong, 12))
		})
		result := r.manager.Dispatch(ctx, task("x"), nil)
		So(result.Tokens, ShouldResemble, answerOf("x"))
		So(result.Segments, ShouldResemble, []v1.Segment{{Version: 2, Engine: "e1", Tokens: 12}})
		result = r.manager.Dispatch(ctx, task("y"), func(dispatch.Progress) error { return nil })
		So(result.Outcome, ShouldEqual, v1.OutcomeUnknown)
		So(result.Err.Code, ShouldEqual, v1.CodeInternal)
	})
	Convey("An engine that has restarted is left at once, also when its stream is silent", t, func() {
		r := newRig("a", "b")
		defer r.close()
		r.engines[0].setScript(hangAfter(3, nil))
		results := r.start(ctx, task("x"))
		eventually(func() bool { return len(r.engines[0].requests()) == 1 })
		r.change(func(v *cluster.View) { v.Engines[0].Incarnation = "2"; v.Engines[0].Leaving = true })
		result := <-results
		So(result.Outcome, ShouldEqual, v1.OutcomeCompleted)
		So(result.Engine, ShouldEqual, "e1")
	})
}

func TestNotRepeatable(t *testing.T) {
	once := task("once")
	once.Repeatable = false
	Convey("An unknown outcome is final", t, func() {
		r := newRig("a", "b")
		defer r.close()
		r.engines[0].setScript(crashAfter(0))
		result := r.manager.Dispatch(context.Background(), once, nil)
		So(result.Outcome, ShouldEqual, v1.OutcomeUnknown)
		So(result.Err.Outcome, ShouldEqual, v1.OutcomeUnknown)
		So(result.Err.RetryAfter, ShouldEqual, 0)
		So(len(r.engines[0].requests())+len(r.engines[1].requests()), ShouldEqual, 1)
	})
	Convey("An engine's own refusal, also a late one, or a dead engine lets it run elsewhere", t, func() {
		r := newRig("a", "a", "b")
		defer r.close()
		r.engines[0].server.Close()
		r.engines[1].setScript(func(e *testEngine, w http.ResponseWriter, q *http.Request, c enginev1.CompletionRequest) {
			<-time.After(50 * time.Millisecond)
			refusing(enginev1.RefusedFull)(e, w, q, c)
		})
		result := r.manager.Dispatch(context.Background(), once, nil)
		So(result.Outcome, ShouldEqual, v1.OutcomeCompleted)
		So(len(r.engines[2].requests()), ShouldEqual, 1)
	})
}

func TestNotRun(t *testing.T) {
	ctx := context.Background()
	notRun := func(result dispatch.Result, code v1.ErrorCode) {
		So(result.Outcome, ShouldEqual, v1.OutcomeNotRun)
		So(result.Err.Outcome, ShouldEqual, v1.OutcomeNotRun)
		So(result.Err.Code, ShouldEqual, code)
		So(result.Err.RetryAfter, ShouldBeGreaterThan, 0)
		So(result.Attempts, ShouldEqual, 0)
	}
	// fill takes every slot of the pool's engines and returns what frees them.
	fill := func(r *rig) (release func()) {
		resume := make(chan struct{})
		var results []<-chan dispatch.Result
		for _, made := range r.engines {
			made.setScript(hangAfter(1, resume))
		}
		for index := range 4 * len(r.engines) {
			results = append(results, r.start(ctx, task(fmt.Sprint("fill", index))))
		}
		eventually(func() bool { return r.manager.Observations().InFlightInteractive == 4*len(r.engines) })
		return func() {
			close(resume)
			for _, result := range results {
				So((<-result).Outcome, ShouldEqual, v1.OutcomeCompleted)
			}
		}
	}
	Convey("A node that does not serve refuses at once, also what waits", t, func() {
		r := newRig("a")
		defer r.close()
		release := fill(r)
		waiting := r.start(ctx, task("waiting"))
		eventually(func() bool { return r.manager.Observations().QueuedInteractive == 1 })
		r.change(func(v *cluster.View) { v.Serving = false; v.NotServingReason = "cut off" })
		notRun(<-waiting, v1.CodeUnavailable)
		notRun(r.manager.Dispatch(ctx, task("new"), nil), v1.CodeUnavailable)
		release()
	})
	Convey("A zone that is removed while a task waits gets nothing", t, func() {
		r := newRig("b")
		defer r.close()
		release := fill(r)
		waiting := r.start(ctx, task("waiting"))
		eventually(func() bool { return r.manager.Observations().QueuedInteractive == 1 })
		r.change(func(v *cluster.View) { v.Pools["pool"].Spec.PermittedZones = []string{"a"} })
		notRun(<-waiting, v1.CodeUnavailable)
		release()
		So(r.engines[0].requests(), ShouldHaveLength, 4)
	})
	Convey("A deadline that passes in the queue is told at once, and the place is given up", t, func() {
		r := newRig("a")
		defer r.close()
		release := fill(r)
		late := task("late")
		late.Deadline = time.Now().Add(60 * time.Millisecond)
		notRun(r.manager.Dispatch(ctx, late, nil), v1.CodeDeadlineExceeded)
		So(r.manager.Observations().QueuedInteractive, ShouldEqual, 0)
		release()
	})
	Convey("What the queue has no room for is refused at once", t, func() {
		r := newRig("a")
		defer r.close()
		release := fill(r)
		bounded, cancel := context.WithCancel(ctx)
		var waiting []<-chan dispatch.Result
		for index := range maxQueued {
			waiting = append(waiting, r.start(bounded, task(fmt.Sprint("waiting", index))))
		}
		eventually(func() bool { return r.manager.Observations().QueuedInteractive == maxQueued })
		notRun(r.manager.Dispatch(ctx, task("more"), nil), v1.CodeOverloaded)
		cancel()
		for _, results := range waiting {
			So((<-results).Outcome, ShouldEqual, v1.OutcomeNotRun)
		}
		release()
	})
	Convey("A deadline that has passed, and a pool that is not known", t, func() {
		r := newRig("a")
		defer r.close()
		late := task("late")
		late.Deadline = time.Now().Add(-time.Second)
		notRun(r.manager.Dispatch(ctx, late, nil), v1.CodeDeadlineExceeded)
		lost := task("lost")
		lost.Pool = "other"
		So(r.manager.Dispatch(ctx, lost, nil).Err.Code, ShouldEqual, v1.CodeNotFound)
	})
	Convey("A leaving engine gets nothing new", t, func() {
		r := newRig("a", "b")
		defer r.close()
		r.change(func(v *cluster.View) { v.Engines[0].Leaving = true })
		for index := range 20 {
			So(r.manager.Dispatch(ctx, task(fmt.Sprint(index)), nil).Engine, ShouldEqual, "e1")
		}
		r.change(func(v *cluster.View) { v.Engines[1].Leaving = true })
		notRun(r.manager.Dispatch(ctx, task("none"), nil), v1.CodeUnavailable)
		So(r.engines[0].requests(), ShouldBeEmpty)
	})
	Convey("An engine that drains by its own word is left alone before the view says so", t, func() {
		r := newRig("a", "b")
		defer r.close()
		r.engines[0].setScript(refusing(enginev1.RefusedDraining))
		started := time.Now()
		for index := range 10 {
			So(r.manager.Dispatch(ctx, task(fmt.Sprint(index)), nil).Engine, ShouldEqual, "e1")
		}
		// It is asked once, and once more every two seconds.
		asked := len(r.engines[0].requests())
		So(asked, ShouldBeGreaterThanOrEqualTo, 1)
		So(asked, ShouldBeLessThanOrEqualTo, 1+int(time.Since(started)/(2*time.Second)))
	})
	Convey("An engine that refuses the incarnation is asked again only after the view has another", t, func() {
		r := newRig("a", "b")
		defer r.close()
		r.engines[0].setScript(refusing(enginev1.RefusedIncarnation))
		for index := range 10 {
			So(r.manager.Dispatch(ctx, task(fmt.Sprint(index)), nil).Engine, ShouldEqual, "e1")
		}
		So(r.engines[0].requests(), ShouldHaveLength, 1)
		r.engines[0].setScript(wholeAnswer)
		r.change(func(v *cluster.View) { v.Engines[0].Incarnation = "2" })
		So(r.manager.Dispatch(ctx, task("next"), nil).Engine, ShouldEqual, "e0")
		So(r.engines[0].requests()[1].Incarnation, ShouldEqual, "2")
	})
	Convey("A request that the engine finds invalid is not tried elsewhere", t, func() {
		r := newRig("a", "b")
		defer r.close()
		r.engines[0].setScript(refusing(enginev1.RefusedInvalid))
		result := r.manager.Dispatch(ctx, task("x"), nil)
		So(result.Outcome, ShouldEqual, v1.OutcomeNotRun)
		So(result.Err.Code, ShouldEqual, v1.CodeInvalid)
		So(r.engines[1].requests(), ShouldBeEmpty)
	})
}

func TestLifecycle(t *testing.T) {
	ctx := context.Background()
	Convey("Rollouts leave the interactive reserve free", t, func() {
		r := newRig("a")
		defer r.close()
		resume := make(chan struct{})
		r.engines[0].setScript(hangAfter(1, resume))
		var rollouts []<-chan dispatch.Result
		for index := range 5 {
			rollout := task(fmt.Sprint("rollout", index))
			rollout.Class = dispatch.ClassRollout
			rollouts = append(rollouts, r.start(ctx, rollout))
		}
		eventually(func() bool {
			reading := r.manager.Observations()
			return reading.InFlightRollout == 3 && reading.QueuedRollout == 2
		})
		lookup := r.start(ctx, task("lookup"))
		eventually(func() bool { return r.manager.Observations().InFlightInteractive == 1 })
		close(resume)
		So((<-lookup).Outcome, ShouldEqual, v1.OutcomeCompleted)
		for _, rollout := range rollouts {
			So((<-rollout).Outcome, ShouldEqual, v1.OutcomeCompleted)
		}
	})
	Convey("The end of the context cancels the stream and frees the slot", t, func() {
		r := newRig("a")
		defer r.close()
		gone := make(chan struct{})
		r.engines[0].setScript(func(e *testEngine, w http.ResponseWriter, q *http.Request, c enginev1.CompletionRequest) {
			hangAfter(2, nil)(e, w, q, c)
			close(gone)
		})
		cancellable, cancel := context.WithCancel(ctx)
		results := r.start(cancellable, task("x"))
		eventually(func() bool { return len(r.engines[0].requests()) == 1 })
		cancel()
		result := <-results
		<-gone
		So(result.Outcome, ShouldEqual, v1.OutcomeUnknown)
		So(r.manager.Observations().InFlightInteractive, ShouldEqual, 0)
	})
	Convey("A drain refuses new tasks and cuts nothing, also when it is asked twice", t, func() {
		r := newRig("a")
		defer r.close()
		resume := make(chan struct{})
		r.engines[0].setScript(hangAfter(2, resume))
		results := r.start(ctx, task("x"))
		eventually(func() bool { return len(r.engines[0].requests()) == 1 })
		short, cancel := context.WithTimeout(ctx, time.Millisecond)
		defer cancel()
		So(r.manager.Drain(short), ShouldEqual, context.DeadlineExceeded)
		drained := make(chan error, 2)
		for range 2 {
			go func() { drained <- r.manager.Drain(ctx) }()
		}
		So(r.manager.Dispatch(ctx, task("new"), nil).Outcome, ShouldEqual, v1.OutcomeNotRun)
		close(resume)
		So((<-results).Outcome, ShouldEqual, v1.OutcomeCompleted)
		So(<-drained, ShouldBeNil)
		So(<-drained, ShouldBeNil)
	})
	Convey("A stop gives every task its result: unknown in flight, not run in the queue", t, func() {
		r := newRig("a")
		defer r.close()
		r.engines[0].setScript(hangAfter(2, nil))
		var running []<-chan dispatch.Result
		for index := range 4 {
			running = append(running, r.start(ctx, task(fmt.Sprint(index))))
		}
		eventually(func() bool {
			return r.manager.Observations().InFlightInteractive == 4 && len(r.engines[0].requests()) == 4
		})
		waiting := r.start(ctx, task("waiting"))
		eventually(func() bool { return r.manager.Observations().QueuedInteractive == 1 })
		r.stop()
		So((<-waiting).Outcome, ShouldEqual, v1.OutcomeNotRun)
		for _, results := range running {
			So((<-results).Outcome, ShouldEqual, v1.OutcomeUnknown)
		}
	})
	Convey("Retries end with the budget when every engine crashes", t, func() {
		r := newRig("a", "b")
		defer r.close()
		for _, made := range r.engines {
			made.setScript(crashAfter(0))
		}
		result := r.manager.Dispatch(ctx, task("x"), nil)
		So(result.Outcome, ShouldEqual, v1.OutcomeUnknown)
		So(result.Attempts, ShouldEqual, 11)
	})
	Convey("The pool's spec bounds the length that an engine is asked for", t, func() {
		r := newRig("a")
		defer r.close()
		r.change(func(v *cluster.View) { v.Pools["pool"].Spec.MaxTokens = 50 })
		for asked, sent := range map[int]int{0: 50, 20: 20, 100: 50} {
			long := task(fmt.Sprint(asked))
			long.MaxTokens = asked
			So(r.manager.Dispatch(ctx, long, nil).Outcome, ShouldEqual, v1.OutcomeCompleted)
			received := r.engines[0].requests()
			So(received[len(received)-1].MaxTokens, ShouldEqual, sent)
		}
	})
	Convey("Explain tells which filter removes how many engines", t, func() {
		r := newRig("a", "b", "c")
		defer r.close()
		avoiding := task("x")
		avoiding.AvoidEngines = []string{"e0"}
		decision := r.manager.Explain(avoiding)
		So(decision.Engine, ShouldEqual, 1)
		So(fmt.Sprint(decision.Explanation.Removed), ShouldEqual, "[0 1 0 0 1 0 0 0 0]")
	})
}
