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
	Convey("After a crash in mid-stream another engine resumes, and the segments name both engines and versions", t, func() {
		r := newHarness("a", "b")
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
		So(result.Tokens, ShouldResemble, expectedAnswer("x"))
		So(seen, ShouldResemble, expectedAnswer("x"))
		So(result.Segments, ShouldResemble, []v1.Segment{
			{Version: 1, Engine: "e0", Tokens: 5}, {Version: 2, Engine: "e1", FirstToken: 5, Tokens: 7},
		})
		So(result.Attempts, ShouldEqual, 2)
		So(result.Engine, ShouldEqual, "e1")
		resumed := r.engines[1].requests()[0]
		So(resumed.Resume, ShouldResemble, expectedAnswer("x")[:5])
		So(resumed.PermittedZones, ShouldResemble, []string{"a", "b"})
		So(resumed.Attempt, ShouldNotEqual, r.engines[0].requests()[0].Attempt)
	})
	Convey("A weight swap in mid-stream starts a new segment", t, func() {
		r := newHarness("a")
		defer r.close()
		r.engines[0].setScript(func(e *testEngine, w http.ResponseWriter, _ *http.Request, q enginev1.CompletionRequest) {
			e.send(w, q, 4)
			tokens := expectedAnswer(q.Prompt)
			e.event(w, q, enginev1.TokenEvent{Sequence: 4, Index: 4, Tokens: tokens[4:], Version: 9})
			e.final(w, q, 5)
		})
		result := r.manager.Dispatch(ctx, task("x"), nil)
		So(result.Segments, ShouldResemble, []v1.Segment{
			{Version: 1, Engine: "e0", Tokens: 4}, {Version: 9, Engine: "e0", FirstToken: 4, Tokens: 8},
		})
		So(r.manager.Observations().Engines[0].Version, ShouldEqual, 9)
	})
	Convey("An answer with a failed checksum is retried, unless its tokens were already reported", t, func() {
		r := newHarness("a", "b")
		defer r.close()
		r.engines[0].setScript(func(e *testEngine, w http.ResponseWriter, _ *http.Request, q enginev1.CompletionRequest) {
			wrong := q
			wrong.Prompt = "other"
			e.final(w, q, e.send(w, wrong, 12))
		})
		result := r.manager.Dispatch(ctx, task("x"), nil)
		So(result.Tokens, ShouldResemble, expectedAnswer("x"))
		So(result.Segments, ShouldResemble, []v1.Segment{{Version: 2, Engine: "e1", Tokens: 12}})
		result = r.manager.Dispatch(ctx, task("y"), func(dispatch.Progress) error { return nil })
		So(result.Outcome, ShouldEqual, v1.OutcomeUnknown)
		So(result.Err.Code, ShouldEqual, v1.CodeInternal)
	})
	Convey("An attempt ends as soon as its engine restarts, even if the stream is idle", t, func() {
		r := newHarness("a", "b")
		defer r.close()
		r.engines[0].setScript(hangAfter(3, nil))
		results := r.dispatchAsync(ctx, task("x"))
		eventually(func() bool { return len(r.engines[0].requests()) == 1 })
		r.updateView(func(v *cluster.View) { v.Engines[0].Incarnation = "2"; v.Engines[0].Leaving = true })
		result := <-results
		So(result.Outcome, ShouldEqual, v1.OutcomeCompleted)
		So(result.Engine, ShouldEqual, "e1")
	})
}

func TestNotRepeatable(t *testing.T) {
	notRepeatable := task("once")
	notRepeatable.Repeatable = false
	Convey("An unknown outcome is final", t, func() {
		r := newHarness("a", "b")
		defer r.close()
		r.engines[0].setScript(crashAfter(0))
		result := r.manager.Dispatch(context.Background(), notRepeatable, nil)
		So(result.Outcome, ShouldEqual, v1.OutcomeUnknown)
		So(result.Err.Outcome, ShouldEqual, v1.OutcomeUnknown)
		So(result.Err.RetryAfter, ShouldEqual, 0)
		So(len(r.engines[0].requests())+len(r.engines[1].requests()), ShouldEqual, 1)
	})
	Convey("After a refusal, even a delayed one, or a failed connection, the task runs on another engine", t, func() {
		r := newHarness("a", "a", "b")
		defer r.close()
		r.engines[0].server.Close()
		r.engines[1].setScript(func(e *testEngine, w http.ResponseWriter, q *http.Request, c enginev1.CompletionRequest) {
			<-time.After(50 * time.Millisecond)
			refuseWith(enginev1.RefusedFull)(e, w, q, c)
		})
		result := r.manager.Dispatch(context.Background(), notRepeatable, nil)
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
	// fill occupies every slot of the pool's engines and returns a function that frees them.
	fill := func(r *harness) (release func()) {
		resume := make(chan struct{})
		var results []<-chan dispatch.Result
		for _, eng := range r.engines {
			eng.setScript(hangAfter(1, resume))
		}
		for index := range 4 * len(r.engines) {
			results = append(results, r.dispatchAsync(ctx, task(fmt.Sprint("fill", index))))
		}
		eventually(func() bool { return r.manager.Observations().InFlightInteractive == 4*len(r.engines) })
		return func() {
			close(resume)
			for _, result := range results {
				So((<-result).Outcome, ShouldEqual, v1.OutcomeCompleted)
			}
		}
	}
	Convey("A node that is not serving refuses new and queued tasks immediately", t, func() {
		r := newHarness("a")
		defer r.close()
		release := fill(r)
		waiting := r.dispatchAsync(ctx, task("waiting"))
		eventually(func() bool { return r.manager.Observations().QueuedInteractive == 1 })
		r.updateView(func(v *cluster.View) { v.Serving = false; v.NotServingReason = "cut off" })
		notRun(<-waiting, v1.CodeUnavailable)
		notRun(r.manager.Dispatch(ctx, task("new"), nil), v1.CodeUnavailable)
		release()
	})
	Convey("A zone that is removed while a task is queued gets no request", t, func() {
		r := newHarness("b")
		defer r.close()
		release := fill(r)
		waiting := r.dispatchAsync(ctx, task("waiting"))
		eventually(func() bool { return r.manager.Observations().QueuedInteractive == 1 })
		r.updateView(func(v *cluster.View) { v.Pools["pool"].Spec.PermittedZones = []string{"a"} })
		notRun(<-waiting, v1.CodeUnavailable)
		release()
		So(r.engines[0].requests(), ShouldHaveLength, 4)
	})
	Convey("A task whose deadline passes in the queue fails immediately and leaves the queue", t, func() {
		r := newHarness("a")
		defer r.close()
		release := fill(r)
		late := task("late")
		late.Deadline = time.Now().Add(60 * time.Millisecond)
		notRun(r.manager.Dispatch(ctx, late, nil), v1.CodeDeadlineExceeded)
		So(r.manager.Observations().QueuedInteractive, ShouldEqual, 0)
		release()
	})
	Convey("A task is refused immediately when the queue is full", t, func() {
		r := newHarness("a")
		defer r.close()
		release := fill(r)
		bounded, cancel := context.WithCancel(ctx)
		var waiting []<-chan dispatch.Result
		for index := range maxQueued {
			waiting = append(waiting, r.dispatchAsync(bounded, task(fmt.Sprint("waiting", index))))
		}
		eventually(func() bool { return r.manager.Observations().QueuedInteractive == maxQueued })
		notRun(r.manager.Dispatch(ctx, task("more"), nil), v1.CodeOverloaded)
		cancel()
		for _, results := range waiting {
			So((<-results).Outcome, ShouldEqual, v1.OutcomeNotRun)
		}
		release()
	})
	Convey("A task is refused if its deadline has passed or its pool does not exist", t, func() {
		r := newHarness("a")
		defer r.close()
		late := task("late")
		late.Deadline = time.Now().Add(-time.Second)
		notRun(r.manager.Dispatch(ctx, late, nil), v1.CodeDeadlineExceeded)
		unknownPool := task("lost")
		unknownPool.Pool = "other"
		So(r.manager.Dispatch(ctx, unknownPool, nil).Err.Code, ShouldEqual, v1.CodeNotFound)
	})
	Convey("A leaving engine gets no new requests", t, func() {
		r := newHarness("a", "b")
		defer r.close()
		r.updateView(func(v *cluster.View) { v.Engines[0].Leaving = true })
		for index := range 20 {
			So(r.manager.Dispatch(ctx, task(fmt.Sprint(index)), nil).Engine, ShouldEqual, "e1")
		}
		r.updateView(func(v *cluster.View) { v.Engines[1].Leaving = true })
		notRun(r.manager.Dispatch(ctx, task("none"), nil), v1.CodeUnavailable)
		So(r.engines[0].requests(), ShouldBeEmpty)
	})
	Convey("An engine that refuses as draining gets no new requests, even before the view shows the drain", t, func() {
		r := newHarness("a", "b")
		defer r.close()
		r.engines[0].setScript(refuseWith(enginev1.RefusedDraining))
		started := time.Now()
		for index := range 10 {
			So(r.manager.Dispatch(ctx, task(fmt.Sprint(index)), nil).Engine, ShouldEqual, "e1")
		}
		// One request at first, then at most one per drainingHold, which is two seconds.
		attempts := len(r.engines[0].requests())
		So(attempts, ShouldBeGreaterThanOrEqualTo, 1)
		So(attempts, ShouldBeLessThanOrEqualTo, 1+int(time.Since(started)/(2*time.Second)))
	})
	Convey("An engine that refuses the incarnation gets no requests until the view has a new incarnation", t, func() {
		r := newHarness("a", "b")
		defer r.close()
		r.engines[0].setScript(refuseWith(enginev1.RefusedIncarnation))
		for index := range 10 {
			So(r.manager.Dispatch(ctx, task(fmt.Sprint(index)), nil).Engine, ShouldEqual, "e1")
		}
		So(r.engines[0].requests(), ShouldHaveLength, 1)
		r.engines[0].setScript(completeAnswer)
		r.updateView(func(v *cluster.View) { v.Engines[0].Incarnation = "2" })
		So(r.manager.Dispatch(ctx, task("next"), nil).Engine, ShouldEqual, "e0")
		So(r.engines[0].requests()[1].Incarnation, ShouldEqual, "2")
	})
	Convey("A request that an engine refuses as invalid is not retried", t, func() {
		r := newHarness("a", "b")
		defer r.close()
		r.engines[0].setScript(refuseWith(enginev1.RefusedInvalid))
		result := r.manager.Dispatch(ctx, task("x"), nil)
		So(result.Outcome, ShouldEqual, v1.OutcomeNotRun)
		So(result.Err.Code, ShouldEqual, v1.CodeInvalid)
		So(r.engines[1].requests(), ShouldBeEmpty)
	})
}

func TestLifecycle(t *testing.T) {
	ctx := context.Background()
	Convey("Rollouts leave the interactive reserve free", t, func() {
		r := newHarness("a")
		defer r.close()
		resume := make(chan struct{})
		r.engines[0].setScript(hangAfter(1, resume))
		var rollouts []<-chan dispatch.Result
		for index := range 5 {
			rollout := task(fmt.Sprint("rollout", index))
			rollout.Class = dispatch.ClassRollout
			rollouts = append(rollouts, r.dispatchAsync(ctx, rollout))
		}
		eventually(func() bool {
			observed := r.manager.Observations()
			return observed.InFlightRollout == 3 && observed.QueuedRollout == 2
		})
		lookup := r.dispatchAsync(ctx, task("lookup"))
		eventually(func() bool { return r.manager.Observations().InFlightInteractive == 1 })
		close(resume)
		So((<-lookup).Outcome, ShouldEqual, v1.OutcomeCompleted)
		for _, rollout := range rollouts {
			So((<-rollout).Outcome, ShouldEqual, v1.OutcomeCompleted)
		}
	})
	Convey("Cancelling the context cancels the stream and releases the slot", t, func() {
		r := newHarness("a")
		defer r.close()
		disconnected := make(chan struct{})
		r.engines[0].setScript(func(e *testEngine, w http.ResponseWriter, q *http.Request, c enginev1.CompletionRequest) {
			hangAfter(2, nil)(e, w, q, c)
			close(disconnected)
		})
		cancellable, cancel := context.WithCancel(ctx)
		results := r.dispatchAsync(cancellable, task("x"))
		eventually(func() bool { return len(r.engines[0].requests()) == 1 })
		cancel()
		result := <-results
		<-disconnected
		So(result.Outcome, ShouldEqual, v1.OutcomeUnknown)
		So(r.manager.Observations().InFlightInteractive, ShouldEqual, 0)
	})
	Convey("Drain refuses new tasks and lets running ones finish, even if called twice", t, func() {
		r := newHarness("a")
		defer r.close()
		resume := make(chan struct{})
		r.engines[0].setScript(hangAfter(2, resume))
		results := r.dispatchAsync(ctx, task("x"))
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
	Convey("On stop, tasks in flight end as unknown and queued tasks as not run", t, func() {
		r := newHarness("a")
		defer r.close()
		r.engines[0].setScript(hangAfter(2, nil))
		var running []<-chan dispatch.Result
		for index := range 4 {
			running = append(running, r.dispatchAsync(ctx, task(fmt.Sprint(index))))
		}
		eventually(func() bool {
			return r.manager.Observations().InFlightInteractive == 4 && len(r.engines[0].requests()) == 4
		})
		waiting := r.dispatchAsync(ctx, task("waiting"))
		eventually(func() bool { return r.manager.Observations().QueuedInteractive == 1 })
		r.stop()
		So((<-waiting).Outcome, ShouldEqual, v1.OutcomeNotRun)
		for _, results := range running {
			So((<-results).Outcome, ShouldEqual, v1.OutcomeUnknown)
		}
	})
	Convey("Retries stop at the retry budget when every engine crashes", t, func() {
		r := newHarness("a", "b")
		defer r.close()
		for _, eng := range r.engines {
			eng.setScript(crashAfter(0))
		}
		result := r.manager.Dispatch(ctx, task("x"), nil)
		So(result.Outcome, ShouldEqual, v1.OutcomeUnknown)
		So(result.Attempts, ShouldEqual, 11)
	})
	Convey("MaxTokens of the pool caps the requested length", t, func() {
		r := newHarness("a")
		defer r.close()
		r.updateView(func(v *cluster.View) { v.Pools["pool"].Spec.MaxTokens = 50 })
		for requested, sent := range map[int]int{0: 50, 20: 20, 100: 50} {
			long := task(fmt.Sprint(requested))
			long.MaxTokens = requested
			So(r.manager.Dispatch(ctx, long, nil).Outcome, ShouldEqual, v1.OutcomeCompleted)
			received := r.engines[0].requests()
			So(received[len(received)-1].MaxTokens, ShouldEqual, sent)
		}
	})
	Convey("Explain returns how many engines each filter removes", t, func() {
		r := newHarness("a", "b", "c")
		defer r.close()
		avoiding := task("x")
		avoiding.AvoidEngines = []string{"e0"}
		decision := r.manager.Explain(avoiding)
		So(decision.Engine, ShouldEqual, 1)
		So(fmt.Sprint(decision.Explanation.Removed), ShouldEqual, "[0 1 0 0 1 0 0 0 0]")
	})
}
