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
	// emptyTime is how soon after it has learnt of the evacuation this process has emptied a zone.
	emptyTime = 2 * time.Second
	// orderTime is how long a cancellation may take to reach the engine of the test.
	orderTime = 50 * time.Millisecond
)

// zoned lists engine a in zone-a, engine b in zone-b with a number of slots, and the judge in zone-b.
func (w *world) zoned(slotsOfB int) {
	w.state.SetEngineList([]*fleet.Engine{
		{ID: "a", Service: "pool", Zone: "zone-a", Slots: 8, Ready: true, Versions: map[string]int64{model: 1}},
		{ID: "b", Service: "pool", Zone: "zone-b", Slots: slotsOfB, Ready: true, Versions: map[string]int64{model: 1}},
		{ID: "j", Service: "judges", Zone: "zone-b", Slots: 8, Ready: true},
	})
}

// evacuate evacuates exactly these zones, from the revision on.
func (w *world) evacuate(revision int64, zones ...string) {
	since := make(map[string]int64)
	for _, zone := range zones {
		since[zone] = revision
	}
	w.state.SetEvacuations(fleet.NewEvacuations(revision, since))
}

// at returns the executions at an engine.
func (e *engines) at(engine string) []run {
	e.mu.Lock()
	defer e.mu.Unlock()
	var found []run
	for _, r := range e.runs {
		if r.engine == engine {
			found = append(found, *r)
		}
	}
	return found
}

// under counts the executions under way at an engine.
func (e *engines) under(engine string) int {
	count := 0
	for _, r := range e.at(engine) {
		if r.ended.IsZero() {
			count++
		}
	}
	return count
}

// playEvacuation plays a scene with a runner whose EvacuateTime is given.
func playEvacuation(t *testing.T, name string, within time.Duration, scene func(w *world)) {
	t.Helper()
	play(t, name, func(w *world) {
		w.stop()
		w.evacuateTime = within
		w.zoned(8)
		w.runner, w.stop = w.lead(2)
		scene(w)
	})
}

// fillZoneA starts a number of items at engine a, each of a number of events that take 20 ms.
func (w *world) fillZoneA(items, events int) {
	w.engines.events = events
	w.evacuate(1, "zone-b")
	expected := make([]int, items)
	for i := range expected {
		expected[i] = 50 * events
	}
	w.submitJob(newStep("job", 0, 1, 0, expected...))
	time.Sleep(300 * time.Millisecond)
	So(w.engines.under("a"), ShouldEqual, items)
	w.evacuate(2)
}

// shouldBeWholeJob checks that each item of a job has its whole text, and that each run continued where the one before had ended.
func (w *world) shouldBeWholeJob(id string, results []batch.Result, items int) {
	So(results, ShouldHaveLength, items)
	for _, result := range results {
		So(result.State, ShouldEqual, batch.Done)
		So(result.Text, ShouldEqual, w.wholeText())
	}
	for i := range items {
		for n, resumed := range w.engines.of(fmt.Sprintf("%s-%d", id, i)) {
			So(resumed.from > 0, ShouldEqual, n > 0)
		}
	}
}

func TestEvacuation(t *testing.T) {
	playEvacuation(t, "Runs of an evacuated zone go on elsewhere before the bound, after their texts, and nothing more is sent there", evacuateTime, func(w *world) {
		w.fillZoneA(6, 150)
		asked := time.Now()
		w.evacuate(3, "zone-a")
		time.Sleep(emptyTime / 4)
		So(w.engines.under("a"), ShouldBeBetween, 0, 6)
		time.Sleep(3*emptyTime/4 + orderTime)
		So(w.engines.under("a"), ShouldEqual, 0)
		results := w.results("job", 6*time.Second)
		w.shouldBeWholeJob("job", results, 6)
		for _, r := range w.engines.at("a") {
			So(r.at, ShouldHappenBefore, asked)
		}
		for i := range 6 {
			So(w.engines.of(fmt.Sprintf("job-%d", i)), ShouldHaveLength, 2)
		}
	})
	playEvacuation(t, "Runs that are expected to end in time stay", evacuateTime, func(w *world) {
		w.evacuate(1, "zone-b")
		w.engines.events = 40
		w.submitJob(newStep("job", 0, 1, 0, 2000, 2000, 2000))
		time.Sleep(200 * time.Millisecond)
		w.evacuate(2, "zone-a")
		results := w.results("job", 2*time.Second)
		w.shouldBeWholeJob("job", results, 3)
		So(w.engines.at("b"), ShouldBeEmpty)
	})
	playEvacuation(t, "Without room elsewhere runs stay until the bound, and are ended then", evacuateTime, func(w *world) {
		w.fillZoneA(4, 150)
		w.withoutB()
		w.evacuate(3, "zone-a")
		time.Sleep(emptyTime - 300*time.Millisecond)
		So(w.engines.under("a"), ShouldEqual, 4)
		time.Sleep(300*time.Millisecond + orderTime)
		So(w.engines.under("a"), ShouldEqual, 0)
		w.zoned(8)
		w.engines.set("b", behaviour{pause: 20 * time.Millisecond})
		w.shouldBeWholeJob("job", w.results("job", 8*time.Second), 4)
	})
	playEvacuation(t, "A zone that is restored keeps its runs; one that is evacuated again has a bound of its own", evacuateTime, func(w *world) {
		w.fillZoneA(4, 400)
		w.withoutB()
		w.evacuate(3, "zone-a")
		time.Sleep(1500 * time.Millisecond)
		w.evacuate(4)
		time.Sleep(100 * time.Millisecond)
		w.evacuate(5, "zone-a")
		// The first bound is over.
		time.Sleep(800 * time.Millisecond)
		So(w.engines.under("a"), ShouldEqual, 4)
		time.Sleep(emptyTime - 800*time.Millisecond + orderTime)
		So(w.engines.under("a"), ShouldEqual, 0)
	})
	playEvacuation(t, "A look that comes just before the next choice does not put it off beyond the bound", evacuateTime, func(w *world) {
		w.fillZoneA(4, 150)
		w.withoutB()
		w.evacuate(3, "zone-a")
		for _, until := range []time.Duration{199 * time.Millisecond, 1799 * time.Millisecond} {
			time.Sleep(until)
			w.runner.NoteLoading("a", false)
		}
		time.Sleep(2*time.Millisecond + orderTime)
		So(w.engines.under("a"), ShouldEqual, 0)
	})
	playEvacuation(t, "The time in which the machine was suspended counts: what is left is ended after waking", evacuateTime, func(w *world) {
		w.fillZoneA(4, 150)
		w.withoutB()
		w.evacuate(3, "zone-a")
		time.Sleep(300 * time.Millisecond)
		So(w.engines.under("a"), ShouldEqual, 4)
		boottime.SimulateSuspension(emptyTime)
		time.Sleep(200*time.Millisecond + orderTime)
		So(w.engines.under("a"), ShouldEqual, 0)
	})
	playEvacuation(t, "A deployment that evacuates no zones within a time ends no runs", 0, func(w *world) {
		w.fillZoneA(4, 150)
		w.evacuate(3, "zone-a")
		time.Sleep(emptyTime + orderTime)
		So(w.engines.under("a"), ShouldEqual, 4)
	})
	playEvacuation(t, "A run that goes on after the end of its job stays until the bound, and a later job goes on after its text", evacuateTime, func(w *world) {
		w.engines.events = 300
		for _, id := range []string{"a", "b"} {
			w.engines.set(id, behaviour{pause: 20 * time.Millisecond, version: 2})
		}
		w.state.SetEngineList([]*fleet.Engine{
			{ID: "a", Service: "pool", Zone: "zone-a", Slots: 8, Ready: true, Versions: map[string]int64{model: 2}},
			{ID: "b", Service: "pool", Zone: "zone-b", Slots: 8, Ready: true, Versions: map[string]int64{model: 2}},
			{ID: "j", Service: "judges", Zone: "zone-b", Slots: 8, Ready: true},
		})
		w.evacuate(1, "zone-b")
		w.submitJob(newStep("one", 0, 1, 1, 15000))
		time.Sleep(500 * time.Millisecond)
		So(w.runner.End(context.Background(), batch.Ref{ID: "one"}), ShouldBeNil)
		w.evacuate(2, "zone-a")
		time.Sleep(emptyTime - 400*time.Millisecond)
		So(w.engines.under("a"), ShouldEqual, 1)
		time.Sleep(400*time.Millisecond + orderTime)
		So(w.engines.under("a"), ShouldEqual, 0)
		later := newStep("two", 1, 2, 1, 0)
		later.Items[0] = newStep("one", 0, 1, 1, 15000).Items[0]
		w.submitJob(later)
		results := w.results("two", 6*time.Second)
		So(results, ShouldHaveLength, 1)
		So(results[0].Text, ShouldEqual, w.wholeText())
		runs := w.engines.of("one-0")
		So(runs, ShouldHaveLength, 2)
		So(runs[1].engine, ShouldEqual, "b")
		So(runs[1].from, ShouldBeGreaterThan, 80)
	})
	playEvacuation(t, "An engine that starts in an evacuated zone gets nothing until the zone is restored", evacuateTime, func(w *world) {
		w.engines.events = 20
		w.evacuate(1, "zone-a", "zone-b")
		w.state.SetEngineList([]*fleet.Engine{
			{ID: "a2", Service: "pool", Zone: "zone-a", Slots: 8, Ready: true, Versions: map[string]int64{model: 1}},
			{ID: "j", Service: "judges", Zone: "zone-c", Slots: 8, Ready: true},
		})
		w.engines.set("a2", behaviour{pause: 20 * time.Millisecond})
		w.submitJob(newStep("job", 0, 1, 0, 1000))
		time.Sleep(time.Second)
		So(w.engines.at("a2"), ShouldBeEmpty)
		w.evacuate(2, "zone-b")
		w.shouldBeWholeJob("job", w.results("job", 2*time.Second), 1)
	})
}

// withoutB takes engine b away.
func (w *world) withoutB() {
	w.state.SetEngineList([]*fleet.Engine{
		{ID: "a", Service: "pool", Zone: "zone-a", Slots: 8, Ready: true, Versions: map[string]int64{model: 1}},
		{ID: "j", Service: "judges", Zone: "zone-b", Slots: 8, Ready: true},
	})
}

func TestUnknownEvacuations(t *testing.T) {
	playEvacuation(t, "While no evacuations are known nothing is placed", evacuateTime, func(w *world) {
		w.state.FollowEvacuations()
		w.submitJob(newJob("job", 2))
		time.Sleep(2 * time.Second)
		So(w.engines.count(), ShouldEqual, 0)
		w.evacuate(1, "zone-a")
		So(w.results("job", 2*time.Second), ShouldHaveLength, 2)
		So(w.engines.at("a"), ShouldBeEmpty)
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
		playRoute(t, c.name, routing.Route{AllowedRegions: c.allowed}, func(w *world) {
			w.zoned(8)
			w.state.SetTopology(fleet.NewTopology(regions))
			w.stop()
			w.zone = "zone-b"
			w.runner, w.stop = w.lead(2)
			if c.engines == nil {
				So(errors.Is(w.runner.Submit(context.Background(), newJob("job", 1)), batch.ErrExcluded), ShouldBeTrue)
				time.Sleep(time.Second)
				So(w.engines.count(), ShouldEqual, 0)
				return
			}
			w.submitJob(newStep("job", 0, 1, 0, 1000, 1000, 1000, 1000, 1000, 1000, 1000, 1000, 1000, 1000))
			time.Sleep(time.Second)
			var used []string
			for _, id := range []string{"a", "b"} {
				if len(w.engines.at(id)) > 0 {
					used = append(used, id)
				}
			}
			So(used, ShouldResemble, c.engines)
		})
	}
}

func TestEvacuationOfWorkers(t *testing.T) {
	playDesk(t, "Runs that workers carry out go on elsewhere before the bound, after their texts", func(w *deskWorld) {
		w.stop()
		w.evacuateTime = evacuateTime
		w.zoned(8)
		w.lead(2)
		defer w.work("one")()
		w.fillZoneA(6, 150)
		w.evacuate(3, "zone-a")
		time.Sleep(emptyTime + orderTime)
		So(w.engines.under("a"), ShouldEqual, 0)
		results := w.results("job", 6*time.Second)
		w.shouldBeWholeJob("job", results, 6)
		So(w.engines.of("job-0"), ShouldHaveLength, 2)
	})
	// The worker asks every 150 ms for the next term, and tells of its runs some time later: before the first look that follows the term's first
	// choice of runs to end, at it, or after it.
	for _, pause := range []time.Duration{595 * time.Millisecond, 600 * time.Millisecond, 640 * time.Millisecond, 700 * time.Millisecond} {
		name := "A later term ends at once what it takes over in a zone of which it does not know since when it is evacuated; it begins after "
		playDesk(t, name+pause.String(), func(w *deskWorld) {
			w.stop()
			w.evacuateTime = evacuateTime
			w.zoned(8)
			w.lead(2)
			defer w.work("one")()
			w.fillZoneA(4, 150)
			w.stop()
			// The worker's poll at the process before has to end.
			time.Sleep(pause)
			w.evacuate(3, "zone-a")
			w.lead(3)
			So(w.engines.under("a"), ShouldEqual, 0)
			w.shouldBeWholeJob("job", w.results("job", 8*time.Second), 4)
		})
	}
}

func TestEvacuationOrders(t *testing.T) {
	playDesk(t, "A worker is told once to end a run", func(w *deskWorld) {
		w.stop()
		w.evacuateTime = evacuateTime
		w.zoned(8)
		w.lead(2)
		w.evacuate(1, "zone-b")
		worker := w.handWorker()
		w.submitJob(newStep("job", 0, 1, 0, 7500))
		started := worker.stay(1)
		So(started, ShouldHaveLength, 1)
		worker.report(started[0], itemwork.VerdictNone, itemwork.Judgement{})
		w.evacuate(2, "zone-a")
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
	playDesk(t, "What a worker withholds from an engine is no fault of the engine's: others are sent there, and the item is once the worker agrees", func(w *deskWorld) {
		w.withoutB()
		worker := w.handWorker()
		w.submitJob(newStep("job", 0, 1, 0, 7500))
		started := worker.stay(1)
		So(started, ShouldHaveLength, 1)
		w.desk.Load().Report(itemwork.ReportRequest{Worker: worker.id, Term: worker.term, Reports: []itemwork.Report{{
			Run: started[0].Run, Job: "job", Item: "job-0", Engine: "a",
			End: itemwork.End{Verdict: itemwork.VerdictRefused, Withheld: true, Cause: "zone evacuated"},
		}}})
		w.submitJob(newStep("next", 1, 1, 0, 7500))
		submitted := time.Now()
		orders := worker.poll()
		// An engine that refused is left alone for 80 ms.
		So(time.Now(), ShouldHappenBefore, submitted.Add(60*time.Millisecond))
		So(orders, ShouldHaveLength, 1)
		So(orders[0].Start.Item, ShouldEqual, "next-0")
		So(worker.stay(1), ShouldHaveLength, 1)
	})
}
