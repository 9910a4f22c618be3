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
