package rollout

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/leadership"
	"github.com/covelink/covelink/internal/settings"
)

// The property tests draw the same values every time unless the flag says otherwise.
func init() {
	if err := flag.Set("rapid.seed", "20"); err != nil {
		panic(err)
	}
}

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestManagerDeliversWhole(t *testing.T) {
	const samples = 1024
	spec := v1.BatchSpec{Samples: make([]v1.SampleRequest, samples)}
	deliver := func(logs LogOpener, between func(*testCluster, int)) *testCluster {
		ctx, cancel := context.WithTimeout(context.Background(), testDeadline)
		defer cancel()
		c := startCluster(t, v1.TrainerSpec{StalenessBound: 1, MaxInFlight: 100}, logs)
		version := int64(1)
		So(c.service.PutVersion(ctx, "t", v1.WeightVersion{Version: version}), ShouldBeNil)
		_, err := c.service.PutBatch(ctx, "t", "b", spec)
		So(err, ShouldBeNil)
		got := c.consume(ctx, "b", &version, func(replies int) {
			if replies%5 == 0 {
				version++
				So(c.service.PutVersion(ctx, "t", v1.WeightVersion{Version: version}), ShouldBeNil)
			}
			between(c, replies)
		})
		So(len(got), ShouldEqual, samples)
		status, err := c.service.Batch(ctx, "t", "b")
		So(err, ShouldBeNil)
		So(status.Phase, ShouldEqual, v1.BatchDelivered)
		So(status.MemoryOnly, ShouldBeTrue)
		return c
	}
	Convey("1024 samples arrive whole over rpc while the trainer moves on", t, func() {
		deliver(NewMemoryLogs(), func(*testCluster, int) {})
	})
	Convey("and when the log fails now and then", t, func() {
		faulty := &faultyLogs{LogOpener: NewMemoryLogs()}
		deliver(faulty, func(*testCluster, int) {})
		So(faulty.count(), ShouldBeGreaterThan, 22)
	})
	Convey("and when the owner stops as planned in mid-batch", t, func() {
		c := deliver(NewMemoryLogs(), func(c *testCluster, replies int) {
			if replies == 4 {
				holder, _ := tableElector{table: c.table}.Holder("")
				for _, m := range c.managers {
					if m.params.Self.Name == holder.Name {
						So(m.HandOver(context.Background()), ShouldBeNil)
					}
				}
			}
		})
		So(c.table.terms(), ShouldBeGreaterThan, 1)
	})
	Convey("and when the owner loses its lease", t, func() {
		c := deliver(NewMemoryLogs(), func(c *testCluster, replies int) {
			if replies == 4 {
				c.table.take()
			}
		})
		So(c.table.terms(), ShouldBeGreaterThan, 1)
	})
}

func TestManagerScoresOnce(t *testing.T) {
	Convey("Scores arrive, zero included, though the scorer fails at first", t, func() {
		var mu sync.Mutex
		asked := make(map[string]int)
		scorer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			var request scoreRequest
			_ = json.NewDecoder(r.Body).Decode(&request)
			mu.Lock()
			defer mu.Unlock()
			asked[request.RequestID]++
			if asked[request.RequestID] == 1 {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			fmt.Fprint(w, `{"score": 0}`)
		}))
		defer scorer.Close()
		ctx, cancel := context.WithTimeout(context.Background(), testDeadline)
		defer cancel()
		c := startCluster(t, v1.TrainerSpec{StalenessBound: 1, Scorer: scorer.URL}, NewMemoryLogs())
		_, err := c.service.PutBatch(ctx, "t", "b", v1.BatchSpec{Samples: make([]v1.SampleRequest, 20)})
		So(err, ShouldBeNil)
		var version int64
		got := c.consume(ctx, "b", &version, func(int) {})
		So(len(got), ShouldEqual, 20)
		mu.Lock()
		defer mu.Unlock()
		So(len(asked), ShouldEqual, 20)
		for _, sample := range got {
			So(sample.Score, ShouldNotBeNil)
			So(*sample.Score, ShouldEqual, 0)
		}
	})
}

func TestManagerOutcomes(t *testing.T) {
	Convey("Given a cluster", t, func() {
		c := startCluster(t, v1.TrainerSpec{StalenessBound: 1}, NewMemoryLogs())
		ctx, cancel := context.WithTimeout(context.Background(), testDeadline)
		defer cancel()
		Convey("a pool that is not permitted in the gateway's zone is refused as not run", func() {
			_, err := c.service.Batch(ctx, "far", "b")
			So(err.(*v1.Error).Code, ShouldEqual, v1.CodeForbidden)
			So(err.(*v1.Error).Outcome, ShouldEqual, v1.OutcomeNotRun)
		})
		Convey("a batch beyond a frame is refused as too large", func() {
			prompt := strings.Repeat("x", settings.Default().Limits.MaxFrameBytes)
			_, err := c.service.PutBatch(ctx, "t", "b", v1.BatchSpec{Samples: []v1.SampleRequest{{Prompt: prompt}}})
			So(err.(*v1.Error).Code, ShouldEqual, v1.CodeTooLarge)
		})
		Convey("without an owner a call ends with its context, as not run", func() {
			for _, m := range c.managers[:2] {
				So(m.HandOver(ctx), ShouldBeNil)
			}
			short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
			defer cancel()
			_, err := c.service.Batch(short, "t", "b")
			So(err.(*v1.Error).Code, ShouldEqual, v1.CodeUnavailable)
			So(err.(*v1.Error).Outcome, ShouldEqual, v1.OutcomeNotRun)
		})
		Convey("weights are published until that succeeds, and again by the next owner", func() {
			So(c.service.PutVersion(ctx, "t", v1.WeightVersion{Version: 3}), ShouldBeNil)
			So(eventually(func() bool { return c.published.count(3) >= 2 }), ShouldBeTrue)
			c.table.take()
			So(eventually(func() bool { return c.published.count(3) >= 3 }), ShouldBeTrue)
		})
		Convey("a planned stop saves the tokens that have arrived, and the next owner resumes from them", func() {
			c.dispatcher.hold()
			_, err := c.service.PutBatch(ctx, "t", "b", v1.BatchSpec{Samples: make([]v1.SampleRequest, 5)})
			So(err, ShouldBeNil)
			So(eventually(func() bool { held, _ := c.dispatcher.arrived(); return held == 5 }), ShouldBeTrue)
			holder, _ := tableElector{table: c.table}.Holder("")
			for _, m := range c.managers {
				if m.params.Self.Name == holder.Name {
					So(m.HandOver(ctx), ShouldBeNil)
				}
			}
			So(eventually(func() bool { held, _ := c.dispatcher.arrived(); return held == 10 }), ShouldBeTrue)
			_, resume := c.dispatcher.arrived()
			So(resume, ShouldResemble, map[string]int{"t/b/0": 5, "t/b/1": 5, "t/b/2": 5, "t/b/3": 5, "t/b/4": 5})
		})
		Convey("a fetch with nothing to hand over answers when its wait is over", func() {
			c.dispatcher.hold()
			_, err := c.service.PutBatch(ctx, "t", "b", v1.BatchSpec{Samples: make([]v1.SampleRequest, 1)})
			So(err, ShouldBeNil)
			response, err := c.service.Fetch(ctx, "t", "b", v1.FetchRequest{Wait: 50 * time.Millisecond})
			So(err, ShouldBeNil)
			So(response.Samples, ShouldBeEmpty)
			So(response.Done, ShouldBeFalse)
		})
	})
}

func TestManagerPausedOwner(t *testing.T) {
	Convey("Given an owner that still believes in its lease and one of the next term", t, func() {
		c := startCluster(t, v1.TrainerSpec{StalenessBound: 1}, NewMemoryLogs())
		for _, m := range c.managers[:2] {
			So(m.HandOver(context.Background()), ShouldBeNil)
		}
		logs := NewMemoryLogs()
		elector := &fixedElector{}
		ctx, cancel := context.WithTimeout(context.Background(), testDeadline)
		var leading sync.WaitGroup
		defer leading.Wait()
		defer cancel()
		old, next := c.managers[0], c.managers[1]
		elector.holder.Store(&old.params.Self)
		for token, m := range []*Manager{old, next} {
			m.draining, m.params.Logs, m.params.Elector = make(chan struct{}), logs, elector
			leading.Go(func() {
				m.lead(ctx, leadership.Term{Name: "trainer/t", Token: uint64(token + 1)}, "t", []string{"z"})
			})
			So(eventually(func() bool { return m.term("t") != nil }), ShouldBeTrue)
		}
		Convey("a call to the old one is not answered by it and reaches the new one", func() {
			spec := v1.BatchSpec{Samples: make([]v1.SampleRequest, 1)}
			leading.Go(func() {
				eventually(func() bool { return old.term("t") == nil })
				elector.holder.Store(&next.params.Self)
			})
			status, err := old.Service().PutBatch(ctx, "t", "b", spec)
			So(err, ShouldBeNil)
			So(status.Owner, ShouldEqual, next.params.Self.Name)
		})
	})
}

func TestMemoryLogsFence(t *testing.T) {
	Convey("A later opening fences the earlier ones", t, func() {
		ctx, logs := context.Background(), NewMemoryLogs()
		first, err := logs.Open(ctx, "l", leadership.Term{Token: 2}, nil)
		So(err, ShouldBeNil)
		So(first.Append(ctx, []Entry{TermStarted{Token: 2}}), ShouldBeNil)
		second, err := logs.Open(ctx, "l", leadership.Term{Token: 2}, nil)
		So(err, ShouldBeNil)
		So(errors.Is(first.Append(ctx, nil), ErrFenced), ShouldBeTrue)
		So(errors.Is(first.Truncate(ctx, nil), ErrFenced), ShouldBeTrue)
		_, err = logs.Open(ctx, "l", leadership.Term{Token: 1}, nil)
		So(errors.Is(err, ErrFenced), ShouldBeTrue)
		_, entries, err := second.Recover(ctx)
		So(err, ShouldBeNil)
		So(entries, ShouldResemble, []Entry{TermStarted{Token: 2}})
	})
}

func TestTermSuspendTakesWhatHasArrived(t *testing.T) {
	Convey("Progress that waits when a planned stop begins is saved", t, func() {
		c := startCluster(t, v1.TrainerSpec{StalenessBound: 1}, NewMemoryLogs())
		ctx := context.Background()
		store, err := NewMemoryLogs().Open(ctx, "l", leadership.Term{Token: 1}, nil)
		So(err, ShouldBeNil)
		b := newBench(benchConfig())
		b.put("b", v1.SampleRequest{})
		starts, _ := b.act()
		term := newTerm(ctx, c.managers[2], "t", b.Owner, store)
		defer term.cancel()
		So(term.submit(ctx, func(time.Time) { b.progress(starts[0], 1, "e", 7) }), ShouldBeNil)
		So(term.suspend(), ShouldBeNil)
		_, entries, err := store.Recover(ctx)
		So(err, ShouldBeNil)
		saved, ok := entries[len(entries)-1].(PartialSaved)
		So(ok, ShouldBeTrue)
		So(len(saved.Tokens), ShouldEqual, 7)
	})
}
