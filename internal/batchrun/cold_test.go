package batchrun_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/boottime"
	"github.com/covelink/covelink/internal/coldstart"
	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/itemwork"
	"github.com/covelink/covelink/internal/routing"
)

// coldRate is the number of requests per second that a cold engine accepts.
const coldRate = 3.0

// startCold replaces the runner by one for which engine a is cold for the given time. Workers, if any, execute the runs.
func (h *workerHarness) startCold(ctx context.Context, length time.Duration) (ended *sync.WaitGroup) {
	h.stop()
	pool, judges := []routing.Target{{Service: "pool", Weight: 1}}, []routing.Target{{Service: "judges", Weight: 1}}
	h.state.SetRoutes(routing.NewTable(2, []routing.Route{
		{Host: host, Prefix: "/rollout/", Kind: routing.KindBatch, Targets: pool, MaxAttempts: 3, MaxQueue: time.Minute, ResultDeadline: 8 * time.Second},
		{Host: host, Prefix: "/judge/", Kind: routing.KindIdempotent, Targets: judges, MaxAttempts: 2},
	}, []routing.Service{{Name: "pool", ColdStart: length, ColdRate: coldRate}, {Name: "judges"}}, routing.Limits{}))
	h.warmAt = time.Now().Add(length)
	h.state.SetEngineList([]*fleet.Engine{
		{ID: "a", Service: "pool", Slots: 64, Ready: true, Versions: map[string]int64{model: 1}, ColdRemaining: length},
		{ID: "j", Service: "judges", Slots: 64, Ready: true},
	})
	warmth := coldstart.NewTracker(h.state, boottime.Now, log.NewNopLogger())
	keeper := coldstart.NewLimiter(coldstart.LimiterParams{Rate: warmth.Rate, LeaseConfirmedAt: boottime.Now, Now: boottime.Now, Logger: log.NewNopLogger()})
	h.quota = coldstart.LocalQuota{Tracker: warmth, Limiter: keeper}
	var goroutines sync.WaitGroup
	goroutines.Go(func() { keeper.Lead(ctx) })
	goroutines.Go(func() { warmth.Run(ctx) })
	h.startTerm(2)
	return &goroutines
}

// peakRate returns the highest number of runs started at an engine within one second before a moment, and the total.
func (e *fakeEngines) peakRate(engine string, until time.Time) (peak, total int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var started []time.Time
	for _, r := range e.executions {
		if r.engine == engine && r.at.Before(until) {
			started = append(started, r.at)
		}
	}
	slices.SortFunc(started, time.Time.Compare)
	first := 0
	for i, at := range started {
		for at.Sub(started[first]) > time.Second {
			first++
		}
		peak = max(peak, i-first+1)
	}
	return peak, len(started)
}

func runColdScenario(t *testing.T, name string, scenario func(h *workerHarness, ctx context.Context)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		h := &workerHarness{harness: newHarness(routing.Route{})}
		ended := h.startCold(ctx, 6*time.Second)
		defer func() {
			h.stop()
			cancel()
			ended.Wait()
		}()
		Convey(name, t, func() { scenario(h, ctx) })
	})
}

func TestItemsAtColdEngine(t *testing.T) {
	const items = 40
	submit := func(h *workerHarness) {
		So(h.runner.Submit(context.Background(), newJob("job", items)), ShouldBeNil)
	}
	runColdScenario(t, "Items start at a cold engine within its rate, and all at once when it is warm", func(h *workerHarness, _ context.Context) {
		submit(h)
		So(h.results("job", 20*time.Second), ShouldHaveLength, items)
		peak, total := h.engines.peakRate("a", h.warmAt)
		So(peak, ShouldBeBetweenOrEqual, 2, coldRate+1)
		So(total, ShouldBeBetweenOrEqual, 6, 16)
	})
	runColdScenario(t, "Runs of workers stay within the same rate", func(h *workerHarness, _ context.Context) {
		stop := h.startWorker("w")
		defer stop()
		submit(h)
		So(h.results("job", 20*time.Second), ShouldHaveLength, items)
		peak, total := h.engines.peakRate("a", h.warmAt)
		So(peak, ShouldBeBetweenOrEqual, 2, coldRate+1)
		So(total, ShouldBeBetweenOrEqual, 6, 16)
	})
	runColdScenario(t, "A run that reaches its worker after its grant has expired is not sent, and its item runs later", func(h *workerHarness, _ context.Context) {
		stop := h.startWorker("w")
		defer stop()
		// Let the adoption wait of the term pass. Polls are then delayed by a second.
		time.Sleep(2 * time.Second)
		h.pollDelay.Store(int64(time.Second))
		submit(h)
		time.Sleep(2 * time.Second)
		_, total := h.engines.peakRate("a", time.Now())
		So(total, ShouldEqual, 0)
		h.pollDelay.Store(0)
		So(h.results("job", 20*time.Second), ShouldHaveLength, items)
	})
}

func (h *workerHarness) delayPoll(reply itemwork.PollReply) itemwork.PollReply {
	time.Sleep(time.Duration(h.pollDelay.Load()))
	return reply
}
