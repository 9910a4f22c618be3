package batchrun_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/batch"
	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/routing"
)

// pool lists engines of the pool, by ID and weight version, and the judge.
func (w *world) pool(versions map[string]int64) {
	list := []*fleet.Engine{{ID: "j", Service: "judges", Slots: 8, Ready: true}}
	for id, version := range versions {
		list = append(list, &fleet.Engine{ID: id, Service: "pool", Slots: 8, Ready: true, Versions: map[string]int64{model: version}})
	}
	w.state.SetEngineList(list)
}

// newStep returns a job of groups of one item each, with estimates of their lengths, of which the trainer wants so many.
func newStep(id string, step, minVersion int64, desired int, expected ...int) batch.Job {
	job := newJob(id, len(expected))
	job.Step, job.MinVersion, job.Desired = step, minVersion, desired
	for i := range job.Items {
		job.Items[i].Group = fmt.Sprintf("%s-group-%d", id, i)
		job.Items[i].ExpectedLength = expected[i]
		job.Items[i].Prefix = job.Items[i].Group
	}
	return job
}

func (w *world) submitJob(job batch.Job) {
	So(w.runner.Submit(context.Background(), job), ShouldBeNil)
}

// endAfterRenewal runs a job of a long and a short group, of which the trainer wants one, until the long one was begun anew at an engine
// with newer weights, and ends it.
func (w *world) endAfterRenewal() {
	w.engines.events = 150
	w.pool(map[string]int64{"a": 1})
	w.submitJob(newStep("one", 0, 1, 1, 7500, 500))
	time.Sleep(time.Second)
	w.engines.set("b", behaviour{pause: 20 * time.Millisecond, version: 2})
	w.pool(map[string]int64{"a": 1, "b": 2})
	time.Sleep(500 * time.Millisecond)
	long, short := w.engines.of("one-0"), w.engines.of("one-1")
	So(long, ShouldHaveLength, 2)
	So(long[1].engine, ShouldEqual, "b")
	So(long[1].from, ShouldEqual, 0)
	So(short, ShouldHaveLength, 1)
	time.Sleep(time.Second)
	So(w.runner.End(context.Background(), batch.Ref{ID: "one"}), ShouldBeNil)
	time.Sleep(100 * time.Millisecond)
	So(w.engines.of("one-0")[1].ended, ShouldEqual, time.Time{})
}

// longItem is the item that endAfterRenewal leaves unfinished.
func longItem() batch.Item { return newStep("one", 0, 1, 1, 7500).Items[0] }

func TestRenewal(t *testing.T) {
	play(t, "A spare item is begun anew for the later job; its run goes on past the end of the job, and the later job takes it over", func(w *world) {
		w.endAfterRenewal()
		later := newStep("two", 1, 2, 2, 0, 500)
		later.Items[0] = longItem()
		w.submitJob(later)
		results := w.results("two", 4*time.Second)
		So(results, ShouldHaveLength, 2)
		So(w.engines.of("one-0"), ShouldHaveLength, 2)
		So(w.engines.of("reward-one-0"), ShouldHaveLength, 1)
		for _, result := range results {
			So(result.Text, ShouldEqual, w.wholeText())
			So(result.Versions, ShouldResemble, []int64{2})
		}
	})
	play(t, "A job that demands newer weights still does not use the text", func(w *world) {
		w.endAfterRenewal()
		later := newStep("two", 1, 3, 1, 0)
		later.Items[0] = longItem()
		w.submitJob(later)
		time.Sleep(time.Second)
		So(w.engines.of("one-0")[1].ended, ShouldNotEqual, time.Time{})
		So(w.results("two", time.Second), ShouldBeEmpty)
	})
	play(t, "If the item does not come again, its run ends within some seconds, and no reward call is made", func(w *world) {
		w.endAfterRenewal()
		w.engines.set("b", behaviour{pause: 20 * time.Millisecond, version: 2})
		time.Sleep(10 * time.Second)
		runs := w.engines.of("one-0")
		So(runs, ShouldHaveLength, 2)
		So(runs[1].ended, ShouldNotEqual, time.Time{})
		So(w.engines.of("reward-one-0"), ShouldBeEmpty)
	})
	play(t, "A group that comes again is never begun anew: the trainer waits for it", func(w *world) {
		w.engines.events = 100
		w.pool(map[string]int64{"a": 1})
		w.submitJob(newStep("one", 0, 1, 1, 5000, 500))
		time.Sleep(500 * time.Millisecond)
		So(w.runner.End(context.Background(), batch.Ref{ID: "one"}), ShouldBeNil)
		again := newStep("two", 1, 1, 1, 0, 500)
		again.Items[0] = newStep("one", 0, 1, 1, 5000).Items[0]
		w.submitJob(again)
		w.engines.set("b", behaviour{pause: 20 * time.Millisecond, version: 2})
		w.pool(map[string]int64{"a": 1, "b": 2})
		time.Sleep(700 * time.Millisecond)
		runs := w.engines.of("one-0")
		So(runs[len(runs)-1].from, ShouldBeGreaterThan, 0)
		So(runs, ShouldHaveLength, 2)
	})
	play(t, "After a change of coordinator the first groups of a job, which may have come again, are not begun anew", func(w *world) {
		w.engines.events = 100
		w.pool(map[string]int64{"a": 1})
		w.submitJob(newStep("five", 5, 1, 2, 5000, 500, 400, 300))
		w.stop()
		w.runner, w.stop = w.lead(2)
		w.engines.set("b", behaviour{pause: 20 * time.Millisecond, version: 2})
		w.pool(map[string]int64{"a": 1, "b": 2})
		time.Sleep(time.Second)
		runs := w.engines.of("five-0")
		So(runs[len(runs)-1].engine, ShouldEqual, "a")
	})
}

func TestPlacement(t *testing.T) {
	play(t, "The longest item begins first and at the quickest engine, short ones leave room there", func(w *world) {
		w.engines.events = 20
		w.engines.set("a", behaviour{pause: 20 * time.Millisecond})
		w.engines.set("b", behaviour{pause: 30 * time.Millisecond})
		w.submitJob(newStep("learn", 0, 1, 0, 1000, 1000, 1000, 1000))
		time.Sleep(2 * time.Second)
		w.submitJob(newStep("job", 1, 1, 0, 100, 100, 100, 8000))
		time.Sleep(200 * time.Millisecond)
		So(w.engines.of("job-3")[0].engine, ShouldEqual, "a")
		for i := range 3 {
			So(w.engines.of(fmt.Sprintf("job-%d", i))[0].engine, ShouldEqual, "b")
		}
	})
	play(t, "A long item moves off an engine that is 1.5 times slower once a quicker one has room, and goes on after its text", func(w *world) {
		w.engines.events = 150
		w.engines.set("a", behaviour{pause: 60 * time.Millisecond})
		w.engines.set("b", behaviour{pause: 40 * time.Millisecond})
		w.state.SetEngineList([]*fleet.Engine{
			{ID: "a", Service: "pool", Slots: 1, Ready: true, Versions: map[string]int64{model: 1}},
			{ID: "b", Service: "pool", Slots: 1, Ready: true, Versions: map[string]int64{model: 1}},
			{ID: "j", Service: "judges", Slots: 8, Ready: true},
		})
		w.submitJob(newStep("job", 0, 1, 0, 7500, 7500))
		results := w.results("job", 9*time.Second)
		So(results, ShouldHaveLength, 2)
		So(w.engines.of("job-1"), ShouldHaveLength, 1)
		runs := w.engines.of("job-0")
		So(runs, ShouldHaveLength, 2)
		So(runs[1].engine, ShouldEqual, "b")
		So(runs[1].from, ShouldBeGreaterThan, 90)
		So(results[1].Text, ShouldEqual, w.wholeText())
	})
	play(t, "An engine of which nothing is known is not taken for a quicker one", func(w *world) {
		w.engines.events = 100
		w.pool(map[string]int64{"a": 1})
		w.engines.set("a", behaviour{pause: 60 * time.Millisecond})
		w.submitJob(newStep("job", 0, 1, 0, 5000))
		time.Sleep(time.Second)
		w.pool(map[string]int64{"a": 1, "b": 1})
		So(w.results("job", 6*time.Second), ShouldHaveLength, 1)
		So(w.engines.of("job-0"), ShouldHaveLength, 1)
	})
}

func TestCheckpoints(t *testing.T) {
	begin := func(w *world, route routing.Route) {
		w.stop()
		w.textFolder = t.TempDir()
		w.runner, w.stop = w.lead(2)
		w.engines.events = 200
		w.submitJob(newJob("job", 2))
		time.Sleep(2 * time.Second)
		w.stop()
	}
	play(t, "Texts in progress outlive the process: the next term goes on after what was on disk", func(w *world) {
		begin(w, routing.Route{})
		w.runner, w.stop = w.lead(3)
		results := w.results("job", 6*time.Second)
		So(results, ShouldHaveLength, 2)
		for _, result := range results {
			So(result.Text, ShouldEqual, w.wholeText())
		}
		for _, id := range []string{"job-0", "job-1"} {
			runs := w.engines.of(id)
			So(runs, ShouldHaveLength, 2)
			So(runs[1].from, ShouldBeGreaterThan, 50)
		}
	})
	play(t, "Without the disk the texts are made again", func(w *world) {
		begin(w, routing.Route{})
		w.textFolder = t.TempDir()
		w.runner, w.stop = w.lead(3)
		So(w.results("job", 8*time.Second), ShouldHaveLength, 2)
		So(w.engines.of("job-0")[1].from, ShouldEqual, 0)
	})
	play(t, "Texts on disk that another term has gone beyond do no harm: the longer text at the engines is what counts", func(w *world) {
		begin(w, routing.Route{})
		old := w.textFolder
		w.textFolder = t.TempDir()
		w.runner, w.stop = w.lead(3)
		time.Sleep(2 * time.Second)
		w.stop()
		w.textFolder = old
		w.runner, w.stop = w.lead(4)
		results := w.results("job", 8*time.Second)
		So(results, ShouldHaveLength, 2)
		for _, result := range results {
			So(result.Text, ShouldEqual, w.wholeText())
		}
	})
	play(t, "A text on disk that a later job may not use is not used", func(w *world) {
		begin(w, routing.Route{})
		w.runner, w.stop = w.lead(3)
		So(w.runner.End(context.Background(), batch.Ref{ID: "job"}), ShouldBeNil)
		w.stop()
		for _, id := range []string{"a", "b"} {
			w.engines.set(id, behaviour{pause: 20 * time.Millisecond, version: 2})
		}
		w.pool(map[string]int64{"a": 2, "b": 2})
		w.runner, w.stop = w.lead(4)
		later := newJob("later", 0)
		later.MinVersion = 2
		later.Items = newJob("job", 2).Items
		w.submitJob(later)
		results := w.results("later", 8*time.Second)
		So(results, ShouldHaveLength, 2)
		for _, result := range results {
			So(result.Versions, ShouldResemble, []int64{2})
		}
	})
}
