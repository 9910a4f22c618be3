package batchrun

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/itemwork"
	"github.com/covelink/covelink/internal/placement"
)

func evacuationsOf(revision int64, since map[string]int64) *fleet.Evacuations {
	return fleet.NewEvacuations(revision, since)
}

func TestEmptyingZones(t *testing.T) {
	const window = 2 * time.Second
	begin := time.Now()
	at := func(after time.Duration) time.Time { return begin.Add(after) }
	Convey("Given that no zone was evacuated", t, func() {
		var emptying emptyingZones
		emptying.update(evacuationsOf(1, nil), at(0), window)
		emptying.update(evacuationsOf(2, map[string]int64{"z": 2}), at(time.Second), window)
		So(emptying.zones["z"].emptyBy, ShouldEqual, at(3*time.Second))

		Convey("another evacuation does not move the bound of the first", func() {
			emptying.update(evacuationsOf(3, map[string]int64{"z": 2, "y": 3}), at(2*time.Second), window)
			So(emptying.zones["z"].emptyBy, ShouldEqual, at(3*time.Second))
			So(emptying.zones["y"].emptyBy, ShouldEqual, at(4*time.Second))
		})
		Convey("a zone that is restored has none", func() {
			emptying.update(evacuationsOf(3, nil), at(2*time.Second), window)
			So(emptying.zones, ShouldBeEmpty)
		})
		Convey("a zone that was restored and evacuated again between two looks has another", func() {
			emptying.update(evacuationsOf(4, map[string]int64{"z": 4}), at(2*time.Second), window)
			So(emptying.zones["z"].emptyBy, ShouldEqual, at(4*time.Second))
		})
		Convey("evacuations that are unknown for a while leave the bounds that were known, and set none for later ones", func() {
			emptying.update(nil, at(2*time.Second), window)
			emptying.update(evacuationsOf(5, map[string]int64{"z": 2, "y": 5}), at(2500*time.Millisecond), window)
			So(emptying.zones["z"].emptyBy, ShouldEqual, at(3*time.Second))
			So(emptying.zones["y"].emptyBy, ShouldEqual, at(2500*time.Millisecond))
		})
	})
	Convey("A zone that was evacuated before this process knew of evacuations must be empty at once", t, func() {
		var emptying emptyingZones
		emptying.update(evacuationsOf(2, map[string]int64{"z": 1}), at(0), window)
		So(emptying.zones["z"].emptyBy, ShouldEqual, at(0))
	})
}

func TestEmptyZonesPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A look before the next choice is followed by one when that is due, even if the last choice left no run", t, func() {
			state := fleet.NewState()
			state.SetEvacuations(evacuationsOf(1, map[string]int64{"z": 1}))
			runner := New(Params{State: state, EvacuateTime: 5 * time.Second, Logger: log.NewNopLogger()})
			runner.engines = make(map[string]*engineRecord)
			looked := runner.newLook(state.View())
			So(runner.emptyZones(looked), ShouldEqual, idleInterval)
			time.Sleep(emptyInterval / 4)
			So(runner.emptyZones(looked), ShouldEqual, emptyInterval-emptyInterval/4)
		})
	})
}

func TestChooseToEnd(t *testing.T) {
	numbered := func(number uint64) *run { return &run{id: itemwork.RunID{Number: number}} }
	room := func(count int) *int { return &count }
	first, second, third := numbered(1), numbered(2), numbered(3)
	for _, c := range []struct {
		name      string
		evacuated []evacuatedRun
		chosen    []*run
	}{
		{
			"The longest rest goes first, an even part an interval",
			[]evacuatedRun{
				{run: first, timeLeft: 3 * time.Second, untilEmpty: 2 * time.Second, freePlaces: room(8)},
				{run: second, timeLeft: 5 * time.Second, untilEmpty: 2 * time.Second, freePlaces: room(8)},
			},
			[]*run{second},
		},
		{
			"A stream that is expected to end in time stays",
			[]evacuatedRun{{run: first, timeLeft: time.Second, untilEmpty: 2 * time.Second, freePlaces: room(8)}},
			nil,
		},
		{
			"One that is not stays while there is no room",
			[]evacuatedRun{
				{run: first, timeLeft: 3 * time.Second, untilEmpty: 2 * time.Second},
				{run: second, timeLeft: 3 * time.Second, untilEmpty: 2 * time.Second, freePlaces: room(0)},
			},
			nil,
		},
		{
			"At the bound all are ended, room or none, wanted or not",
			[]evacuatedRun{
				{run: first, timeLeft: 3 * time.Second, untilEmpty: emptyInterval},
				{run: second, timeLeft: time.Millisecond, untilEmpty: 0},
				{run: third, timeLeft: 3 * time.Second, untilEmpty: -time.Second, unwanted: true},
			},
			[]*run{first, second, third},
		},
		{
			"An interval and the scheduler's longest rest before the bound the next choice may come too late",
			[]evacuatedRun{{run: first, timeLeft: 3 * time.Second, untilEmpty: emptyInterval + scheduleInterval - time.Millisecond}},
			[]*run{first},
		},
		{
			"Those that nobody waits for stay until then",
			[]evacuatedRun{{run: first, timeLeft: 9 * time.Second, untilEmpty: time.Second, freePlaces: room(8), unwanted: true}},
			nil,
		},
	} {
		Convey(c.name, t, func() { So(chooseToEnd(c.evacuated), ShouldResemble, c.chosen) })
	}
}

// With one choice each interval a zone is empty in time, whatever the lengths and free places. Before the bound, no more runs are ended than there are
// free places.
func TestChooseToEndInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 60).Draw(t, "runs")
		window := rapid.SampledFrom([]time.Duration{2 * time.Second, 400 * time.Millisecond, 100 * time.Millisecond}).Draw(t, "window")
		room := rapid.IntRange(0, 60).Draw(t, "room")
		initial := room
		runs := make([]evacuatedRun, count)
		for i := range runs {
			runs[i] = evacuatedRun{
				run:        &run{id: itemwork.RunID{Number: uint64(i)}},
				timeLeft:   time.Duration(rapid.IntRange(0, 9000).Draw(t, "left")) * time.Millisecond,
				unwanted:   rapid.Bool().Draw(t, "unwanted"),
				freePlaces: &room,
			}
		}
		early := 0
		for passed := time.Duration(0); len(runs) > 0; passed += emptyInterval {
			if passed > window {
				t.Fatalf("%d runs are left %v after a window of %v", len(runs), passed, window)
			}
			for i := range runs {
				runs[i].untilEmpty = window - passed
			}
			chosen := chooseToEnd(runs)
			ended := make(map[*run]bool, len(chosen))
			for _, one := range chosen {
				if ended[one] {
					t.Fatalf("run %v is ended twice", one.id)
				}
				ended[one] = true
			}
			var left []evacuatedRun
			for _, evacuated := range runs {
				if !ended[evacuated.run] {
					left = append(left, evacuated)
				} else if !evacuated.mustEnd() {
					early++
				}
			}
			runs = left
		}
		if early > initial {
			t.Fatalf("%d runs are ended early with room for %d", early, initial)
		}
	})
}

func TestPoolsByResidency(t *testing.T) {
	Convey("Items of different residency have pools of their own in one look, each with what the filter permits", t, func() {
		state := fleet.NewState()
		state.SetTopology(fleet.NewTopology(map[string]string{"zone-1": "region-1", "zone-2": "region-2"}))
		state.SetEngineList([]*fleet.Engine{
			{ID: "e1", Service: "pool", Zone: "zone-1", Ready: true},
			{ID: "e2", Service: "pool", Zone: "zone-2", Ready: true},
			{ID: "e3", Service: "pool", Zone: "zone-2"},
			{ID: "e4", Service: "pool", Zone: "zone-3", Ready: true},
		})
		state.SetEvacuations(evacuationsOf(1, map[string]int64{"zone-3": 1}))
		runner := New(Params{State: state, Logger: log.NewNopLogger()})
		runner.engines = make(map[string]*engineRecord)
		looked := runner.newLook(state.View())
		for _, c := range []struct {
			residency placement.Residency
			engines   []string
		}{
			{placement.Residency{}, []string{"e1", "e2"}},
			{placement.Residency{Route: []string{"region-1"}}, []string{"e1"}},
			{placement.Residency{Tenant: []string{"region-1"}}, []string{"e1"}},
			{placement.Residency{Route: []string{"region-2"}}, []string{"e2"}},
			{placement.Residency{Route: []string{"region-2"}, Tenant: []string{"region-1"}}, nil},
			{placement.Residency{Route: []string{"region-1", "region-2"}}, []string{"e1", "e2"}},
		} {
			var found []string
			for _, id := range []string{"e1", "e2", "e3", "e4"} {
				if _, ok := looked.pool("pool", "model", c.residency).byID[id]; ok {
					found = append(found, id)
				}
			}
			So(found, ShouldResemble, c.engines)
		}
	})
}
