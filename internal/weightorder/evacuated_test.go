package weightorder

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/election"
	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/routing"
)

// newZonedManager returns a manager whose engines alternate between two zones.
func newZonedManager(engines int) (*Manager, *fleet.State) {
	state := fleet.NewState()
	state.SetRoutes(routing.NewTable(1, nil, []routing.Service{{Name: "pool", Models: []string{"a"}}}, routing.Limits{}))
	var listed []*fleet.Engine
	for i := range engines {
		listed = append(listed, &fleet.Engine{
			ID: fmt.Sprintf("engine-%03d", i), Service: "pool", Zone: fmt.Sprintf("zone-%d", i%2), Ready: true, Versions: map[string]int64{"a": 1},
		})
	}
	state.SetEngineList(listed)
	return New(Params{State: state, Logger: log.NewNopLogger()}), state
}

func evacuate(state *fleet.State, revision int64, zones ...string) {
	since := make(map[string]int64)
	for _, zone := range zones {
		since[zone] = revision
	}
	state.SetEvacuations(fleet.NewEvacuations(revision, since))
}

// refusingEngines reports version 1, calls reported on each report, and counts and refuses orders.
type refusingEngines struct {
	onReport func()
	orders   int
}

func (o *refusingEngines) Report(context.Context, *fleet.Engine) (Report, error) {
	o.onReport()
	return Report{Versions: map[string]int64{"a": 1}}, nil
}

func (o *refusingEngines) Order(context.Context, *fleet.Engine, Order) error {
	o.orders++
	return ErrRefused
}

func TestEvacuatedZones(t *testing.T) {
	Convey("Engines of an evacuated zone receive no orders, and catch up once the zone is restored", t, func() {
		m, state := newZonedManager(10)
		m.SetTargets(map[string]int64{"a": 2})
		evacuate(state, 1, "zone-0")
		So(loadAll(m), ShouldResemble, map[string]int{"a": 5})
		for id := range m.reported {
			engine, _ := state.View().Engines.Get(id)
			So(engine.Zone, ShouldEqual, "zone-1")
		}
		evacuate(state, 2)
		So(loadAll(m), ShouldResemble, map[string]int{"a": 5})
		So(m.reported, ShouldHaveLength, 10)
	})
	Convey("No orders are sent while evacuations are unknown", t, func() {
		m, state := newZonedManager(10)
		state.MarkEvacuationsUnknown()
		m.SetTargets(map[string]int64{"a": 2})
		So(m.plan(time.Now()), ShouldBeEmpty)
	})
	Convey("Loads in progress in an evacuated zone count towards the concurrent loads", t, func() {
		m, state := newZonedManager(20)
		m.SetTargets(map[string]int64{"a": 2})
		evacuate(state, 1, "zone-1")
		loading := m.plan(time.Now())
		So(loading, ShouldHaveLength, 2)
		evacuate(state, 2, "zone-0")
		So(m.plan(time.Now()), ShouldBeEmpty)
	})
	Convey("A zone evacuated between plan and order receives no order", t, func() {
		m, state := newZonedManager(2)
		m.OnVersion = func(string, string, int64) {}
		m.SetTargets(map[string]int64{"a": 2})
		engines := &refusingEngines{onReport: func() { evacuate(state, 1, "zone-0") }}
		m.Engines = engines
		engine, _ := state.View().Engines.Get("engine-000")
		target := move{engine: engine, model: "a", version: 2}
		err := m.load(t.Context(), election.Term{}, target, time.Now().Add(time.Minute))
		So(err, ShouldWrap, errNotPermitted)
		So(engines.orders, ShouldEqual, 0)
	})
}
