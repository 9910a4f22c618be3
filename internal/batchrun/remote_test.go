package batchrun_test

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/batch"
	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/forward"
	"github.com/covelink/covelink/internal/itemwork"
	"github.com/covelink/covelink/internal/routing"
)

// workerHarness is a harness whose runners dispatch their runs to workers.
type workerHarness struct {
	*harness
	dispatcher atomic.Pointer[itemwork.Dispatcher]
	// disconnected makes calls to the dispatcher time out.
	disconnected atomic.Bool
	// reports counts the reports sent by workers.
	reports atomic.Int64
	// workerZone is the zone of workers started afterwards.
	workerZone string
	// pollDelay is the delay of replies to polls, in nanoseconds.
	pollDelay atomic.Int64
	// warmAt is when the cold engine becomes warm.
	warmAt time.Time
}

func runWorkerScenario(t *testing.T, name string, scenario func(h *workerHarness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		h := &workerHarness{harness: newHarness(routing.Route{})}
		h.stop()
		h.startTerm(1)
		defer func() { h.stop() }()
		Convey(name, t, func() { scenario(h) })
	})
}

// startTerm starts a runner with a new dispatcher that leads with the given token. The previous runner must have stopped.
func (h *workerHarness) startTerm(token int64) {
	dispatcher := itemwork.NewDispatcher(log.NewNopLogger())
	dispatcher.Region = func(zone string) string { return h.state.View().Topology.Region(zone) }
	h.dispatcher.Store(dispatcher)
	h.harness.dispatcher = dispatcher
	h.runner, h.stop = h.harness.startTerm(token)
}

// startWorker starts a worker and returns a function that stops it.
func (h *workerHarness) startWorker(name string) (stop func()) {
	worker := itemwork.NewWorker(itemwork.WorkerParams{
		Name:     name,
		Instance: "first",
		Zone:     h.workerZone,
		Executor: &itemwork.Executor{
			State:     h.state,
			Transport: h.engines,
			Forwarder: forward.New(h.state, h.engines, forward.NewPicker(time.Now), log.NewNopLogger()),
		},
		Coordinator: func() string { return "desk" },
		Poll: func(ctx context.Context, _ string, request itemwork.PollRequest) (itemwork.PollReply, error) {
			if h.disconnected.Load() {
				<-ctx.Done()
				return itemwork.PollReply{}, ctx.Err()
			}
			return h.delayPoll(h.dispatcher.Load().Poll(ctx, request)), nil
		},
		Report: func(ctx context.Context, _ string, request itemwork.ReportRequest) (itemwork.ReportReply, error) {
			if h.disconnected.Load() {
				<-ctx.Done()
				return itemwork.ReportReply{}, ctx.Err()
			}
			h.reports.Add(int64(len(request.Reports)))
			return h.dispatcher.Load().Report(request), nil
		},
		Draining: func() bool { return false },
		Logger:   log.NewNopLogger(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		worker.Run(ctx)
		close(done)
	}()
	time.Sleep(time.Second)
	return func() {
		cancel()
		<-done
	}
}

func (h *workerHarness) submit(id string, items int) {
	So(h.runner.Submit(context.Background(), newJob(id, items)), ShouldBeNil)
}

func (h *workerHarness) shouldBeComplete(results []batch.Result, items int) {
	So(len(results), ShouldEqual, items)
	for _, result := range results {
		So(result, ShouldResemble, batch.Result{ID: result.ID, Text: h.completeText(), Versions: []int64{1}, Score: "signed"})
	}
}

// endingQuota ends the term while a run is being placed.
type endingQuota struct {
	stop       func()
	dispatcher *itemwork.Dispatcher
}

func (q endingQuota) Cold(*fleet.Engine) bool                    { return true }
func (q endingQuota) Available(*fleet.Engine, routing.Rank) bool { return true }

// TryAcquire returns once the dispatcher has dropped its workers.
func (q endingQuota) TryAcquire(*fleet.Engine, routing.Rank) bool {
	go q.stop()
	for q.dispatcher.Workers() > 0 {
		runtime.Gosched()
	}
	return true
}

func TestTermEndsWhilePlacing(t *testing.T) {
	runWorkerScenario(t, "A run placed while the term ends is not executed by the former leader, and the next term executes it once", func(h *workerHarness) {
		h.stop()
		var ending endingQuota
		h.quota = &ending
		h.startTerm(2)
		defer h.startWorker("one")()
		var ended sync.WaitGroup
		ended.Add(1)
		ending.dispatcher = h.dispatcher.Load()
		ending.stop = func() {
			h.stop()
			ended.Done()
		}
		h.submit("j", 1)
		ended.Wait()
		So(h.engines.count(), ShouldEqual, 0)
		h.quota = nil
		h.startTerm(3)
		h.shouldBeComplete(h.results("j", 3*time.Second), 1)
		So(len(h.engines.executionsOf("j-0")), ShouldEqual, 1)
	})
}

func TestWorkers(t *testing.T) {
	runWorkerScenario(t, "Items run by workers get one complete result each, from one run", func(h *workerHarness) {
		defer h.startWorker("one")()
		defer h.startWorker("two")()
		h.submit("j", 6)
		h.shouldBeComplete(h.results("j", 2*time.Second), 6)
		for i := range 6 {
			So(len(h.engines.executionsOf(fmt.Sprintf("j-%d", i))), ShouldEqual, 1)
		}
	})
	runWorkerScenario(t, "A later term adopts the ongoing and ended runs of workers, and restarts none", func(h *workerHarness) {
		defer h.startWorker("one")()
		h.engines.setBehavior("b", engineBehavior{pause: 100 * time.Millisecond})
		h.submit("j", 4)
		time.Sleep(300 * time.Millisecond)
		h.stop()
		time.Sleep(500 * time.Millisecond)
		h.startTerm(2)
		h.shouldBeComplete(h.results("j", 3*time.Second), 4)
		for i := range 4 {
			So(len(h.engines.executionsOf(fmt.Sprintf("j-%d", i))), ShouldEqual, 1)
		}
	})
	runWorkerScenario(t, "A worker that stops reports its runs' texts, and the items resume from them", func(h *workerHarness) {
		stop := h.startWorker("one")
		h.submit("j", 1)
		time.Sleep(150 * time.Millisecond)
		stop()
		h.shouldBeComplete(h.results("j", 4*time.Second), 1)
		executions := h.engines.executionsOf("j-0")
		So(len(executions), ShouldEqual, 2)
		So(executions[1].from, ShouldBeGreaterThan, 3)
	})
	runWorkerScenario(t, "The items of a lost worker resume elsewhere within 2 s, after their last reported event", func(h *workerHarness) {
		defer h.startWorker("one")()
		h.engines.setBehavior("a", engineBehavior{pause: 100 * time.Millisecond})
		h.engines.setBehavior("b", engineBehavior{pause: 100 * time.Millisecond})
		h.submit("j", 1)
		time.Sleep(700 * time.Millisecond)
		h.disconnected.Store(true)
		time.Sleep(2500 * time.Millisecond)
		executions := h.engines.executionsOf("j-0")
		So(len(executions), ShouldEqual, 2)
		So(executions[1].from, ShouldBeGreaterThan, 2)
		h.shouldBeComplete(h.results("j", 2*time.Second), 1)
	})
	runWorkerScenario(t, "A worker without contact to the coordinator starts no reward call", func(h *workerHarness) {
		defer h.startWorker("one")()
		h.engines.setBehavior("a", engineBehavior{pause: 150 * time.Millisecond})
		h.engines.setBehavior("b", engineBehavior{pause: 150 * time.Millisecond})
		h.submit("j", 1)
		time.Sleep(100 * time.Millisecond)
		h.disconnected.Store(true)
		h.stop()
		time.Sleep(5 * time.Second)
		So(len(h.engines.executionsOf("j-0")), ShouldEqual, 1)
		So(h.engines.executionsOf("reward-j-0"), ShouldBeEmpty)
		h.disconnected.Store(false)
		h.startTerm(2)
		h.shouldBeComplete(h.results("j", time.Second), 1)
		So(len(h.engines.executionsOf("reward-j-0")), ShouldEqual, 1)
	})
}

// Guards against a carried-over item being restarted after a change of coordinator although its worker holds the whole text.
func TestCarriedRunOutlivesTerm(t *testing.T) {
	for name, wait := range map[string]time.Duration{"still streaming": 200 * time.Millisecond, "that ended while nobody led": 1500 * time.Millisecond} {
		runWorkerScenario(t, "A run "+name+", started for one job and carried over into the next, is adopted by a later term", func(h *workerHarness) {
			defer h.startWorker("one")()
			h.engines.setBehavior("a", engineBehavior{pause: 100 * time.Millisecond, version: 2})
			h.engines.setBehavior("b", engineBehavior{pause: 100 * time.Millisecond, version: 2})
			h.submit("j", 1)
			time.Sleep(700 * time.Millisecond)
			So(h.runner.End(context.Background(), batch.Ref{ID: "j"}), ShouldBeNil)
			next := newJob("k", 1)
			next.Step, next.MinVersion, next.Items = 1, 2, newJob("j", 1).Items
			So(h.runner.Submit(context.Background(), next), ShouldBeNil)
			time.Sleep(100 * time.Millisecond)
			h.stop()
			time.Sleep(wait)
			h.startTerm(2)
			results := h.results("k", 3*time.Second)
			So(results, ShouldHaveLength, 1)
			So(results[0].Text, ShouldEqual, h.completeText())
			So(results[0].Score, ShouldEqual, "signed")
			So(len(h.engines.executionsOf("j-0")), ShouldEqual, 1)
			So(len(h.engines.executionsOf("reward-j-0")), ShouldEqual, 1)
		})
	}
	runWorkerScenario(t, "A run of another tenant's item of the same name is not adopted", func(h *workerHarness) {
		worker := h.newScriptedWorker()
		job := newJob("j", 1)
		job.Tenant = "alpha"
		So(h.runner.Submit(context.Background(), job), ShouldBeNil)
		started := worker.pollFor(1)
		So(len(started), ShouldEqual, 1)
		So(h.runner.End(context.Background(), batch.Ref{ID: "j", Tenant: "alpha"}), ShouldBeNil)
		other := newJob("k", 1)
		other.Tenant, other.Step, other.Items = "beta", 1, newJob("j", 1).Items
		So(h.runner.Submit(context.Background(), other), ShouldBeNil)
		h.stop()
		h.startTerm(2)
		worker = h.newScriptedWorker()
		So(worker.report(started[0], itemwork.VerdictNone, itemwork.Judgement{}), ShouldResemble, []itemwork.RunID{started[0].Run})
	})
}

// Guards against losing the longer text of a worker that reports only after its item was restarted.
func TestLateAdoption(t *testing.T) {
	runWorkerScenario(t, "A longer text that a worker reports late replaces the run started meanwhile", func(h *workerHarness) {
		defer h.startWorker("one")()
		h.engines.events = 100
		h.engines.setBehavior("a", engineBehavior{pause: 50 * time.Millisecond})
		h.engines.setBehavior("b", engineBehavior{pause: 50 * time.Millisecond})
		h.submit("j", 1)
		time.Sleep(4 * time.Second)
		h.stop()
		h.disconnected.Store(true)
		h.startTerm(2)
		time.Sleep(500 * time.Millisecond)
		So(h.engines.executionsOf("j-0"), ShouldHaveLength, 2)
		h.disconnected.Store(false)
		h.shouldBeComplete(h.results("j", 2*time.Second), 1)
	})
}

// Guards against a reward call that a disconnected worker continues after the end of its job.
func TestRewardCallWithoutCoordinator(t *testing.T) {
	runWorkerScenario(t, "A reward call of a disconnected worker ends before the time at which items of an ended job must have stopped", func(h *workerHarness) {
		defer h.startWorker("one")()
		h.engines.setBehavior("j", engineBehavior{hangs: true})
		h.submit("j", 1)
		time.Sleep(700 * time.Millisecond)
		h.disconnected.Store(true)
		cutAt := time.Now()
		time.Sleep(6 * time.Second)
		calls := h.engines.executionsOf("reward-j-0")
		So(calls, ShouldNotBeEmpty)
		// The coordinator makes the call itself once it has lost the worker.
		So(calls[0].at, ShouldHappenBefore, cutAt)
		So(calls[0].ended, ShouldHappenBefore, cutAt.Add(2500*time.Millisecond))
	})
}

func TestTakeoverIsReportedOnce(t *testing.T) {
	runWorkerScenario(t, "A worker reports a complete text that waits for its reward call once to a later term", func(h *workerHarness) {
		// Makes the desks of the two terms number the worker differently.
		h.startWorker("first")()
		defer h.startWorker("one")()
		h.engines.setBehavior("j", engineBehavior{hangs: true})
		h.submit("j", 1)
		time.Sleep(700 * time.Millisecond)
		h.stop()
		before := h.reports.Load()
		h.startTerm(2)
		time.Sleep(time.Second)
		So(h.reports.Load()-before, ShouldEqual, 1)
	})
}

// Guards against a reward call sent after the end of its job was acknowledged.
func TestEndWhileWorkerIsLost(t *testing.T) {
	runWorkerScenario(t, "A worker that was lost while a job ended makes no reward call for it after reconnecting", func(h *workerHarness) {
		defer h.startWorker("one")()
		h.engines.setBehavior("j", engineBehavior{hangs: true})
		h.submit("j", 1)
		time.Sleep(700 * time.Millisecond)
		So(h.engines.executionsOf("reward-j-0"), ShouldHaveLength, 1)
		h.disconnected.Store(true)
		time.Sleep(3 * time.Second)
		So(h.runner.End(context.Background(), batch.Ref{ID: "j"}), ShouldBeNil)
		h.disconnected.Store(false)
		time.Sleep(500 * time.Millisecond)
		calls := len(h.engines.executionsOf("reward-j-0"))
		time.Sleep(10 * time.Second)
		So(h.engines.executionsOf("reward-j-0"), ShouldHaveLength, calls)
		for _, call := range h.engines.executionsOf("reward-j-0") {
			So(call.ended, ShouldNotBeZeroValue)
		}
	})
}

// scriptedWorker is a worker whose calls the test makes.
type scriptedWorker struct {
	dispatcher *itemwork.Dispatcher
	id         itemwork.WorkerID
	term       int64
	taken      uint64
}

func (h *workerHarness) newScriptedWorker() *scriptedWorker {
	worker := &scriptedWorker{dispatcher: h.dispatcher.Load(), id: itemwork.WorkerID{Name: "hand", Instance: "first"}}
	worker.poll()
	return worker
}

// poll returns the new orders.
func (h *scriptedWorker) poll() []itemwork.Order {
	reply := h.dispatcher.Poll(context.Background(), itemwork.PollRequest{Worker: h.id, Term: h.term, Taken: h.taken})
	h.term = reply.Term
	var orders []itemwork.Order
	for _, order := range reply.Orders {
		if order.Number > h.taken {
			h.taken = order.Number
			orders = append(orders, order)
		}
	}
	return orders
}

// pollFor polls for the given number of seconds and returns the runs to start.
func (h *scriptedWorker) pollFor(seconds int) (started []*itemwork.Assignment) {
	until := time.Now().Add(time.Duration(seconds) * time.Second)
	for time.Now().Before(until) {
		for _, order := range h.poll() {
			if order.Start != nil {
				started = append(started, order.Start)
			}
		}
	}
	return started
}

// report reports a run with a text of one event, and returns the unwanted runs.
func (h *scriptedWorker) report(assignment *itemwork.Assignment, end itemwork.Verdict, judgement itemwork.Judgement) []itemwork.RunID {
	return h.sendReport(assignment, end, judgement).Unwanted
}

// sendReport reports a run with a text of one event, and returns the reply.
func (h *scriptedWorker) sendReport(assignment *itemwork.Assignment, end itemwork.Verdict, judgement itemwork.Judgement) itemwork.ReportReply {
	reply := h.dispatcher.Report(itemwork.ReportRequest{Worker: h.id, Term: h.term, Reports: []itemwork.Report{{
		Run:       assignment.Run,
		Job:       assignment.Job,
		Item:      assignment.Item,
		Tenant:    assignment.Tenant,
		Engine:    assignment.Engine.ID,
		Segments:  []itemwork.Segment{{Version: 1, Events: []string{"e1"}}},
		LastID:    1,
		Version:   1,
		End:       itemwork.End{Verdict: end},
		Judgement: judgement,
	}}})
	So(reply.Leading, ShouldBeTrue)
	return reply
}

// Guards against an item left waiting when an order to move it arrives at the end of its stream and the worker aborts the reward call.
func TestAbortedRewardCall(t *testing.T) {
	runWorkerScenario(t, "A reward call that a worker aborted is made again", func(h *workerHarness) {
		worker := h.newScriptedWorker()
		h.submit("j", 1)
		started := worker.pollFor(1)
		So(len(started), ShouldEqual, 1)
		worker.report(started[0], itemwork.VerdictComplete, itemwork.Judgement{})
		worker.report(started[0], itemwork.VerdictComplete, itemwork.Judgement{State: itemwork.JudgementAborted})
		results := h.results("j", time.Second)
		So(results, ShouldResemble, []batch.Result{{ID: "j-0", Text: "e1", Versions: []int64{1}, Score: "signed"}})
		So(len(h.engines.executionsOf("reward-j-0")), ShouldEqual, 1)
	})
}

// Guards against a worker that was paused discarding new orders as old ones.
func TestReconnectedWorker(t *testing.T) {
	runWorkerScenario(t, "A worker that was lost and reconnects does not discard new orders as old ones", func(h *workerHarness) {
		worker := h.newScriptedWorker()
		h.submit("j", 3)
		So(len(worker.pollFor(1)), ShouldEqual, 3)
		time.Sleep(5 * time.Second)
		worker.poll()
		h.submit("k", 1)
		So(len(worker.pollFor(1)), ShouldEqual, 1)
	})
	runWorkerScenario(t, "A run that a worker does not report is restarted, even though the worker polls", func(h *workerHarness) {
		worker := h.newScriptedWorker()
		h.submit("j", 1)
		So(len(worker.pollFor(2)), ShouldEqual, 1)
		So(len(worker.pollFor(3)), ShouldEqual, 1)
	})
}

// Guards against leaked engine slots after the end of a job whose runs are unwanted.
func TestSlotsAfterEnd(t *testing.T) {
	runWorkerScenario(t, "The slots of an ended job's runs are freed once their streams have ended, and not before", func(h *workerHarness) {
		h.state.SetEngineList([]*fleet.Engine{{ID: "a", Service: "pool", Slots: 1, Ready: true, Versions: map[string]int64{model: 1}}})
		worker := h.newScriptedWorker()
		h.submit("j", 1)
		started := worker.pollFor(1)
		So(len(started), ShouldEqual, 1)
		So(h.runner.End(context.Background(), batch.Ref{ID: "j"}), ShouldBeNil)
		So(worker.report(started[0], itemwork.VerdictNone, itemwork.Judgement{}), ShouldResemble, []itemwork.RunID{started[0].Run})
		h.submit("k", 1)
		So(worker.pollFor(1), ShouldBeEmpty)
		worker.report(started[0], itemwork.VerdictCanceled, itemwork.Judgement{})
		So(len(worker.pollFor(1)), ShouldEqual, 1)
	})
	runWorkerScenario(t, "A failure that is reported twice counts once", func(h *workerHarness) {
		worker := h.newScriptedWorker()
		h.submit("j", 1)
		for range 2 {
			started := worker.pollFor(1)
			So(len(started), ShouldEqual, 1)
			for range 3 {
				worker.report(started[0], itemwork.VerdictFailed, itemwork.Judgement{})
			}
		}
		So(h.results("j", time.Second), ShouldBeEmpty)
	})
}
