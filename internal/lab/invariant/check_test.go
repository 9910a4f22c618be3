package invariant

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	v1 "github.com/covelink/covelink/api/v1"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(seconds int) time.Time { return epoch.Add(time.Duration(seconds) * time.Second) }

func text(prompt string, seed, version int64, index int) string {
	return fmt.Sprintf(" %s.%d.%d.%d", prompt, seed, version, index)
}

func run(engine, prompt string, seed, version int64, first, last int, finish string) Execution {
	execution := Execution{RequestID: prompt, Engine: engine, Zone: "a", Pool: "pool", Prompt: prompt, Seed: seed, Started: at(1)}
	for i := first; i < last; i++ {
		execution.Tokens = append(execution.Tokens, Token{Index: i, Text: text(prompt, seed, version, i), Version: version})
	}
	if finish != "" {
		execution.FinishReason, execution.Length = finish, last
	}
	return execution
}

func spell(executions ...Execution) string {
	var b strings.Builder
	for _, execution := range executions {
		for _, token := range execution.Tokens {
			b.WriteString(token.Text)
		}
	}
	return b.String()
}

// goodHistory holds two samples, one of which was resumed on another engine at another version, and two calls.
func goodHistory() *History {
	whole := run("e1", "p0", 1, 5, 0, 4, "stop")
	head := run("e1", "p1", 2, 5, 0, 3, "")
	tail := run("e2", "p1", 2, 6, 3, 6, "length")
	answer := run("e2", "q0", 3, 6, 0, 2, "stop")
	relay := run("e2", "q1", 4, 6, 0, 2, "stop")
	return &History{
		Permitted: map[string][]string{"pool": {"a", "b"}},
		Terms:     map[string]Terms{"t": {Pool: "pool", StalenessBound: 1}},
		Batches: []Batch{{Trainer: "t", Name: "b", Expected: true, Spec: v1.BatchSpec{Samples: []v1.SampleRequest{
			{Prompt: "p0", Seed: 1}, {Prompt: "p1", Seed: 2}}}}},
		Executions: []Execution{whole, head, tail, answer, relay},
		Deliveries: []Delivery{
			{FetchedAt: at(2), StatedVersion: 5, Sample: v1.Sample{Trainer: "t", Batch: "b", Index: 0, Position: 1, Tokens: 4,
				Text: spell(whole), FinishReason: "stop", Segments: []v1.Segment{{Version: 5, Engine: "e1", Tokens: 4}}}},
			{FetchedAt: at(4), After: 1, StatedVersion: 6, Sample: v1.Sample{Trainer: "t", Batch: "b", Index: 1, Position: 2, Tokens: 6,
				Text: spell(head, tail), FinishReason: "length", Segments: []v1.Segment{
					{Version: 5, Engine: "e1", Tokens: 3}, {Version: 6, Engine: "e2", FirstToken: 3, Tokens: 3}}}},
		},
		Statements: []Statement{{Trainer: "t", Version: 6, At: at(3)}},
		Calls: []Call{
			{Request: "r0", Pool: "pool", Prompt: "q0", Seed: 3, Outcome: v1.OutcomeCompleted, Text: spell(answer), FinishReason: "stop", Started: at(1), Ended: at(2)},
			{Request: "r1", Pool: "pool", Prompt: "q1", Seed: 4, NotRepeatable: true, Outcome: v1.OutcomeCompleted, Text: spell(relay), FinishReason: "stop", Started: at(1), Ended: at(2)},
			{Request: "r2", Pool: "pool", Prompt: "q2", Seed: 5, Outcome: v1.OutcomeNotRun, Started: at(1), Ended: at(2)},
		},
		Expect: text,
	}
}

func TestCheckAcceptsAGoodHistory(t *testing.T) {
	Convey("A run that keeps every promise has no violation", t, func() {
		report := Check(goodHistory())
		So(report.Violations, ShouldBeEmpty)
		So(report.Kept(), ShouldBeTrue)
		So(report.Whole, ShouldEqual, 2)
		So(report.Expected, ShouldEqual, 2)
		So([]int{report.Answers, report.NotRun, report.Unknown}, ShouldResemble, []int{2, 1, 0})
	})
	Convey("Reading again from the same cursor is allowed", t, func() {
		history := goodHistory()
		history.Deliveries = append(history.Deliveries, history.Deliveries[1])
		So(Check(history).Violations, ShouldBeEmpty)
	})
	Convey("A rerun of a sample that went stale before it was taken is allowed", t, func() {
		history := goodHistory()
		rerun := run("e2", "p0", 1, 7, 0, 4, "stop")
		history.Executions = append(history.Executions, rerun)
		history.Deliveries = append(history.Deliveries, Delivery{FetchedAt: at(9), StatedVersion: 7, Sample: v1.Sample{
			Trainer: "t", Batch: "b", Index: 0, Position: 3, Tokens: 4, Text: spell(rerun), FinishReason: "stop",
			Segments: []v1.Segment{{Version: 7, Engine: "e2", Tokens: 4}}}})
		So(Check(history).Violations, ShouldBeEmpty)
	})
	Convey("A refused request that the client asked again may run", t, func() {
		history := goodHistory()
		again := run("e1", "q2", 5, 6, 0, 2, "stop")
		again.Started = at(6)
		history.Executions = append(history.Executions, again)
		history.Calls = append(history.Calls, Call{Request: "r2", Pool: "pool", Prompt: "q2", Seed: 5, Outcome: v1.OutcomeUnknown, Started: at(5), Ended: at(7)})
		So(Check(history).Violations, ShouldBeEmpty)
	})
}

func TestCheckFindsEveryBreach(t *testing.T) {
	sample := func(h *History, i int) *v1.Sample { return &h.Deliveries[i].Sample }
	cases := []struct {
		name    string
		promise Promise
		breakIt func(h *History)
	}{
		{"a sample without its last token", PromiseWhole, func(h *History) {
			s := sample(h, 0)
			s.Text, s.Tokens = spell(run("e1", "p0", 1, 5, 0, 3, "")), 3
			s.Segments[0].Tokens = 3
		}},
		{"a sample whose text lost a token in the middle", PromiseWhole, func(h *History) {
			sample(h, 0).Text = strings.Replace(sample(h, 0).Text, text("p0", 1, 5, 2), "", 1)
		}},
		{"a sample with another request's text", PromiseWhole, func(h *History) { sample(h, 0).Text = sample(h, 1).Text }},
		{"a sample that nobody asked for", PromiseWhole, func(h *History) { sample(h, 0).Index = 9 }},
		{"a sample that no engine ran", PromiseWhole, func(h *History) { h.Executions = h.Executions[1:] }},
		{"a finish reason that no engine gave", PromiseWhole, func(h *History) { sample(h, 0).FinishReason = "length" }},
		{"a sample handed over twice", PromiseOnce, func(h *History) {
			again := h.Deliveries[0]
			again.After, again.Sample.Position = 2, 3
			h.Deliveries = append(h.Deliveries, again)
		}},
		{"a fresh sample moved to another position", PromiseOnce, func(h *History) {
			again := h.Deliveries[0]
			again.Sample.Position = 3
			h.Deliveries = append(h.Deliveries, again)
		}},
		{"a position used by two samples", PromiseOnce, func(h *History) { sample(h, 1).Position = 1 }},
		{"a sample that never came", PromiseDelivered, func(h *History) { h.Deliveries = h.Deliveries[:1] }},
		{"a sample older than the bound by the version of the fetch", PromiseFresh, func(h *History) { h.Deliveries[0].StatedVersion = 7 }},
		{"a sample older than the bound by an earlier statement", PromiseFresh, func(h *History) {
			h.Statements = append(h.Statements, Statement{Trainer: "t", Version: 7, At: at(1)})
		}},
		{"a segment with a wrong version", PromiseVersions, func(h *History) { sample(h, 1).Segments[1].Version = 5 }},
		{"a segment with a wrong engine", PromiseVersions, func(h *History) { sample(h, 0).Segments[0].Engine = "e2" }},
		{"a segment that ends a token late", PromiseVersions, func(h *History) {
			sample(h, 1).Segments[0].Tokens, sample(h, 1).Segments[1].FirstToken, sample(h, 1).Segments[1].Tokens = 4, 4, 2
		}},
		{"segments that leave tokens out", PromiseVersions, func(h *History) { sample(h, 1).Segments = sample(h, 1).Segments[:1] }},
		{"segments that overlap", PromiseVersions, func(h *History) { sample(h, 1).Segments[1].FirstToken = 2 }},
		{"a sample without segments", PromiseVersions, func(h *History) { sample(h, 0).Segments = nil }},
		{"an execution outside the permitted zones", PromiseZones, func(h *History) { h.Executions[3].Zone = "c" }},
		{"an execution for an unknown pool", PromiseZones, func(h *History) { delete(h.Permitted, "pool") }},
		{"a refused request that ran", PromiseNotRun, func(h *History) { h.Executions = append(h.Executions, run("e1", "q2", 5, 6, 0, 0, "")) }},
		{"a refused request that ran after the refusal", PromiseNotRun, func(h *History) {
			late := run("e1", "q2", 5, 6, 0, 1, "")
			late.Started = at(60)
			h.Executions = append(h.Executions, late)
		}},
		{"a request that is not repeatable and ran twice", PromiseAtMostOnce, func(h *History) { h.Executions = append(h.Executions, h.Executions[4]) }},
		{"a cut-off answer", PromiseOwnAnswer, func(h *History) { h.Calls[0].Text = text("q0", 3, 6, 0) }},
		{"an empty answer", PromiseOwnAnswer, func(h *History) { h.Calls[0].Text = "" }},
		{"another client's answer", PromiseOwnAnswer, func(h *History) { h.Calls[0].Text = h.Calls[1].Text }},
		{"an answer to a request that never ran", PromiseOwnAnswer, func(h *History) { h.Calls[2].Outcome = v1.OutcomeCompleted }},
		{"an engine that emits what its weights do not say", PromiseEngine, func(h *History) {
			h.Executions[3].Tokens[1].Text = " other"
			h.Calls[0].Text = spell(h.Executions[3])
		}},
	}
	Convey("Each kind of breach is found, and named as what it is", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				history := goodHistory()
				c.breakIt(history)
				report := Check(history)
				So(report.Kept(), ShouldBeFalse)
				So(report.Count(c.promise), ShouldBeGreaterThan, 0)
			})
		}
	})
}

func TestRecorderCollectsFromManyGoroutines(t *testing.T) {
	Convey("What several goroutines record at the same time is all there", t, func() {
		recorder := NewRecorder()
		recorder.Permit("pool", []string{"a"})
		recorder.Promise("t", Terms{Pool: "pool", StalenessBound: 1})
		done := make(chan struct{})
		for range 8 {
			go func() {
				recorder.Executed(run("e1", "p", 1, 1, 0, 2, "stop"))
				recorder.Called(Call{Request: "r", Pool: "pool", Prompt: "p", Seed: 1, Outcome: v1.OutcomeUnknown})
				recorder.Delivered(Delivery{})
				recorder.Stated(Statement{Trainer: "t", Version: 1})
				recorder.Submitted(Batch{Trainer: "t", Name: "b"})
				done <- struct{}{}
			}()
		}
		for range 8 {
			<-done
		}
		history := recorder.History()
		So(len(history.Executions), ShouldEqual, 8)
		So(len(history.Calls), ShouldEqual, 8)
		So(len(history.Deliveries), ShouldEqual, 8)
		So(len(history.Statements), ShouldEqual, 8)
		So(len(history.Batches), ShouldEqual, 8)
	})
}
