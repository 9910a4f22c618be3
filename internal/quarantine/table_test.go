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

// clock is a time that tests move.
type clock struct{ at time.Time }

func (c *clock) now() time.Time { return c.at }

func (c *clock) pass(length time.Duration) { c.at = c.at.Add(length) }

func newClock() *clock { return &clock{at: time.Unix(1_000_000, 0)} }

func TestStanding(t *testing.T) {
	standing := func(table *quarantine.Table, of quarantine.Fingerprint) quarantine.Standing {
		return table.Status(of).Standing
	}
	bad, other := fingerprint("bad"), fingerprint("other")
	Convey("Three ends of different engine starts hold a request, and it alone", t, func() {
		at := newClock()
		table := quarantine.NewTable(at.now)
		So(table.Empty(), ShouldBeTrue)
		for i, expected := range []quarantine.Standing{quarantine.Suspect, quarantine.Isolated, quarantine.Held} {
			found, ends := table.NoteEnd(bad, fmt.Sprint("engine-", i))
			So(found, ShouldEqual, expected)
			So(ends, ShouldEqual, i+1)
			again, ends := table.NoteEnd(bad, fmt.Sprint("engine-", i))
			So(again, ShouldEqual, expected)
			So(ends, ShouldEqual, i+1)
		}
		So(standing(table, other), ShouldEqual, quarantine.Clear)
		Convey("A run that ends well clears it, here and wherever that is told, whatever older news comes later", func() {
			old := table.List()
			So(table.Release(bad), ShouldBeTrue)
			So(table.Release(bad), ShouldBeFalse)
			So(standing(table, bad), ShouldEqual, quarantine.Clear)
			table.Merge(old)
			So(standing(table, bad), ShouldEqual, quarantine.Clear)
			elsewhere := quarantine.NewTable(at.now)
			elsewhere.Merge(old)
			So(standing(elsewhere, bad), ShouldEqual, quarantine.Held)
			elsewhere.Merge(table.List())
			So(standing(elsewhere, bad), ShouldEqual, quarantine.Clear)
		})
		Convey("It may be tried after 2 s, after 30 s more, and not again within the hour after which it is forgotten", func() {
			So(table.Status(bad).Wait, ShouldEqual, 2*time.Second)
			at.pass(2 * time.Second)
			So(table.Status(bad).Wait, ShouldBeZeroValue)
			table.NoteTrial(bad)
			So(table.Status(bad).Wait, ShouldEqual, 30*time.Second)
			at.pass(30 * time.Second)
			table.NoteTrial(bad)
			So(table.Status(bad).Wait, ShouldEqual, time.Hour)
			at.pass(time.Hour + time.Second)
			So(standing(table, bad), ShouldEqual, quarantine.Clear)
		})
	})
	Convey("A suspect is forgotten after ten minutes, and news of it that is older changes nothing", t, func() {
		at := newClock()
		table := quarantine.NewTable(at.now)
		table.NoteEnd(bad, "engine-0")
		at.pass(10*time.Minute + time.Second)
		So(standing(table, bad), ShouldEqual, quarantine.Clear)
		table.Merge([]quarantine.Record{{Fingerprint: bad, Engines: []string{"engine-0"}, Idle: 11 * time.Minute}})
		So(standing(table, bad), ShouldEqual, quarantine.Clear)
	})
	Convey("A flood of suspects neither grows without bound nor drives out what is held", t, func() {
		at := newClock()
		table := quarantine.NewTable(at.now)
		for i := range 3 {
			table.NoteEnd(bad, fmt.Sprint("engine-", i))
		}
		for i := range 5000 {
			at.pass(time.Millisecond)
			table.NoteEnd(fingerprint(fmt.Sprint(i)), "engine-9")
		}
		So(len(table.List()), ShouldBeLessThanOrEqualTo, 2048)
		So(standing(table, bad), ShouldEqual, quarantine.Held)
	})
}

// Each table finds things out and hears of the others in any order, late, twice and by detours. Once all have heard of all, they hold the same.
func TestTablesConverge(t *testing.T) {
	const schedules = 2000
	for seed := range uint64(schedules) {
		random := rand.New(rand.NewPCG(seed, 3))
		at := newClock()
		tables := []*quarantine.Table{quarantine.NewTable(at.now), quarantine.NewTable(at.now), quarantine.NewTable(at.now)}
		requests := []quarantine.Fingerprint{fingerprint("a"), fingerprint("b")}
		var delayed [][]quarantine.Record
		for range 40 {
			at.pass(time.Duration(random.IntN(50)) * time.Millisecond)
			table, request := tables[random.IntN(len(tables))], requests[random.IntN(len(requests))]
			switch random.IntN(6) {
			case 0, 1:
				table.NoteEnd(request, fmt.Sprint("engine-", random.IntN(6)))
			case 2:
				table.Release(request)
			case 3:
				table.NoteTrial(request)
			case 4:
				delayed = append(delayed, table.List())
			case 5:
				if len(delayed) > 0 {
					table.Merge(delayed[random.IntN(len(delayed))])
				}
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
				if found.Epoch != first.Epoch || found.Trials != first.Trials || !slices.Equal(found.Engines, first.Engines) {
					t.Fatalf("seed %d: %+v and %+v", seed, first, found)
				}
			}
		}
	}
}

func TestNews(t *testing.T) {
	Convey("A table tells what has changed since a state, all to who knows another table, and only its own findings as found", t, func() {
		synctest.Test(t, func(t *testing.T) {
			table, other := quarantine.NewTable(time.Now), quarantine.NewTable(time.Now)
			first, changed := table.Since(quarantine.Cursor{})
			if len(first.Records) != 0 {
				t.Error("news of an empty table")
			}
			table.NoteEnd(fingerprint("a"), "engine-0")
			<-changed
			news, _ := table.Since(first.Cursor)
			if len(news.Records) != 1 {
				t.Errorf("%d records, not the one that changed", len(news.Records))
			}
			other.Merge(news.Records)
			all, _ := other.Since(news.Cursor)
			if len(all.Records) != 1 {
				t.Error("a table that the caller does not know told nothing")
			}
			found, _ := other.Found(quarantine.Cursor{Table: all.Cursor.Table})
			if len(found.Records) != 0 {
				t.Error("what was learnt is told as found")
			}
		})
	})
}
