package weightorder

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/routing"
)

// newPlanManager returns a manager whose engines hold version 1 of every model.
func newPlanManager(engines int, models ...string) (*Manager, *fleet.State) {
	state := fleet.NewState()
	service := routing.Service{Name: "pool", Models: models}
	state.SetRoutes(routing.NewTable(1, nil, []routing.Service{service}, routing.Limits{}))
	listEngines(state, 0, engines, models)
	return New(Params{State: state, Logger: log.NewNopLogger()}), state
}

// listEngines lists the engines with numbers from (inclusive) to (exclusive).
func listEngines(state *fleet.State, from, to int, models []string) {
	var listed []*fleet.Engine
	for i := from; i < to; i++ {
		versions := make(map[string]int64, len(models))
		for _, model := range models {
			versions[model] = 1
		}
		listed = append(listed, &fleet.Engine{ID: fmt.Sprintf("engine-%03d", i), Service: "pool", Ready: true, Versions: versions})
	}
	state.SetEngineList(listed)
}

// loadAll completes all planned moves and returns how many engines loaded each model.
func loadAll(m *Manager) map[string]int {
	loaded := make(map[string]int)
	for moves := m.plan(time.Now()); len(moves) > 0; moves = m.plan(time.Now()) {
		for _, move := range moves {
			loaded[move.model]++
			m.reported[move.engine.ID] = map[string]int64{move.model: move.version}
			delete(m.loading, move.engine.ID)
		}
	}
	return loaded
}

func TestPlan(t *testing.T) {
	models := []string{"a", "b", "c"}
	Convey("A fifth of a service's engines load at once, but at least two", t, func() {
		large, _ := newPlanManager(35, "a")
		large.SetTargets(map[string]int64{"a": 2})
		So(large.plan(time.Now()), ShouldHaveLength, 7)
		So(large.plan(time.Now()), ShouldBeEmpty)
		small, _ := newPlanManager(8, "a")
		small.SetTargets(map[string]int64{"a": 2})
		So(small.plan(time.Now()), ShouldHaveLength, 2)
	})
	Convey("Engines are divided among several models, so that each version is loaded by its share only", t, func() {
		m, state := newPlanManager(35, models...)
		m.SetTargets(map[string]int64{"a": 2, "b": 2, "c": 2})
		So(loadAll(m), ShouldResemble, map[string]int{"a": 12, "b": 12, "c": 11})
		before := map[string]string{}
		for id, model := range m.assigned {
			before[id] = model
		}
		m.SetTargets(map[string]int64{"a": 3, "b": 3, "c": 3})
		So(loadAll(m), ShouldResemble, map[string]int{"a": 12, "b": 12, "c": 11})
		So(m.assigned, ShouldResemble, before)

		Convey("and the shares stay even when engines are replaced", func() {
			listEngines(state, 8, 42, models)
			m.SetTargets(map[string]int64{"a": 4, "b": 4, "c": 4})
			loaded := loadAll(m)
			for _, model := range models {
				So(loaded[model], ShouldBeBetweenOrEqual, 11, 12)
			}
			So(m.assigned, ShouldHaveLength, 34)
		})
	})
	Convey("Too few engines to divide load every model", t, func() {
		m, _ := newPlanManager(5, models...)
		m.SetTargets(map[string]int64{"a": 2, "b": 2, "c": 2})
		loaded := 0
		for range 30 {
			for _, move := range m.plan(time.Now()) {
				loaded++
				if m.reported[move.engine.ID] == nil {
					m.reported[move.engine.ID] = make(map[string]int64)
				}
				m.reported[move.engine.ID][move.model] = move.version
				delete(m.loading, move.engine.ID)
			}
		}
		So(loaded, ShouldEqual, 15)
	})
	Convey("The most outdated engine loads first", t, func() {
		m, _ := newPlanManager(10, "a")
		m.SetTargets(map[string]int64{"a": 4})
		for i := range 10 {
			m.reported[fmt.Sprintf("engine-%03d", i)] = map[string]int64{"a": 3}
		}
		m.reported["engine-007"] = map[string]int64{"a": 2}
		m.reported["engine-009"] = map[string]int64{"a": 2}
		moves := m.plan(time.Now())
		So([]string{moves[0].engine.ID, moves[1].engine.ID}, ShouldResemble, []string{"engine-007", "engine-009"})
	})
}

func TestPlanByDemand(t *testing.T) {
	Convey("Shares are proportional to the time of submitted items, not their number, with at least one engine per model", t, func() {
		m, _ := newPlanManager(30, "a", "b", "c")
		m.demandSince = time.Now().Add(-time.Hour)
		m.Demands = func() map[string]Demand {
			return map[string]Demand{"a": {Items: 150, SubmittedTime: 600 * time.Second}, "b": {Items: 300, SubmittedTime: 300 * time.Second}}
		}
		m.SetTargets(map[string]int64{"a": 2, "b": 2, "c": 2})
		// The steps of versions just named are expected, for which engines do not load.
		So(loadAll(m), ShouldResemble, map[string]int{"c": 1})
		clear(m.namedAt)
		loaded := loadAll(m)
		loaded["c"]++
		So(loaded, ShouldResemble, map[string]int{"a": 19, "b": 10, "c": 1})
	})
	Convey("Engines too old for waiting items load first, then the fastest, also while items wait for them", t, func() {
		m, _ := newPlanManager(10, "a")
		demand := map[string]Demand{"a": {Waiting: 5, MinVersion: 3}}
		m.Demands = func() map[string]Demand { return demand }
		for i := range 10 {
			m.reported[fmt.Sprintf("engine-%03d", i)] = map[string]int64{"a": 3}
		}
		m.reported["engine-004"] = map[string]int64{"a": 2}
		m.SetTargets(map[string]int64{"a": 4})
		m.EventInterval = func(id string) time.Duration {
			if id == "engine-007" {
				return 30 * time.Millisecond
			}
			return 40 * time.Millisecond
		}
		moves := m.plan(time.Now())
		So(moves, ShouldHaveLength, 2)
		So(moves[0].engine.ID, ShouldEqual, "engine-004")
		So(moves[1].engine.ID, ShouldEqual, "engine-007")
		So(m.planInterval(), ShouldEqual, waitingReplanInterval)
		demand = nil
		So(m.plan(time.Now()), ShouldBeEmpty)
		So(m.planInterval(), ShouldEqual, replanInterval)
	})
	Convey("Engines that leave do not lower the number of concurrent loads", t, func() {
		m, state := newPlanManager(35, "a")
		m.SetTargets(map[string]int64{"a": 2})
		So(m.plan(time.Now()), ShouldHaveLength, 7)
		clear(m.loading)
		listEngines(state, 0, 20, []string{"a"})
		So(m.plan(time.Now()), ShouldHaveLength, 7)
	})
}

// TestNextStep guards against loads in advance that are planned by the interval of versions that were not seen one by one.
func TestNextStep(t *testing.T) {
	start := time.Now()
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	Convey("The next version is expected after the usual interval, and not at all while that is unknown or over", t, func() {
		m := New(Params{Logger: log.NewNopLogger()})
		name := func(version int64, second int) {
			m.observeNaming("a", version, at(second))
			m.targets["a"] = version
		}
		name(5, 0)
		So(m.nextStep("a", at(1)), ShouldEqual, 0)
		name(9, 1)
		So(m.nextStep("a", at(2)), ShouldEqual, 0)
		name(10, 5)
		So(m.nextStep("a", at(6)), ShouldEqual, 3*time.Second)
		name(11, 19)
		So(m.nextStep("a", at(20)), ShouldEqual, 6*time.Second)
		So(m.nextStep("a", at(60)), ShouldEqual, 0)
	})
}

// TestUndividedServiceKeepsItsBound guards against services of one model that load more engines at once than the others can stand in for.
func TestUndividedServiceKeepsItsBound(t *testing.T) {
	Convey("A service of one model loads a fifth of its engines at once, however large the window has grown", t, func() {
		m, _ := newPlanManager(10, "a")
		m.SetTargets(map[string]int64{"a": 2})
		window := m.windowOf("pool")
		window.fit(10)
		window.limit = 10
		So(m.plan(time.Now()), ShouldHaveLength, 2)
	})
}
