package weights

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/covelink/covelink/api/enginev1"
	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/cluster"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const planToken = 7

func engineState(name string, active int64, prepared ...int64) EngineState {
	return EngineState{Observed: true, Engine: cluster.Engine{
		Name: name, URL: "http://" + name, Incarnation: "i-" + name, Pool: "pool", Zone: "z1",
		ActiveVersion: active, PreparedVersions: prepared,
	}}
}

// with returns the state after a change.
func (e EngineState) with(change func(*EngineState)) EngineState {
	change(&e)
	return e
}

func snapshotOf(target int64, engines ...EngineState) Snapshot {
	return Snapshot{
		Now: start, Zone: "z1", Token: planToken, Engines: engines,
		Pools:   map[string]*v1.Pool{"pool": {Spec: v1.PoolSpec{PermittedZones: []string{"z1", "z2"}}}},
		Targets: map[string]v1.WeightVersion{"pool": {Version: target, Digest: "d", Location: "l"}},
	}
}

// text writes orders as "engine kind version source".
func text(orders []Order) []string {
	lines := []string{}
	for _, order := range orders {
		line := fmt.Sprintf("%s %s %d", order.Engine, order.Kind, order.Version)
		if order.Source != "" {
			line += " " + order.Source
		}
		lines = append(lines, line)
	}
	return lines
}

func TestPlan(t *testing.T) {
	other := func(zone string) []cluster.Engine {
		return []cluster.Engine{{Name: "o", URL: "http://o", Pool: "pool", Zone: zone, ActiveVersion: 5}}
	}
	withOthers := func(s Snapshot, others []cluster.Engine) Snapshot {
		s.Others = others
		return s
	}
	unpermitted := snapshotOf(5, engineState("a", 4))
	unpermitted.Pools["pool"].Spec.PermittedZones = []string{"z2"}
	cases := []struct {
		name     string
		snapshot Snapshot
		want     []string
	}{
		{"an engine at the target gets nothing", snapshotOf(5, engineState("a", 5)), nil},
		{"a lower target is ignored", snapshotOf(3, engineState("a", 5)), nil},
		{"a pool not permitted here gets nothing", unpermitted, nil},
		{"loads from the store are bounded",
			snapshotOf(5, engineState("a", 4), engineState("b", 4), engineState("c", 4)),
			[]string{"a prepare 5", "b prepare 5"}},
		{"engines copy from a holder, a bounded number each",
			snapshotOf(5, engineState("a", 5), engineState("b", 4), engineState("c", 4), engineState("d", 4)),
			[]string{"b prepare 5 http://a", "c prepare 5 http://a"}},
		{"copies in progress count",
			snapshotOf(5, engineState("a", 5),
				engineState("b", 4).with(func(e *EngineState) { e.Copy = &Copy{Version: 5, Source: "http://a"} }),
				engineState("c", 4), engineState("d", 4)),
			[]string{"c prepare 5 http://a"}},
		{"a holder of another permitted zone serves while this zone has none",
			withOthers(snapshotOf(5, engineState("a", 4)), other("z2")), []string{"a prepare 5 http://o"}},
		{"a holder of a zone that is not permitted does not",
			withOthers(snapshotOf(5, engineState("a", 4)), other("z3")), []string{"a prepare 5"}},
		{"after a failed copy the store is next",
			snapshotOf(5, engineState("a", 5), engineState("b", 4).with(func(e *EngineState) { e.StoreNext = true })),
			[]string{"b prepare 5"}},
		{"a prepared engine activates, one of four at once",
			snapshotOf(5, engineState("a", 4, 5), engineState("b", 4, 5), engineState("c", 4, 5), engineState("d", 4, 5)),
			[]string{"a activate 5"}},
		{"an activation of unknown outcome counts",
			snapshotOf(5, engineState("a", 4, 5).with(func(e *EngineState) {
				e.Activating = true
				e.RetryAt = start.Add(1)
			}), engineState("b", 4, 5)), nil},
		{"a leaving engine's activation does not hold up the others",
			snapshotOf(5, engineState("a", 4, 5).with(func(e *EngineState) { e.Activating, e.Leaving, e.Busy = true, true, true }),
				engineState("b", 4, 5)), []string{"b activate 5"}},
		{"older versions are unloaded", snapshotOf(5, engineState("a", 5, 4)), []string{"a unload 4"}},
		{"a version that was passed over is unloaded first", snapshotOf(6, engineState("a", 4, 5)), []string{"a unload 5"}},
		{"an engine that waits after a failure gets nothing",
			snapshotOf(5, engineState("a", 4).with(func(e *EngineState) { e.RetryAt = start.Add(1) })), nil},
		{"an engine not observed gets nothing",
			snapshotOf(5, engineState("a", 4).with(func(e *EngineState) { e.Observed = false })), nil},
		{"a drain that is wanted is ordered before weights",
			snapshotOf(5, engineState("a", 4).with(func(e *EngineState) { e.DrainWanted, e.Leaving = true, true })),
			[]string{"a drain 0"}},
		{"a drain that was ordered is undone",
			snapshotOf(5, engineState("a", 5).with(func(e *EngineState) { e.Draining, e.DrainOrdered, e.Leaving = true, true, true })),
			[]string{"a drain 0"}},
		{"an engine that drains by itself is left alone",
			snapshotOf(5, engineState("a", 4).with(func(e *EngineState) { e.Draining, e.Leaving = true, true })), nil},
	}
	for _, c := range cases {
		Convey("Plan: "+c.name, t, func() {
			if c.want == nil {
				c.want = []string{}
			}
			So(text(Plan(c.snapshot, DefaultLimits())), ShouldResemble, c.want)
		})
	}
}

// drawEngine makes any state of an engine that a term can see.
func drawEngine(t *rapid.T, index int) EngineState {
	version := rapid.Int64Range(0, 6)
	engine := engineState(fmt.Sprintf("e%02d", index), version.Draw(t, "active"))
	engine.PreparedVersions = rapid.SliceOfN(version, 0, 2).Draw(t, "prepared")
	engine.Pool = rapid.SampledFrom([]string{"pool", "other"}).Draw(t, "pool")
	engine.Observed = rapid.Bool().Draw(t, "observed")
	engine.Busy = rapid.Bool().Draw(t, "busy")
	engine.Activating = rapid.Bool().Draw(t, "activating")
	engine.Leaving = rapid.Bool().Draw(t, "leaving")
	engine.DrainWanted = engine.Leaving && rapid.Bool().Draw(t, "drainWanted")
	engine.Draining = rapid.Bool().Draw(t, "draining")
	engine.DrainOrdered = rapid.Bool().Draw(t, "drainOrdered")
	engine.StoreNext = rapid.Bool().Draw(t, "storeNext")
	if rapid.Bool().Draw(t, "copying") {
		source := rapid.SampledFrom([]string{"", "http://e00", "http://e01"}).Draw(t, "source")
		engine.Copy = &Copy{Version: version.Draw(t, "copy"), Source: source}
	}
	return engine
}

func TestPlanKeepsItsBounds(t *testing.T) {
	limits := DefaultLimits()
	limits.Orders = 6
	rapid.Check(t, func(t *rapid.T) {
		var engines []EngineState
		for index := range rapid.IntRange(1, 20).Draw(t, "engines") {
			engines = append(engines, drawEngine(t, index))
		}
		snapshot := snapshotOf(rapid.Int64Range(1, 6).Draw(t, "target"), engines...)
		before := newPlanner(snapshot, limits)
		after := newPlanner(snapshot, limits)
		states := map[string]EngineState{}
		for _, engine := range engines {
			states[engine.Name] = engine
		}
		ordered := map[string]bool{}
		for _, order := range Plan(snapshot, limits) {
			engine := states[order.Engine]
			if order.Fence != planToken || order.Incarnation != engine.Incarnation {
				t.Fatalf("order without its fence: %+v", order)
			}
			if ordered[order.Engine] || engine.Busy || !engine.Observed {
				t.Fatalf("engine that can't take an order: %+v", order)
			}
			if order.Kind != enginev1.OrderDrain && (engine.Leaving || engine.Pool == "other") {
				t.Fatalf("weights for an engine without a target: %+v", order)
			}
			ordered[order.Engine] = true
			after.inFlight++
			switch order.Kind {
			case enginev1.OrderActivate:
				after.activating[order.Pool]++
			case enginev1.OrderPrepare:
				after.countCopy(order.Source)
			}
		}
		bound := activationBound(before.serving["pool"], limits.ActivateShare)
		if after.activating["pool"] > max(bound, before.activating["pool"]) {
			t.Fatalf("%d activations, bound %d", after.activating["pool"], bound)
		}
		if after.storeLoads > max(limits.StorePrepares, before.storeLoads) {
			t.Fatalf("%d loads from the store", after.storeLoads)
		}
		for source, copies := range after.copies {
			if copies > max(limits.CopiesPerHolder, before.copies[source]) {
				t.Fatalf("%d copies from %s", copies, source)
			}
		}
		if after.inFlight > max(limits.Orders, before.inFlight) {
			t.Fatalf("%d orders in flight", after.inFlight)
		}
	})
}

func BenchmarkPlan610(b *testing.B) {
	var engines []EngineState
	for index := range 610 {
		engines = append(engines, engineState(fmt.Sprintf("e%03d", index), 4, 5))
	}
	snapshot := snapshotOf(5, engines...)
	for b.Loop() {
		Plan(snapshot, DefaultLimits())
	}
}
