package scheduler_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/covelink/covelink/internal/scheduler"
)

var unlimited = scheduler.QueueLimits{Requests: 1 << 20, Tokens: 1 << 40}

// takeOne takes the first item of the queue.
func takeOne(queue *scheduler.Queue, now time.Time) (taken scheduler.Item, ok bool) {
	queue.Scan(now, func(item *scheduler.Item) scheduler.Verdict {
		if ok {
			return scheduler.Stop
		}
		taken, ok = *item, true
		return scheduler.Take
	})
	return taken, ok
}

func TestQueueOrder(t *testing.T) {
	push := func(queue *scheduler.Queue, items ...scheduler.Item) {
		for _, item := range items {
			So(queue.Push(epoch, item), ShouldBeNil)
		}
	}
	drain := func(queue *scheduler.Queue) (ids []uint64) {
		for {
			item, ok := takeOne(queue, epoch)
			if !ok {
				return ids
			}
			ids = append(ids, item.ID)
		}
	}
	Convey("Interactive requests go first by arrival, then rollouts longest first", t, func() {
		queue := scheduler.NewQueue(unlimited)
		push(queue,
			scheduler.Item{ID: 1, Tokens: 10}, scheduler.Item{ID: 2, Tokens: 90}, scheduler.Item{ID: 3, Tokens: 50},
			scheduler.Item{ID: 4, Interactive: true, Tokens: 5}, scheduler.Item{ID: 5, Interactive: true, Tokens: 50})
		So(drain(queue), ShouldResemble, []uint64{4, 5, 2, 3, 1})
		So(queue.Tokens(), ShouldEqual, 0)
	})
	Convey("A skipped item blocks neither its caller nor other pools, and is offered once per scan", t, func() {
		queue := scheduler.NewQueue(unlimited)
		push(queue, scheduler.Item{ID: 1, Tokens: 9}, scheduler.Item{ID: 2, Tokens: 1}, scheduler.Item{ID: 3, Pool: "other"})
		offers := map[uint64]int{}
		queue.Scan(epoch, func(item *scheduler.Item) scheduler.Verdict {
			offers[item.ID]++
			if item.ID == 1 {
				return scheduler.Skip
			}
			return scheduler.Take
		})
		So(offers, ShouldResemble, map[uint64]int{1: 1, 2: 1, 3: 1})
		So(queue.Len(false), ShouldEqual, 1)
	})
	Convey("Removed items are never offered", t, func() {
		queue := scheduler.NewQueue(unlimited)
		push(queue, scheduler.Item{ID: 1}, scheduler.Item{ID: 2})
		So(queue.Remove(1), ShouldBeTrue)
		So(queue.Remove(1), ShouldBeFalse)
		So(drain(queue), ShouldResemble, []uint64{2})
	})
}

func TestQueueLimits(t *testing.T) {
	Convey("Requests are bounded per class, tokens over all classes", t, func() {
		queue := scheduler.NewQueue(scheduler.QueueLimits{Requests: 1, Tokens: 100})
		So(queue.Push(epoch, scheduler.Item{ID: 1, Tokens: 40}), ShouldBeNil)
		rejection := queue.Push(epoch, scheduler.Item{ID: 2, Tokens: 40})
		So(rejection.Reason, ShouldEqual, scheduler.RejectedRequests)
		So(rejection.RetryAfter, ShouldBeGreaterThan, 0)
		So(queue.Push(epoch, scheduler.Item{ID: 3, Tokens: 61, Interactive: true}).Reason, ShouldEqual, scheduler.RejectedTokens)
		So(queue.Push(epoch, scheduler.Item{ID: 4, Tokens: 60, Interactive: true}), ShouldBeNil)
		So(queue.Push(epoch, scheduler.Item{ID: 5, Tokens: 40, Readmitted: true}), ShouldBeNil)
	})
	Convey("A request is refused early if the measured drain rate cannot meet its deadline", t, func() {
		queue := scheduler.NewQueue(unlimited)
		now := epoch
		for id := range uint64(40) {
			So(queue.Push(now, scheduler.Item{ID: id, Tokens: 100}), ShouldBeNil)
		}
		for range 20 {
			now = now.Add(time.Second)
			_, ok := takeOne(queue, now)
			So(ok, ShouldBeTrue)
		}
		So(queue.EstimateWait(now, false, ""), ShouldBeBetween, 19*time.Second, 21*time.Second)
		late := scheduler.Item{ID: 100, Tokens: 100, Deadline: now.Add(5 * time.Second)}
		rejection := queue.Push(now, late)
		So(rejection.Reason, ShouldEqual, scheduler.RejectedDeadline)
		So(rejection.RetryAfter, ShouldBeBetween, 19*time.Second, 21*time.Second)
		late.Deadline = now.Add(time.Minute)
		So(queue.Push(now, late), ShouldBeNil)
	})
}

// TestFairness checks the bound of start-time fair queueing: the weighted service of two backlogged callers differs by at most one largest
// request of each.
func TestFairness(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const largest = 200
		queue := scheduler.NewQueue(unlimited)
		weights := map[string]int{"a": rapid.IntRange(1, 5).Draw(t, "a"), "b": rapid.IntRange(1, 5).Draw(t, "b")}
		waiting := map[string]int{}
		for id := range uint64(rapid.IntRange(2, 120).Draw(t, "items")) {
			caller := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "caller")
			tokens := rapid.IntRange(1, largest).Draw(t, "tokens")
			queue.Push(epoch, scheduler.Item{ID: id, Caller: caller, Weight: weights[caller], Tokens: tokens})
			waiting[caller]++
		}
		served := map[string]float64{}
		for waiting["a"] > 0 && waiting["b"] > 0 {
			item, _ := takeOne(queue, epoch)
			waiting[item.Caller]--
			served[item.Caller] += float64(item.Tokens) / float64(weights[item.Caller])
			bound := float64(largest)/float64(weights["a"]) + float64(largest)/float64(weights["b"])
			if difference := served["a"] - served["b"]; difference > bound || -difference > bound {
				t.Fatalf("shares %v differ by more than %v", served, bound)
			}
		}
	})
}

func TestRetryBudget(t *testing.T) {
	Convey("Retries are limited to a fraction of the successes once the burst is spent", t, func() {
		budget := scheduler.NewRetryBudget(0.25, 2)
		So(budget.Withdraw(), ShouldBeTrue)
		So(budget.Withdraw(), ShouldBeTrue)
		So(budget.Withdraw(), ShouldBeFalse)
		granted := 0
		for range 100 {
			budget.Succeed()
			if budget.Withdraw() {
				granted++
			}
		}
		So(granted, ShouldEqual, 25)
	})
}

func TestBreaker(t *testing.T) {
	Convey("The breaker opens after consecutive failures, admits one probe and increases its backoff", t, func() {
		var breaker scheduler.Breaker
		breaker.Fail(epoch, 0.5)
		breaker.Fail(epoch, 0.5)
		breaker.Succeed()
		breaker.Fail(epoch, 0.5)
		breaker.Fail(epoch, 0.5)
		So(breaker.Ready(epoch), ShouldBeTrue)
		breaker.Fail(epoch, 0.5)
		So(breaker.State(epoch), ShouldEqual, scheduler.BreakerOpen)
		So(breaker.Ready(epoch.Add(99*time.Millisecond)), ShouldBeFalse)
		probe := epoch.Add(100 * time.Millisecond)
		So(breaker.Ready(probe), ShouldBeTrue)
		breaker.Start(probe)
		So(breaker.Ready(probe), ShouldBeFalse)
		breaker.Fail(probe, 0.5)
		So(breaker.Ready(probe.Add(199*time.Millisecond)), ShouldBeFalse)
		second := probe.Add(200 * time.Millisecond)
		So(breaker.Ready(second), ShouldBeTrue)
		breaker.Start(second)
		breaker.Abandon()
		So(breaker.Ready(second), ShouldBeTrue)
		breaker.Start(second)
		breaker.Succeed()
		So(breaker.State(second), ShouldEqual, scheduler.BreakerClosed)
	})
	Convey("Full jitter is bounded by the doubled base and by the limit", t, func() {
		So(scheduler.FullJitter(time.Second, time.Minute, 3, 0), ShouldEqual, 0)
		So(scheduler.FullJitter(time.Second, time.Minute, 3, 0.5), ShouldEqual, 4*time.Second)
		So(scheduler.FullJitter(time.Second, time.Minute, 100, 0.5), ShouldEqual, 30*time.Second)
	})
}

func TestRolloutOrder(t *testing.T) {
	Convey("Rollouts of one caller are ordered by rank, then longest first", t, func() {
		queue := scheduler.NewQueue(scheduler.QueueLimits{Requests: 10, Tokens: 10_000})
		now := time.Unix(0, 0)
		for _, item := range []scheduler.Item{
			{ID: 1, Pool: "p", Caller: "t", Rank: 2, Tokens: 900},
			{ID: 2, Pool: "p", Caller: "t", Rank: 1, Tokens: 10},
			{ID: 3, Pool: "p", Caller: "t", Rank: 1, Tokens: 20},
		} {
			So(queue.Push(now, item), ShouldBeNil)
		}
		var order []uint64
		queue.Scan(now, func(item *scheduler.Item) scheduler.Verdict {
			order = append(order, item.ID)
			return scheduler.Take
		})
		So(order, ShouldResemble, []uint64{3, 2, 1})
	})
}
