package enginesim_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/api/enginev1"
	"github.com/covelink/covelink/internal/lab/enginesim"
)

// firstStep returns how long the engine takes for the first token of a request on an idle engine.
func firstStep(engine *bench, next enginev1.CompletionRequest) time.Duration {
	engine.run()
	begun := engine.now
	So(engine.Submit(begun, next), ShouldBeNil)
	engine.step()
	return engine.now.Sub(begun)
}

func TestPrefixCache(t *testing.T) {
	config := enginesim.DefaultConfig()
	config.CacheTokens = 4 * enginesim.BlockTokens
	oneToken := config.StepBase + config.StepPerSequence
	Convey("A cached prefix is not computed again, until it is evicted", t, func() {
		engine := newBench(config)
		So(firstStep(engine, request("a")), ShouldEqual, oneToken+40*config.StepPerPrefillToken)
		So(firstStep(engine, request("a")), ShouldEqual, oneToken+8*config.StepPerPrefillToken)
		other := request("b")
		other.Prompt = words("other", 64)
		firstStep(engine, other)
		So(firstStep(engine, request("a")), ShouldEqual, oneToken+40*config.StepPerPrefillToken)
		So(engine.Load(engine.now).CachedTokens, ShouldBeLessThanOrEqualTo, config.CacheTokens)
	})
	Convey("The least recently used prefix is evicted first", t, func() {
		engine := newBench(config)
		for _, id := range []string{"a", "b", "a", "c"} {
			firstStep(engine, request(id))
		}
		So(firstStep(engine, request("a")), ShouldEqual, oneToken+8*config.StepPerPrefillToken)
		So(firstStep(engine, request("b")), ShouldEqual, oneToken+40*config.StepPerPrefillToken)
	})
	Convey("Other weights can't use the cache or an imported KV state", t, func() {
		engine := newBench(config)
		firstStep(engine, request("a"))
		imported := enginev1.KVState{RequestID: "a", Version: 1, Prompt: request("a").Prompt, Seed: request("a").Seed}
		So(engine.Import(engine.now, imported), ShouldBeNil)
		engine.must(order(enginev1.OrderPrepare, 1, 2))
		engine.run()
		engine.must(order(enginev1.OrderActivate, 1, 2))
		So(engine.Load(engine.now).CachedTokens, ShouldEqual, 0)
		So(firstStep(engine, request("a")), ShouldEqual, oneToken+40*config.StepPerPrefillToken)
	})
	Convey("Cache events give the content of the cache", t, func() {
		engine := newBench(config)
		for i := range 6 {
			next := request(fmt.Sprint(i % 4))
			firstStep(engine, next)
		}
		cached := map[uint64]bool{}
		for i, event := range engine.CacheEvents(0, engine.now) {
			So(event.Sequence, ShouldEqual, i+1)
			So(cached[event.Prefix], ShouldEqual, event.Evicted)
			cached[event.Prefix] = !event.Evicted
			if event.Evicted {
				delete(cached, event.Prefix)
			}
		}
		So(len(cached)*enginesim.BlockTokens, ShouldEqual, engine.Load(engine.now).CachedTokens)
		So(engine.CacheEvents(2, engine.now)[0].Sequence, ShouldEqual, 3)
		So(engine.CacheEvents(0, start.Add(-time.Second)), ShouldBeEmpty)
	})
}

func TestTransfer(t *testing.T) {
	config := enginesim.DefaultConfig()
	Convey("A cancelled attempt ends with what it has, wherever it is", t, func() {
		config.MaxRunning = 1
		engine := newBench(config)
		So(engine.Submit(start, request("a")), ShouldBeNil)
		So(engine.Submit(start, request("b")), ShouldBeNil)
		engine.step()
		for id, tokens := range map[string]int{"a": 1, "b": 0} {
			event, ok := engine.Cancel(engine.now, enginev1.CancelRequest{RequestID: id})
			So(ok, ShouldBeTrue)
			So(event.Sequence, ShouldEqual, tokens)
			So(event.Final.Tokens, ShouldEqual, tokens)
			So(event.Final.FinishReason, ShouldEqual, enginesim.FinishCancelled)
		}
		_, ok := engine.Cancel(engine.now, enginev1.CancelRequest{RequestID: "a"})
		So(ok, ShouldBeFalse)
		engine.run()
		So(engine.events, ShouldHaveLength, 1)
	})
	Convey("A moved KV state continues without prefill", t, func() {
		source, target := newBench(config), newBench(config)
		So(source.Submit(start, request("a")), ShouldBeNil)
		source.step()
		source.step()
		state, event, ok := source.Export(source.now, enginev1.ExportRequest{RequestID: "a"})
		So(ok, ShouldBeTrue)
		So(event.Final.FinishReason, ShouldEqual, enginesim.FinishCancelled)
		So(state.Tokens, ShouldResemble, tokensOf(source.events, "a"))
		So(target.Import(start, state), ShouldBeNil)
		moved := request("a")
		moved.Attempt, moved.Resume = 1, state.Tokens
		So(firstStep(target, moved), ShouldEqual, config.StepBase+config.StepPerSequence)
		state.Version = 2
		So(target.Import(start, state).Reason, ShouldEqual, enginev1.RefusedVersion)
	})
}

func TestLengths(t *testing.T) {
	Convey("Answer lengths are heavy-tailed about the median and alike for one prompt", t, func() {
		lengths := enginesim.DefaultConfig().Lengths
		below, long := 0, 0
		const draws = 10000
		for i := range uint64(draws) {
			length := enginesim.AnswerLength(lengths, i, int64(i))
			if float64(length) < lengths.Median {
				below++
			}
			if float64(length) > 4*lengths.Median {
				long++
			}
		}
		So(below, ShouldBeBetween, draws*45/100, draws*55/100)
		So(long, ShouldBeBetween, draws*2/100, draws*8/100)
		lengths.PromptShare = 1
		So(enginesim.AnswerLength(lengths, 1, 1), ShouldEqual, enginesim.AnswerLength(lengths, 1, 2))
	})
}

func BenchmarkStep(b *testing.B) {
	config := enginesim.DefaultConfig()
	config.Lengths.Median, config.Lengths.Sigma = 4096, 0
	engine := newBench(config)
	id := 0
	tokens := 0
	b.ReportAllocs()
	for b.Loop() {
		for engine.Load(engine.now).Running < config.MaxRunning {
			next := request(fmt.Sprint(id))
			next.MaxTokens = 0
			engine.Submit(engine.now, next)
			id++
			engine.step()
		}
		engine.events = engine.events[:0]
		engine.step()
		tokens += len(engine.events)
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "steps/s")
	b.ReportMetric(float64(tokens)/b.Elapsed().Seconds(), "tokens/s")
}
