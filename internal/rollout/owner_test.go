package rollout

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/dispatch"
)

// bench is an owner with its time.
type bench struct {
	*Owner
	time time.Time
}

func newBench(config Config) *bench {
	start := time.Unix(1000, 0)
	owner, err := NewOwner(start, NewLedger("t"), 1, config, NewMetrics(nil))
	So(err, ShouldBeNil)
	return &bench{Owner: owner, time: start}
}

func benchConfig() Config {
	return Config{Pool: "pool", Bound: 1, MaxInFlight: 10, MaxTokens: 1000, MaxBatchSamples: 100, MaxFetchBytes: 1 << 20}
}

func (b *bench) put(name string, samples ...v1.SampleRequest) {
	_, err := b.PutBatch(b.time, name, v1.BatchSpec{Samples: samples})
	So(err, ShouldBeNil)
}

// act schedules and returns the starts and cancels.
func (b *bench) act() (starts []Start, cancels []Cancel) {
	b.Schedule(b.time)
	for _, action := range b.Actions() {
		switch a := action.(type) {
		case Start:
			starts = append(starts, a)
		case Cancel:
			cancels = append(cancels, a)
		}
	}
	return starts, cancels
}

func (b *bench) progress(a Start, version int64, engine string, tokens int) {
	made := make([]string, tokens)
	for i := range made {
		made[i] = "x"
	}
	b.Progress(b.time, a.Identity, a.Attempt, dispatch.Progress{
		Index: len(a.Task.Resume), Tokens: made, Version: version, Engine: engine,
	})
}

func completed(version int64, tokens int) dispatch.Result {
	return dispatch.Result{
		Outcome: v1.OutcomeCompleted, FinishReason: "stop", Tokens: make([]string, tokens), Segments: segments(version, tokens),
	}
}

func (b *bench) finish(a Start, version int64, tokens int) {
	b.Finished(b.time, a.Identity, a.Attempt, completed(version, tokens))
}

func (b *bench) state(version int64) {
	So(b.PutVersion(b.time, v1.WeightVersion{Version: version}), ShouldBeNil)
}

func TestOwnerOrder(t *testing.T) {
	Convey("An owner that has seen lengths", t, func() {
		config := benchConfig()
		config.MaxInFlight = 2
		b := newBench(config)
		b.put("first", v1.SampleRequest{Group: "short"}, v1.SampleRequest{Group: "long"})
		starts, _ := b.act()
		So(len(starts), ShouldEqual, 2)
		So(starts[0].Task.ExpectedTokens, ShouldEqual, 1000)
		for _, a := range starts {
			b.finish(a, 1, map[int]int{0: 10, 1: 200}[a.Identity.Index])
		}
		b.put("second", v1.SampleRequest{Group: "short"}, v1.SampleRequest{Group: "long"}, v1.SampleRequest{Group: "short"})
		b.put("third", v1.SampleRequest{Group: "long"})
		Convey("starts the oldest batch first, in it the longest, within the limit", func() {
			starts, _ := b.act()
			So(len(starts), ShouldEqual, 2)
			So(starts[0].Identity, ShouldResemble, Identity{"t", "second", 1})
			So(starts[0].Task.ExpectedTokens, ShouldEqual, 200)
			So(starts[1].Identity, ShouldResemble, Identity{"t", "second", 0})
			So(starts[1].Task.Repeatable, ShouldBeTrue)
		})
	})
}

func TestOwnerHedge(t *testing.T) {
	Convey("Given a straggler at the tail of a batch", t, func() {
		b := newBench(benchConfig())
		b.state(5)
		b.put("b", v1.SampleRequest{MaxTokens: 10}, v1.SampleRequest{MaxTokens: 10})
		starts, _ := b.act()
		b.progress(starts[0], 5, "slow", 3)
		b.time = b.time.Add(time.Second)
		b.finish(starts[1], 5, 10)
		b.time = b.time.Add(10 * time.Second)
		hedges, _ := b.act()
		So(len(hedges), ShouldEqual, 1)
		first, second := starts[0], hedges[0]

		Convey("one attempt is hedged, on another engine, from the verified prefix", func() {
			So(second.Identity, ShouldResemble, first.Identity)
			So(second.Attempt, ShouldNotEqual, first.Attempt)
			So(second.Task.AvoidEngines, ShouldResemble, []string{"slow"})
			So(len(second.Task.Resume), ShouldEqual, 3)
			b.time = b.time.Add(time.Minute)
			more, _ := b.act()
			So(more, ShouldBeEmpty)
		})
		Convey("the loser is cancelled and its late result changes nothing", func() {
			b.finish(second, 5, 10)
			_, cancels := b.act()
			So(cancels, ShouldResemble, []Cancel{{Identity: first.Identity, Attempt: first.Attempt}})
			b.finish(first, 4, 9)
			So(b.Actions(), ShouldBeEmpty)
			status, _ := b.Status("b")
			So(status.Committed, ShouldEqual, 2)
		})
		Convey("both finishing together commit once", func() {
			b.finish(first, 5, 10)
			b.finish(second, 5, 10)
			commits := 0
			for _, action := range b.Actions() {
				if group, ok := action.(Append); ok {
					for _, entry := range group.Entries {
						if _, ok := entry.(SampleCommitted); ok {
							commits++
						}
					}
				}
			}
			So(commits, ShouldEqual, 1)
			So(b.inFlight, ShouldEqual, 0)
		})
		Convey("a failure of one leaves the other running", func() {
			b.Finished(b.time, first.Identity, first.Attempt, dispatch.Result{Outcome: v1.OutcomeUnknown})
			again, _ := b.act()
			So(again, ShouldBeEmpty)
			b.finish(second, 5, 10)
			status, _ := b.Status("b")
			So(status.Phase, ShouldEqual, v1.BatchComplete)
		})
	})
}

func TestOwnerStaleness(t *testing.T) {
	Convey("Given running work at version 5 with bound 1", t, func() {
		b := newBench(benchConfig())
		b.state(5)
		b.put("b", v1.SampleRequest{}, v1.SampleRequest{})
		starts, _ := b.act()
		So(starts[0].Task.MinVersion, ShouldEqual, 4)
		So(starts[0].Task.PreferVersion, ShouldEqual, 5)
		b.progress(starts[0], 4, "e", 2)
		b.progress(starts[1], 5, "e", 2)

		Convey("work that can no longer meet the bound is cancelled and run again", func() {
			b.state(6)
			again, cancels := b.act()
			So(cancels, ShouldResemble, []Cancel{{Identity: starts[0].Identity, Attempt: starts[0].Attempt}})
			So(len(again), ShouldEqual, 1)
			So(again[0].Task.Resume, ShouldBeEmpty)
			So(again[0].Task.MinVersion, ShouldEqual, 5)
		})
		Convey("a failed attempt is resumed while its prefix can meet the bound, not after", func() {
			result := dispatch.Result{Outcome: v1.OutcomeUnknown, Tokens: []string{"x", "x"}, Segments: segments(5, 2)}
			b.Finished(b.time, starts[1].Identity, starts[1].Attempt, result)
			b.time = b.time.Add(time.Minute)
			again, _ := b.act()
			So(len(again[0].Task.Resume), ShouldEqual, 2)
			So(again[0].Attempt, ShouldBeGreaterThan, starts[1].Attempt)
			b.Finished(b.time, again[0].Identity, again[0].Attempt, dispatch.Result{Outcome: v1.OutcomeNotRun})
			b.state(7)
			b.time = b.time.Add(time.Minute)
			after, _ := b.act()
			for _, a := range after {
				So(a.Task.Resume, ShouldBeEmpty)
			}
		})
		Convey("an answer without a version for each token is run again from the start", func() {
			bad := completed(5, 4)
			bad.Segments[0].Tokens = 3
			b.Finished(b.time, starts[1].Identity, starts[1].Attempt, bad)
			b.time = b.time.Add(time.Minute)
			again, _ := b.act()
			So(again[0].Identity, ShouldResemble, starts[1].Identity)
			So(again[0].Task.Resume, ShouldBeEmpty)
			So(b.ledger.Undelivered(), ShouldBeEmpty)
		})
		Convey("a committed sample that goes stale before hand-over is withdrawn at once", func() {
			b.finish(starts[0], 4, 2)
			b.finish(starts[1], 5, 2)
			b.state(6)
			So(len(b.ledger.Undelivered()), ShouldEqual, 1)
			response, ready, err := b.Fetch(b.time, "b", v1.FetchRequest{Version: 6})
			So(err, ShouldBeNil)
			So(ready, ShouldBeTrue)
			So(len(response.Samples), ShouldEqual, 1)
			So(response.Done, ShouldBeFalse)
		})
		Convey("when the trainer moves on while a sample is offered", func() {
			b.finish(starts[0], 4, 2)
			b.finish(starts[1], 5, 2)
			first, _, _ := b.Fetch(b.time, "b", v1.FetchRequest{Version: 5})
			So(len(first.Samples), ShouldEqual, 2)
			So(first.Done, ShouldBeTrue)
			Convey("the re-read leaves the stale one out and its rerun gets a new position", func() {
				second, _, err := b.Fetch(b.time, "b", v1.FetchRequest{Version: 6})
				So(err, ShouldBeNil)
				So(len(second.Samples), ShouldEqual, 1)
				So(second.Samples[0].Index, ShouldEqual, 1)
				So(second.Done, ShouldBeFalse)
				again, _ := b.act()
				b.finish(again[0], 6, 2)
				third, _, _ := b.Fetch(b.time, "b", v1.FetchRequest{After: second.Next, Version: 6})
				So(third.Samples[0].Index, ShouldEqual, 0)
				So(third.Samples[0].Position, ShouldEqual, 3)
				So(third.Done, ShouldBeTrue)
				status, err := b.Ack("b", v1.AckRequest{Position: 3})
				So(err, ShouldBeNil)
				So(status.Phase, ShouldEqual, v1.BatchDelivered)
				So(status.Reruns, ShouldEqual, 1)
			})
			Convey("a late copy of the old fetch is refused and withdraws nothing", func() {
				b.state(6)
				_, _, err := b.Fetch(b.time, "b", v1.FetchRequest{Version: 5})
				So(err.(*v1.Error).Code, ShouldEqual, v1.CodeConflict)
				status, err := b.Ack("b", v1.AckRequest{Position: 2})
				So(err, ShouldBeNil)
				So(status.Phase, ShouldEqual, v1.BatchDelivered)
			})
		})
	})
}

func TestOwnerMinVersion(t *testing.T) {
	Convey("Given a trainer with bound 4 that moves on every 10 s and answers of 100 tokens at 10 tokens a second", t, func() {
		config := benchConfig()
		config.Bound = 4
		b := newBench(config)
		for version := int64(11); version <= 15; version++ {
			b.time = b.time.Add(10 * time.Second)
			b.state(version)
		}
		b.put("a", v1.SampleRequest{})
		starts, _ := b.act()
		So(starts[0].Task.MinVersion, ShouldEqual, 11)
		b.progress(starts[0], 15, "e", 1)
		b.time = b.time.Add(10 * time.Second)
		b.finish(starts[0], 15, 100)
		Convey("the next answer must start one version above the oldest allowed", func() {
			b.put("b", v1.SampleRequest{})
			starts, _ := b.act()
			So(starts[0].Task.MinVersion, ShouldEqual, 12)
		})
		Convey("no version is asked for that is not published, save by the bound itself", func() {
			_, _, err := b.Fetch(b.time, "a", v1.FetchRequest{Version: 19})
			So(err, ShouldBeNil)
			b.put("b", v1.SampleRequest{})
			starts, _ := b.act()
			So(starts[0].Task.MinVersion, ShouldEqual, 15)
			_, _, err = b.Fetch(b.time, "a", v1.FetchRequest{Version: 30})
			So(err, ShouldBeNil)
			So(b.minVersion(1), ShouldEqual, 26)
		})
	})
}

func TestOwnerRequests(t *testing.T) {
	Convey("Given an owner with a batch", t, func() {
		b := newBench(benchConfig())
		b.put("b", v1.SampleRequest{Prompt: "p"})
		starts, _ := b.act()
		Convey("the same spec is idempotent and another is a conflict", func() {
			b.put("b", v1.SampleRequest{Prompt: "p"})
			_, err := b.PutBatch(b.time, "b", v1.BatchSpec{Samples: make([]v1.SampleRequest, 1)})
			So(err.(*v1.Error).Code, ShouldEqual, v1.CodeConflict)
			So(b.Actions(), ShouldBeEmpty)
		})
		Convey("a cancelled batch stops its work and is gone", func() {
			status, err := b.CancelBatch("b")
			So(err, ShouldBeNil)
			So(status.Phase, ShouldEqual, v1.BatchCancelled)
			_, cancels := b.act()
			So(len(cancels), ShouldEqual, 1)
			b.finish(starts[0], 1, 1)
			_, _, err = b.Fetch(b.time, "b", v1.FetchRequest{})
			So(err.(*v1.Error).Code, ShouldEqual, v1.CodeGone)
		})
		Convey("an acknowledgement beyond the hand-over is refused", func() {
			_, err := b.Ack("b", v1.AckRequest{Position: 1})
			So(err.(*v1.Error).Field, ShouldEqual, "position")
		})
		Convey("bad batches name the field", func() {
			_, err := b.PutBatch(b.time, "c", v1.BatchSpec{Samples: []v1.SampleRequest{{MaxTokens: 5000}}})
			So(err.(*v1.Error).Field, ShouldEqual, "samples[0].maxTokens")
			_, err = b.PutBatch(b.time, "c", v1.BatchSpec{})
			So(err.(*v1.Error).Outcome, ShouldEqual, v1.OutcomeNotRun)
		})
		Convey("versions only grow and keep their weights", func() {
			b.state(3)
			b.state(3)
			So(b.PutVersion(b.time, v1.WeightVersion{Version: 3, Digest: "other"}), ShouldNotBeNil)
			So(b.PutVersion(b.time, v1.WeightVersion{Version: 2}), ShouldNotBeNil)
		})
		Convey("a suspended owner saves its verified tokens, which the next one resumes", func() {
			b.progress(starts[0], 1, "e", 7)
			b.Suspend()
			_, cancels := b.act()
			So(len(cancels), ShouldEqual, 1)
			next, err := NewOwner(b.time, b.ledger, 2, benchConfig(), NewMetrics(nil))
			So(err, ShouldBeNil)
			again, _ := (&bench{Owner: next, time: b.time}).act()
			So(len(again[0].Task.Resume), ShouldEqual, 7)
			So(again[0].Attempt>>attemptBits, ShouldBeGreaterThan, starts[0].Attempt>>attemptBits)
		})
		Convey("an identity that uses up its attempt numbers opens another epoch", func() {
			seen := map[uint32]bool{}
			for range 2*maxSequence + 3 {
				seen[b.nextAttempt(starts[0].Identity)] = true
			}
			So(len(seen), ShouldEqual, 2*maxSequence+3)
		})
	})
	Convey("Given a trainer with a scorer", t, func() {
		config := benchConfig()
		config.Scorer = "http://scorer"
		b := newBench(config)
		b.put("b", v1.SampleRequest{})
		starts, _ := b.act()
		b.finish(starts[0], 1, 1)
		fetch := func() []v1.Sample {
			response, _, err := b.Fetch(b.time, "b", v1.FetchRequest{})
			So(err, ShouldBeNil)
			return response.Samples
		}
		So(fetch(), ShouldBeEmpty)
		Convey("a sample is handed over with the score of its own answer only, once", func() {
			b.Scored(starts[0].Identity, starts[0].Attempt+1, 9)
			So(fetch(), ShouldBeEmpty)
			b.Scored(starts[0].Identity, starts[0].Attempt, 0)
			b.Scored(starts[0].Identity, starts[0].Attempt, 1)
			samples := fetch()
			So(len(samples), ShouldEqual, 1)
			So(*samples[0].Score, ShouldEqual, 0)
		})
		Convey("without the scorer it is handed over without a score", func() {
			b.Configure(b.time, benchConfig())
			So(fetch()[0].Score, ShouldBeNil)
		})
	})
}
