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

func TestDrainingZones(t *testing.T) {
	const window = 2 * time.Second
	begin := time.Now()
	at := func(after time.Duration) time.Time { return begin.Add(after) }
	Convey("Given that no zone was evacuated at first", t, func() {
		var draining drainingZones
		draining.update(evacuationsOf(1, nil), at(0), window)
		draining.update(evacuationsOf(2, map[string]int64{"z": 2}), at(time.Second), window)
		So(draining.zones["z"].deadline, ShouldEqual, at(3*time.Second))

		Convey("another evacuation does not move the deadline of the first", func() {
			draining.update(evacuationsOf(3, map[string]int64{"z": 2, "y": 3}), at(2*time.Second), window)
			So(draining.zones["z"].deadline, ShouldEqual, at(3*time.Second))
			So(draining.zones["y"].deadline, ShouldEqual, at(4*time.Second))
		})
		Convey("a restored zone has no deadline", func() {
			draining.update(evacuationsOf(3, nil), at(2*time.Second), window)
			So(draining.zones, ShouldBeEmpty)
		})
		Convey("a zone that was restored and evacuated again between two updates has a new deadline", func() {
			draining.update(evacuationsOf(4, map[string]int64{"z": 4}), at(2*time.Second), window)
			So(draining.zones["z"].deadline, ShouldEqual, at(4*time.Second))
		})
		Convey("while evacuations are unknown, known deadlines stay, and zones evacuated meanwhile must be empty at once", func() {
			draining.update(nil, at(2*time.Second), window)
			draining.update(evacuationsOf(5, map[string]int64{"z": 2, "y": 5}), at(2500*time.Millisecond), window)
			So(draining.zones["z"].deadline, ShouldEqual, at(3*time.Second))
			So(draining.zones["y"].deadline, ShouldEqual, at(2500*time.Millisecond))
		})
	})
	Convey("A zone that was evacuated before the first update must be empty at once", t, func() {
		var draining drainingZones
		draining.update(evacuationsOf(2, map[string]int64{"z": 1}), at(0), window)
		So(draining.zones["z"].deadline, ShouldEqual, at(0))
	})
}

func TestDrainDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A call before the next selection returns the time until it is due, even if the last selection left no run", t, func() {
			state := fleet.NewState()
			state.SetEvacuations(evacuationsOf(1, map[string]int64{"z": 1}))
			runner := New(Params{State: state, EvacuateTime: 5 * time.Second, Logger: log.NewNopLogger()})
			runner.engines = make(map[string]*engineRecord)
			pass := runner.newSchedulingPass(state.View())
			So(runner.drainEvacuatedZones(pass), ShouldEqual, idleInterval)
			time.Sleep(drainInterval / 4)
			So(runner.drainEvacuatedZones(pass), ShouldEqual, drainInterval-drainInterval/4)
		})
	})
}

func TestSelectRunsToEnd(t *testing.T) {
	numbered := func(number uint64) *run { return &run{id: itemwork.RunID{Number: number}} }
	room := func(count int) *int { return &count }
	first, second, third := numbered(1), numbered(2), numbered(3)
	for _, c := range []struct {
		name      string
		evacuated []evacuatedRun
		chosen    []*run
	}{
		{
			"Runs with the most time left go first, an equal share per interval",
			[]evacuatedRun{
				{run: first, timeLeft: 3 * time.Second, untilDeadline: 2 * time.Second, freeSlots: room(8)},
				{run: second, timeLeft: 5 * time.Second, untilDeadline: 2 * time.Second, freeSlots: room(8)},
			},
			[]*run{second},
		},
		{
			"A stream that is expected to end in time stays",
			[]evacuatedRun{{run: first, timeLeft: time.Second, untilDeadline: 2 * time.Second, freeSlots: room(8)}},
			nil,
		},
		{
			"A stream that is not expected to end in time stays while no slots are free",
			[]evacuatedRun{
				{run: first, timeLeft: 3 * time.Second, untilDeadline: 2 * time.Second},
				{run: second, timeLeft: 3 * time.Second, untilDeadline: 2 * time.Second, freeSlots: room(0)},
			},
			nil,
		},
		{
			"At the deadline all runs are ended, whether or not slots are free or the runs are wanted",
			[]evacuatedRun{
				{run: first, timeLeft: 3 * time.Second, untilDeadline: drainInterval},
				{run: second, timeLeft: time.Millisecond, untilDeadline: 0},
				{run: third, timeLeft: 3 * time.Second, untilDeadline: -time.Second, unwanted: true},
			},
			[]*run{first, second, third},
		},
		{
			"A run must end if the next selection could come after the deadline",
			[]evacuatedRun{{run: first, timeLeft: 3 * time.Second, untilDeadline: drainInterval + scheduleInterval - time.Millisecond}},
			[]*run{first},
		},
		{
			"Unwanted runs stay until the deadline",
			[]evacuatedRun{{run: first, timeLeft: 9 * time.Second, untilDeadline: time.Second, freeSlots: room(8), unwanted: true}},
			nil,
		},
	} {
		Convey(c.name, t, func() { So(selectRunsToEnd(c.evacuated), ShouldResemble, c.chosen) })
	}
}

// Zones must be empty by the deadline for any lengths and free slots, and no more runs end early than there are free slots.
func TestSelectRunsToEndInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 60).Draw(t, "runs")
		window := rapid.SampledFrom([]time.Duration{2 * time.Second, 400 * time.Millisecond, 100 * time.Millisecond}).Draw(t, "window")
		room := rapid.IntRange(0, 60).Draw(t, "room")
		initial := room
		runs := make([]evacuatedRun, count)
		for i := range runs {
			runs[i] = evacuatedRun{
				run:       &run{id: itemwork.RunID{Number: uint64(i)}},
				timeLeft:  time.Duration(rapid.IntRange(0, 9000).Draw(t, "left")) * time.Millisecond,
				unwanted:  rapid.Bool().Draw(t, "unwanted"),
				freeSlots: &room,
			}
		}
		early := 0
		for passed := time.Duration(0); len(runs) > 0; passed += drainInterval {
			if passed > window {
				t.Fatalf("%d runs are left %v into a window of %v", len(runs), passed, window)
			}
			for i := range runs {
				runs[i].untilDeadline = window - passed
			}
			chosen := selectRunsToEnd(runs)
			ended := make(map[*run]bool, len(chosen))
			for _, one := range chosen {
				if ended[one] {
					t.Fatalf("run %v is ended twice", one.id)
				}
				ended[one] = true
			}
			var remaining []evacuatedRun
			for _, evacuated := range runs {
				if !ended[evacuated.run] {
					remaining = append(remaining, evacuated)
				} else if !evacuated.mustEnd() {
					early++
				}
			}
			runs = remaining
		}
		if early > initial {
			t.Fatalf("%d runs ended before the deadline with %d free slots", early, initial)
		}
	})
}

func TestPoolsByResidency(t *testing.T) {
	Convey("Items of different residency have separate pools in one pass, each with the engines that the filter permits", t, func() {
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
		pass := runner.newSchedulingPass(state.View())
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
				if _, ok := pass.pool("pool", "model", c.residency).byID[id]; ok {
					found = append(found, id)
				}
			}
			So(found, ShouldResemble, c.engines)
		}
	})
}
