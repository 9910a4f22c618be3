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

// deskWorld is a world whose runners hand their runs to workers.
type deskWorld struct {
	*world
	desk atomic.Pointer[itemwork.Desk]
	// cut makes calls to the desk go unanswered.
	cut atomic.Bool
	// reports counts those that workers made.
	reports atomic.Int64
	// workerZone is that of the workers that are started.
	workerZone string
	// held is how long answers to polls are delayed, in nanoseconds.
	held atomic.Int64
	// warmAt is when a cold engine becomes warm.
	warmAt time.Time
}

func playDesk(t *testing.T, name string, scene func(w *deskWorld)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := &deskWorld{world: newWorld(routing.Route{})}
		w.stop()
		w.lead(1)
		defer func() { w.stop() }()
		Convey(name, t, func() { scene(w) })
	})
}

// lead starts a runner with a desk and a term of its own, once the one before has stopped.
func (w *deskWorld) lead(token int64) {
	desk := itemwork.NewDesk(log.NewNopLogger())
	desk.Region = func(zone string) string { return w.state.View().Topology.Region(zone) }
	w.desk.Store(desk)
	w.world.desk = desk
	w.runner, w.stop = w.world.lead(token)
}

// work starts a worker and returns what stops it.
func (w *deskWorld) work(name string) (stop func()) {
	worker := itemwork.NewWorker(itemwork.WorkerParams{
		Name:     name,
		Instance: "first",
		Zone:     w.workerZone,
		Executor: &itemwork.Executor{
			State:     w.state,
			Transport: w.engines,
			Forwarder: forward.New(w.state, w.engines, forward.NewPicker(time.Now), log.NewNopLogger()),
		},
		Coordinator: func() string { return "desk" },
		Poll: func(ctx context.Context, _ string, request itemwork.PollRequest) (itemwork.PollReply, error) {
			if w.cut.Load() {
				<-ctx.Done()
				return itemwork.PollReply{}, ctx.Err()
			}
			return w.hold(w.desk.Load().Poll(ctx, request)), nil
		},
		Report: func(ctx context.Context, _ string, request itemwork.ReportRequest) (itemwork.ReportReply, error) {
			if w.cut.Load() {
				<-ctx.Done()
				return itemwork.ReportReply{}, ctx.Err()
			}
			w.reports.Add(int64(len(request.Reports)))
			return w.desk.Load().Report(request), nil
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

// submit submits a job of some items.
func (w *deskWorld) submit(id string, items int) {
	So(w.runner.Submit(context.Background(), newJob(id, items)), ShouldBeNil)
}

func (w *deskWorld) shouldBeWhole(results []batch.Result, items int) {
	So(len(results), ShouldEqual, items)
	for _, result := range results {
		So(result, ShouldResemble, batch.Result{ID: result.ID, Text: w.wholeText(), Versions: []int64{1}, Score: "signed"})
	}
}

// endingQuota ends the term while a run is placed.
type endingQuota struct {
	stop func()
	desk *itemwork.Desk
}

func (q endingQuota) Cold(*fleet.Engine) bool               { return true }
func (q endingQuota) Free(*fleet.Engine, routing.Rank) bool { return true }

// Take returns once the desk has let go of its workers.
func (q endingQuota) Take(*fleet.Engine, routing.Rank) bool {
	go q.stop()
	for q.desk.Workers() > 0 {
		runtime.Gosched()
	}
	return true
}

func TestTermEndsWhilePlacing(t *testing.T) {
	playDesk(t, "A run that is placed while the term ends is not carried out by the process that led, and the next term makes the text once", func(w *deskWorld) {
		w.stop()
		var ending endingQuota
		w.quota = &ending
		w.lead(2)
		defer w.work("one")()
		var ended sync.WaitGroup
		ended.Add(1)
		ending.desk = w.desk.Load()
		ending.stop = func() {
			w.stop()
			ended.Done()
		}
		w.submit("j", 1)
		ended.Wait()
		So(w.engines.count(), ShouldEqual, 0)
		w.quota = nil
		w.lead(3)
		w.shouldBeWhole(w.results("j", 3*time.Second), 1)
		So(len(w.engines.of("j-0")), ShouldEqual, 1)
	})
}

func TestWorkers(t *testing.T) {
	playDesk(t, "Items that workers run get one whole result each, from one run", func(w *deskWorld) {
		defer w.work("one")()
		defer w.work("two")()
		w.submit("j", 6)
		w.shouldBeWhole(w.results("j", 2*time.Second), 6)
		for i := range 6 {
			So(len(w.engines.of(fmt.Sprintf("j-%d", i))), ShouldEqual, 1)
		}
	})
	playDesk(t, "A later term takes over what workers hold: runs that last, ended ones, and none is begun again", func(w *deskWorld) {
		defer w.work("one")()
		w.engines.set("b", behaviour{pause: 100 * time.Millisecond})
		w.submit("j", 4)
		time.Sleep(300 * time.Millisecond)
		w.stop()
		time.Sleep(500 * time.Millisecond)
		w.lead(2)
		w.shouldBeWhole(w.results("j", 3*time.Second), 4)
		for i := range 4 {
			So(len(w.engines.of(fmt.Sprintf("j-%d", i))), ShouldEqual, 1)
		}
	})
	playDesk(t, "A worker that stops tells what its runs have made: the items go on after it", func(w *deskWorld) {
		stop := w.work("one")
		w.submit("j", 1)
		time.Sleep(150 * time.Millisecond)
		stop()
		w.shouldBeWhole(w.results("j", 4*time.Second), 1)
		runs := w.engines.of("j-0")
		So(len(runs), ShouldEqual, 2)
		So(runs[1].from, ShouldBeGreaterThan, 3)
	})
	playDesk(t, "The items of a worker that is not heard of any more go on elsewhere within 2 s, after what it has told", func(w *deskWorld) {
		defer w.work("one")()
		w.engines.set("a", behaviour{pause: 100 * time.Millisecond})
		w.engines.set("b", behaviour{pause: 100 * time.Millisecond})
		w.submit("j", 1)
		time.Sleep(700 * time.Millisecond)
		w.cut.Store(true)
		time.Sleep(2500 * time.Millisecond)
		runs := w.engines.of("j-0")
		So(len(runs), ShouldEqual, 2)
		So(runs[1].from, ShouldBeGreaterThan, 2)
		w.shouldBeWhole(w.results("j", 2*time.Second), 1)
	})
	playDesk(t, "A worker that hears nothing of the coordinator begins no reward call", func(w *deskWorld) {
		defer w.work("one")()
		w.engines.set("a", behaviour{pause: 150 * time.Millisecond})
		w.engines.set("b", behaviour{pause: 150 * time.Millisecond})
		w.submit("j", 1)
		time.Sleep(100 * time.Millisecond)
		w.cut.Store(true)
		w.stop()
		time.Sleep(5 * time.Second)
		So(len(w.engines.of("j-0")), ShouldEqual, 1)
		So(w.engines.of("reward-j-0"), ShouldBeEmpty)
		w.cut.Store(false)
		w.lead(2)
		w.shouldBeWhole(w.results("j", time.Second), 1)
		So(len(w.engines.of("reward-j-0")), ShouldEqual, 1)
	})
}

// A step of 88 items waited 6.4 s longer: its longest item, whose run had gone on from the step before, was begun anew after a change of
// coordinator, though its worker held the whole text.
func TestCarriedRunOutlivesTerm(t *testing.T) {
	for name, wait := range map[string]time.Duration{"that lasts": 200 * time.Millisecond, "that ended while nobody led": 1500 * time.Millisecond} {
		playDesk(t, "A run "+name+", begun for one job and carried over into the next, is taken over by a later term", func(w *deskWorld) {
			defer w.work("one")()
			w.engines.set("a", behaviour{pause: 100 * time.Millisecond, version: 2})
			w.engines.set("b", behaviour{pause: 100 * time.Millisecond, version: 2})
			w.submit("j", 1)
			time.Sleep(700 * time.Millisecond)
			So(w.runner.End(context.Background(), batch.Ref{ID: "j"}), ShouldBeNil)
			next := newJob("k", 1)
			next.Step, next.MinVersion, next.Items = 1, 2, newJob("j", 1).Items
			So(w.runner.Submit(context.Background(), next), ShouldBeNil)
			time.Sleep(100 * time.Millisecond)
			w.stop()
			time.Sleep(wait)
			w.lead(2)
			results := w.results("k", 3*time.Second)
			So(results, ShouldHaveLength, 1)
			So(results[0].Text, ShouldEqual, w.wholeText())
			So(results[0].Score, ShouldEqual, "signed")
			So(len(w.engines.of("j-0")), ShouldEqual, 1)
			So(len(w.engines.of("reward-j-0")), ShouldEqual, 1)
		})
	}
	playDesk(t, "A run of another tenant's item of the same name is not", func(w *deskWorld) {
		worker := w.handWorker()
		job := newJob("j", 1)
		job.Tenant = "alpha"
		So(w.runner.Submit(context.Background(), job), ShouldBeNil)
		started := worker.stay(1)
		So(len(started), ShouldEqual, 1)
		So(w.runner.End(context.Background(), batch.Ref{ID: "j", Tenant: "alpha"}), ShouldBeNil)
		other := newJob("k", 1)
		other.Tenant, other.Step, other.Items = "beta", 1, newJob("j", 1).Items
		So(w.runner.Submit(context.Background(), other), ShouldBeNil)
		w.stop()
		w.lead(2)
		worker = w.handWorker()
		So(worker.report(started[0], itemwork.VerdictNone, itemwork.Judgement{}), ShouldResemble, []itemwork.RunID{started[0].Run})
	})
}

// A reward call may run as long as an item may after its job's end: a worker that is cut off does not know of that end.
func TestLateAdoption(t *testing.T) {
	playDesk(t, "A text that a worker tells of late goes before what was begun anew meanwhile", func(w *deskWorld) {
		defer w.work("one")()
		w.engines.events = 100
		w.engines.set("a", behaviour{pause: 50 * time.Millisecond})
		w.engines.set("b", behaviour{pause: 50 * time.Millisecond})
		w.submit("j", 1)
		time.Sleep(4 * time.Second)
		w.stop()
		w.cut.Store(true)
		w.lead(2)
		time.Sleep(500 * time.Millisecond)
		So(w.engines.of("j-0"), ShouldHaveLength, 2)
		w.cut.Store(false)
		w.shouldBeWhole(w.results("j", 2*time.Second), 1)
	})
}

func TestRewardCallWithoutCoordinator(t *testing.T) {
	playDesk(t, "A reward call of a worker that is cut off ends before items of an ended job must not run any more", func(w *deskWorld) {
		defer w.work("one")()
		w.engines.set("j", behaviour{hangs: true})
		w.submit("j", 1)
		time.Sleep(700 * time.Millisecond)
		w.cut.Store(true)
		cutAt := time.Now()
		time.Sleep(6 * time.Second)
		calls := w.engines.of("reward-j-0")
		So(calls, ShouldNotBeEmpty)
		// The coordinator calls by itself once it has lost the worker.
		So(calls[0].at, ShouldHappenBefore, cutAt)
		So(calls[0].ended, ShouldHappenBefore, cutAt.Add(2500*time.Millisecond))
	})
}

func TestTakeoverIsToldOnce(t *testing.T) {
	playDesk(t, "A worker tells a later term once of a text that is whole and waits for its reward call", func(w *deskWorld) {
		// The desks of the two terms meet the worker under different numbers.
		w.work("first")()
		defer w.work("one")()
		w.engines.set("j", behaviour{hangs: true})
		w.submit("j", 1)
		time.Sleep(700 * time.Millisecond)
		w.stop()
		before := w.reports.Load()
		w.lead(2)
		time.Sleep(time.Second)
		So(w.reports.Load()-before, ShouldEqual, 1)
	})
}

// A reward call reached an engine 3.3 s after the end of its job was acknowledged.
func TestEndWhileWorkerIsLost(t *testing.T) {
	playDesk(t, "A worker that was lost while a job ended makes no reward call for it once it is met again", func(w *deskWorld) {
		defer w.work("one")()
		w.engines.set("j", behaviour{hangs: true})
		w.submit("j", 1)
		time.Sleep(700 * time.Millisecond)
		So(w.engines.of("reward-j-0"), ShouldHaveLength, 1)
		w.cut.Store(true)
		time.Sleep(3 * time.Second)
		So(w.runner.End(context.Background(), batch.Ref{ID: "j"}), ShouldBeNil)
		w.cut.Store(false)
		time.Sleep(500 * time.Millisecond)
		calls := len(w.engines.of("reward-j-0"))
		time.Sleep(10 * time.Second)
		So(w.engines.of("reward-j-0"), ShouldHaveLength, calls)
		for _, call := range w.engines.of("reward-j-0") {
			So(call.ended, ShouldNotBeZeroValue)
		}
	})
}

// handWorker is a worker whose calls the test makes.
type handWorker struct {
	desk  *itemwork.Desk
	id    itemwork.WorkerID
	term  int64
	taken uint64
}

func (w *deskWorld) handWorker() *handWorker {
	worker := &handWorker{desk: w.desk.Load(), id: itemwork.WorkerID{Name: "hand", Instance: "first"}}
	worker.poll()
	return worker
}

// poll returns the orders that are new.
func (h *handWorker) poll() []itemwork.Order {
	reply := h.desk.Poll(context.Background(), itemwork.PollRequest{Worker: h.id, Term: h.term, Taken: h.taken})
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

// stay polls for some seconds and returns the runs that were to begin.
func (h *handWorker) stay(seconds int) (started []*itemwork.Assignment) {
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

// report reports on a run with a text of one event, and returns the runs that are not wanted.
func (h *handWorker) report(assignment *itemwork.Assignment, end itemwork.Verdict, judgement itemwork.Judgement) []itemwork.RunID {
	return h.tell(assignment, end, judgement).Unwanted
}

// tell reports on a run with a text of one event, and returns the answer.
func (h *handWorker) tell(assignment *itemwork.Assignment, end itemwork.Verdict, judgement itemwork.Judgement) itemwork.ReportReply {
	reply := h.desk.Report(itemwork.ReportRequest{Worker: h.id, Term: h.term, Reports: []itemwork.Report{{
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

// A step of Cairnpath grown's quiet day waited for one item of 80: an order to move the item met the end of its stream, and the
// worker broke the reward call off.
func TestAbortedRewardCall(t *testing.T) {
	playDesk(t, "A reward call that a worker broke off is made again", func(w *deskWorld) {
		worker := w.handWorker()
		w.submit("j", 1)
		started := worker.stay(1)
		So(len(started), ShouldEqual, 1)
		worker.report(started[0], itemwork.VerdictWhole, itemwork.Judgement{})
		worker.report(started[0], itemwork.VerdictWhole, itemwork.Judgement{State: itemwork.JudgementAborted})
		results := w.results("j", time.Second)
		So(results, ShouldResemble, []batch.Result{{ID: "j-0", Text: "e1", Versions: []int64{1}, Score: "signed"}})
		So(len(w.engines.of("reward-j-0")), ShouldEqual, 1)
	})
}

// A step of Cairnpath's trouble-3 stood for 10 s: a worker that had been frozen took the orders that came afterwards for old ones.
func TestWorkerMetAgain(t *testing.T) {
	playDesk(t, "A worker that was lost and is met again gets orders that it does not take for old ones", func(w *deskWorld) {
		worker := w.handWorker()
		w.submit("j", 3)
		So(len(worker.stay(1)), ShouldEqual, 3)
		time.Sleep(5 * time.Second)
		worker.poll()
		w.submit("k", 1)
		So(len(worker.stay(1)), ShouldEqual, 1)
	})
	playDesk(t, "A run of which a worker tells nothing is begun again elsewhere, though the worker calls", func(w *deskWorld) {
		worker := w.handWorker()
		w.submit("j", 1)
		So(len(worker.stay(2)), ShouldEqual, 1)
		So(len(worker.stay(3)), ShouldEqual, 1)
	})
}

// Slots of engines stayed taken after the end of a job whose runs were told to be unwanted.
func TestSlotsAfterEnd(t *testing.T) {
	playDesk(t, "The slots of an ended job's runs are free once their streams have ended, and not before", func(w *deskWorld) {
		w.state.SetEngineList([]*fleet.Engine{{ID: "a", Service: "pool", Slots: 1, Ready: true, Versions: map[string]int64{model: 1}}})
		worker := w.handWorker()
		w.submit("j", 1)
		started := worker.stay(1)
		So(len(started), ShouldEqual, 1)
		So(w.runner.End(context.Background(), batch.Ref{ID: "j"}), ShouldBeNil)
		So(worker.report(started[0], itemwork.VerdictNone, itemwork.Judgement{}), ShouldResemble, []itemwork.RunID{started[0].Run})
		w.submit("k", 1)
		So(worker.stay(1), ShouldBeEmpty)
		worker.report(started[0], itemwork.VerdictCanceled, itemwork.Judgement{})
		So(len(worker.stay(1)), ShouldEqual, 1)
	})
	playDesk(t, "A failure that is reported twice counts once", func(w *deskWorld) {
		worker := w.handWorker()
		w.submit("j", 1)
		for range 2 {
			started := worker.stay(1)
			So(len(started), ShouldEqual, 1)
			for range 3 {
				worker.report(started[0], itemwork.VerdictFailed, itemwork.Judgement{})
			}
		}
		So(w.results("j", time.Second), ShouldBeEmpty)
	})
}
