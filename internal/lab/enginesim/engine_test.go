package enginesim_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/covelink/covelink/api/enginev1"
	"github.com/covelink/covelink/internal/lab/enginesim"
)

var (
	start    = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	identity = enginesim.Identity{Name: "engine-0", Zone: "zone-a", Model: "pool", Incarnation: "life-1"}
)

// words returns a prompt of a number of words.
func words(name string, count int) string {
	return strings.TrimSpace(strings.Repeat(name+" ", count))
}

func request(id string) enginev1.CompletionRequest {
	return enginev1.CompletionRequest{
		Model: identity.Model, RequestID: id, Incarnation: identity.Incarnation,
		Prompt: words("prompt-"+id, 40), MaxTokens: 200, Seed: 7, PermittedZones: []string{identity.Zone}, Stream: true,
	}
}

func order(kind enginev1.OrderKind, fence uint64, version int64) enginev1.Order {
	return enginev1.Order{Kind: kind, Fence: fence, Incarnation: identity.Incarnation, Version: version, Digest: "d"}
}

// bench drives an engine in virtual time.
type bench struct {
	*enginesim.Engine
	now    time.Time
	events []enginev1.TokenEvent
}

func newBench(config enginesim.Config) *bench {
	loader := enginesim.LoaderAtRate(1000, 10000)
	return &bench{Engine: enginesim.New(config, identity, loader), now: start}
}

// step does the next thing due and reports whether there was one.
func (b *bench) step() bool {
	at, ok := b.NextStep()
	if ok {
		b.now = at
		b.events = append(b.events, b.Step(at)...)
	}
	return ok
}

func (b *bench) run() {
	for b.step() {
	}
}

// must carries out an order that has to be accepted.
func (b *bench) must(order enginev1.Order) {
	_, refusal, err := b.Order(b.now, order)
	So(refusal, ShouldBeNil)
	So(err, ShouldBeNil)
}

func (b *bench) refused(order enginev1.Order) enginev1.RefusalReason {
	_, refusal, _ := b.Order(b.now, order)
	So(refusal, ShouldNotBeNil)
	return refusal.Reason
}

func tokensOf(events []enginev1.TokenEvent, id string) []string {
	var tokens []string
	for _, event := range events {
		if event.RequestID == id {
			tokens = append(tokens, event.Tokens...)
		}
	}
	return tokens
}

func TestTokensAreConserved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := enginesim.DefaultConfig()
		config.MaxRunning = rapid.IntRange(1, 8).Draw(t, "running")
		engine := newBench(config)
		count := rapid.IntRange(1, 20).Draw(t, "requests")
		for i := range count {
			next := request(fmt.Sprint(i))
			next.MaxTokens = rapid.IntRange(0, 60).Draw(t, "maxTokens")
			next.Resume = make([]string, rapid.IntRange(0, 70).Draw(t, "resume"))
			if refusal := engine.Submit(engine.now, next); refusal != nil {
				t.Fatalf("refused: %v", refusal)
			}
			want, reason := enginesim.AnswerEnd(config, enginesim.PromptHash(next.Prompt), next.Seed, next.MaxTokens)
			want = max(want, len(next.Resume))
			defer func() { checkStream(t, engine.events, next, want, reason) }()
			if rapid.Bool().Draw(t, "step") {
				engine.step()
			}
		}
		engine.run()
		if load := engine.Load(engine.now); load.Running+load.Waiting != 0 {
			t.Fatalf("work is left: %+v", load)
		}
	})
}

// checkStream checks every promise of the event stream of one request.
func checkStream(t *rapid.T, events []enginev1.TokenEvent, request enginev1.CompletionRequest, want int, reason string) {
	answer := append([]string(nil), request.Resume...)
	sequence, finals := uint64(0), 0
	for _, event := range events {
		if event.RequestID != request.RequestID {
			continue
		}
		if finals > 0 || event.Sequence != sequence || event.Index != len(answer) || event.Version != 1 {
			t.Fatalf("unfit event: %+v", event)
		}
		sequence++
		answer = append(answer, event.Tokens...)
		if event.Final == nil {
			continue
		}
		finals++
		if event.Final.Tokens != want || event.Final.FinishReason != reason || event.Final.Checksum != enginev1.Checksum(answer) {
			t.Fatalf("unfit final: %+v", event.Final)
		}
	}
	if finals != 1 || len(answer) != want {
		t.Fatalf("%d finals, %d tokens of %d", finals, len(answer), want)
	}
}

func TestResume(t *testing.T) {
	Convey("A resumed request gets the rest of the answer of an uninterrupted one", t, func() {
		whole := newBench(enginesim.DefaultConfig())
		So(whole.Submit(start, request("a")), ShouldBeNil)
		whole.run()
		answer := tokensOf(whole.events, "a")
		So(len(answer), ShouldBeGreaterThan, 3)
		for _, cut := range []int{1, len(answer) / 2, len(answer)} {
			again := newBench(enginesim.DefaultConfig())
			resumed := request("a")
			resumed.Resume = answer[:cut]
			So(again.Submit(start, resumed), ShouldBeNil)
			again.run()
			So(cmp.Diff(answer, append(answer[:cut:cut], tokensOf(again.events, "a")...)), ShouldBeEmpty)
			So(again.events[len(again.events)-1].Final.Checksum, ShouldEqual, enginev1.Checksum(answer))
		}
	})
}

func TestSwap(t *testing.T) {
	Convey("A running stream goes on under an activated version, and each token names its own", t, func() {
		engine := newBench(enginesim.DefaultConfig())
		engine.must(order(enginev1.OrderPrepare, 1, 2))
		engine.run()
		So(engine.now, ShouldEqual, start.Add(100*time.Millisecond))
		So(engine.Load(engine.now).PreparedVersions, ShouldResemble, []int64{2})
		running := request("a")
		So(engine.Submit(engine.now, running), ShouldBeNil)
		engine.step()
		engine.must(order(enginev1.OrderActivate, 1, 2))
		engine.run()
		hash := enginesim.PromptHash(running.Prompt)
		versions := map[int64]int{}
		for _, event := range engine.events {
			versions[event.Version]++
			So(event.Tokens, ShouldResemble, []string{enginesim.Token(hash, running.Seed, event.Version, event.Index)})
		}
		// The step in progress at the switch still ran under version 1.
		So(versions[1], ShouldEqual, 2)
		So(versions[2], ShouldEqual, len(engine.events)-2)
		So(versions[2], ShouldBeGreaterThan, 0)
	})
	Convey("A failed preparation leaves the active version and says why", t, func() {
		engine := newBench(enginesim.DefaultConfig())
		engine.FailPrepares(1)
		engine.must(order(enginev1.OrderPrepare, 1, 2))
		engine.run()
		So(engine.Load(engine.now).PrepareError, ShouldNotBeEmpty)
		So(engine.refused(order(enginev1.OrderActivate, 1, 2)), ShouldEqual, enginev1.RefusedVersion)
		engine.must(order(enginev1.OrderPrepare, 1, 2))
		engine.run()
		engine.must(order(enginev1.OrderActivate, 1, 2))
		So(engine.Load(engine.now).ActiveVersion, ShouldEqual, 2)
	})
	Convey("An activation that fails partway may have taken effect", t, func() {
		for _, takesEffect := range []bool{false, true} {
			engine := newBench(enginesim.DefaultConfig())
			engine.must(order(enginev1.OrderPrepare, 1, 2))
			engine.run()
			engine.FailNextActivate(takesEffect)
			_, refusal, err := engine.Order(engine.now, order(enginev1.OrderActivate, 1, 2))
			So(refusal, ShouldBeNil)
			So(err, ShouldEqual, enginesim.ErrActivateFailed)
			So(engine.Load(engine.now).ActiveVersion == 2, ShouldEqual, takesEffect)
			engine.must(order(enginev1.OrderActivate, 1, 2))
			So(engine.Load(engine.now).ActiveVersion, ShouldEqual, 2)
		}
	})
	Convey("Prepared versions are bounded and can be unloaded", t, func() {
		engine := newBench(enginesim.DefaultConfig())
		engine.must(order(enginev1.OrderPrepare, 1, 2))
		So(engine.refused(order(enginev1.OrderPrepare, 1, 3)), ShouldEqual, enginev1.RefusedLoading)
		So(engine.refused(order(enginev1.OrderActivate, 1, 2)), ShouldEqual, enginev1.RefusedLoading)
		engine.run()
		So(engine.refused(order(enginev1.OrderPrepare, 1, 3)), ShouldEqual, enginev1.RefusedFull)
		So(engine.refused(order(enginev1.OrderUnload, 1, 1)), ShouldEqual, enginev1.RefusedVersion)
		engine.must(order(enginev1.OrderUnload, 1, 2))
		engine.must(order(enginev1.OrderPrepare, 1, 3))
	})
}

func TestRefusals(t *testing.T) {
	Convey("Orders below the highest fence or for another incarnation are refused", t, func() {
		engine := newBench(enginesim.DefaultConfig())
		engine.must(order(enginev1.OrderDrain, 5, 0))
		_, refusal, _ := engine.Order(start, order(enginev1.OrderPrepare, 4, 2))
		So(refusal.Reason, ShouldEqual, enginev1.RefusedFence)
		So(refusal.HighestFence, ShouldEqual, 5)
		stale := order(enginev1.OrderPrepare, 9, 2)
		stale.Incarnation = "life-0"
		So(engine.refused(stale), ShouldEqual, enginev1.RefusedIncarnation)
		So(engine.Load(start).HighestFence, ShouldEqual, 5)
		engine.must(order(enginev1.OrderRole, 5, 0))
	})
	Convey("A request is refused for each reason, and nothing is executed", t, func() {
		config := enginesim.DefaultConfig()
		config.MaxRunning, config.MaxWaiting = 1, 1
		engine := newBench(config)
		refusals := map[enginev1.RefusalReason]func(*enginev1.CompletionRequest){
			enginev1.RefusedIncarnation: func(r *enginev1.CompletionRequest) { r.Incarnation = "life-0" },
			enginev1.RefusedZone:        func(r *enginev1.CompletionRequest) { r.PermittedZones = []string{"zone-b"} },
			enginev1.RefusedVersion:     func(r *enginev1.CompletionRequest) { r.MinVersion = 2 },
			enginev1.RefusedInvalid:     func(r *enginev1.CompletionRequest) { r.Model = "other" },
		}
		for reason, change := range refusals {
			unfit := request("unfit")
			change(&unfit)
			So(engine.Submit(start, unfit).Reason, ShouldEqual, reason)
		}
		So(engine.Submit(start, request("a")), ShouldBeNil)
		So(engine.Submit(start, request("a")).Reason, ShouldEqual, enginev1.RefusedInvalid)
		So(engine.Submit(start, request("b")), ShouldBeNil)
		So(engine.Submit(start, request("c")).Reason, ShouldEqual, enginev1.RefusedFull)
		roomy := newBench(enginesim.DefaultConfig())
		bounded := func(id string, bound int) enginev1.CompletionRequest {
			r := request(id)
			r.MaxInFlight = bound
			return r
		}
		So(roomy.Submit(start, bounded("a", 2)), ShouldBeNil)
		So(roomy.Submit(start, bounded("b", 2)), ShouldBeNil)
		So(roomy.Submit(start, bounded("c", 2)).Reason, ShouldEqual, enginev1.RefusedFull)
		So(roomy.Submit(start, bounded("d", 3)), ShouldBeNil)
		So(roomy.Submit(start, request("e")), ShouldBeNil)
		drain := order(enginev1.OrderDrain, 1, 0)
		drain.Drain = true
		engine.must(drain)
		So(engine.Submit(start, request("d")).Reason, ShouldEqual, enginev1.RefusedDraining)
		engine.run()
		for _, event := range engine.events {
			So(event.RequestID, ShouldBeIn, "a", "b")
		}
	})
}

func TestOrderOfService(t *testing.T) {
	Convey("Interactive requests go before rollouts, else the first come is served first", t, func() {
		config := enginesim.DefaultConfig()
		config.MaxRunning = 1
		engine := newBench(config)
		for _, id := range []string{"a", "b", "c"} {
			So(engine.Submit(start, request(id)), ShouldBeNil)
		}
		urgent := request("urgent")
		urgent.Priority = enginev1.PriorityInteractive
		So(engine.Submit(start, urgent), ShouldBeNil)
		engine.run()
		var ended []string
		for _, event := range engine.events {
			if event.Final != nil {
				ended = append(ended, event.RequestID)
			}
		}
		So(ended, ShouldResemble, []string{"a", "urgent", "b", "c"})
	})
}
