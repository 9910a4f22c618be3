package sim

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	v1 "github.com/covelink/covelink/api/v1"
)

// smallScenario has three zones in two regions, two pools, a trainer and an application.
func smallScenario(seed uint64) Scenario {
	s := DefaultScenario()
	s.Name, s.Seed, s.Duration = "small", seed, 10*time.Minute
	s.Engine.StoreLoad, s.Engine.CopyLoad = time.Second, 300*time.Millisecond
	s.Zones = []Zone{{"a", "north", 2}, {"b", "north", 1}, {"c", "south", 1}}
	s.Pools = []Pool{
		{Name: "model", PermittedZones: []string{"a", "b"}, MaxConcurrent: 8, InteractiveReserve: 2, MaxTokens: 512},
		{Name: "other", PermittedZones: []string{"c"}, MaxConcurrent: 8, InteractiveReserve: 2, MaxTokens: 512},
	}
	s.Engines = []EngineGroup{{"model", "a", 3}, {"model", "b", 2}, {"other", "c", 1}}
	s.Trainers = []Trainer{{
		Name: "trainer", Pool: "model", Zone: "a", StalenessBound: 2, Batches: 4, Samples: 128, Ahead: 1,
		LearnPerSample: 2 * time.Millisecond, PublishEverySamples: 64, MaxTokens: 512,
	}}
	s.Applications = []Application{
		{Name: "lookup", Pool: "model", Zone: "b", RequestsPerSecond: 10, MaxTokens: 24, NotRepeatableShare: 0.2},
		{Name: "kiosk", Pool: "other", Zone: "c", RequestsPerSecond: 5, MaxTokens: 24},
	}
	return s
}

// randomFaults adds faults of every kind at random times.
func randomFaults(s *Scenario) {
	random := rand.New(rand.NewPCG(s.Seed, 99))
	targets := map[FaultKind][]string{
		FaultEngineCrash: {"model-a-001", "model-b-002", "other-c-001"}, FaultEngineFreeze: {"model-a-002", "model-b-001"},
		FaultEngineLeave: {"model-a-003"}, FaultZoneCut: {"a", "b", "c"}, FaultZoneLoss: {"a", "b"}, FaultMessageLoss: {"", "a"},
		FaultSwapFails: {"model-a-001", "model-b-001"}, FaultPrepareFails: {"model-a-002"}, FaultOwnerCrash: {"trainer"},
		FaultNodeStop: {"a-node-1", "b-node-1"}, FaultNodeCrash: {"a-node-2", "c-node-1"},
		FaultOwnerPause: {"trainer"}, FaultCommitLost: {"trainer"}, FaultStreamCut: {"model-a-001", "other-c-001"},
	}
	for range 8 {
		kind := faultKinds[random.IntN(len(faultKinds))]
		of := targets[kind]
		s.Faults = append(s.Faults, Fault{
			Kind: kind, At: time.Duration(random.IntN(12_000)) * time.Millisecond,
			For: time.Duration(500+random.IntN(6_000)) * time.Millisecond, Target: of[random.IntN(len(of))],
			Share: 0.05 * random.Float64(), TakesEffect: random.IntN(2) == 0, Count: 1 + random.IntN(3),
		})
	}
}

func TestPromisesHoldUnderRandomFaults(t *testing.T) {
	Convey("Whatever fails, every promise is kept and every batch is delivered", t, func() {
		for seed := range uint64(40) {
			scenario := smallScenario(seed)
			randomFaults(&scenario)
			result, err := Run(scenario)
			So(err, ShouldBeNil)
			if !result.Finished || !result.Report.Kept() {
				t.Fatalf("seed %d: finished %v, faults %+v, report %+v", seed, result.Finished, scenario.Faults, result.Report)
			}
			So(result.Report.Whole, ShouldEqual, 4*128)
		}
	})
}

func TestSameSeedGivesSameBytes(t *testing.T) {
	Convey("Two runs of a scenario give the same bytes, and another seed gives others", t, func() {
		bytesOf := func(seed uint64) string {
			scenario := smallScenario(seed)
			randomFaults(&scenario)
			result, err := Run(scenario)
			So(err, ShouldBeNil)
			data, err := json.Marshal(result)
			So(err, ShouldBeNil)
			return string(data)
		}
		So(bytesOf(3), ShouldEqual, bytesOf(3))
		So(bytesOf(3), ShouldNotEqual, bytesOf(4))
	})
}

func TestEveryPolicyRuns(t *testing.T) {
	Convey("Baselines and ablations deliver every batch and keep every promise", t, func() {
		for _, policy := range append(Baselines(), Ablations()...) {
			scenario := smallScenario(5)
			scenario.Policy = policy
			result, err := Run(scenario)
			So(err, ShouldBeNil)
			So(result.Finished, ShouldBeTrue)
			So(fmt.Sprint(result.Report.Violations), ShouldEqual, "[]")
		}
	})
}

func TestExplicitWork(t *testing.T) {
	Convey("Single requests, batches and publications have their outcomes", t, func() {
		scenario := smallScenario(1)
		scenario.Trainers[0].Batches = 0
		scenario.Applications = nil
		batch := Batch{At: time.Second, Trainer: "trainer", Name: "one"}
		for index := range 5 {
			batch.Samples = append(batch.Samples, sampleRequest(index))
		}
		scenario.Batches = []Batch{batch}
		scenario.Publications = []Publication{{At: 500 * time.Millisecond, Trainer: "trainer", Version: 2}}
		scenario.Requests = []Request{
			{At: time.Second, ID: "r1", Application: "x", Pool: "model", Zone: "a", Prompt: "one", MaxTokens: 8},
			{At: 2 * time.Second, ID: "r2", Application: "x", Pool: "other", Zone: "a", Prompt: "two", Timeout: time.Millisecond},
		}
		result, err := Run(scenario)
		So(err, ShouldBeNil)
		So(result.Finished, ShouldBeTrue)
		So(result.Report.Kept(), ShouldBeTrue)
		So(len(result.Samples), ShouldEqual, 5)
		So(string(result.Requests[0].Outcome), ShouldEqual, "completed")
		So(string(result.Requests[1].Outcome), ShouldNotEqual, "completed")
	})
}

func sampleRequest(index int) v1.SampleRequest {
	return v1.SampleRequest{Prompt: fmt.Sprintf("prompt %d", index), Group: "g", MaxTokens: 64, Seed: int64(index)}
}

func TestUnfitScenario(t *testing.T) {
	Convey("An unfit scenario is refused with the name of the field", t, func() {
		scenario := smallScenario(1)
		scenario.Pools[0].PermittedZones = []string{"nowhere"}
		_, err := Run(scenario)
		So(err, ShouldNotBeNil)
		So(err.Error(), ShouldContainSubstring, "pools[0].permittedZones")
	})
}
