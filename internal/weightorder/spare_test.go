package weightorder

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// A sweep of 2,999 engines moved every one of them to every version: 1,269 loads in 34 s for work that 300 engines had room for.
func TestSpareEngines(t *testing.T) {
	Convey("No more engines keep up than the open items need, and those that did go on", t, func() {
		m, _ := planned(600, "a", "b")
		m.Demands = func() map[string]Demand {
			return map[string]Demand{"a": {Items: 100, Open: 32}, "b": {Items: 100, Open: 80}}
		}
		m.SetNamed(map[string]int64{"a": 2, "b": 2})
		first := loadAll(m)
		So(first["a"], ShouldEqual, minKept+20)
		So(first["b"], ShouldEqual, minKept+50)
		kept := make(map[string]int64)
		for id, versions := range m.held {
			kept[id] = versions["a"]
		}
		m.SetNamed(map[string]int64{"a": 3, "b": 2})
		So(loadAll(m), ShouldResemble, map[string]int{"a": minKept + 20})
		for id, versions := range m.held {
			if versions["a"] == 3 {
				So(fmt.Sprint(id, kept[id]), ShouldEqual, fmt.Sprint(id, 2))
			}
		}
	})
	Convey("A burst is remembered for a while after it has ended", t, func() {
		m, _ := planned(600, "a")
		demand := map[string]Demand{"a": {Open: 400}}
		m.Demands = func() map[string]Demand { return demand }
		start := time.Now()
		m.plan(start)
		demand = map[string]Demand{"a": {}}
		So(m.needed(m.State.View().Ready("pool"), "a", start.Add(openLife/10)), ShouldBeGreaterThan, 200)
		So(m.needed(m.State.View().Ready("pool"), "a", start.Add(10*openLife)), ShouldBeLessThan, minKept+5)
	})
}

// plansOf returns how many engines a manager of a service of some size knows something of after a version was loaded, and how many loaded it.
func plansOf(engines int) (known, loaded int) {
	m, _ := planned(engines, "a", "b", "c", "d")
	demands := make(map[string]Demand)
	named := make(map[string]int64)
	for _, model := range []string{"a", "b", "c", "d"} {
		demands[model], named[model] = Demand{Items: 100, Open: 100}, 2
	}
	m.Demands = func() map[string]Demand { return demands }
	m.SetNamed(named)
	for _, count := range loadAll(m) {
		loaded += count
	}
	return len(m.assigned), loaded
}

// What a plan looks at grew with the service: a plan of 7,800 engines took 30 ms.
func TestPlanCostsWhatItemsNeed(t *testing.T) {
	known, loaded := plansOf(1500)
	moreKnown, moreLoaded := plansOf(8000)
	if moreKnown != known || moreLoaded != loaded {
		t.Errorf("of 1500 engines %d were considered and %d loaded, of 8000 %d and %d", known, loaded, moreKnown, moreLoaded)
	}
}

// Engines that go are replaced by as many others, and those that stay keep their models.
func TestReplicasAreReplaced(t *testing.T) {
	models := []string{"a", "b"}
	m, state := planned(2000, models...)
	m.Demands = func() map[string]Demand { return map[string]Demand{"a": {Open: 100}, "b": {Open: 100}} }
	m.SetNamed(map[string]int64{"a": 2, "b": 2})
	loadAll(m)
	before := make(map[string]string)
	for id, model := range m.assigned {
		before[id] = model
	}
	list(state, 300, 2000, models)
	m.SetNamed(map[string]int64{"a": 3, "b": 3})
	needed := m.needed(state.View().Ready("pool"), "a", time.Now())
	for model, loaded := range loadAll(m) {
		if loaded != needed {
			t.Errorf("%d engines loaded %s, %d are needed", loaded, model, needed)
		}
	}
	for id, model := range m.assigned {
		if known, ok := before[id]; ok && known != model {
			t.Errorf("%s kept up with %s and does with %s", id, known, model)
		}
	}
}

// BenchmarkPlan measures a plan in which nothing is to be loaded.
func BenchmarkPlan(b *testing.B) {
	for _, engines := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			models := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
			m, _ := planned(engines, models...)
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
