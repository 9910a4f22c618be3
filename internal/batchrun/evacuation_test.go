package batchrun_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/batch"
	"github.com/covelink/covelink/internal/boottime"
	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/itemwork"
	"github.com/covelink/covelink/internal/routing"
)

const (
	evacuateTime = 5 * time.Second
	// drainTime is how soon after receiving an evacuation the coordinator must have drained the zone.
	drainTime = 2 * time.Second
	// cancelLatency bounds how long a cancellation takes to reach an engine.
	cancelLatency = 50 * time.Millisecond
)

// listZonedEngines lists engine a in zone-a, engine b in zone-b with the given slots, and the judge in zone-b.
func (h *harness) listZonedEngines(slotsOfB int) {
	h.state.SetEngineList([]*fleet.Engine{
		{ID: "a", Service: "pool", Zone: "zone-a", Slots: 8, Ready: true, Versions: map[string]int64{model: 1}},
		{ID: "b", Service: "pool", Zone: "zone-b", Slots: slotsOfB, Ready: true, Versions: map[string]int64{model: 1}},
		{ID: "j", Service: "judges", Zone: "zone-b", Slots: 8, Ready: true},
	})
}

// evacuate makes these the only evacuated zones, as of a revision.
func (h *harness) evacuate(revision int64, zones ...string) {
	since := make(map[string]int64)
	for _, zone := range zones {
		since[zone] = revision
	}
	h.state.SetEvacuations(fleet.NewEvacuations(revision, since))
}

// executionsAt returns the executions at an engine.
func (e *fakeEngines) executionsAt(engine string) []execution {
	e.mu.Lock()
	defer e.mu.Unlock()
	var found []execution
	for _, r := range e.executions {
		if r.engine == engine {
			found = append(found, *r)
		}
	}
	return found
}

// activeAt counts the executions in progress at an engine.
func (e *fakeEngines) activeAt(engine string) int {
	count := 0
	for _, r := range e.executionsAt(engine) {
		if r.ended.IsZero() {
			count++
		}
	}
	return count
}

// runEvacuationScenario runs a scenario with a runner that has the given EvacuateTime.
func runEvacuationScenario(t *testing.T, name string, within time.Duration, scenario func(h *harness)) {
	t.Helper()
	runScenario(t, name, func(h *harness) {
		h.stop()
		h.evacuateTime = within
		h.listZonedEngines(8)
		h.runner, h.stop = h.startTerm(2)
		scenario(h)
	})
}

// fillZoneA starts items at engine a, with the given number of events at 20 ms each.
func (h *harness) fillZoneA(items, events int) {
	h.engines.events = events
	h.evacuate(1, "zone-b")
	expected := make([]int, items)
	for i := range expected {
		expected[i] = 50 * events
	}
	h.submitJob(newStep("job", 0, 1, 0, expected...))
	time.Sleep(300 * time.Millisecond)
	So(h.engines.activeAt("a"), ShouldEqual, items)
	h.evacuate(2)
}

// shouldBeCompleteJob checks that each item of a job has its complete text, and that each run resumed where the previous one ended.
func (h *harness) shouldBeCompleteJob(id string, results []batch.Result, items int) {
	So(results, ShouldHaveLength, items)
	for _, result := range results {
		So(result.State, ShouldEqual, batch.Done)
		So(result.Text, ShouldEqual, h.completeText())
	}
	for i := range items {
		for n, resumed := range h.engines.executionsOf(fmt.Sprintf("%s-%d", id, i)) {
			So(resumed.from > 0, ShouldEqual, n > 0)
		}
	}
}

func TestEvacuation(t *testing.T) {
	runEvacuationScenario(t, "Runs of an evacuated zone resume elsewhere before the deadline, and nothing more is sent there", evacuateTime, func(h *harness) {
		h.fillZoneA(6, 150)
		asked := time.Now()
		h.evacuate(3, "zone-a")
		time.Sleep(drainTime / 4)
		So(h.engines.activeAt("a"), ShouldBeBetween, 0, 6)
		time.Sleep(3*drainTime/4 + cancelLatency)
		So(h.engines.activeAt("a"), ShouldEqual, 0)
		results := h.results("job", 6*time.Second)
		h.shouldBeCompleteJob("job", results, 6)
		for _, r := range h.engines.executionsAt("a") {
			So(r.at, ShouldHappenBefore, asked)
		}
		for i := range 6 {
			So(h.engines.executionsOf(fmt.Sprintf("job-%d", i)), ShouldHaveLength, 2)
		}
	})
	runEvacuationScenario(t, "Runs that are expected to end in time stay", evacuateTime, func(h *harness) {
		h.evacuate(1, "zone-b")
		h.engines.events = 40
		h.submitJob(newStep("job", 0, 1, 0, 2000, 2000, 2000))
		time.Sleep(200 * time.Millisecond)
		h.evacuate(2, "zone-a")
		results := h.results("job", 2*time.Second)
		h.shouldBeCompleteJob("job", results, 3)
		So(h.engines.executionsAt("b"), ShouldBeEmpty)
	})
	runEvacuationScenario(t, "Without free slots elsewhere runs stay until the deadline, and are ended then", evacuateTime, func(h *harness) {
		h.fillZoneA(4, 150)
		h.removeEngineB()
		h.evacuate(3, "zone-a")
		time.Sleep(drainTime - 300*time.Millisecond)
		So(h.engines.activeAt("a"), ShouldEqual, 4)
		time.Sleep(300*time.Millisecond + cancelLatency)
		So(h.engines.activeAt("a"), ShouldEqual, 0)
		h.listZonedEngines(8)
		h.engines.setBehavior("b", engineBehavior{pause: 20 * time.Millisecond})
		h.shouldBeCompleteJob("job", h.results("job", 8*time.Second), 4)
	})
	runEvacuationScenario(t, "A restored zone keeps its runs; a second evacuation has its own deadline", evacuateTime, func(h *harness) {
		h.fillZoneA(4, 400)
		h.removeEngineB()
		h.evacuate(3, "zone-a")
		time.Sleep(1500 * time.Millisecond)
		h.evacuate(4)
		time.Sleep(100 * time.Millisecond)
		h.evacuate(5, "zone-a")
		// The first deadline has passed.
		time.Sleep(800 * time.Millisecond)
		So(h.engines.activeAt("a"), ShouldEqual, 4)
		time.Sleep(drainTime - 800*time.Millisecond + cancelLatency)
		So(h.engines.activeAt("a"), ShouldEqual, 0)
	})
	runEvacuationScenario(t, "A scheduling pass just before the next selection does not delay it beyond the deadline", evacuateTime, func(h *harness) {
		h.fillZoneA(4, 150)
		h.removeEngineB()
		h.evacuate(3, "zone-a")
		for _, until := range []time.Duration{199 * time.Millisecond, 1799 * time.Millisecond} {
			time.Sleep(until)
			h.runner.SetLoading("a", false)
		}
		time.Sleep(2*time.Millisecond + cancelLatency)
		So(h.engines.activeAt("a"), ShouldEqual, 0)
	})
	runEvacuationScenario(t, "Time during which the machine was suspended counts towards the deadline", evacuateTime, func(h *harness) {
		h.fillZoneA(4, 150)
		h.removeEngineB()
		h.evacuate(3, "zone-a")
		time.Sleep(300 * time.Millisecond)
		So(h.engines.activeAt("a"), ShouldEqual, 4)
		boottime.SimulateSuspension(drainTime)
		time.Sleep(200*time.Millisecond + cancelLatency)
		So(h.engines.activeAt("a"), ShouldEqual, 0)
	})
	runEvacuationScenario(t, "Without an EvacuateTime no runs are ended", 0, func(h *harness) {
		h.fillZoneA(4, 150)
		h.evacuate(3, "zone-a")
		time.Sleep(drainTime + cancelLatency)
		So(h.engines.activeAt("a"), ShouldEqual, 4)
	})
	runEvacuationScenario(t, "A detached run stays until the deadline, and a later job resumes from its text", evacuateTime, func(h *harness) {
		h.engines.events = 300
		for _, id := range []string{"a", "b"} {
			h.engines.setBehavior(id, engineBehavior{pause: 20 * time.Millisecond, version: 2})
		}
		h.state.SetEngineList([]*fleet.Engine{
			{ID: "a", Service: "pool", Zone: "zone-a", Slots: 8, Ready: true, Versions: map[string]int64{model: 2}},
			{ID: "b", Service: "pool", Zone: "zone-b", Slots: 8, Ready: true, Versions: map[string]int64{model: 2}},
			{ID: "j", Service: "judges", Zone: "zone-b", Slots: 8, Ready: true},
		})
		h.evacuate(1, "zone-b")
		h.submitJob(newStep("one", 0, 1, 1, 15000))
		time.Sleep(500 * time.Millisecond)
		So(h.runner.End(context.Background(), batch.Ref{ID: "one"}), ShouldBeNil)
		h.evacuate(2, "zone-a")
		time.Sleep(drainTime - 400*time.Millisecond)
		So(h.engines.activeAt("a"), ShouldEqual, 1)
		time.Sleep(400*time.Millisecond + cancelLatency)
		So(h.engines.activeAt("a"), ShouldEqual, 0)
		later := newStep("two", 1, 2, 1, 0)
		later.Items[0] = newStep("one", 0, 1, 1, 15000).Items[0]
		h.submitJob(later)
		results := h.results("two", 6*time.Second)
		So(results, ShouldHaveLength, 1)
		So(results[0].Text, ShouldEqual, h.completeText())
		executions := h.engines.executionsOf("one-0")
		So(executions, ShouldHaveLength, 2)
		So(executions[1].engine, ShouldEqual, "b")
		So(executions[1].from, ShouldBeGreaterThan, 80)
	})
	runEvacuationScenario(t, "An engine that starts in an evacuated zone receives no items until the zone is restored", evacuateTime, func(h *harness) {
		h.engines.events = 20
		h.evacuate(1, "zone-a", "zone-b")
		h.state.SetEngineList([]*fleet.Engine{
			{ID: "a2", Service: "pool", Zone: "zone-a", Slots: 8, Ready: true, Versions: map[string]int64{model: 1}},
			{ID: "j", Service: "judges", Zone: "zone-c", Slots: 8, Ready: true},
		})
		h.engines.setBehavior("a2", engineBehavior{pause: 20 * time.Millisecond})
		h.submitJob(newStep("job", 0, 1, 0, 1000))
		time.Sleep(time.Second)
		So(h.engines.executionsAt("a2"), ShouldBeEmpty)
		h.evacuate(2, "zone-b")
		h.shouldBeCompleteJob("job", h.results("job", 2*time.Second), 1)
	})
}

func (h *harness) removeEngineB() {
	h.state.SetEngineList([]*fleet.Engine{
		{ID: "a", Service: "pool", Zone: "zone-a", Slots: 8, Ready: true, Versions: map[string]int64{model: 1}},
		{ID: "j", Service: "judges", Zone: "zone-b", Slots: 8, Ready: true},
	})
}

func TestUnknownEvacuations(t *testing.T) {
	runEvacuationScenario(t, "While evacuations are unknown nothing is placed", evacuateTime, func(h *harness) {
		h.state.MarkEvacuationsUnknown()
		h.submitJob(newJob("job", 2))
		time.Sleep(2 * time.Second)
		So(h.engines.count(), ShouldEqual, 0)
		h.evacuate(1, "zone-a")
		So(h.results("job", 2*time.Second), ShouldHaveLength, 2)
		So(h.engines.executionsAt("a"), ShouldBeEmpty)
	})
}

func TestResidency(t *testing.T) {
	regions := map[string]string{"zone-a": "region-1", "zone-b": "region-2"}
	for _, c := range []struct {
		name    string
		allowed []string
		engines []string
	}{
		{"Without a bound items run everywhere", nil, []string{"a", "b"}},
		{"Items run only in the regions of their route", []string{"region-2"}, []string{"b"}},
		{"Items whose route allows no region of the deployment are refused, and run nowhere", []string{"region-3"}, nil},
	} {
		runScenarioWithRoute(t, c.name, routing.Route{AllowedRegions: c.allowed}, func(h *harness) {
			h.listZonedEngines(8)
			h.state.SetTopology(fleet.NewTopology(regions))
			h.stop()
			h.zone = "zone-b"
			h.runner, h.stop = h.startTerm(2)
			if c.engines == nil {
				So(errors.Is(h.runner.Submit(context.Background(), newJob("job", 1)), batch.ErrExcluded), ShouldBeTrue)
				time.Sleep(time.Second)
				So(h.engines.count(), ShouldEqual, 0)
				return
			}
			h.submitJob(newStep("job", 0, 1, 0, 1000, 1000, 1000, 1000, 1000, 1000, 1000, 1000, 1000, 1000))
			time.Sleep(time.Second)
			var used []string
			for _, id := range []string{"a", "b"} {
				if len(h.engines.executionsAt(id)) > 0 {
					used = append(used, id)
				}
			}
			So(used, ShouldResemble, c.engines)
		})
	}
}

func TestEvacuationOfWorkers(t *testing.T) {
	runWorkerScenario(t, "Runs of workers in an evacuated zone resume elsewhere before the deadline", func(h *workerHarness) {
		h.stop()
		h.evacuateTime = evacuateTime
		h.listZonedEngines(8)
		h.startTerm(2)
		defer h.startWorker("one")()
		h.fillZoneA(6, 150)
		h.evacuate(3, "zone-a")
		time.Sleep(drainTime + cancelLatency)
		So(h.engines.activeAt("a"), ShouldEqual, 0)
		results := h.results("job", 6*time.Second)
		h.shouldBeCompleteJob("job", results, 6)
		So(h.engines.executionsOf("job-0"), ShouldHaveLength, 2)
	})
	// The worker polls for the next term every 150 ms. The delays place its reports before, at and after the second scheduling pass of the term.
	for _, pause := range []time.Duration{595 * time.Millisecond, 600 * time.Millisecond, 640 * time.Millisecond, 700 * time.Millisecond} {
		name := "A later term at once ends the runs that it adopts in a zone evacuated at an unknown time; delay of its start: "
		runWorkerScenario(t, name+pause.String(), func(h *workerHarness) {
			h.stop()
			h.evacuateTime = evacuateTime
			h.listZonedEngines(8)
			h.startTerm(2)
			defer h.startWorker("one")()
			h.fillZoneA(4, 150)
			h.stop()
			// Wait for the worker's pending poll of the previous term to end.
			time.Sleep(pause)
			h.evacuate(3, "zone-a")
			h.startTerm(3)
			So(h.engines.activeAt("a"), ShouldEqual, 0)
			h.shouldBeCompleteJob("job", h.results("job", 8*time.Second), 4)
		})
	}
}

func TestEvacuationOrders(t *testing.T) {
	runWorkerScenario(t, "A worker receives one order to cancel a run", func(h *workerHarness) {
		h.stop()
		h.evacuateTime = evacuateTime
		h.listZonedEngines(8)
		h.startTerm(2)
		h.evacuate(1, "zone-b")
		worker := h.newScriptedWorker()
		h.submitJob(newStep("job", 0, 1, 0, 7500))
		started := worker.pollFor(1)
		So(started, ShouldHaveLength, 1)
		worker.report(started[0], itemwork.VerdictNone, itemwork.Judgement{})
		h.evacuate(2, "zone-a")
		var canceled []itemwork.RunID
		for until := time.Now().Add(2500 * time.Millisecond); time.Now().Before(until); {
			for _, order := range worker.poll() {
				if order.Start == nil {
					canceled = append(canceled, order.Cancel)
				}
			}
		}
		So(canceled, ShouldResemble, []itemwork.RunID{started[0].Run})
	})
	runWorkerScenario(t, "A run that a worker's placement filter refused puts no backoff on the engine: other items are sent there, and its own item later", func(h *workerHarness) {
		h.removeEngineB()
		worker := h.newScriptedWorker()
		h.submitJob(newStep("job", 0, 1, 0, 7500))
		started := worker.pollFor(1)
		So(started, ShouldHaveLength, 1)
		h.dispatcher.Load().Report(itemwork.ReportRequest{Worker: worker.id, Term: worker.term, Reports: []itemwork.Report{{
			Run: started[0].Run, Job: "job", Item: "job-0", Engine: "a",
			End: itemwork.End{Verdict: itemwork.VerdictRefused, Withheld: true, Cause: "zone evacuated"},
		}}})
		h.submitJob(newStep("next", 1, 1, 0, 7500))
		submitted := time.Now()
		orders := worker.poll()
		// A refusal would have put the engine in backoff for 80 ms.
		So(time.Now(), ShouldHappenBefore, submitted.Add(60*time.Millisecond))
		So(orders, ShouldHaveLength, 1)
		So(orders[0].Start.Item, ShouldEqual, "next-0")
		So(worker.pollFor(1), ShouldHaveLength, 1)
	})
}
