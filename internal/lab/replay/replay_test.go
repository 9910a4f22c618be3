package replay

import (
	"bytes"
	"fmt"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"golang.org/x/sync/errgroup"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/lab/invariant"
	"github.com/covelink/covelink/internal/lab/sim"
	"github.com/covelink/covelink/internal/lab/trace"
)

const (
	traceFolder = "../../../testdata/traces"
	// atOnce bounds the replays that run at the same time.
	atOnce = 4
	// againEvery picks the traces that are replayed a second time.
	againEvery = 4
	// leastTraces is the number of traces that the project promises to keep.
	leastTraces = 25
)

func readTestTrace(name string) *trace.Trace {
	read, err := trace.ReadFile(filepath.Join(traceFolder, name+".jsonl"))
	So(err, ShouldBeNil)
	return read
}

// replayAll replays every trace and returns one line for each.
func replayAll(files []string) ([]string, error) {
	lines := make([]string, len(files))
	var group errgroup.Group
	group.SetLimit(atOnce)
	for i, file := range files {
		group.Go(func() error {
			read, err := trace.ReadFile(file)
			if err != nil {
				return err
			}
			result, err := Run(read)
			if err != nil {
				return err
			}
			lines[i] = result.String()
			return nil
		})
	}
	return lines, group.Wait()
}

func TestTracesShowTheirOutcomes(t *testing.T) {
	Convey("Every trace shows the outcomes that it states, and a second replay the same, by the hash of all that it showed", t, func() {
		files, err := filepath.Glob(filepath.Join(traceFolder, "*.jsonl"))
		So(err, ShouldBeNil)
		So(len(files), ShouldBeGreaterThanOrEqualTo, leastTraces)
		first, err := replayAll(files)
		So(err, ShouldBeNil)
		for _, line := range first {
			So(line, ShouldStartWith, "ok ")
		}
		var chosen, expected []string
		for i := 0; i < len(files); i += againEvery {
			chosen, expected = append(chosen, files[i]), append(expected, first[i])
		}
		second, err := replayAll(chosen)
		So(err, ShouldBeNil)
		So(second, ShouldResemble, expected)
	})
	Convey("The name in each trace is that of its file, and each states that every promise is kept", t, func() {
		files, err := filepath.Glob(filepath.Join(traceFolder, "*.jsonl"))
		So(err, ShouldBeNil)
		for _, file := range files {
			read, err := trace.ReadFile(file)
			So(err, ShouldBeNil)
			So(read.Header.Name+".jsonl", ShouldEqual, filepath.Base(file))
			all := false
			for _, expectation := range read.Expectations {
				all = all || expectation.Expect.Promise == trace.AllPromises
			}
			So(all, ShouldBeTrue)
		}
	})
}

// tamperDelivery changes the first delivery.
func tamperDelivery(change func(h *invariant.History, delivery *invariant.Delivery)) options {
	return options{tamper: func(h *invariant.History) {
		delivery := h.Deliveries[0]
		change(h, &delivery)
		h.Deliveries[0] = delivery
	}}
}

// tamperCall changes the first call that completed.
func tamperCall(change func(h *invariant.History, call *invariant.Call)) options {
	return options{tamper: func(h *invariant.History) {
		for i := range h.Calls {
			if h.Calls[i].Outcome == v1.OutcomeCompleted {
				change(h, &h.Calls[i])
				return
			}
		}
		panic("no call completed")
	}}
}

func TestBrokenGuardsAreSeen(t *testing.T) {
	cases := []struct {
		promise string
		trace   string
		how     string
		broken  options
	}{
		{trace.PromiseFresh, "cairnpath-trainer-moves-on", "the owner does not check the bound",
			options{change: func(s *sim.Scenario) { s.Policy.NoBound = true }}},
		{trace.PromisePlannedStop, "moreton-planned-stop-under-load", "the node dies in place of draining",
			options{change: func(s *sim.Scenario) { s.Faults[0].Kind = sim.FaultNodeCrash }}},
		{trace.PromiseOnce, "moreton-owner-dies-twice", "a sample is handed over at another position",
			options{tamper: func(h *invariant.History) {
				again := h.Deliveries[0]
				again.After, again.Sample.Position = again.Sample.Position, again.Sample.Position+100_000
				h.Deliveries = append(h.Deliveries, again)
			}}},
		{trace.PromiseWhole, "moreton-commit-replies-lost", "a sample lacks its end",
			tamperDelivery(func(_ *invariant.History, d *invariant.Delivery) {
				d.Sample.Text = d.Sample.Text[:len(d.Sample.Text)/2]
			})},
		{trace.PromiseVersions, "moreton-swap-in-mid-answer", "a segment names another version",
			tamperDelivery(func(_ *invariant.History, d *invariant.Delivery) {
				d.Sample.Segments = append([]v1.Segment(nil), d.Sample.Segments...)
				d.Sample.Segments[0].Version++
			})},
		{trace.PromiseZones, "one-zone-pool-stays-home", "an engine of another zone ran a request",
			options{tamper: func(h *invariant.History) { h.Executions[0].Zone = "elsewhere" }}},
		{trace.PromiseNotRun, "cairnpath-overload-is-refused", "a request that ran is said not to have run",
			tamperCall(func(_ *invariant.History, c *invariant.Call) { c.Outcome, c.Text = v1.OutcomeNotRun, "" })},
		{trace.PromiseOwnAnswer, "cairnpath-streams-cut", "an answer is cut off",
			tamperCall(func(_ *invariant.History, c *invariant.Call) { c.Text = c.Text[:len(c.Text)/2] })},
		{trace.PromiseAtMostOnce, "moreton-relay-runs-once", "a relay runs again",
			options{tamper: func(h *invariant.History) { h.Executions = append(h.Executions, h.Executions[0]) }}},
		{trace.PromiseLeaving, "cairnpath-leaving-engine", "a leaving engine begins a request after half a minute",
			options{tamper: func(h *invariant.History) {
				for _, execution := range h.Executions {
					if execution.Engine == "wayfinder-api-glasgow-hall-002" {
						execution.Started = sim.Epoch.Add(40e9)
						h.Executions = append(h.Executions, execution)
						return
					}
				}
				panic("the leaving engine never ran anything")
			}}},
	}
	Convey("A trace whose promise is broken is not met, and names the expectation", t, func() {
		for _, c := range cases {
			Convey(c.promise+": "+c.how, func() {
				read := readTestTrace(c.trace)
				result, err := run(read, c.broken)
				So(err, ShouldBeNil)
				So(result.Outcome.Count(c.promise), ShouldBeGreaterThan, 0)
				So(result.Met(), ShouldBeFalse)
				So(result.String(), ShouldStartWith, "UNMET")
				So(result.String(), ShouldContainSubstring, fmt.Sprintf("%s.jsonl:%d: ", c.trace, result.Unmet[0].Line))
			})
		}
	})
}

func TestGenerate(t *testing.T) {
	textOf := func(seed int64) string {
		var text bytes.Buffer
		_, err := Generate(seed).WriteTo(&text)
		So(err, ShouldBeNil)
		return text.String()
	}
	Convey("A seed composes one sound trace", t, func() {
		for seed := range int64(50) {
			text := textOf(seed)
			_, err := trace.Parse("generated", strings.NewReader(text))
			So(err, ShouldBeNil)
			So(textOf(seed), ShouldEqual, text)
		}
		So(textOf(1), ShouldNotEqual, textOf(2))
	})
	Convey("Generated traces show the outcomes that they state", t, func() {
		const seeds = 8
		var group errgroup.Group
		group.SetLimit(atOnce)
		for seed := range int64(seeds) {
			group.Go(func() error {
				result, err := Run(Generate(seed))
				if err == nil && !result.Met() {
					err = fmt.Errorf("seed %d: %s", seed, result)
				}
				return err
			})
		}
		So(group.Wait(), ShouldBeNil)
	})
}

// smallStaleTrace needs the staleness bound: the trainer moves on twice while its samples are produced.
const smallStaleTrace = `{"type":"trace","format":1,"name":"small","seed":1,"until":"2m","zones":[{"name":"a","region":"r","nodes":1},{"name":"b","region":"r","nodes":1}],"latency":{"zone":"1ms","client":"1ms"},"pools":[{"name":"lm","permitted":["a","b"],"engines":{"a":1,"b":1}},{"name":"desk","permitted":["a"],"engines":{"a":1}}],"trainers":[{"name":"t","pool":"lm","zone":"a","stalenessBound":0}],"applications":[{"name":"app","pools":["desk"]}],"engine":{"stepBase":"25ms","loadTime":"1s"}}
{"type":"batch","at":"0s","trainer":"t","name":"one","samples":48,"maxTokens":256}
{"type":"request","at":"1s","id":"q","application":"app","pool":"desk","zone":"a","maxTokens":8}
{"type":"publish","at":"1s","trainer":"t","version":2}
{"type":"fault","at":"1.5s","fault":"engine-restart","target":"desk-a-001"}
{"type":"publish","at":"3s","trainer":"t","version":3}
{"type":"fault","at":"4s","fault":"owner-crash","target":"t"}
{"type":"expect","promise":"all"}
{"type":"expect","request":"q","attempts":{"max":9}}
`

func TestShrink(t *testing.T) {
	Convey("A failing trace becomes a small one that fails alike", t, func() {
		broken := options{change: func(s *sim.Scenario) { s.Policy.NoBound = true }}
		read, err := trace.Parse("small", strings.NewReader(smallStaleTrace))
		So(err, ShouldBeNil)
		smaller, err := shrinkWith(read, broken)
		So(err, ShouldBeNil)
		So(len(smaller.Events), ShouldBeLessThan, len(read.Events))
		So(len(smaller.Expectations), ShouldEqual, 1)
		result, err := run(smaller, broken)
		So(err, ShouldBeNil)
		So(result.Outcome.Count(trace.PromiseFresh), ShouldBeGreaterThan, 0)
	})
	Convey("A trace that shows its outcomes is not reduced", t, func() {
		_, err := Shrink(readTestTrace("moreton-relay-runs-once"))
		So(err, ShouldEqual, ErrMet)
	})
}
