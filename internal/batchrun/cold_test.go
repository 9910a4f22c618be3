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

// coldRate is how many requests a second a cold engine of the test bears.
const coldRate = 3.0

// chill replaces the runner by one for which engine a is cold for a length of time, and which hands runs to workers if there are any.
func (w *deskWorld) chill(ctx context.Context, length time.Duration) (ended *sync.WaitGroup) {
	w.stop()
	pool, judges := []routing.Target{{Service: "pool", Weight: 1}}, []routing.Target{{Service: "judges", Weight: 1}}
	w.state.SetRoutes(routing.NewTable(2, []routing.Route{
		{Host: host, Prefix: "/rollout/", Kind: routing.KindBatch, Targets: pool, MaxAttempts: 3, MaxQueue: time.Minute, ResultDeadline: 8 * time.Second},
		{Host: host, Prefix: "/judge/", Kind: routing.KindIdempotent, Targets: judges, MaxAttempts: 2},
	}, []routing.Service{{Name: "pool", ColdStart: length, ColdRate: coldRate}, {Name: "judges"}}, routing.Limits{}))
	w.warmAt = time.Now().Add(length)
	w.state.SetEngineList([]*fleet.Engine{
		{ID: "a", Service: "pool", Slots: 64, Ready: true, Versions: map[string]int64{model: 1}, ColdRemaining: length},
		{ID: "j", Service: "judges", Slots: 64, Ready: true},
	})
	warmth := coldstart.NewWarmth(w.state, boottime.Now, log.NewNopLogger())
	keeper := coldstart.NewKeeper(coldstart.KeeperParams{Rate: warmth.Rate, ShownAt: boottime.Now, Now: boottime.Now, Logger: log.NewNopLogger()})
	w.quota = coldstart.Placer{Warmth: warmth, Keeper: keeper}
	var leading sync.WaitGroup
	leading.Go(func() { keeper.Lead(ctx) })
	leading.Go(func() { warmth.Run(ctx) })
	w.lead(2)
	return &leading
}

// worstSecond returns how many runs began at an engine in the busiest second before a moment, and how many in all.
func (e *engines) worstSecond(engine string, until time.Time) (worst, all int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var begun []time.Time
	for _, r := range e.runs {
		if r.engine == engine && r.at.Before(until) {
			begun = append(begun, r.at)
		}
	}
	slices.SortFunc(begun, time.Time.Compare)
	first := 0
	for i, at := range begun {
		for at.Sub(begun[first]) > time.Second {
			first++
		}
		worst = max(worst, i-first+1)
	}
	return worst, len(begun)
}

func playCold(t *testing.T, name string, scene func(w *deskWorld, ctx context.Context)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		w := &deskWorld{world: newWorld(routing.Route{})}
		ended := w.chill(ctx, 6*time.Second)
		defer func() {
			w.stop()
			cancel()
			ended.Wait()
		}()
		Convey(name, t, func() { scene(w, ctx) })
	})
}

func TestItemsAtColdEngine(t *testing.T) {
	const items = 40
	submit := func(w *deskWorld) {
		So(w.runner.Submit(context.Background(), newJob("job", items)), ShouldBeNil)
	}
	playCold(t, "Items are begun at a cold engine as its rate allows, and all at once when it is warm", func(w *deskWorld, _ context.Context) {
		submit(w)
		So(w.results("job", 20*time.Second), ShouldHaveLength, items)
		worst, all := w.engines.worstSecond("a", w.warmAt)
		So(worst, ShouldBeBetweenOrEqual, 2, coldRate+1)
		So(all, ShouldBeBetweenOrEqual, 6, 16)
	})
	playCold(t, "Workers keep to the same grants", func(w *deskWorld, _ context.Context) {
		stop := w.work("w")
		defer stop()
		submit(w)
		So(w.results("job", 20*time.Second), ShouldHaveLength, items)
		worst, all := w.engines.worstSecond("a", w.warmAt)
		So(worst, ShouldBeBetweenOrEqual, 2, coldRate+1)
		So(all, ShouldBeBetweenOrEqual, 6, 16)
	})
	playCold(t, "An item that reaches its worker late is not sent, and runs later", func(w *deskWorld, _ context.Context) {
		stop := w.work("w")
		defer stop()
		// The quiet time of the term is over; orders are not fetched for a second.
		time.Sleep(2 * time.Second)
		w.held.Store(int64(time.Second))
		submit(w)
		time.Sleep(2 * time.Second)
		_, all := w.engines.worstSecond("a", time.Now())
		So(all, ShouldEqual, 0)
		w.held.Store(0)
		So(w.results("job", 20*time.Second), ShouldHaveLength, items)
	})
}

// hold delays the answer of a poll, as a link that stalls does.
func (w *deskWorld) hold(reply itemwork.PollReply) itemwork.PollReply {
	time.Sleep(time.Duration(w.held.Load()))
	return reply
}
