package sim

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	v1 "github.com/covelink/covelink/api/v1"
)

// overloadCapacity is about the number of interactive requests a second that the engines of overloadScenario complete when
// they do nothing else: 96 sequences of 1.3 seconds.
const overloadCapacity = 74

// overloadLatencyFactor bounds the 99th percentile of completed interactive requests under overload, by that at 0.3 times the
// capacity.
const overloadLatencyFactor = 2.5

// overloadSeeds is the number of runs that a figure is the mean of.
const overloadSeeds = 5

// overloadScenario has twelve engines, a trainer, and interactive requests for 20 seconds at a multiple of what the engines
// can complete, before a number of nodes.
func overloadScenario(nodes int, times float64) Scenario {
	s := DefaultScenario()
	s.Name, s.Seed, s.Duration = "overload", 12, 10*time.Minute
	s.Engine.StepBase, s.Engine.MaxRunning = 25*time.Millisecond, 8
	s.Engine.StoreLoad, s.Engine.CopyLoad = 4*time.Second, time.Second
	s.Pools = []Pool{{Name: "model", PermittedZones: []string{"a", "b", "c"}, MaxConcurrent: 8, InteractiveReserve: 2, MaxTokens: 512}}
	s.Trainers = []Trainer{{
		Name: "trainer", Pool: "model", Zone: "a", StalenessBound: 2, Batches: 6, Samples: 128, Ahead: 1,
		LearnPerSample: 2 * time.Millisecond, PublishEverySamples: 128, MaxTokens: 256,
	}}
	for _, zone := range []string{"a", "b", "c"} {
		s.Zones = append(s.Zones, Zone{Name: zone, Region: "north", Nodes: nodes / 3})
		s.Engines = append(s.Engines, EngineGroup{Pool: "model", Zone: zone, Count: 4})
		s.Applications = append(s.Applications, Application{
			Name: "lookup-" + zone, Pool: "model", Zone: zone, RequestsPerSecond: times * overloadCapacity / 3,
			Start: 5 * time.Second, End: 25 * time.Second, MaxTokens: 100, Timeout: 8 * time.Second, NotRepeatableShare: 0.3,
		})
	}
	return s
}

func TestOverloadIsRefusedEarly(t *testing.T) {
	Convey("At twice and ten times what the engines complete, before any number of nodes", t, func() {
		idle, err := Run(overloadScenario(9, 0.3))
		So(err, ShouldBeNil)
		So(idle.Interactive.NotRun+idle.Interactive.Unknown, ShouldEqual, 0)
		for _, times := range []float64{2, 10} {
			for _, nodes := range []int{3, 9, 36} {
				result, err := Run(overloadScenario(nodes, times))
				So(err, ShouldBeNil)
				So(result.Report.Kept(), ShouldBeTrue)
				sum := &result.Interactive
				// What was started ends, at a latency within a factor of that under light load; the rest is not run.
				So(sum.Unknown, ShouldBeLessThanOrEqualTo, sum.Completed/100)
				So(sum.Completed, ShouldBeGreaterThan, 1200)
				So(sum.NotRun, ShouldBeGreaterThan, 1000)
				So(sum.Latency.P99, ShouldBeLessThan, time.Duration(overloadLatencyFactor*float64(idle.Interactive.Latency.P99)))
				So(2*refusedEarly(result), ShouldBeGreaterThan, sum.NotRun)
				// Rollouts wait for the interactive requests and then go on.
				So(result.Trainers[0].Batches, ShouldEqual, 6)
				So(result.Finished, ShouldBeTrue)
			}
		}
	})
}

// BenchmarkOverload measures in virtual time what becomes of requests, and how long a trainer idles, by the number of nodes
// and the multiple of the engines' capacity that is asked for.
func BenchmarkOverload(b *testing.B) {
	for _, times := range []float64{0.3, 2, 10} {
		for _, nodes := range []int{3, 9, 36} {
			b.Run(fmt.Sprintf("load=%v/nodes=%d", times, nodes), func(b *testing.B) {
				for b.Loop() {
					report(b, func() Scenario { return overloadScenario(nodes, times) })
				}
			})
		}
	}
}

// BenchmarkZoneLoss measures the same while one of three zones is lost for 20 seconds, under half of the load that all
// engines complete.
func BenchmarkZoneLoss(b *testing.B) {
	for _, nodes := range []int{3, 9, 36} {
		b.Run(fmt.Sprintf("zone-loss/nodes=%d", nodes), func(b *testing.B) {
			for b.Loop() {
				report(b, func() Scenario {
					scenario := overloadScenario(nodes, 0.5)
					scenario.Faults = []Fault{{Kind: FaultZoneLoss, Target: "b", At: 10 * time.Second, For: 20 * time.Second}}
					return scenario
				})
			}
		})
	}
}

// report measures the mean over the seeds.
func report(b *testing.B, compose func() Scenario) {
	sums := make(map[string]float64)
	for seed := range uint64(overloadSeeds) {
		scenario := compose()
		scenario.Seed = seed + 1
		result, err := Run(scenario)
		if err != nil {
			b.Fatal(err)
		}
		if !result.Report.Kept() {
			b.Fatalf("seed %d: promises broken: %+v", scenario.Seed, result.Report)
		}
		for unit, value := range overloadFigures(result) {
			sums[unit] += value
		}
	}
	for unit, sum := range sums {
		b.ReportMetric(sum/overloadSeeds, unit)
	}
}

func overloadFigures(result *Result) map[string]float64 {
	sum := &result.Interactive
	attempts, most := 0, 0
	for _, request := range result.Requests {
		attempts += request.Attempts
		most = max(most, request.Attempts)
	}
	return map[string]float64{
		"attempts_per_request": float64(attempts) / float64(len(result.Requests)),
		"most_attempts":        float64(most),
		"completed":            float64(sum.Completed),
		"not_run":              float64(sum.NotRun),
		"unknown":              float64(sum.Unknown),
		"early":                float64(refusedEarly(result)),
		"p50_ms":               float64(sum.Latency.P50.Milliseconds()),
		"p99_ms":               float64(sum.Latency.P99.Milliseconds()),
		"idle_s":               result.Trainers[0].Idle.Seconds(),
		"wall_s":               result.Trainers[0].Wall.Seconds(),
		"attempts":             float64(result.Attempts),
		"least_share":          leastShare(result),
	}
}

// leastShare is the number of requests that the node which completed fewest completed, by the mean over all nodes.
func leastShare(result *Result) float64 {
	asked, completed := make(map[string]bool), make(map[string]int)
	for _, request := range result.Requests {
		asked[request.Node] = true
		if request.Outcome == v1.OutcomeCompleted {
			completed[request.Node]++
		}
	}
	least := result.Interactive.Completed
	for name := range asked {
		least = min(least, completed[name])
	}
	return float64(least*len(asked)) / float64(result.Interactive.Completed)
}

// refusedEarly counts the requests refused within a second.
func refusedEarly(result *Result) int {
	early := 0
	for _, request := range result.Requests {
		if request.Outcome == v1.OutcomeNotRun && request.Ended-request.Arrived < time.Second {
			early++
		}
	}
	return early
}
