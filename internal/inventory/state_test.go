package inventory

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	v1 "github.com/covelink/covelink/api/v1"

	"github.com/covelink/covelink/api/enginev1"
	"github.com/covelink/covelink/api/machinesv1"
	"github.com/covelink/covelink/internal/cluster"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func machine(name string, state machinesv1.State) machinesv1.Machine {
	return machinesv1.Machine{
		Name: name, Zone: "z1", Role: machinesv1.RoleEngine, URL: "http://" + name, Pool: "pool", State: state,
	}
}

func viewDraining(names ...string) *cluster.View {
	pool := &v1.Pool{Spec: v1.PoolSpec{DrainingEngines: names, PermittedZones: []string{"z1"}}}
	return &cluster.View{Pools: map[string]*v1.Pool{"pool": pool}}
}

func TestLeavingIsAUnion(t *testing.T) {
	live := []machinesv1.Machine{machine("e1", machinesv1.StateLive)}
	grace := DefaultThresholds().MissingGrace
	cases := []struct {
		name    string
		view    *cluster.View
		list    []machinesv1.Machine
		missing time.Duration
		load    enginev1.Load
		failed  int
		leaving bool
		drain   bool
	}{
		{name: "nothing says so", view: viewDraining(), list: live},
		{name: "the list says leaving", view: viewDraining(),
			list: []machinesv1.Machine{machine("e1", machinesv1.StateLeaving)}, leaving: true, drain: true},
		{name: "absent from the list for less than the grace", view: viewDraining(), missing: grace - 1},
		{name: "absent from the list for the grace", view: viewDraining(), missing: grace, leaving: true, drain: true},
		{name: "the operator drains it", view: viewDraining("e1"), list: live, leaving: true, drain: true},
		{name: "the operator drains another", view: viewDraining("e2"), list: live},
		{name: "its own report says draining", view: viewDraining(), list: live,
			load: enginev1.Load{Draining: true}, leaving: true},
		{name: "failed probes below the bound", view: viewDraining(), list: live, failed: 2},
		{name: "failed probes at the bound", view: viewDraining(), list: live, failed: 3, leaving: true},
	}
	for _, c := range cases {
		Convey("Leaving: "+c.name, t, func() {
			s := newState("z1", DefaultThresholds())
			s.applyList(start, live)
			s.applyReport(start, "e1", "http://e1", c.load)
			s.applyList(start, c.list)
			for range c.failed {
				s.applyFailure("e1", "http://e1")
			}
			engine := s.engines(start.Add(c.missing), c.view)[0]
			So(engine.Leaving, ShouldEqual, c.leaving)
			So(engine.DrainWanted, ShouldEqual, c.drain)
		})
	}
}

func TestStateOfAnEngine(t *testing.T) {
	Convey("With one engine known", t, func() {
		s := newState("z1", DefaultThresholds())
		s.applyList(start, []machinesv1.Machine{machine("e1", machinesv1.StateLive)})
		current := func() cluster.Engine { return s.engines(start, viewDraining())[0] }
		report := func(at time.Time, incarnation string, version int64) {
			s.applyReport(at, "e1", "http://e1", enginev1.Load{Incarnation: incarnation, ActiveVersion: version})
		}
		report(start, "i1", 4)

		Convey("an answer ends the failed probes", func() {
			for range 3 {
				s.applyFailure("e1", "http://e1")
			}
			So(current().Leaving, ShouldBeTrue)
			report(start, "i1", 4)
			So(current().Leaving, ShouldBeFalse)
		})
		Convey("a lagging report does not undo an order's answer, a later one does", func() {
			s.applyDirect(start, "e1", enginev1.Load{Incarnation: "i1", ActiveVersion: 5})
			report(start.Add(time.Second), "i1", 4)
			So(current().ActiveVersion, ShouldEqual, 5)
			report(start.Add(2*time.Second), "i1", 4)
			So(current().ActiveVersion, ShouldEqual, 4)
		})
		Convey("a new incarnation replaces what was observed at once", func() {
			s.applyDirect(start, "e1", enginev1.Load{Incarnation: "i1", ActiveVersion: 5, PreparedVersions: []int64{6}})
			report(start.Add(time.Millisecond), "i2", 1)
			So(current().Incarnation, ShouldEqual, "i2")
			So(current().ActiveVersion, ShouldEqual, 1)
			So(current().PreparedVersions, ShouldBeEmpty)
		})
		Convey("a probe sent to the incarnation before does not bring it back", func() {
			s.applyDirect(start.Add(time.Second), "e1", enginev1.Load{Incarnation: "i2", ActiveVersion: 1})
			report(start, "i1", 4)
			So(current().Incarnation, ShouldEqual, "i2")
		})
		Convey("an answer from an earlier address says nothing of the engine", func() {
			moved := machine("e1", machinesv1.StateLive)
			moved.URL = "http://elsewhere"
			s.applyList(start, []machinesv1.Machine{moved})
			report(start, "i1", 4)
			So(current().Incarnation, ShouldBeEmpty)
		})
		Convey("reports of another engine or zone are failed probes", func() {
			for _, load := range []enginev1.Load{{Name: "e2"}, {Zone: "z2"}, {Name: "e2", Zone: "z1"}} {
				load.Incarnation = "foreign"
				s.applyReport(start, "e1", "http://e1", load)
				s.applyDirect(start, "e1", load)
			}
			So(current().Leaving, ShouldBeTrue)
			So(current().Incarnation, ShouldEqual, "i1")
		})
		Convey("a gone engine is dropped only when it is absent for long and does not answer", func() {
			s.applyList(start, nil)
			s.applyList(start.Add(time.Hour), nil)
			So(s.records, ShouldHaveLength, 1)
			for range 3 {
				s.applyFailure("e1", "http://e1")
			}
			s.applyList(start.Add(time.Hour), nil)
			So(s.records, ShouldBeEmpty)
		})
		Convey("machines of other zones and nodes are no engines", func() {
			other, node := machine("e2", machinesv1.StateLive), machine("n1", machinesv1.StateLive)
			other.Zone, node.Role = "z2", machinesv1.RoleNode
			s.applyList(start, []machinesv1.Machine{machine("e1", machinesv1.StateLive), other, node})
			So(s.records, ShouldHaveLength, 1)
		})
	})
}
