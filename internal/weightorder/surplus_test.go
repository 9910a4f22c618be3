package weightorder

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestSurplusEngines checks that engines beyond the need of the open items load no new versions.
func TestSurplusEngines(t *testing.T) {
	Convey("Only as many engines load as the open items need, the same ones for each version", t, func() {
		m, _ := newPlanManager(600, "a", "b")
		m.Demands = func() map[string]Demand {
			return map[string]Demand{"a": {Items: 100, Open: 32}, "b": {Items: 100, Open: 80}}
		}
		m.SetTargets(map[string]int64{"a": 2, "b": 2})
		first := loadAll(m)
		So(first["a"], ShouldEqual, minUpToDate+20)
		So(first["b"], ShouldEqual, minUpToDate+50)
		kept := make(map[string]int64)
		for id, versions := range m.reported {
			kept[id] = versions["a"]
		}
		m.SetTargets(map[string]int64{"a": 3, "b": 2})
		So(loadAll(m), ShouldResemble, map[string]int{"a": minUpToDate + 20})
		for id, versions := range m.reported {
			if versions["a"] == 3 {
				So(fmt.Sprint(id, kept[id]), ShouldEqual, fmt.Sprint(id, 2))
			}
		}
	})
	Convey("The number of open items decays after a burst", t, func() {
		m, _ := newPlanManager(600, "a")
		demand := map[string]Demand{"a": {Open: 400}}
		m.Demands = func() map[string]Demand { return demand }
		start := time.Now()
		m.plan(start)
		demand = map[string]Demand{"a": {}}
		So(m.neededEngines(m.State.View().Ready("pool"), "a", start.Add(openItemsDecay/10)), ShouldBeGreaterThan, 200)
		So(m.neededEngines(m.State.View().Ready("pool"), "a", start.Add(10*openItemsDecay)), ShouldBeLessThan, minUpToDate+5)
	})
}

// planSize returns how many engines a manager assigns and how many load, for a service with the given number of engines.
func planSize(engines int) (assigned, loaded int) {
	m, _ := newPlanManager(engines, "a", "b", "c", "d")
	demands := make(map[string]Demand)
	named := make(map[string]int64)
	for _, model := range []string{"a", "b", "c", "d"} {
		demands[model], named[model] = Demand{Items: 100, Open: 100}, 2
	}
	m.Demands = func() map[string]Demand { return demands }
	m.SetTargets(named)
	for _, count := range loadAll(m) {
		loaded += count
	}
	return len(m.assigned), loaded
}

// TestPlanIsIndependentOfServiceSize checks that a plan considers only the engines that the items need.
func TestPlanIsIndependentOfServiceSize(t *testing.T) {
	assigned, loaded := planSize(1500)
	moreAssigned, moreLoaded := planSize(8000)
	if moreAssigned != assigned || moreLoaded != loaded {
		t.Errorf("1500 engines: %d assigned, %d loaded; 8000 engines: %d and %d", assigned, loaded, moreAssigned, moreLoaded)
	}
}

// TestReplicasAreReplaced checks that lost replicas are replaced one by one, and that the others keep their models.
func TestReplicasAreReplaced(t *testing.T) {
	models := []string{"a", "b"}
	m, state := newPlanManager(2000, models...)
	m.Demands = func() map[string]Demand { return map[string]Demand{"a": {Open: 100}, "b": {Open: 100}} }
	m.SetTargets(map[string]int64{"a": 2, "b": 2})
	loadAll(m)
	before := make(map[string]string)
	for id, model := range m.assigned {
		before[id] = model
	}
	listEngines(state, 300, 2000, models)
	m.SetTargets(map[string]int64{"a": 3, "b": 3})
	needed := m.neededEngines(state.View().Ready("pool"), "a", time.Now())
	for model, loaded := range loadAll(m) {
		if loaded != needed {
			t.Errorf("%d engines loaded %s, want %d", loaded, model, needed)
		}
	}
	for id, model := range m.assigned {
		if previous, ok := before[id]; ok && previous != model {
			t.Errorf("%s was reassigned from %s to %s", id, previous, model)
		}
	}
}

// BenchmarkPlan measures a plan without moves.
func BenchmarkPlan(b *testing.B) {
	for _, engines := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			models := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
			m, _ := newPlanManager(engines, models...)
			demands := make(map[string]Demand)
			for _, model := range models {
				demands[model] = Demand{Open: 100}
			}
			m.Demands = func() map[string]Demand { return demands }
			for b.Loop() {
				m.plan(time.Now())
			}
		})
	}
}
