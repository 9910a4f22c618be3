package batchrun_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/batch"
	"github.com/covelink/covelink/internal/batchrun"
	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/forward"
	"github.com/covelink/covelink/internal/metastore"
	"github.com/covelink/covelink/internal/metastore/metastoretest"
	"github.com/covelink/covelink/internal/routing"
)

func TestItemsRun(t *testing.T) {
	runScenario(t, "Every item gets one complete result with its score", func(h *harness) {
		So(h.runner.Submit(context.Background(), newJob("job", 10)), ShouldBeNil)
		So(h.runner.Submit(context.Background(), newJob("job", 10)), ShouldBeNil)
		results := h.results("job", 3*time.Second)
		So(len(results), ShouldEqual, 10)
		for _, r := range results {
			So(r, ShouldResemble, batch.Result{ID: r.ID, State: batch.Done, Text: h.completeText(), Versions: []int64{1}, Score: "signed"})
			So(len(h.engines.executionsOf(r.ID)), ShouldEqual, 1)
		}
	})
	runScenario(t, "A broken stream resumes after its last event", func(h *harness) {
		h.engines.setBehavior("a", engineBehavior{pause: 20 * time.Millisecond, breakAfter: 7})
		h.engines.setBehavior("b", engineBehavior{pause: 20 * time.Millisecond, breakAfter: 7})
		So(h.runner.Submit(context.Background(), newJob("job", 1)), ShouldBeNil)
		results := h.results("job", 10*time.Second)
		So(len(results), ShouldEqual, 1)
		So(results[0].Text, ShouldEqual, h.completeText())
		executions := h.engines.executionsOf("job-0")
		So(len(executions), ShouldEqual, 3)
		So(executions[1].from, ShouldEqual, 7)
		So(executions[2].from, ShouldEqual, 14)
	})
	runScenario(t, "An item on a silent engine is retried elsewhere within 2 s", func(h *harness) {
		h.engines.setBehavior("a", engineBehavior{silent: true})
		So(h.runner.Submit(context.Background(), newJob("job", 4)), ShouldBeNil)
		results := h.results("job", 4*time.Second)
		So(len(results), ShouldEqual, 4)
	})
	// Guards against long items that stay on a slow engine and delay their step.
	runScenario(t, "An item on a slow engine resumes elsewhere after its last event, once the first run has ended", func(h *harness) {
		h.engines.events = 100
		h.engines.setBehavior("a", engineBehavior{pause: 200 * time.Millisecond})
		h.engines.setBehavior("b", engineBehavior{pause: 20 * time.Millisecond})
		So(h.runner.Submit(context.Background(), newJob("job", 8)), ShouldBeNil)
		results := h.results("job", 6*time.Second)
		So(len(results), ShouldEqual, 8)
		for _, r := range results {
			So(r.Text, ShouldEqual, h.completeText())
			executions := h.engines.executionsOf(r.ID)
			for i := 1; i < len(executions); i++ {
				So(executions[i].at, ShouldHappenOnOrAfter, executions[i-1].ended)
			}
		}
	})
}

func TestItemsGivenUp(t *testing.T) {
	runScenario(t, "An item that an engine rejects permanently is dead after one attempt", func(h *harness) {
		h.engines.setBehavior("a", engineBehavior{status: http.StatusUnprocessableEntity})
		h.engines.setBehavior("b", engineBehavior{status: http.StatusUnprocessableEntity})
		So(h.runner.Submit(context.Background(), newJob("job", 1)), ShouldBeNil)
		So(h.results("job", 2*time.Second), ShouldResemble, []batch.Result{{ID: "job-0", State: batch.Dead}})
		So(len(h.engines.executionsOf("job-0")), ShouldEqual, 1)
	})
	runScenario(t, "An item that keeps failing is dead after exactly the route's MaxAttempts", func(h *harness) {
		h.engines.setBehavior("a", engineBehavior{status: http.StatusInternalServerError})
		h.engines.setBehavior("b", engineBehavior{status: http.StatusInternalServerError})
		So(h.runner.Submit(context.Background(), newJob("job", 1)), ShouldBeNil)
		So(h.results("job", 8*time.Second), ShouldResemble, []batch.Result{{ID: "job-0", State: batch.Dead}})
		So(len(h.engines.executionsOf("job-0")), ShouldEqual, 3)
	})
	runScenario(t, "An item that all engines refuse keeps waiting", func(h *harness) {
		h.engines.setBehavior("a", engineBehavior{status: http.StatusServiceUnavailable, notRun: true})
		h.engines.setBehavior("b", engineBehavior{status: http.StatusServiceUnavailable, notRun: true})
		So(h.runner.Submit(context.Background(), newJob("job", 1)), ShouldBeNil)
		So(h.results("job", 5*time.Second), ShouldBeEmpty)
		h.engines.setBehavior("b", engineBehavior{pause: 20 * time.Millisecond})
		So(len(h.results("job", 2*time.Second)), ShouldEqual, 1)
	})
	runScenario(t, "An item whose reward call fails as often as its route allows is dead", func(h *harness) {
		h.engines.setBehavior("j", engineBehavior{status: http.StatusInternalServerError})
		So(h.runner.Submit(context.Background(), newJob("job", 1)), ShouldBeNil)
		So(h.results("job", 5*time.Second), ShouldResemble, []batch.Result{{ID: "job-0", State: batch.Dead}})
		So(len(h.engines.executionsOf("reward-job-0")), ShouldBeGreaterThanOrEqualTo, 2)
	})
	runScenario(t, "An item that waits longer than the route's MaxQueue is dead", func(h *harness) {
		h.state.SetEngineList(nil)
		So(h.runner.Submit(context.Background(), newJob("job", 1)), ShouldBeNil)
		So(h.results("job", 58*time.Second), ShouldBeEmpty)
		So(h.results("job", 4*time.Second), ShouldResemble, []batch.Result{{ID: "job-0", State: batch.Dead}})
	})
}

func TestVersions(t *testing.T) {
	runScenario(t, "No text uses weights older than the job allows, even if the engine list is wrong", func(h *harness) {
		h.engines.setBehavior("a", engineBehavior{pause: 20 * time.Millisecond, version: 1})
		h.engines.setBehavior("b", engineBehavior{pause: 20 * time.Millisecond, version: 2})
		h.state.SetEngineList([]*fleet.Engine{
			{ID: "a", Service: "pool", Slots: 8, Ready: true, Versions: map[string]int64{model: 2}},
			{ID: "b", Service: "pool", Slots: 8, Ready: true, Versions: map[string]int64{model: 2}},
			{ID: "j", Service: "judges", Slots: 8, Ready: true},
		})
		job := newJob("job", 6)
		job.MinVersion = 2
		So(h.runner.Submit(context.Background(), job), ShouldBeNil)
		results := h.results("job", 5*time.Second)
		So(len(results), ShouldEqual, 6)
		for _, r := range results {
			So(r.Versions, ShouldResemble, []int64{2})
			So(r.Text, ShouldEqual, h.completeText())
		}
	})
	runScenarioWithRoute(t, "A route with SingleVersion never joins texts of two versions", routing.Route{SingleVersion: true}, func(h *harness) {
		h.engines.setBehavior("a", engineBehavior{pause: 20 * time.Millisecond, version: 1, breakAfter: 7})
		h.engines.setBehavior("b", engineBehavior{pause: 20 * time.Millisecond, version: 2})
		So(h.runner.Submit(context.Background(), newJob("job", 6)), ShouldBeNil)
		results := h.results("job", 10*time.Second)
		So(len(results), ShouldEqual, 6)
		for _, r := range results {
			So(len(r.Versions), ShouldEqual, 1)
			So(r.Text, ShouldEqual, h.completeText())
		}
	})
}

func TestEnd(t *testing.T) {
	runScenario(t, "Ending a job stops all runs at once, is permanent, and keeps listed results", func(h *harness) {
		h.engines.events = 200
		So(h.runner.Submit(context.Background(), newJob("job", 4)), ShouldBeNil)
		time.Sleep(time.Second)
		So(h.runner.End(context.Background(), batch.Ref{ID: "job"}), ShouldBeNil)
		So(h.runner.End(context.Background(), batch.Ref{ID: "job"}), ShouldBeNil)
		synctest.Wait()
		started := h.engines.count()
		for _, r := range h.engines.executionsOf("job-0") {
			So(r.ended, ShouldNotEqual, time.Time{})
		}
		time.Sleep(10 * time.Second)
		So(h.engines.count(), ShouldEqual, started)
		page, err := h.runner.Read(context.Background(), batch.Ref{ID: "job"}, 0, 0)
		So(err, ShouldBeNil)
		So(page.Total, ShouldEqual, 4)
		Convey("and a carried-over item resumes from the kept text", func() {
			later := newJob("job2", 0)
			later.Items = newJob("job", 4).Items
			So(h.runner.Submit(context.Background(), later), ShouldBeNil)
			So(len(h.results("job2", 10*time.Second)), ShouldEqual, 4)
			executions := h.engines.executionsOf("job-0")
			So(executions[len(executions)-1].from, ShouldBeGreaterThan, 20)
		})
	})
	runScenario(t, "An ended job is kept for its retention, also by a later term, and then removed from the store", func(h *harness) {
		So(h.runner.Submit(context.Background(), newJob("job", 2)), ShouldBeNil)
		So(h.runner.Submit(context.Background(), newJob("open", 1)), ShouldBeNil)
		time.Sleep(2 * time.Second)
		So(h.runner.End(context.Background(), batch.Ref{ID: "job"}), ShouldBeNil)
		time.Sleep(batchrun.DefaultRetention - 5*time.Second)
		So(len(h.results("job", 0)), ShouldEqual, 2)
		h.stop()
		h.runner, h.stop = h.startTerm(2)
		So(len(h.results("job", 0)), ShouldEqual, 2)
		time.Sleep(batchrun.DefaultRetention + 30*time.Second)
		_, err := h.runner.Read(context.Background(), batch.Ref{ID: "job"}, 0, 0)
		So(err, ShouldEqual, batch.ErrNotFound)
		So(len(h.results("open", 0)), ShouldEqual, 1)
	})
	runScenario(t, "Ended jobs beyond MaxEndedBytes are read from the store, and removed after their retention", func(h *harness) {
		h.stop()
		h.maxEndedBytes = 1
		h.runner, h.stop = h.startTerm(2)
		ctx := context.Background()
		for _, id := range []string{"first", "second", "third"} {
			So(h.runner.Submit(ctx, newJob(id, 2)), ShouldBeNil)
			_, err := h.runner.Body(ctx, batch.Ref{ID: id}, id+"-0")
			So(err, ShouldBeNil)
			time.Sleep(2 * time.Second)
			body, err := h.runner.Body(ctx, batch.Ref{ID: id}, id+"-0")
			So(err, ShouldBeNil)
			So(string(body), ShouldEqual, "prompt")
			So(h.runner.End(ctx, batch.Ref{ID: id}), ShouldBeNil)
			_, err = h.runner.Body(ctx, batch.Ref{ID: id}, id+"-0")
			So(err, ShouldEqual, batch.ErrNotFound)
		}
		before := h.store.Calls()
		So(len(h.results("third", 0)), ShouldEqual, 2)
		So(h.store.Calls(), ShouldEqual, before)
		first := h.results("first", 0)
		So(len(first), ShouldEqual, 2)
		So(first[0].Text, ShouldEqual, h.completeText())
		So(h.store.Calls(), ShouldBeGreaterThan, before)
		So(h.runner.Submit(ctx, newJob("second", 2)), ShouldBeNil)
		So(h.results("second", 0), ShouldHaveLength, 2)
		time.Sleep(batchrun.DefaultRetention + 30*time.Second)
		for _, id := range []string{"first", "second", "third"} {
			_, err := h.runner.Read(ctx, batch.Ref{ID: id}, 0, 0)
			So(err, ShouldEqual, batch.ErrNotFound)
		}
	})
	runScenario(t, "An unknown job is not found", func(h *harness) {
		So(h.runner.End(context.Background(), batch.Ref{ID: "nobodys"}), ShouldEqual, batch.ErrNotFound)
		_, err := h.runner.Read(context.Background(), batch.Ref{ID: "nobodys"}, 0, 0)
		So(err, ShouldEqual, batch.ErrNotFound)
	})
}

func TestTakeover(t *testing.T) {
	runScenario(t, "A later term finishes accepted work, and the earlier one lists no further results", func(h *harness) {
		h.engines.events = 60
		So(h.runner.Submit(context.Background(), newJob("job", 4)), ShouldBeNil)
		time.Sleep(500 * time.Millisecond)
		earlier, stopEarlier := h.runner, h.stop
		h.runner, h.stop = h.startTerm(2)
		defer stopEarlier()
		So(len(h.results("job", 5*time.Second)), ShouldEqual, 4)
		page, err := earlier.Read(context.Background(), batch.Ref{ID: "job"}, 0, 0)
		if err == nil {
			So(page.Results, ShouldBeEmpty)
		} else {
			So(err, ShouldEqual, batch.ErrUnavailable)
		}
		So(earlier.End(context.Background(), batch.Ref{ID: "job"}), ShouldEqual, batch.ErrUnavailable)
	})
	runScenario(t, "A partial text with weights older than the later job's minimum version is generated again", func(h *harness) {
		h.engines.events = 200
		So(h.runner.Submit(context.Background(), newJob("job", 2)), ShouldBeNil)
		time.Sleep(3 * time.Second)
		So(h.runner.End(context.Background(), batch.Ref{ID: "job"}), ShouldBeNil)
		h.engines.setBehavior("a", engineBehavior{pause: 20 * time.Millisecond, version: 2})
		h.engines.setBehavior("b", engineBehavior{pause: 20 * time.Millisecond, version: 2})
		h.state.SetEngineList([]*fleet.Engine{
			{ID: "a", Service: "pool", Slots: 8, Ready: true, Versions: map[string]int64{model: 2}},
			{ID: "b", Service: "pool", Slots: 8, Ready: true, Versions: map[string]int64{model: 2}},
			{ID: "j", Service: "judges", Slots: 8, Ready: true},
		})
		later := newJob("job2", 0)
		later.Items = newJob("job", 2).Items
		later.MinVersion = 2
		So(h.runner.Submit(context.Background(), later), ShouldBeNil)
		results := h.results("job2", 8*time.Second)
		So(len(results), ShouldEqual, 2)
		for _, r := range results {
			So(r.Versions, ShouldResemble, []int64{2})
			So(r.Text, ShouldEqual, h.completeText())
		}
	})
	runScenario(t, "A process that does not lead refuses calls", func(h *harness) {
		h.stop()
		So(h.runner.Submit(context.Background(), newJob("job", 1)), ShouldEqual, batch.ErrRefused)
		_, err := h.runner.Read(context.Background(), batch.Ref{ID: "job"}, 0, 0)
		So(err, ShouldEqual, batch.ErrUnavailable)
		h.runner, h.stop = h.startTerm(2)
	})
}

func TestStoreDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := metastoretest.New().Client()
		var down atomic.Bool
		client.Fault = func(_, _ string, write bool) metastoretest.Fault {
			if down.Load() && write {
				return metastoretest.AnswerLost
			}
			return metastoretest.None
		}
		h := newHarness(routing.Route{})
		h.stop()
		h.runner = batchrun.New(batchrun.Params{
			State:     h.state,
			Transport: h.engines,
			Forwarder: forward.New(h.state, h.engines, forward.NewPicker(time.Now), log.NewNopLogger()),
			Store:     metastore.Client(client),
			Logger:    log.NewNopLogger(),
		})
		ctx, cancel := context.WithCancel(context.Background())
		var goroutines sync.WaitGroup
		goroutines.Go(func() { h.runner.Lead(ctx, 1) })
		time.Sleep(time.Second)
		Convey("Results whose writes timed out are listed once after the store recovers", t, func() {
			So(h.runner.Submit(context.Background(), newJob("job", 4)), ShouldBeNil)
			down.Store(true)
			So(h.results("job", 5*time.Second), ShouldBeEmpty)
			down.Store(false)
			So(len(h.results("job", 5*time.Second)), ShouldEqual, 4)
		})
		cancel()
		goroutines.Wait()
	})
}

// Guards against items sent to engines that refuse them because they are loading weights.
func TestLoadingEngines(t *testing.T) {
	runScenario(t, "No item is sent to an engine while it loads weights", func(h *harness) {
		h.runner.SetLoading("a", true)
		So(h.runner.Submit(context.Background(), newJob("one", 6)), ShouldBeNil)
		So(h.results("one", 5*time.Second), ShouldHaveLength, 6)
		for i := range 6 {
			So(h.engines.executionsOf(fmt.Sprintf("one-%d", i))[0].engine, ShouldEqual, "b")
		}
		h.runner.SetLoading("a", false)
		h.runner.SetLoading("b", true)
		So(h.runner.Submit(context.Background(), newJob("two", 6)), ShouldBeNil)
		So(h.results("two", 5*time.Second), ShouldHaveLength, 6)
		for i := range 6 {
			So(h.engines.executionsOf(fmt.Sprintf("two-%d", i))[0].engine, ShouldEqual, "a")
		}
	})
}

// Guards against jobs that ended long ago distorting the demand when they are loaded again.
func TestDemandsOfEndedJobs(t *testing.T) {
	runScenario(t, "An ended job that was evicted and loaded again does not count as demand", func(h *harness) {
		h.stop()
		h.maxEndedBytes = 1
		h.runner, h.stop = h.startTerm(2)
		for _, id := range []string{"one", "two"} {
			So(h.runner.Submit(context.Background(), newJob(id, 4)), ShouldBeNil)
			So(h.results(id, 5*time.Second), ShouldHaveLength, 4)
			So(h.runner.End(context.Background(), batch.Ref{ID: id}), ShouldBeNil)
		}
		before := h.runner.Demands()[model].Items
		So(h.results("one", 0), ShouldHaveLength, 4)
		So(h.runner.Demands()[model].Items, ShouldAlmostEqual, before, 0.5)
	})
}

func TestDemands(t *testing.T) {
	runScenario(t, "The demand for a model covers waiting items, their newest minimum version and recent submissions", func(h *harness) {
		So(h.runner.Demands()[model].Waiting, ShouldEqual, 0)
		job := newJob("job", 40)
		job.MinVersion = 2
		So(h.runner.Submit(context.Background(), job), ShouldBeNil)
		So(h.runner.Submit(context.Background(), newJob("older", 3)), ShouldBeNil)
		time.Sleep(100 * time.Millisecond)
		demand := h.runner.Demands()[model]
		So(demand.Waiting, ShouldEqual, 40)
		So(demand.MinVersion, ShouldEqual, 2)
		So(demand.Items, ShouldAlmostEqual, 43, 1)
		So(h.runner.End(context.Background(), batch.Ref{ID: "job"}), ShouldBeNil)
		time.Sleep(time.Minute)
		demand = h.runner.Demands()[model]
		So(demand.Waiting, ShouldEqual, 0)
		So(demand.Items, ShouldBeLessThan, 5)
	})
}
