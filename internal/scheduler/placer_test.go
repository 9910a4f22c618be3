package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	v1 "github.com/covelink/covelink/api/v1"

	"github.com/covelink/covelink/internal/cluster"
	"github.com/covelink/covelink/internal/scheduler"
)

var epoch = time.Unix(1000, 0)

// newView returns a view of one pool with engines spread over three zones in two regions.
func newView(engines int) *cluster.View {
	view := &cluster.View{
		Serving: true,
		Zones: map[string]*v1.Zone{
			"a": {Spec: v1.ZoneSpec{Region: "north"}},
			"b": {Spec: v1.ZoneSpec{Region: "north"}},
			"c": {Spec: v1.ZoneSpec{Region: "south"}},
		},
		Pools: map[string]*v1.Pool{
			"pool": {Spec: v1.PoolSpec{PermittedZones: []string{"a", "b", "c"}, MaxConcurrent: 4, InteractiveReserve: 1}},
		},
	}
	for index := range engines {
		view.Engines = append(view.Engines, cluster.Engine{
			Name: fmt.Sprintf("engine-%05d", index), Pool: "pool", Zone: string(rune('a' + index%3)),
			Incarnation: "1", ActiveVersion: 5,
		})
	}
	return view
}

func place(view *cluster.View, request scheduler.Request, change func(*scheduler.Snapshot)) scheduler.Decision {
	snapshot := scheduler.NewSnapshot(view, "a", nil)
	if change != nil {
		change(snapshot)
	}
	var placer scheduler.Placer
	return placer.Place(epoch, snapshot, &request)
}

func TestFilters(t *testing.T) {
	request := scheduler.Request{Pool: "pool", Interactive: true}
	cases := []struct {
		name   string
		view   func(*cluster.View)
		state  func(*scheduler.EngineState)
		modify func(*scheduler.Request)
		kind   scheduler.Kind
		reason scheduler.Filter
	}{
		{name: "free", kind: scheduler.Placed},
		{name: "unknown pool", modify: func(r *scheduler.Request) { r.Pool = "other" }, reason: scheduler.FilterPool},
		{name: "zone not permitted", view: func(v *cluster.View) { v.Pools["pool"].Spec.PermittedZones = []string{"b"} },
			reason: scheduler.FilterZone},
		{name: "cordoned", view: func(v *cluster.View) { v.Zones["a"].Spec.Cordoned = true }, reason: scheduler.FilterCordoned},
		{name: "leaving", view: func(v *cluster.View) { v.Engines[0].Leaving = true }, reason: scheduler.FilterLeaving},
		{name: "draining by the spec", reason: scheduler.FilterLeaving,
			view: func(v *cluster.View) { v.Pools["pool"].Spec.DrainingEngines = []string{"engine-00000"} }},
		{name: "draining by its own refusal", reason: scheduler.FilterLeaving,
			state: func(s *scheduler.EngineState) { s.DrainingUntil = epoch.Add(time.Second) }},
		{name: "avoided", modify: func(r *scheduler.Request) { r.Avoid = []string{"engine-00000"} }, reason: scheduler.FilterAvoided},
		{name: "incarnation unknown", view: func(v *cluster.View) { v.Engines[0].Incarnation = "" },
			kind: scheduler.Wait, reason: scheduler.FilterIncarnation},
		{name: "incarnation refused", state: func(s *scheduler.EngineState) { s.Unusable = true },
			kind: scheduler.Wait, reason: scheduler.FilterIncarnation},
		{name: "version too low", modify: func(r *scheduler.Request) { r.MinVersion = 6 },
			kind: scheduler.Wait, reason: scheduler.FilterVersion},
		{name: "version observed", modify: func(r *scheduler.Request) { r.MinVersion = 6 }, kind: scheduler.Placed,
			state: func(s *scheduler.EngineState) { s.ObserveVersion("1", 6) }},
		{name: "version of another incarnation", modify: func(r *scheduler.Request) { r.MinVersion = 6 },
			state: func(s *scheduler.EngineState) { s.ObserveVersion("0", 6) },
			kind:  scheduler.Wait, reason: scheduler.FilterVersion},
		{name: "held", state: func(s *scheduler.EngineState) { s.HoldUntil = epoch.Add(1) },
			kind: scheduler.Wait, reason: scheduler.FilterBreaker},
		{name: "full", state: func(s *scheduler.EngineState) { s.InFlight = 4 }, kind: scheduler.Wait, reason: scheduler.FilterFull},
		{name: "last slot is reserved for interactive requests", state: func(s *scheduler.EngineState) { s.InFlight = 3 }, kind: scheduler.Placed},
		{name: "last slot is refused to rollouts", state: func(s *scheduler.EngineState) { s.InFlight = 3 },
			modify: func(r *scheduler.Request) { r.Interactive = false },
			kind:   scheduler.Wait, reason: scheduler.FilterFull},
		{name: "failed the request before, but is the only engine", kind: scheduler.Placed,
			modify: func(r *scheduler.Request) { r.LastFailed = "engine-00000" }},
	}
	for _, c := range cases {
		Convey(c.name, t, func() {
			view, modified := newView(1), request
			if c.view != nil {
				c.view(view)
			}
			if c.modify != nil {
				c.modify(&modified)
			}
			decision := place(view, modified, func(snapshot *scheduler.Snapshot) {
				if c.state != nil {
					c.state(snapshot.States[0])
				}
			})
			So(decision.Kind, ShouldEqual, c.kind)
			if c.kind != scheduler.Placed {
				So(decision.Reason, ShouldEqual, c.reason)
			}
			if c.kind == scheduler.Refuse {
				So(decision.RetryAfter, ShouldBeGreaterThan, 0)
			}
			if c.kind != scheduler.Placed && modified.Pool == "pool" {
				So(decision.Explanation.Removed[c.reason], ShouldEqual, 1)
			}
		})
	}
}

func TestScores(t *testing.T) {
	request := scheduler.Request{Pool: "pool", Interactive: true}
	Convey("The node's own zone is preferred, then its region", t, func() {
		decision := place(newView(3), request, nil)
		So(decision.Engine, ShouldEqual, 0)
		decision = place(newView(3), request, func(s *scheduler.Snapshot) { s.States[0].InFlight = 4 })
		So(decision.Engine, ShouldEqual, 1)
	})
	Convey("Reported load lowers the score, less so with age", t, func() {
		report := func(age time.Duration) func(*scheduler.Snapshot) {
			return func(s *scheduler.Snapshot) { s.States[0].ObserveLoad(epoch.Add(-age), 4) }
		}
		So(place(newView(3), request, report(0)).Engine, ShouldEqual, 1)
		So(place(newView(3), request, report(time.Minute)).Engine, ShouldEqual, 0)
	})
	Convey("A preferred version outweighs distance", t, func() {
		fresh := request
		fresh.PreferVersion = 9
		decision := place(newView(3), fresh, func(s *scheduler.Snapshot) { s.States[2].ObserveVersion("1", 9) })
		So(decision.Engine, ShouldEqual, 2)
	})
	Convey("Prompts with a common prefix go to one engine up to the bounded load", t, func() {
		snapshot := scheduler.NewSnapshot(newView(12), "a", nil)
		var placer scheduler.Placer
		prefixed := request
		prefixed.PrefixKey = 77
		first := placer.Evaluate(epoch, snapshot, &prefixed).Engine
		prefixed.TieKey = 123456
		So(placer.Evaluate(epoch, snapshot, &prefixed).Engine, ShouldEqual, first)
		for range 24 {
			placer.Place(epoch, snapshot, &prefixed)
		}
		So(snapshot.States[first].InFlight, ShouldBeLessThanOrEqualTo, 4)
	})
	Convey("The engine that failed the request is chosen last", t, func() {
		retried := request
		retried.LastFailed = "engine-00000"
		So(place(newView(3), retried, nil).Engine, ShouldNotEqual, 0)
	})
}

func TestPlacementObeysFilters(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		view := newView(rapid.IntRange(1, 12).Draw(t, "engines"))
		pool := view.Pools["pool"]
		pool.Spec.PermittedZones = rapid.SliceOfDistinct(rapid.SampledFrom([]string{"a", "b", "c"}), rapid.ID).Draw(t, "zones")
		for index := range view.Engines {
			view.Engines[index].Leaving = rapid.Bool().Draw(t, "leaving")
		}
		snapshot := scheduler.NewSnapshot(view, "a", nil)
		request := scheduler.Request{Pool: "pool", PrefixKey: rapid.Uint64().Draw(t, "prefix")}
		var placer scheduler.Placer
		for range 40 {
			decision := placer.Place(epoch, snapshot, &request)
			if decision.Kind != scheduler.Placed {
				break
			}
			engine := view.Engines[decision.Engine]
			if !view.Permitted("pool", engine.Zone) || engine.Leaving {
				t.Fatalf("placed on an engine that is not permitted or leaving: %+v", engine)
			}
			if snapshot.States[decision.Engine].InFlight > 3 {
				t.Fatalf("a rollout was placed on the interactive reserve")
			}
		}
	})
}

func TestSnapshotCarriesState(t *testing.T) {
	Convey("In-flight counts survive a new view; observations of another incarnation do not", t, func() {
		first := scheduler.NewSnapshot(newView(2), "a", nil)
		first.States[0].Reserve(epoch, true)
		first.States[0].ObserveVersion("1", 8)
		first.States[0].Unusable = true
		same := scheduler.NewSnapshot(newView(2), "a", first)
		So(same.States[0].Unusable, ShouldBeTrue)
		So(same.States[0].Version, ShouldEqual, 8)
		restarted := newView(2)
		restarted.Engines[0].Incarnation = "2"
		next := scheduler.NewSnapshot(restarted, "a", same)
		So(next.States[0].Version, ShouldEqual, 5)
		So(next.States[0].Unusable, ShouldBeFalse)
		So(next.States[0].InFlight, ShouldEqual, 1)
		gone := scheduler.NewSnapshot(newView(0), "a", next)
		back := scheduler.NewSnapshot(newView(2), "a", gone)
		So(back.States[0].InFlight, ShouldEqual, 1)
	})
}

func BenchmarkPlace(b *testing.B) {
	for _, engines := range []int{10, 61, 610, 6100} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			snapshot := scheduler.NewSnapshot(newView(engines), "a", nil)
			request := scheduler.Request{Pool: "pool", Interactive: true, PrefixKey: 9, PreferVersion: 5}
			var placer scheduler.Placer
			b.ReportAllocs()
			for b.Loop() {
				request.PrefixKey++
				decision := placer.Place(epoch, snapshot, &request)
				snapshot.States[decision.Engine].Release(true)
			}
		})
	}
}

func TestInteractiveRequestsSpreadOverReservedSlots(t *testing.T) {
	Convey("An interactive request prefers another zone of the region over exceeding the reserved slots", t, func() {
		view := newView(2)
		decision := place(view, scheduler.Request{Pool: "pool", Interactive: true}, func(snapshot *scheduler.Snapshot) {
			snapshot.States[0].Reserve(epoch, true)
		})
		So(view.Engines[decision.Engine].Zone, ShouldEqual, "b")
		Convey("but a rollout stays in the own zone", func() {
			decision := place(view, scheduler.Request{Pool: "pool"}, func(snapshot *scheduler.Snapshot) {
				snapshot.States[0].Reserve(epoch, false)
				snapshot.States[1].Reserve(epoch, false)
			})
			So(view.Engines[decision.Engine].Zone, ShouldEqual, "a")
		})
	})
}
