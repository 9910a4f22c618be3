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

// listPool lists the pool's engines by ID and weight version, and the judge.
func (h *harness) listPool(versions map[string]int64) {
	list := []*fleet.Engine{{ID: "j", Service: "judges", Slots: 8, Ready: true}}
	for id, version := range versions {
		list = append(list, &fleet.Engine{ID: id, Service: "pool", Slots: 8, Ready: true, Versions: map[string]int64{model: version}})
	}
	h.state.SetEngineList(list)
}

// newStep returns a job of single-item groups with the given estimated lengths, of which the trainer requests the desired number.
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

func (h *harness) submitJob(job batch.Job) {
	So(h.runner.Submit(context.Background(), job), ShouldBeNil)
}

// endAfterRenewal ends a job with a long and a short group, of which the trainer requests one, once the long one was restarted with newer weights.
func (h *harness) endAfterRenewal() {
	h.engines.events = 150
	h.listPool(map[string]int64{"a": 1})
	h.submitJob(newStep("one", 0, 1, 1, 7500, 500))
	time.Sleep(time.Second)
	h.engines.setBehavior("b", engineBehavior{pause: 20 * time.Millisecond, version: 2})
	h.listPool(map[string]int64{"a": 1, "b": 2})
	time.Sleep(500 * time.Millisecond)
	long, short := h.engines.executionsOf("one-0"), h.engines.executionsOf("one-1")
	So(long, ShouldHaveLength, 2)
	So(long[1].engine, ShouldEqual, "b")
	So(long[1].from, ShouldEqual, 0)
	So(short, ShouldHaveLength, 1)
	time.Sleep(time.Second)
	So(h.runner.End(context.Background(), batch.Ref{ID: "one"}), ShouldBeNil)
	time.Sleep(100 * time.Millisecond)
	So(h.engines.executionsOf("one-0")[1].ended, ShouldEqual, time.Time{})
}

// longItem returns the item that endAfterRenewal leaves unfinished.
func longItem() batch.Item { return newStep("one", 0, 1, 1, 7500).Items[0] }

func TestRenewal(t *testing.T) {
	runScenario(t, "A spare item is restarted for the later job; its run is detached at the end of its job, and attached to the later one", func(h *harness) {
		h.endAfterRenewal()
		later := newStep("two", 1, 2, 2, 0, 500)
		later.Items[0] = longItem()
		h.submitJob(later)
		results := h.results("two", 4*time.Second)
		So(results, ShouldHaveLength, 2)
		So(h.engines.executionsOf("one-0"), ShouldHaveLength, 2)
		So(h.engines.executionsOf("reward-one-0"), ShouldHaveLength, 1)
		for _, result := range results {
			So(result.Text, ShouldEqual, h.completeText())
			So(result.Versions, ShouldResemble, []int64{2})
		}
	})
	runScenario(t, "A later job that requires still newer weights does not use the text", func(h *harness) {
		h.endAfterRenewal()
		later := newStep("two", 1, 3, 1, 0)
		later.Items[0] = longItem()
		h.submitJob(later)
		time.Sleep(time.Second)
		So(h.engines.executionsOf("one-0")[1].ended, ShouldNotEqual, time.Time{})
		So(h.results("two", time.Second), ShouldBeEmpty)
	})
	runScenario(t, "If the item is not carried over, its run ends after detachedTTL without a reward call", func(h *harness) {
		h.endAfterRenewal()
		h.engines.setBehavior("b", engineBehavior{pause: 20 * time.Millisecond, version: 2})
		time.Sleep(10 * time.Second)
		executions := h.engines.executionsOf("one-0")
		So(executions, ShouldHaveLength, 2)
		So(executions[1].ended, ShouldNotEqual, time.Time{})
		So(h.engines.executionsOf("reward-one-0"), ShouldBeEmpty)
	})
	runScenario(t, "A carried-over group is never restarted, because the trainer waits for it", func(h *harness) {
		h.engines.events = 100
		h.listPool(map[string]int64{"a": 1})
		h.submitJob(newStep("one", 0, 1, 1, 5000, 500))
		time.Sleep(500 * time.Millisecond)
		So(h.runner.End(context.Background(), batch.Ref{ID: "one"}), ShouldBeNil)
		later := newStep("two", 1, 1, 1, 0, 500)
		later.Items[0] = newStep("one", 0, 1, 1, 5000).Items[0]
		h.submitJob(later)
		h.engines.setBehavior("b", engineBehavior{pause: 20 * time.Millisecond, version: 2})
		h.listPool(map[string]int64{"a": 1, "b": 2})
		time.Sleep(700 * time.Millisecond)
		executions := h.engines.executionsOf("one-0")
		So(executions[len(executions)-1].from, ShouldBeGreaterThan, 0)
		So(executions, ShouldHaveLength, 2)
	})
	runScenario(t, "After a change of coordinator the first groups of a job, which may be carried over, are not restarted", func(h *harness) {
		h.engines.events = 100
		h.listPool(map[string]int64{"a": 1})
		h.submitJob(newStep("five", 5, 1, 2, 5000, 500, 400, 300))
		h.stop()
		h.runner, h.stop = h.startTerm(2)
		h.engines.setBehavior("b", engineBehavior{pause: 20 * time.Millisecond, version: 2})
		h.listPool(map[string]int64{"a": 1, "b": 2})
		time.Sleep(time.Second)
		executions := h.engines.executionsOf("five-0")
		So(executions[len(executions)-1].engine, ShouldEqual, "a")
	})
}

func TestPlacement(t *testing.T) {
	runScenario(t, "The longest item starts first and at the fastest engine, and short items leave its slots free", func(h *harness) {
		h.engines.events = 20
		h.engines.setBehavior("a", engineBehavior{pause: 20 * time.Millisecond})
		h.engines.setBehavior("b", engineBehavior{pause: 30 * time.Millisecond})
		h.submitJob(newStep("learn", 0, 1, 0, 1000, 1000, 1000, 1000))
		time.Sleep(2 * time.Second)
		h.submitJob(newStep("job", 1, 1, 0, 100, 100, 100, 8000))
		time.Sleep(200 * time.Millisecond)
		So(h.engines.executionsOf("job-3")[0].engine, ShouldEqual, "a")
		for i := range 3 {
			So(h.engines.executionsOf(fmt.Sprintf("job-%d", i))[0].engine, ShouldEqual, "b")
		}
	})
	runScenario(t, "A long item moves from an engine that is 1.5 times slower once a faster one has a free slot, and resumes there", func(h *harness) {
		h.engines.events = 150
		h.engines.setBehavior("a", engineBehavior{pause: 60 * time.Millisecond})
		h.engines.setBehavior("b", engineBehavior{pause: 40 * time.Millisecond})
		h.state.SetEngineList([]*fleet.Engine{
			{ID: "a", Service: "pool", Slots: 1, Ready: true, Versions: map[string]int64{model: 1}},
			{ID: "b", Service: "pool", Slots: 1, Ready: true, Versions: map[string]int64{model: 1}},
			{ID: "j", Service: "judges", Slots: 8, Ready: true},
		})
		h.submitJob(newStep("job", 0, 1, 0, 7500, 7500))
		results := h.results("job", 9*time.Second)
		So(results, ShouldHaveLength, 2)
		So(h.engines.executionsOf("job-1"), ShouldHaveLength, 1)
		executions := h.engines.executionsOf("job-0")
		So(executions, ShouldHaveLength, 2)
		So(executions[1].engine, ShouldEqual, "b")
		So(executions[1].from, ShouldBeGreaterThan, 90)
		So(results[1].Text, ShouldEqual, h.completeText())
	})
	runScenario(t, "An engine without observations does not count as faster", func(h *harness) {
		h.engines.events = 100
		h.listPool(map[string]int64{"a": 1})
		h.engines.setBehavior("a", engineBehavior{pause: 60 * time.Millisecond})
		h.submitJob(newStep("job", 0, 1, 0, 5000))
		time.Sleep(time.Second)
		h.listPool(map[string]int64{"a": 1, "b": 1})
		So(h.results("job", 6*time.Second), ShouldHaveLength, 1)
		So(h.engines.executionsOf("job-0"), ShouldHaveLength, 1)
	})
}

// Guards against profiles of an earlier term, which may be hours old when this process leads again.
func TestProfilesOfTerm(t *testing.T) {
	runScenario(t, "Profiles begin anew with each term of a process", func(h *harness) {
		h.engines.events = 100
		h.engines.setBehavior("b", engineBehavior{pause: 60 * time.Millisecond})
		h.submitJob(newStep("one", 0, 1, 0, 5000, 5000, 5000, 5000))
		time.Sleep(3 * time.Second)
		So(h.runner.EventInterval("b"), ShouldBeGreaterThan, 50*time.Millisecond)
		h.stop()
		unobserved := h.runner.EventInterval("none")
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			h.runner.Lead(ctx, 2)
			close(done)
		}()
		h.stop = func() {
			cancel()
			<-done
		}
		h.engines.setBehavior("b", engineBehavior{pause: 20 * time.Millisecond})
		time.Sleep(5 * time.Millisecond)
		So(h.runner.EventInterval("b"), ShouldEqual, unobserved)
		h.submitJob(newStep("two", 1, 1, 0, 5000, 5000, 5000, 5000))
		time.Sleep(2 * time.Second)
		So(h.runner.EventInterval("b"), ShouldBeLessThan, 30*time.Millisecond)
	})
}

func TestCheckpoints(t *testing.T) {
	runInterruptedTerm := func(h *harness, route routing.Route) {
		h.stop()
		h.textFolder = t.TempDir()
		h.runner, h.stop = h.startTerm(2)
		h.engines.events = 200
		h.submitJob(newJob("job", 2))
		time.Sleep(2 * time.Second)
		h.stop()
	}
	runScenario(t, "Unfinished texts survive the process: the next term resumes from the checkpoint", func(h *harness) {
		runInterruptedTerm(h, routing.Route{})
		h.runner, h.stop = h.startTerm(3)
		results := h.results("job", 6*time.Second)
		So(results, ShouldHaveLength, 2)
		for _, result := range results {
			So(result.Text, ShouldEqual, h.completeText())
		}
		for _, id := range []string{"job-0", "job-1"} {
			executions := h.engines.executionsOf(id)
			So(executions, ShouldHaveLength, 2)
			So(executions[1].from, ShouldBeGreaterThan, 50)
		}
	})
	runScenario(t, "Without the checkpoint the texts are generated again", func(h *harness) {
		runInterruptedTerm(h, routing.Route{})
		h.textFolder = t.TempDir()
		h.runner, h.stop = h.startTerm(3)
		So(h.results("job", 8*time.Second), ShouldHaveLength, 2)
		So(h.engines.executionsOf("job-0")[1].from, ShouldEqual, 0)
	})
	runScenario(t, "An outdated checkpoint, behind the progress of another term, loses and duplicates no events", func(h *harness) {
		runInterruptedTerm(h, routing.Route{})
		old := h.textFolder
		h.textFolder = t.TempDir()
		h.runner, h.stop = h.startTerm(3)
		time.Sleep(2 * time.Second)
		h.stop()
		h.textFolder = old
		h.runner, h.stop = h.startTerm(4)
		results := h.results("job", 8*time.Second)
		So(results, ShouldHaveLength, 2)
		for _, result := range results {
			So(result.Text, ShouldEqual, h.completeText())
		}
	})
	runScenario(t, "A checkpoint that a later job may not use is ignored", func(h *harness) {
		runInterruptedTerm(h, routing.Route{})
		h.runner, h.stop = h.startTerm(3)
		So(h.runner.End(context.Background(), batch.Ref{ID: "job"}), ShouldBeNil)
		h.stop()
		for _, id := range []string{"a", "b"} {
			h.engines.setBehavior(id, engineBehavior{pause: 20 * time.Millisecond, version: 2})
		}
		h.listPool(map[string]int64{"a": 2, "b": 2})
		h.runner, h.stop = h.startTerm(4)
		later := newJob("later", 0)
		later.MinVersion = 2
		later.Items = newJob("job", 2).Items
		h.submitJob(later)
		results := h.results("later", 8*time.Second)
		So(results, ShouldHaveLength, 2)
		for _, result := range results {
			So(result.Versions, ShouldResemble, []int64{2})
		}
	})
}
