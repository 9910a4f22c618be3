package compare

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/lab/sim"
)

func smallScenario() sim.Scenario {
	s := sim.DefaultScenario()
	s.Name, s.Duration = "small", 5*time.Minute
	s.Zones = []sim.Zone{{Name: "a", Region: "r", Nodes: 1}, {Name: "b", Region: "r", Nodes: 1}}
	s.Pools = []sim.Pool{{Name: "model", PermittedZones: []string{"a", "b"}, MaxConcurrent: 8, InteractiveReserve: 1, MaxTokens: 256}}
	s.Engines = []sim.EngineGroup{{Pool: "model", Zone: "a", Count: 2}, {Pool: "model", Zone: "b", Count: 1}}
	s.Trainers = []sim.Trainer{{
		Name: "trainer", Pool: "model", Zone: "a", StalenessBound: 2, Batches: 2, Samples: 96, Ahead: 1, WholeBatch: true,
		LearnPerSample: 5 * time.Millisecond, PublishEverySamples: 96, MaxTokens: 256,
	}}
	s.Applications = []sim.Application{{Name: "app", Pool: "model", Zone: "b", RequestsPerSecond: 5, MaxTokens: 16}}
	return s
}

func TestComparison(t *testing.T) {
	Convey("A comparison has a row for each policy, none below the bound, and is the same each time", t, func() {
		options := Options{Seeds: 2, Workers: 2, Ablations: true}
		report, err := Run(context.Background(), smallScenario(), options)
		So(err, ShouldBeNil)
		So(len(report.Rows), ShouldEqual, 1+len(sim.Baselines())+len(sim.Ablations())+1)
		So(report.Bound, ShouldBeGreaterThan, 0)
		for _, row := range report.Rows[:len(report.Rows)-1] {
			So(row.Idle, ShouldBeGreaterThanOrEqualTo, report.Bound)
			So(row.Unfinished, ShouldEqual, 0)
			So(row.Broken, ShouldEqual, 0)
			So(row.OverBound, ShouldEqual, 0)
			So(row.Interactive.P99, ShouldBeGreaterThan, 0)
		}
		again, err := Run(context.Background(), smallScenario(), options)
		So(err, ShouldBeNil)
		var first, second bytes.Buffer
		So(report.WriteJSON(&first), ShouldBeNil)
		So(again.WriteJSON(&second), ShouldBeNil)
		So(first.String(), ShouldEqual, second.String())
		first.Reset()
		So(report.WriteTable(&first), ShouldBeNil)
		So(first.String(), ShouldContainSubstring, "| covelink |")
		folder := t.TempDir()
		So(report.Plot(folder), ShouldBeNil)
		for _, name := range []string{"small-idle.png", "small-interactive.png"} {
			content, err := os.ReadFile(filepath.Join(folder, name))
			So(err, ShouldBeNil)
			So(string(content[1:4]), ShouldEqual, "PNG")
		}
	})
}

func TestComparisonGivesUp(t *testing.T) {
	Convey("A comparison ends when its context does", t, func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, err := Run(ctx, smallScenario(), Options{Seeds: 1, Workers: 1})
		So(err, ShouldEqual, context.Canceled)
	})
}

func TestBound(t *testing.T) {
	Convey("The bound is the time to the whole batch that the longest sample or the work takes", t, func() {
		scenario := smallScenario()
		scenario.Trainers[0].Batches, scenario.Engine.Lengths.Sigma = 1, 0
		scenario.Engine.Lengths.Median = 100
		// 96 samples of 100 tokens; an engine of 32 at 5.6 ms a step makes 5714 tokens a second, three make 17143.
		So(idleBound(scenario, scenario.Trainers[0]).Milliseconds(), ShouldEqual, 560)
		scenario.Engine.Lengths.Median = 200
		scenario.Engines[0].Count = 100
		// One sample of 200 tokens alone takes 4.05 ms a token.
		So(idleBound(scenario, scenario.Trainers[0]).Milliseconds(), ShouldEqual, 810)
	})
}

func TestQuantiles(t *testing.T) {
	Convey("Quantiles are those of the nearest rank", t, func() {
		sorted := []time.Duration{1, 2, 3, 4}
		So(quantile(sorted, 0.5), ShouldEqual, 2)
		So(quantile(sorted, 0.99), ShouldEqual, 4)
		So(quantile(nil, 0.5), ShouldEqual, 0)
		So(quantileOfCounts(map[int64]int{0: 98, 1: 1, 5: 1}, 0.99), ShouldEqual, 1)
	})
}
