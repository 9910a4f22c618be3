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

// A worker whose run was given up as lost went on with the reward call, which nothing ended any more.
func TestRewardCallOfARunGivenUp(t *testing.T) {
	playDesk(t, "A worker that is met again makes no reward call for a run that was given up, before or after its job's end", func(w *deskWorld) {
		defer w.work("one")()
		w.engines.set("j", behaviour{status: http.StatusServiceUnavailable, notRun: true})
		w.submit("j", 1)
		time.Sleep(700 * time.Millisecond)
		w.cut.Store(true)
		time.Sleep(3 * time.Second)
		w.cut.Store(false)
		time.Sleep(time.Second)
		So(w.runner.End(context.Background(), batch.Ref{ID: "j"}), ShouldBeNil)
		w.engines.set("j", behaviour{})
		time.Sleep(10 * time.Second)
		So(w.engines.of("reward-j-0"), ShouldBeEmpty)
	})
	playDesk(t, "It is told so with the answer to its report", func(w *deskWorld) {
		worker := w.handWorker()
		w.submit("j", 1)
		started := worker.stay(1)
		So(started, ShouldHaveLength, 1)
		time.Sleep(5 * time.Second)
		worker.poll()
		So(worker.tell(started[0], itemwork.VerdictWhole, itemwork.Judgement{}).Released, ShouldResemble, []itemwork.RunID{started[0].Run})
	})
}

// The order to make no reward call came by a poll, while the answer to the report had permitted the call already.
func TestRewardCallOfARunCarriedOver(t *testing.T) {
	playDesk(t, "A run that a later job takes over makes no reward call for the job that has ended, though its worker's polls are answered late",
		func(w *deskWorld) {
			defer w.work("one")()
			slow := behaviour{pause: 200 * time.Millisecond}
			w.engines.set("a", slow)
			w.engines.set("b", slow)
			w.submit("j", 1)
			time.Sleep(500 * time.Millisecond)
			w.cut.Store(true)
			time.Sleep(4 * time.Second)
			w.stop()
			w.lead(2)
			So(w.runner.End(context.Background(), batch.Ref{ID: "j"}), ShouldBeNil)
			next := newJob("k", 1)
			next.Step, next.Items = 1, newJob("j", 1).Items
			reward := *next.Items[0].Reward
			reward.ID = "reward-k-0"
			next.Items[0].Reward = &reward
			So(w.runner.Submit(context.Background(), next), ShouldBeNil)
			calls := len(w.engines.of("reward-j-0"))
			w.held.Store(int64(400 * time.Millisecond))
			w.cut.Store(false)
			w.shouldBeWhole(w.results("k", 2*time.Second), 1)
			So(w.engines.of("reward-j-0"), ShouldHaveLength, calls)
			So(w.engines.of("reward-k-0"), ShouldHaveLength, 1)
		})
}
