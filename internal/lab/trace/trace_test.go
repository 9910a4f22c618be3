package trace

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const goodHeader = `{"type":"trace","format":1,"name":"good","seed":7,"until":"30s",` +
	`"zones":[{"name":"a","region":"r","nodes":1},{"name":"b","region":"r","nodes":1}],` +
	`"latency":{"zone":"1ms","client":"1ms"},` +
	`"pools":[{"name":"lm","permitted":["a","b"],"engines":{"a":1,"b":1}},{"name":"desk","permitted":["a"],"engines":{"a":1}}],` +
	`"trainers":[{"name":"t","pool":"lm","zone":"a","stalenessBound":2}],` +
	`"applications":[{"name":"app","pools":["lm"]}]}`

var goodLines = []string{
	goodHeader,
	`{"type":"batch","at":"0s","trainer":"t","name":"b1","samples":2,"tokens":[5,600]}`,
	`{"type":"load","at":"0s","until":"5s","id":"l","application":"app","pool":"lm","zones":["a","b"],"rate":3.5,"maxTokens":8}`,
	`{"type":"request","at":"1s","id":"q","application":"app","pool":"lm","zone":"a","maxTokens":8,"notRepeatable":true}`,
	`{"type":"publish","at":"1s","trainer":"t","version":2}`,
	`{"type":"write","at":"2s","id":"w","zone":"a","action":"update","kind":"Pool","name":"lm","spec":{"model":"lm","permittedZones":["a"]}}`,
	`{"type":"fault","at":"2.5s","fault":"zone-cut","target":"b","for":"3s"}`,
	`{"type":"expect","promise":"all"}`,
	`{"type":"expect","request":"q","outcomes":["completed"],"attempts":{"max":1},"elapsed":{"max":"2s"}}`,
	`{"type":"expect","load":"l","completed":{"min":1},"p99":{"max":"1s"}}`,
	`{"type":"expect","sample":"t/b1/1","delivered":{"min":1,"max":1}}`,
	`{"type":"expect","batch":"t/b1","delivered":{"min":2},"elapsed":{"max":"10s"}}`,
	`{"type":"expect","trainer":"t","idle":{"max":"10s"},"staleness":{"max":2}}`,
	`{"type":"expect","write":"w","result":"accepted","elapsed":{"min":"3s","max":"8s"}}`,
}

func parseLines(lines ...string) (*Trace, error) {
	return Parse("x.jsonl", strings.NewReader(strings.Join(lines, "\n")+"\n"))
}

func TestParseAndWrite(t *testing.T) {
	Convey("A sound trace is read, and written as it was", t, func() {
		read, err := parseLines(goodLines...)
		So(err, ShouldBeNil)
		So(len(read.Events), ShouldEqual, 6)
		So(len(read.Expectations), ShouldEqual, 7)
		So(read.Events[4].Line, ShouldEqual, 6)
		var written bytes.Buffer
		_, err = read.WriteTo(&written)
		So(err, ShouldBeNil)
		again, err := Parse("x.jsonl", bytes.NewReader(written.Bytes()))
		So(err, ShouldBeNil)
		So(again, ShouldResemble, read)
	})
}

func TestParseRefuses(t *testing.T) {
	event := func(line string) []string { return []string{goodHeader, line} }
	header := func(old, new string) []string { return []string{strings.Replace(goodHeader, old, new, 1)} }
	cases := []struct {
		name  string
		lines []string
		want  string
	}{
		{"an empty file", nil, `x.jsonl:1: the trace is empty`},
		{"an event before the header", goodLines[1:], `x.jsonl:1: type: a line of type "trace" must come first`},
		{"a second header", []string{goodHeader, goodHeader}, `x.jsonl:2: type: a second`},
		{"another format", header(`"format":1`, `"format":2,"later":1`), `x.jsonl:1: format: version 2 is not supported, only 1`},
		{"text that is not JSON", event(`at 3s`), `x.jsonl:2: invalid character`},
		{"a line cut short", event(`{"type":"batch"`), `x.jsonl:2: unexpected end`},
		{"an unknown type", event(`{"type":"wish","at":"0s"}`), `x.jsonl:2: type: unknown type "wish"`},
		{"an unknown field", event(`{"type":"publish","at":"0s","trainer":"t","version":2,"colour":1}`), `x.jsonl:2: colour: unknown field`},
		{"a wrong type of field", event(`{"type":"publish","at":"0s","trainer":"t","version":"two"}`), `x.jsonl:2: version: cannot be a string`},
		{"a number for a duration", event(`{"type":"publish","at":3,"trainer":"t","version":2}`), `x.jsonl:2: a duration must be a string`},
		{"no duration", event(`{"type":"publish","at":"soon","trainer":"t","version":2}`), `x.jsonl:2: "soon" is not a duration`},
		{"a time out of order", append(goodLines[:7:7], goodLines[1]), `x.jsonl:8: at: 0s is before the event of line 7 at 2.5s`},
		{"a negative time", event(`{"type":"publish","at":"-1s","trainer":"t","version":2}`), `x.jsonl:2: at: must not be negative`},
		{"a time after the end", event(`{"type":"publish","at":"30s","trainer":"t","version":2}`), `x.jsonl:2: at: is not before the end`},
		{"no end", header(`"until":"30s"`, `"until":"0s"`), `x.jsonl:1: until: must be above 0`},
		{"a zone twice", header(`"name":"b"`, `"name":"a"`), `x.jsonl:1: zones[1].name: "a" stands there twice`},
		{"a name that is none", header(`"name":"b"`, `"name":"B b"`), `x.jsonl:1: zones[1].name: "B b" is not a name`},
		{"a permitted zone that is not there", header(`"permitted":["a","b"]`, `"permitted":["a","c"]`), `x.jsonl:1: pools[0].permitted: unknown zone "c"`},
		{"a negative latency", header(`"zone":"1ms"`, `"zone":"-1ms"`), `x.jsonl:1: latency.zone: must not be negative`},
		{"a negative bound", header(`"stalenessBound":2`, `"stalenessBound":-2`), `x.jsonl:1: trainers[0].stalenessBound: must not be negative`},
		{"a batch of nothing", event(`{"type":"batch","at":"0s","trainer":"t","name":"b","samples":0}`), `x.jsonl:2: samples: 0 is not between 1 and`},
		{"bounds that are too few", event(`{"type":"batch","at":"0s","trainer":"t","name":"b","samples":2,"tokens":[3]}`), `x.jsonl:2: tokens: has 1 entries for 2 samples`},
		{"an unknown trainer", event(`{"type":"publish","at":"0s","trainer":"u","version":2}`), `x.jsonl:2: trainer: unknown trainer "u"`},
		{"a version that goes back", append(goodLines[:5:5], `{"type":"publish","at":"2s","trainer":"t","version":2}`), `x.jsonl:6: version: 2 is not above the trainer's last, 2`},
		{"a pool the application may not use", event(`{"type":"request","at":"0s","id":"q","application":"app","pool":"desk","zone":"a","maxTokens":8}`), `x.jsonl:2: pool: application "app" does not use pool "desk"`},
		{"a write of an unknown kind", event(`{"type":"write","at":"0s","id":"w","zone":"a","action":"update","kind":"Pot","name":"lm","spec":{}}`), `x.jsonl:2: kind: unknown kind "Pot"`},
		{"a write with an unknown field", event(`{"type":"write","at":"0s","id":"w","zone":"a","action":"update","kind":"Zone","name":"a","spec":{"regions":"r"}}`), `x.jsonl:2: spec.regions: `},
		{"a write without a spec", event(`{"type":"write","at":"0s","id":"w","zone":"a","action":"update","kind":"Zone","name":"a"}`), `x.jsonl:2: spec: must be given`},
		{"an unknown fault", event(`{"type":"fault","at":"0s","fault":"bad-luck"}`), `x.jsonl:2: fault: unknown fault "bad-luck"`},
		{"a fault of an unknown engine", event(`{"type":"fault","at":"0s","fault":"engine-crash","target":"lm-a-007"}`), `x.jsonl:2: target: unknown engine "lm-a-007"`},
		{"a loss without an end", event(`{"type":"fault","at":"0s","fault":"loss","from":"a"}`), `x.jsonl:2: from: from and to must be given`},
		{"a partition from itself", event(`{"type":"fault","at":"0s","fault":"partition","from":"a","to":"a"}`), `x.jsonl:2: to: is the same zone`},
		{"a slow store without a delay", event(`{"type":"fault","at":"0s","fault":"store-slow"}`), `x.jsonl:2: delay: must be above 0`},
		{"an expectation of nothing", event(`{"type":"expect"}`), `x.jsonl:2: expect: there must be one of`},
		{"an expectation of two subjects", event(`{"type":"expect","promise":"all","trainer":"t"}`), `x.jsonl:2: expect: there must be one of`},
		{"an expectation without a bound", event(`{"type":"expect","trainer":"t"}`), `x.jsonl:2: trainer: no bound is stated`},
		{"a bound that doesn't apply", event(`{"type":"expect","trainer":"t","p99":{"max":"1s"}}`), `x.jsonl:2: p99: does not apply to a trainer`},
		{"an unknown promise", event(`{"type":"expect","promise":"joy"}`), `x.jsonl:2: promise: unknown promise "joy"`},
		{"an unknown sample", append(goodLines[:2:2], `{"type":"expect","sample":"t/b1/2","delivered":{"min":1}}`), `x.jsonl:3: sample: unknown sample "t/b1/2"`},
		{"a range upside down", event(`{"type":"expect","trainer":"t","idle":{"min":"2s","max":"1s"}}`), `x.jsonl:2: idle: min is above max`},
	}
	Convey("What is unknown, impossible or out of order is refused with its file, line and field", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				_, err := parseLines(c.lines...)
				var unfit *Error
				So(errors.As(err, &unfit), ShouldBeTrue)
				So(err.Error(), ShouldStartWith, c.want)
			})
		}
	})
}

func goodOutcome() *Outcome {
	return &Outcome{
		Requests: map[string]RequestOutcome{"q": {Outcome: OutcomeCompleted, Attempts: 1, Elapsed: time.Second}},
		Loads:    map[string]LoadOutcome{"l": {Completed: 3, Latencies: []time.Duration{3, 1, 2}}},
		Samples:  map[string]SampleOutcome{"t/b1/1": {Delivered: 1}},
		Batches:  map[string]BatchOutcome{"t/b1": {Delivered: 2, Complete: true, Elapsed: 9 * time.Second}},
		Trainers: map[string]TrainerOutcome{"t": {Idle: time.Second, Staleness: 2}},
		Writes:   map[string]WriteOutcome{"w": {Result: ResultAccepted, Elapsed: 4 * time.Second}},
	}
}

func TestJudge(t *testing.T) {
	read, err := parseLines(goodLines...)
	Convey("An outcome as stated is met", t, func() {
		So(err, ShouldBeNil)
		So(Judge(read, goodOutcome()), ShouldBeEmpty)
	})
	cases := []struct {
		name    string
		breakIt func(o *Outcome)
		want    string
	}{
		{"a broken promise", func(o *Outcome) { o.Violations = []Violation{{PromiseOnce, "t/b1/0", "twice"}} },
			"x.jsonl:8: promise all: violations max 0 not met: 1, first once: t/b1/0: twice"},
		{"another outcome", func(o *Outcome) {
			o.Requests["q"] = RequestOutcome{Outcome: OutcomeUnknown, Attempts: 1}
		}, "x.jsonl:9: request q: outcome completed not met: unknown"},
		{"two attempts", func(o *Outcome) {
			o.Requests["q"] = RequestOutcome{Outcome: OutcomeCompleted, Attempts: 2}
		}, "x.jsonl:9: request q: attempts max 1 not met: 2"},
		{"a slow request", func(o *Outcome) {
			o.Requests["q"] = RequestOutcome{Outcome: OutcomeCompleted, Elapsed: 3 * time.Second}
		}, "x.jsonl:9: request q: elapsed max 2s not met: 3s"},
		{"a request without an end", func(o *Outcome) { delete(o.Requests, "q") }, "x.jsonl:9: request q: an outcome not met: none by the end of the run"},
		{"a load that fails", func(o *Outcome) { o.Loads["l"] = LoadOutcome{NotRun: 3} }, "x.jsonl:10: load l: completed min 1 not met: 0"},
		{"a slow load", func(o *Outcome) {
			o.Loads["l"] = LoadOutcome{Completed: 2, Latencies: []time.Duration{2 * time.Second, time.Second}}
		}, "x.jsonl:10: load l: p99 max 1s not met: 2s"},
		{"a sample twice", func(o *Outcome) { o.Samples["t/b1/1"] = SampleOutcome{Delivered: 2} }, "x.jsonl:11: sample t/b1/1: delivered min 1, max 1 not met: 2"},
		{"an incomplete batch", func(o *Outcome) { o.Batches["t/b1"] = BatchOutcome{Delivered: 2} }, "x.jsonl:12: batch t/b1: elapsed max 10s not met: incomplete with 2 samples"},
		{"an idle trainer", func(o *Outcome) { o.Trainers["t"] = TrainerOutcome{Idle: time.Minute} }, "x.jsonl:13: trainer t: idle max 10s not met: 1m0s"},
		{"a write that stays pending", func(o *Outcome) {
			o.Writes["w"] = WriteOutcome{Result: ResultPending, Missing: []string{"b"}}
		}, "x.jsonl:14: write w: result accepted not met: pending, not acknowledged by b"},
		{"a write in force too early", func(o *Outcome) { o.Writes["w"] = WriteOutcome{Result: ResultAccepted} }, "x.jsonl:14: write w: elapsed min 3s, max 8s not met: 0s"},
	}
	Convey("Each outcome that is not met is named with its line and what was seen", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				outcome := goodOutcome()
				c.breakIt(outcome)
				unmet := Judge(read, outcome)
				So(len(unmet), ShouldBeGreaterThan, 0)
				So(unmet[0].String(), ShouldEqual, c.want)
			})
		}
	})
	Convey("A promise that the replay cannot check is not taken for kept", t, func() {
		outcome := goodOutcome()
		outcome.Unchecked = []string{PromiseLeaving}
		stated := &Trace{File: "x", Expectations: []Expectation{{Line: 3, Expect: Expect{Promise: PromiseLeaving}}}}
		So(Judge(stated, outcome)[0].String(), ShouldEqual, "x:3: promise leaving: kept not met: this replay cannot check it")
	})
}
