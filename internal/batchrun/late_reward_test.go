package batchrun_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/batch"
	"github.com/covelink/covelink/internal/itemwork"
)

// Guards against a worker making the reward call of a run that was given up as lost, which nothing would cancel.
func TestRewardCallOfARunGivenUp(t *testing.T) {
	runWorkerScenario(t, "A worker that reconnects makes no reward call for a run that was given up, before or after its job's end", func(h *workerHarness) {
		defer h.startWorker("one")()
		h.engines.setBehavior("j", engineBehavior{status: http.StatusServiceUnavailable, notRun: true})
		h.submit("j", 1)
		time.Sleep(700 * time.Millisecond)
		h.disconnected.Store(true)
		time.Sleep(3 * time.Second)
		h.disconnected.Store(false)
		time.Sleep(time.Second)
		So(h.runner.End(context.Background(), batch.Ref{ID: "j"}), ShouldBeNil)
		h.engines.setBehavior("j", engineBehavior{})
		time.Sleep(10 * time.Second)
		So(h.engines.executionsOf("reward-j-0"), ShouldBeEmpty)
	})
	runWorkerScenario(t, "The reply to the report of a run that was given up drops its reward call", func(h *workerHarness) {
		worker := h.newScriptedWorker()
		h.submit("j", 1)
		started := worker.pollFor(1)
		So(started, ShouldHaveLength, 1)
		time.Sleep(5 * time.Second)
		worker.poll()
		So(worker.sendReport(started[0], itemwork.VerdictComplete, itemwork.Judgement{}).Released, ShouldResemble, []itemwork.RunID{started[0].Run})
	})
}

// Guards against a reward call permitted by a report's reply while the release order was still waiting for a poll.
func TestRewardCallOfARunCarriedOver(t *testing.T) {
	runWorkerScenario(t, "A run attached to a later job makes no reward call for the ended job, even if replies to its worker's polls are late",
		func(h *workerHarness) {
			defer h.startWorker("one")()
			slow := engineBehavior{pause: 200 * time.Millisecond}
			h.engines.setBehavior("a", slow)
			h.engines.setBehavior("b", slow)
			h.submit("j", 1)
			time.Sleep(500 * time.Millisecond)
			h.disconnected.Store(true)
			time.Sleep(4 * time.Second)
			h.stop()
			h.startTerm(2)
			So(h.runner.End(context.Background(), batch.Ref{ID: "j"}), ShouldBeNil)
			next := newJob("k", 1)
			next.Step, next.Items = 1, newJob("j", 1).Items
			reward := *next.Items[0].Reward
			reward.ID = "reward-k-0"
			next.Items[0].Reward = &reward
			So(h.runner.Submit(context.Background(), next), ShouldBeNil)
			calls := len(h.engines.executionsOf("reward-j-0"))
			h.pollDelay.Store(int64(400 * time.Millisecond))
			h.disconnected.Store(false)
			h.shouldBeComplete(h.results("k", 2*time.Second), 1)
			So(h.engines.executionsOf("reward-j-0"), ShouldHaveLength, calls)
			So(h.engines.executionsOf("reward-k-0"), ShouldHaveLength, 1)
		})
}
