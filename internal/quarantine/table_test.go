package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/quarantine"
)

func fingerprint(name string) quarantine.Fingerprint {
	return quarantine.FingerprintOf("", "POST", "h", "/"+name, nil)
}

// manualClock is a clock that tests advance.
type manualClock struct{ current time.Time }

func (c *manualClock) now() time.Time { return c.current }

func (c *manualClock) advance(length time.Duration) { c.current = c.current.Add(length) }

func newClock() *manualClock { return &manualClock{current: time.Unix(1_000_000, 0)} }

func TestTableState(t *testing.T) {
	stateOf := func(table *quarantine.Table, of quarantine.Fingerprint) quarantine.State {
		return table.Status(of).State
	}
	bad, other := fingerprint("bad"), fingerprint("other")
	Convey("A request is held after three crashes of different engine starts; other requests are unaffected", t, func() {
		clock := newClock()
		table := quarantine.NewTable(clock.now)
		So(table.Empty(), ShouldBeTrue)
		for i, expected := range []quarantine.State{quarantine.Suspect, quarantine.Isolated, quarantine.Held} {
			state, crashes := table.RecordCrash(bad, fmt.Sprint("engine-", i))
			So(state, ShouldEqual, expected)
			So(crashes, ShouldEqual, i+1)
			repeated, crashes := table.RecordCrash(bad, fmt.Sprint("engine-", i))
			So(repeated, ShouldEqual, expected)
			So(crashes, ShouldEqual, i+1)
		}
		So(stateOf(table, other), ShouldEqual, quarantine.Clear)
		Convey("A successful run clears it in this table and in those that merge its records, also if older records arrive later", func() {
			outdated := table.List()
			So(table.Release(bad), ShouldBeTrue)
			So(table.Release(bad), ShouldBeFalse)
			So(stateOf(table, bad), ShouldEqual, quarantine.Clear)
			table.Merge(outdated)
			So(stateOf(table, bad), ShouldEqual, quarantine.Clear)
			elsewhere := quarantine.NewTable(clock.now)
			elsewhere.Merge(outdated)
			So(stateOf(elsewhere, bad), ShouldEqual, quarantine.Held)
			elsewhere.Merge(table.List())
			So(stateOf(elsewhere, bad), ShouldEqual, quarantine.Clear)
		})
		Convey("Trials are allowed after 2 s and after 30 s more, and the record expires an hour after the second", func() {
			So(table.Status(bad).Wait, ShouldEqual, 2*time.Second)
			clock.advance(2 * time.Second)
			So(table.Status(bad).Wait, ShouldBeZeroValue)
			table.RecordTrial(bad)
			So(table.Status(bad).Wait, ShouldEqual, 30*time.Second)
			clock.advance(30 * time.Second)
			table.RecordTrial(bad)
			So(table.Status(bad).Wait, ShouldEqual, time.Hour)
			clock.advance(time.Hour + time.Second)
			So(stateOf(table, bad), ShouldEqual, quarantine.Clear)
		})
	})
	Convey("A suspect record expires after ten minutes, and merging an expired record has no effect", t, func() {
		clock := newClock()
		table := quarantine.NewTable(clock.now)
		table.RecordCrash(bad, "engine-0")
		clock.advance(10*time.Minute + time.Second)
		So(stateOf(table, bad), ShouldEqual, quarantine.Clear)
		table.Merge([]quarantine.Record{{Fingerprint: bad, Engines: []string{"engine-0"}, Idle: 11 * time.Minute}})
		So(stateOf(table, bad), ShouldEqual, quarantine.Clear)
	})
	Convey("Many suspects neither exceed the bound nor evict held records", t, func() {
		clock := newClock()
		table := quarantine.NewTable(clock.now)
		for i := range 3 {
			table.RecordCrash(bad, fmt.Sprint("engine-", i))
		}
		for i := range 5000 {
			clock.advance(time.Millisecond)
			table.RecordCrash(fingerprint(fmt.Sprint(i)), "engine-9")
		}
		So(len(table.List()), ShouldBeLessThanOrEqualTo, 2048)
		So(stateOf(table, bad), ShouldEqual, quarantine.Held)
	})
}

// Guards against trials without an outcome that delay the next trial as a crash would, and against trials that are returned twice.
func TestReturnedTrials(t *testing.T) {
	bad := fingerprint("bad")
	Convey("A held request whose trial is granted", t, func() {
		clock := newClock()
		table, other := quarantine.NewTable(clock.now), quarantine.NewTable(clock.now)
		for i := range 3 {
			table.RecordCrash(bad, fmt.Sprint("engine-", i))
		}
		other.Merge(table.List())
		clock.advance(2 * time.Second)
		trial := table.RecordTrial(bad)
		So(trial.Granted(), ShouldBeTrue)
		So(table.Status(bad).Wait, ShouldEqual, 30*time.Second)
		Convey("may be tried again shortly after the trial is returned, in all tables", func() {
			other.Merge(table.List())
			clock.advance(time.Second)
			So(table.ReturnTrial(trial), ShouldBeTrue)
			other.Merge(table.List())
			clock.advance(300 * time.Millisecond)
			So(table.Status(bad).Wait, ShouldBeZeroValue)
			So(other.Status(bad).Wait, ShouldBeZeroValue)
			Convey("but a trial is returned only once, and not after the next one", func() {
				So(table.ReturnTrial(trial), ShouldBeFalse)
				next := table.RecordTrial(bad)
				So(table.ReturnTrial(trial), ShouldBeFalse)
				So(table.Status(bad).Wait, ShouldEqual, 30*time.Second)
				So(other.ReturnTrial(next), ShouldBeFalse)
			})
		})
		Convey("waits for the backoff of a spent trial if an engine has crashed in it", func() {
			table.RecordCrash(bad, "engine-3")
			So(table.Status(bad).Wait, ShouldEqual, 30*time.Second)
		})
	})
}

// TestTablesConverge merges tables in random order, late, repeatedly and through others, and checks that they end up equal.
func TestTablesConverge(t *testing.T) {
	const schedules = 2000
	for seed := range uint64(schedules) {
		random := rand.New(rand.NewPCG(seed, 3))
		clock := newClock()
		tables := []*quarantine.Table{quarantine.NewTable(clock.now), quarantine.NewTable(clock.now), quarantine.NewTable(clock.now)}
		requests := []quarantine.Fingerprint{fingerprint("a"), fingerprint("b")}
		var delayed [][]quarantine.Record
		for range 40 {
			clock.advance(time.Duration(random.IntN(50)) * time.Millisecond)
			table, request := tables[random.IntN(len(tables))], requests[random.IntN(len(requests))]
			switch random.IntN(7) {
			case 0, 1:
				table.RecordCrash(request, fmt.Sprint("engine-", random.IntN(6)))
			case 2:
				table.Release(request)
			case 3:
				table.RecordTrial(request)
			case 4:
				delayed = append(delayed, table.List())
			case 5:
				if len(delayed) > 0 {
					table.Merge(delayed[random.IntN(len(delayed))])
				}
			case 6:
				record := table.Record(request)
				table.ReturnTrial(quarantine.Trial{Fingerprint: request, Epoch: record.Epoch, Number: record.Trials, Returned: record.Returned})
			}
		}
		for range 2 {
			for _, table := range tables {
				for _, other := range tables {
					other.Merge(table.List())
				}
			}
		}
		for _, request := range requests {
			first := tables[0].Record(request)
			for _, table := range tables[1:] {
				found := table.Record(request)
				if found.Epoch != first.Epoch || found.Trials != first.Trials || found.Returned != first.Returned || !slices.Equal(found.Engines, first.Engines) {
					t.Fatalf("seed %d: %+v and %+v", seed, first, found)
				}
			}
		}
	}
}

func TestTableChanges(t *testing.T) {
	Convey("Since returns later changes, or all records for a cursor of another table; LocalSince leaves out merged records", t, func() {
		synctest.Test(t, func(t *testing.T) {
			table, other := quarantine.NewTable(time.Now), quarantine.NewTable(time.Now)
			first, changed := table.Since(quarantine.Cursor{})
			if len(first.Records) != 0 {
				t.Error("an empty table returned changes")
			}
			table.RecordCrash(fingerprint("a"), "engine-0")
			<-changed
			delta, _ := table.Since(first.Cursor)
			if len(delta.Records) != 1 {
				t.Errorf("%d changed records, want 1", len(delta.Records))
			}
			other.Merge(delta.Records)
			all, _ := other.Since(delta.Cursor)
			if len(all.Records) != 1 {
				t.Error("no records for a cursor of another table")
			}
			found, _ := other.LocalSince(quarantine.Cursor{Table: all.Cursor.Table})
			if len(found.Records) != 0 {
				t.Error("a merged record is returned as a local change")
			}
		})
	})
}
