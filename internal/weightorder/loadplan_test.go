package weightorder

import (
	"fmt"
	"math"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// idleEngine returns an orderable engine of six slots that keeps model a and holds a version of it.
func idleEngine(id string, version int64) engineState {
	return engineState{id: id, slots: 6, listed: map[string]int64{"a": version, "b": version}, assigned: "a", orderable: true}
}

func (e engineState) on(model string) engineState {
	e.assigned = model
	return e
}

func (e engineState) running(runs int, left time.Duration) engineState {
	e.runs = EngineRuns{Running: runs, TimeLeft: left}
	return e
}

func (e engineState) nowLoading() engineState {
	e.loading, e.orderable = e.assigned, false
	return e
}

func (e engineState) pace(interval time.Duration) engineState {
	e.eventInterval = interval
	return e
}

// withEven adds up-to-date engines of model b until it has as many as a but one, so that none is reassigned.
func withEven(engines []engineState) []engineState {
	missing := 0
	for _, engine := range engines {
		if engine.assigned == "a" {
			missing++
		} else {
			missing--
		}
	}
	for i := range max(missing-1, 0) {
		engines = append(engines, idleEngine(fmt.Sprintf("added-%d", i), 3).on("b"))
	}
	return engines
}

// TestLoadOrder guards against loads of engines that items need, and against loads in an order that leaves items waiting longer.
func TestLoadOrder(t *testing.T) {
	waiting := func(items int, minVersion int64, engineTime time.Duration) Demand {
		return Demand{Waiting: items, Open: items, MinVersion: minVersion, OpenMinVersion: minVersion, WaitingTime: engineTime}
	}
	two := func(a, b Demand) []modelState {
		return []modelState{{name: "a", target: 3, demand: a}, {name: "b", target: 3, demand: b}}
	}
	cases := []struct {
		name    string
		engines []engineState
		models  []modelState
		loads   int
		want    []string
	}{
		{
			"the model with the most waiting time per usable slot first, then alternately as slots become usable",
			[]engineState{idleEngine("1", 1), idleEngine("2", 1), idleEngine("3", 2), idleEngine("4", 1).on("b"), idleEngine("5", 1).on("b")},
			two(waiting(9, 2, 9*time.Second), waiting(5, 2, 5*time.Second)), 4,
			[]string{"4 b " + string(reasonWaiting), "1 a " + string(reasonWaiting), "5 b " + string(reasonWaiting), "2 a " + string(reasonWaiting)},
		},
		{
			"engines that load for a model count as its slots",
			[]engineState{idleEngine("1", 1).nowLoading(), idleEngine("2", 1), idleEngine("3", 1).on("b")},
			two(waiting(9, 2, 9*time.Second), waiting(5, 2, 5*time.Second)), 1,
			[]string{"3 b " + string(reasonWaiting)},
		},
		{
			"idle engines first, then those whose runs end soonest, then the fastest",
			[]engineState{
				idleEngine("1", 1).running(1, time.Second), idleEngine("2", 1).running(5, time.Second/2), idleEngine("3", 1).pace(90 * time.Millisecond),
				idleEngine("4", 1).pace(40 * time.Millisecond), idleEngine("5", 3).on("b"),
			},
			two(waiting(9, 2, 9*time.Second), Demand{}), 9,
			[]string{"4 a " + string(reasonWaiting), "3 a " + string(reasonWaiting), "2 a " + string(reasonWaiting), "1 a " + string(reasonWaiting)},
		},
		{
			"an engine with a usable version does not load while items wait",
			[]engineState{idleEngine("1", 2), idleEngine("2", 2), idleEngine("3", 3).on("b")},
			two(waiting(1, 2, time.Second), Demand{}), 9,
			nil,
		},
		{
			"half of the engines load while items that accept any version wait, once they are far behind",
			[]engineState{idleEngine("1", 2), idleEngine("2", 2), idleEngine("3", 2), idleEngine("4", 2), idleEngine("5", 9).on("b"), idleEngine("6", 9).on("b"), idleEngine("7", 9).on("b")},
			[]modelState{{name: "a", target: 7, demand: waiting(9, 1, time.Second)}, {name: "b", target: 9}}, 9,
			[]string{"1 a " + string(reasonOpen), "2 a " + string(reasonOpen)},
		},
		{
			"waiting items before open jobs, open jobs before the next step",
			[]engineState{idleEngine("1", 2), idleEngine("2", 3), idleEngine("3", 1), idleEngine("4", 1).on("b"), idleEngine("5", 3).on("b")},
			two(Demand{}, waiting(5, 2, 5*time.Second)), 9,
			[]string{"4 b " + string(reasonWaiting), "3 a " + string(reasonOpen)},
		},
		{
			"an engine one version behind is too old if an open job requires the newest",
			[]engineState{idleEngine("1", 2), idleEngine("2", 2), idleEngine("3", 2), idleEngine("4", 3).on("b")},
			two(Demand{Open: 1, OpenMinVersion: 3}, Demand{}), 9,
			[]string{"1 a " + string(reasonOpen), "2 a " + string(reasonOpen), "3 a " + string(reasonOpen)},
		},
		{
			"in advance, half of the usable engines load at once, not those that run long",
			[]engineState{
				idleEngine("1", 2).running(1, 5*time.Second), idleEngine("2", 2).running(1, time.Second/2), idleEngine("3", 2), idleEngine("4", 2).running(2, time.Second/3),
				idleEngine("5", 3).on("b"),
			},
			two(Demand{}, Demand{}), 9,
			[]string{"3 a " + string(reasonAdvance), "4 a " + string(reasonAdvance)},
		},
		{
			"in advance, all may load while the next step is expected after the loads end",
			[]engineState{idleEngine("1", 2), idleEngine("2", 2), idleEngine("3", 2).running(1, 5*time.Second), idleEngine("4", 3).on("b")},
			[]modelState{{name: "a", target: 3, nextStep: 2 * time.Second}, {name: "b", target: 3}}, 9,
			[]string{"1 a " + string(reasonAdvance), "2 a " + string(reasonAdvance)},
		},
		{
			"loads in progress count towards that half",
			[]engineState{idleEngine("1", 2).nowLoading(), idleEngine("2", 2).nowLoading(), idleEngine("3", 2), idleEngine("4", 2), idleEngine("5", 3).on("b")},
			two(Demand{}, Demand{}), 9,
			nil,
		},
		{
			"an engine that runs long waits while another one is up to date",
			[]engineState{idleEngine("1", 2).running(1, 5*time.Second), idleEngine("2", 3), idleEngine("3", 3).on("b")},
			two(Demand{}, Demand{}), 9,
			nil,
		},
		{
			"an engine that runs long loads if there is no other and none is up to date",
			[]engineState{idleEngine("1", 2).running(1, 5*time.Second), idleEngine("2", 2).running(1, 4*time.Second), idleEngine("3", 3).on("b")},
			two(Demand{}, Demand{}), 9,
			[]string{"2 a " + string(reasonAdvance)},
		},
		{
			"nothing loads in advance between the naming of a version and the submission of its step",
			[]engineState{idleEngine("1", 2), idleEngine("2", 2), idleEngine("3", 1), idleEngine("4", 3).on("b")},
			[]modelState{{name: "a", target: 3, expectsStep: true}, {name: "b", target: 3}}, 9,
			[]string{"3 a " + string(reasonOpen)},
		},
		{
			"no more loads than may begin",
			[]engineState{idleEngine("1", 1), idleEngine("2", 1), idleEngine("3", 1), idleEngine("4", 1).on("b"), idleEngine("5", 1).on("b")},
			two(Demand{}, Demand{}), 2,
			[]string{"1 a " + string(reasonOpen), "4 b " + string(reasonOpen)},
		},
		{
			"the most outdated engines beyond the need do not load",
			[]engineState{idleEngine("1", 1), idleEngine("2", 2), idleEngine("3", 2), idleEngine("4", 3).on("b")},
			[]modelState{{name: "a", target: 3, maxUpToDate: 2}, {name: "b", target: 3}}, 9,
			[]string{"2 a " + string(reasonAdvance)},
		},
	}
	Convey("Loads and their reasons follow from the snapshot", t, func() {
		for _, c := range cases {
			s := &snapshot{engines: withEven(c.engines), models: c.models, loads: c.loads, loadTime: time.Second}
			decided := decide(s)
			var got []string
			for _, load := range decided.loads {
				got = append(got, fmt.Sprint(s.engines[load.engine].id, " ", s.models[load.model].name, " ", load.reason))
			}
			SoMsg(c.name, got, ShouldResemble, c.want)
			SoMsg(c.name, decided.reassigned, ShouldBeEmpty)
		}
	})
}

// shareSnapshot returns a snapshot with engines of six slots and models a, b, ... of the given demands, observed for long.
func shareSnapshot(engines int, demands ...Demand) *snapshot {
	s := &snapshot{observed: time.Hour, loadTime: time.Second}
	for i, demand := range demands {
		s.models = append(s.models, modelState{name: string(rune('a' + i)), target: 2, demand: demand})
	}
	for i := range engines {
		versions := make(map[string]int64)
		for _, model := range s.models {
			versions[model.name] = 2
		}
		s.engines = append(s.engines, engineState{id: fmt.Sprintf("engine-%04d", i), slots: 6, listed: versions, orderable: true})
	}
	return s
}

func submitted(seconds float64) Demand {
	return Demand{SubmittedTime: time.Duration(seconds * float64(time.Second))}
}

// TestShares guards against shares that follow the number of items, starve a model, or give a model what another one needs.
func TestShares(t *testing.T) {
	// need is the submitted time that needs one engine.
	need := targetOccupancy * 6 * DemandDecay.Seconds()
	late := submitted(330)
	late.OldestOpen = 2 * lateAge
	youngest := submitted(330)
	youngest.OldestOpen = lateAge / 2
	cases := []struct {
		name    string
		engines int
		demands []Demand
		want    []float64
	}{
		{"even without work", 26, make([]Demand, 4), []float64{6.5, 6.5, 6.5, 6.5}},
		{"by engine time", 26, []Demand{submitted(10 * need), submitted(5 * need)}, []float64{17.2, 8.8}},
		{"by engine time while all lack", 12, []Demand{submitted(20 * need), submitted(5 * need), submitted(0)}, []float64{8.7, 2.3, 1}},
		{"not more than the need while another lacks", 20, []Demand{submitted(20 * need), submitted(need)}, []float64{19, 1}},
		{"at least one", 6, []Demand{submitted(50 * need), submitted(0), submitted(0)}, []float64{4, 1, 1}},
		{"more for a late trainer", 26, []Demand{late, youngest, youngest, youngest}, []float64{8.7, 5.8, 5.8, 5.8}},
		{"even if all are late", 26, []Demand{late, late, late, late}, []float64{6.5, 6.5, 6.5, 6.5}},
	}
	Convey("Shares follow from the demand and are all of the engines", t, func() {
		for _, c := range cases {
			shares := modelShares(shareSnapshot(c.engines, c.demands...))
			sum := 0.0
			for i, share := range shares {
				SoMsg(c.name, share, ShouldAlmostEqual, c.want[i], 0.06)
				sum += share
			}
			SoMsg(c.name, sum, ShouldAlmostEqual, float64(c.engines), 1e-6)
		}
	})
	Convey("The first step of a trainer does not draw the engines of the others", t, func() {
		s := shareSnapshot(26, submitted(66), Demand{}, Demand{}, Demand{})
		s.observed = time.Second
		So(modelShares(s)[0], ShouldBeLessThan, 8)
	})
	Convey("The raise for a late trainer is bounded", t, func() {
		So(raise(time.Hour, 0), ShouldEqual, maxRaise)
		So(raise(lateAge, 0), ShouldEqual, 1)
		So(raise(3*lateAge, 3*lateAge), ShouldEqual, 1)
	})
}

// settle applies the assignments of a plan.
func settle(s *snapshot) decision {
	decided := decide(s)
	for engine, model := range decided.models {
		s.engines[engine].assigned = s.models[model].name
	}
	return decided
}

func countModels(decided decision) []int {
	counts := make([]int, len(decided.shares))
	for _, model := range decided.models {
		counts[model]++
	}
	return counts
}

// TestReassignment guards against engines that change their models to and fro, at the cost of a load each, and against models without engines.
func TestReassignment(t *testing.T) {
	even := make([]Demand, 4)
	Convey("Engines without a model take the one that they are least behind in, as a new coordinator finds them", t, func() {
		s := shareSnapshot(26, even...)
		for i := range s.engines {
			s.engines[i].reported = map[string]int64{s.models[i*4/26].name: 9}
		}
		for i := range s.models {
			s.models[i].target = 10
		}
		decided := settle(s)
		So(countModels(decided), ShouldResemble, []int{7, 6, 7, 6})
		for i, model := range decided.models {
			So(model, ShouldEqual, i*4/26)
		}
	})
	Convey("An engine that does not hold a model is not assigned to it", t, func() {
		s := shareSnapshot(8, even[:2]...)
		s.engines[0].listed = map[string]int64{"b": 1}
		So(settle(s).models[0], ShouldEqual, 1)
	})
	Convey("A difference of less than a whole engine changes nothing", t, func() {
		s := shareSnapshot(26, submitted(330), submitted(330), submitted(330), submitted(330))
		settle(s)
		for _, factor := range []float64{0.9, 1.1, 1.15, 0.85} {
			s.models[1].demand = submitted(330 * factor)
			So(settle(s).reassigned, ShouldBeEmpty)
		}
	})
	Convey("A model with more work takes idle and outdated engines, the idle ones first", t, func() {
		s := shareSnapshot(12, submitted(200), submitted(200))
		settle(s)
		for i := range s.engines {
			s.engines[i] = s.engines[i].running(1, time.Second)
		}
		s.models[1].demand = submitted(1200)
		So(settle(s).reassigned, ShouldBeEmpty)
		for i := range s.engines {
			if s.engines[i].assigned == "a" {
				s.engines[i].listed = map[string]int64{"a": 1, "b": 1}
			}
		}
		idle := 2
		s.engines[idle].runs = EngineRuns{}
		So(s.engines[idle].assigned, ShouldEqual, "a")
		reassigned := settle(s).reassigned
		So(len(reassigned), ShouldBeGreaterThan, 1)
		So(reassigned[0].engine, ShouldEqual, idle)
		So(settle(s).reassigned, ShouldBeEmpty)
	})
	Convey("An engine that loads keeps its model", t, func() {
		s := shareSnapshot(12, submitted(200), submitted(200))
		settle(s)
		for i := range s.engines {
			s.engines[i] = s.engines[i].nowLoading()
		}
		s.models[1].demand = submitted(1200)
		So(settle(s).reassigned, ShouldBeEmpty)
	})
	Convey("A model that lost half of its engines receives some of the others, at once", t, func() {
		s := shareSnapshot(24, even...)
		settle(s)
		var left []engineState
		lost := 0
		for _, engine := range s.engines {
			if engine.assigned == "a" && lost < 3 {
				lost++
				continue
			}
			left = append(left, engine)
		}
		s.engines = left
		So(countModels(settle(s)), ShouldResemble, []int{5, 5, 5, 6})
		So(settle(s).reassigned, ShouldBeEmpty)
	})
	Convey("A model that lost all engines receives one although all others are in use and up to date", t, func() {
		s := shareSnapshot(8, submitted(500), submitted(0), submitted(500))
		settle(s)
		for i := range s.engines {
			if s.engines[i].assigned == "b" {
				s.engines[i].assigned = "a"
			}
			s.engines[i] = s.engines[i].running(3, time.Second)
		}
		So(countModels(settle(s))[1], ShouldEqual, 1)
	})
	Convey("Each model has an engine whatever the demand", t, func() {
		for seed := range 200 {
			demands := make([]Demand, 4)
			for i := range demands {
				demands[i] = submitted(math.Pow(10, float64((seed*(i+3))%5)))
				demands[i].OldestOpen = time.Duration(seed*i%13) * time.Second
			}
			s := shareSnapshot(8+seed%30, demands...)
			for _, count := range countModels(settle(s)) {
				So(count, ShouldBeGreaterThan, 0)
			}
		}
	})
}

// BenchmarkDecide measures a plan that begins loads, and the first plan of a term, in which no engine has a model.
func BenchmarkDecide(b *testing.B) {
	for _, engines := range []int{100, 1000, 10000} {
		for _, models := range []int{4, 16} {
			demands := make([]Demand, models)
			for i := range demands {
				demands[i] = Demand{SubmittedTime: time.Duration(300+i) * time.Second, Open: 100, Waiting: 50, MinVersion: 2, OpenMinVersion: 2}
			}
			s := shareSnapshot(engines, demands...)
			s.loads = engines / 5
			for i := range s.engines {
				if i%3 == 0 {
					s.engines[i].reported, s.engines[i].listed = s.engines[i].listed, map[string]int64{"a": 1, "b": 1, "c": 1, "d": 1}
				}
			}
			for i := range s.models {
				s.models[i].target = 3
			}
			b.Run(fmt.Sprintf("first/engines=%d/models=%d", engines, models), func(b *testing.B) {
				for b.Loop() {
					decide(s)
				}
			})
			settle(s)
			b.Run(fmt.Sprintf("next/engines=%d/models=%d", engines, models), func(b *testing.B) {
				for b.Loop() {
					decide(s)
				}
			})
		}
	}
}

// TestSlowEngines guards against a model whose engines are all slow, so that its longest texts end its steps late.
func TestSlowEngines(t *testing.T) {
	snapshotOf := func(models string, slowInterval time.Duration) *snapshot {
		s := &snapshot{models: []modelState{{name: "a", target: 1}, {name: "b", target: 1}}, loadTime: time.Second}
		for i, model := range models {
			engine := engineState{id: fmt.Sprint(i), slots: 6, listed: map[string]int64{"a": 1, "b": 1}, orderable: true, eventInterval: 20 * time.Millisecond}
			if model < 'a' {
				// Slow engines are in upper case.
				model += 'a' - 'A'
				engine.eventInterval = slowInterval
			}
			engine.assigned = string(model)
			s.engines = append(s.engines, engine)
		}
		return s
	}
	slowOf := func(s *snapshot, decided decision, model int) (slow int) {
		for i, assigned := range decided.models {
			if assigned == model && s.engines[i].eventInterval > 30*time.Millisecond {
				slow++
			}
		}
		return slow
	}
	Convey("Slow engines are divided among the models, without a change of their numbers", t, func() {
		s := snapshotOf("AAAaaabbbbbb", 50*time.Millisecond)
		decided := decide(s)
		So(decided.reassigned, ShouldHaveLength, 2)
		So(slowOf(s, decided, 0), ShouldEqual, 2)
		So(slowOf(s, decided, 1), ShouldEqual, 1)
		for i, model := range decided.models {
			s.engines[i].assigned = s.models[model].name
		}
		So(decide(s).reassigned, ShouldBeEmpty)
	})
	Convey("Engines of about the same speed, and busy ones that are up to date, stay", t, func() {
		So(decide(snapshotOf("AAAaaabbbbbb", 25*time.Millisecond)).reassigned, ShouldBeEmpty)
		s := snapshotOf("AAAaaabbbbbb", 50*time.Millisecond)
		for i := range s.engines {
			s.engines[i].runs = EngineRuns{Running: 1, TimeLeft: time.Second}
		}
		So(decide(s).reassigned, ShouldBeEmpty)
	})
}
