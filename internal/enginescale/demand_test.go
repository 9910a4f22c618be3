package enginescale

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// zonesFound returns zones a, b and c whose engines all run as found.
func zonesFound(a, b, c int) []ZoneEngines {
	zone := func(name string, count int, price float64) ZoneEngines {
		return ZoneEngines{Zone: name, Running: count, Ordered: count, Found: count, Price: price}
	}
	return []ZoneEngines{zone("a", a, 0.85), zone("b", b, 1.2), zone("c", c, 1)}
}

// changed returns the zones with one of them changed.
func changed(zones []ZoneEngines, index int, change func(zone *ZoneEngines)) []ZoneEngines {
	change(&zones[index])
	return zones
}

// steady returns a load of engines with 6 slots that requires a number of engines.
func steady(engines float64) Load {
	slots := engines * 6 * targetOccupancy
	return Load{Recent: slots, Peak: slots, Slots: 6}
}

func TestDemandDesired(t *testing.T) {
	limits := Limits{Min: 1, Max: 26, StartTime: 4 * time.Second}
	grown := func() []ZoneEngines {
		zones := zonesFound(7, 8, 11)
		for i := range zones {
			zones[i].Running, zones[i].Ordered = 16, 16
		}
		return zones
	}
	for _, c := range []struct {
		name, guards string
		demand       Demand
		want         map[string]int
	}{
		{"A surge is met at once, in the zones with the fewest engines", "waiting items while engines are added one by one, and zones too uneven to lose one",
			Demand{Load: steady(48), Zones: zonesFound(7, 8, 11)}, map[string]int{"a": 16, "b": 16, "c": 16}},
		{"Engines go to the cheapest of zones with equally many", "a price list that is ignored",
			Demand{Load: steady(35), Zones: zonesFound(11, 11, 11)}, map[string]int{"a": 12, "c": 12}},
		{"Engines go to a zone with fewer engines even if it is the dearest", "all engines in the cheapest zone",
			Demand{Load: steady(35), Zones: zonesFound(13, 7, 13)}, map[string]int{"b": 9}},
		{"A load that fits what was found gets no order", "paid engines without need",
			Demand{Load: steady(20), Zones: zonesFound(7, 8, 11), LowerFor: time.Hour}, nil},
		{"One engine more of 26 is not worth an order", "an order for each fluctuation of the load",
			Demand{Load: steady(27), Zones: zonesFound(7, 8, 11)}, nil},
		{"One engine more is worth an order if it is a tenth", "small services that never get what they need",
			Demand{Load: steady(9), Zones: zonesFound(2, 3, 3)}, map[string]int{"a": 3}},
		{"Time spent on loads is added to the need", "too few engines while a quarter of them load",
			Demand{Load: Load{Recent: 78, Peak: 78, Slots: 6, LoadingShare: 0.25}, Zones: zonesFound(8, 9, 9)}, map[string]int{"a": 12, "b": 11, "c": 12}},
		{"Loads count for half of the time at most", "the maximum of engines while all engines catch up",
			Demand{Load: Load{Recent: 24, Peak: 24, Slots: 6, LoadingShare: 1}, Zones: zonesFound(7, 7, 6)}, nil},
		{"Orders stay within the maximum of a zone", "orders that the platform reduces, repeated for ever",
			Demand{Load: steady(200), Zones: zonesFound(7, 8, 26)}, map[string]int{"a": 26, "b": 26}},
		{"Ordered engines that are starting count", "orders for the same need while the engines start",
			Demand{Load: steady(48), Zones: changed(zonesFound(7, 16, 16), 0, func(z *ZoneEngines) { z.Ordered, z.Short = 16, true })}, nil},
		{"Engines that run beyond the order count, and are kept", "an order that takes engines away during a surge",
			Demand{Load: steady(38), Zones: changed(zonesFound(7, 8, 11), 0, func(z *ZoneEngines) { z.Running = 12 })}, map[string]int{"a": 13, "b": 12, "c": 13}},
		{"The load of a lost zone goes to the others", "a lost zone that counts as serving",
			Demand{Load: steady(26), Zones: changed(zonesFound(8, 9, 9), 0, func(z *ZoneEngines) { z.Running, z.Short, z.Missing = 0, true, true })},
			map[string]int{"b": 13, "c": 13}},
		{"An evacuated zone serves nothing and gets no order", "orders for engines that receive no requests",
			Demand{Load: steady(26), Zones: changed(zonesFound(8, 9, 9), 1, func(z *ZoneEngines) { z.Evacuated = true })}, map[string]int{"a": 13, "c": 13}},
		{"A lost zone that the load does not need is not made up for", "paid engines without need",
			Demand{Load: steady(15), Zones: changed(zonesFound(8, 9, 9), 0, func(z *ZoneEngines) { z.Running, z.Short, z.Missing = 0, true, true })}, nil},
		{"A zone without engines to order is left out, and its engines count", "a share of the need that nobody gets",
			Demand{Load: steady(32), Zones: changed(zonesFound(7, 8, 11), 0, func(z *ZoneEngines) { z.Unavailable = true })}, map[string]int{"b": 12, "c": 13}},
		{"No zone can be ordered", "an endless search for a zone",
			Demand{Load: steady(32), Zones: []ZoneEngines{{Zone: "a", Unavailable: true}}}, map[string]int{}},
		{"Fewer are ordered only after a minute", "engines that are given up between two steps",
			Demand{Load: steady(20), Zones: grown(), LowerFor: fallDelay - time.Second}, nil},
		{"After a minute one zone gets fewer, from the dearest of the largest", "several zones that shrink at once",
			Demand{Load: steady(20), Zones: grown(), LowerFor: fallDelay}, map[string]int{"a": 7}},
		{"Fewer are ordered up to the highest need of the minute", "engines given up that the next step needs",
			Demand{Load: Load{Recent: 48, Peak: 44 * 6 * targetOccupancy, Slots: 6}, Zones: grown(), LowerFor: fallDelay}, map[string]int{"b": 14}},
		{"No fewer are ordered than were found, or than the minimum", "a service that is smaller than its operator started it",
			Demand{Load: steady(0), Zones: changed(zonesFound(7, 8, 11), 2, func(z *ZoneEngines) { z.Running, z.Ordered = 14, 14 }), LowerFor: time.Hour},
			map[string]int{"c": 11}},
		{"No fewer are ordered while a zone is lost", "engines given up that stand in for a lost zone",
			Demand{Load: steady(20), Zones: changed(grown(), 0, func(z *ZoneEngines) { z.Running, z.Short = 10, true }), LowerFor: time.Hour}, nil},
	} {
		Convey(c.name+" (guards against "+c.guards+")", t, func() {
			c.demand.Limits = limits
			So(c.demand.Desired(), ShouldResemble, c.want)
		})
	}
}

// Guards against repeated or conflicting orders for one zone.
func TestPlanDemand(t *testing.T) {
	now := time.Now()
	subject := func(zone string) Subject { return Subject{Service: "pool", Zone: zone} }
	base := func() Snapshot {
		counts := map[Subject]int{subject("a"): 7, subject("b"): 8, subject("c"): 11}
		return Snapshot{
			Now:     now,
			Limits:  map[string]Limits{"pool": {Min: 1, Max: 26, StartTime: 4 * time.Second}},
			Running: counts, Desired: counts, Found: counts,
			Loads: map[string]Load{"pool": steady(35)},
		}
	}
	order := func(zone string, desired, running int, reason Reason) Order {
		return Order{Subject: subject(zone), Desired: desired, Reason: reason, Running: running}
	}
	Convey("Orders of all zones are sent at once", t, func() {
		So(Plan(base()), ShouldResemble, []Order{
			order("a", 12, 7, ReasonDemand), order("b", 12, 8, ReasonDemand),
		})
	})
	Convey("Nothing changes while the load is not known", t, func() {
		s := base()
		s.Loads = nil
		So(Plan(s), ShouldBeEmpty)
	})
	Convey("A zone is not called again within the call interval, and its share stays with it", t, func() {
		s := base()
		s.CalledAt = map[Subject]time.Time{subject("a"): now.Add(-callInterval + time.Millisecond)}
		So(Plan(s), ShouldResemble, []Order{order("b", 12, 8, ReasonDemand)})
	})
	Convey("An unanswered order is repeated with the same number though the need has changed", t, func() {
		s := base()
		s.Unanswered = map[Subject]Order{subject("a"): order("a", 10, 7, ReasonDemand)}
		So(Plan(s), ShouldResemble, []Order{order("a", 10, 7, ReasonDemand), order("b", 13, 8, ReasonDemand), order("c", 12, 11, ReasonDemand)})
	})
	Convey("A lost zone is ordered as it was, and the others in its place", t, func() {
		s := base()
		s.Loads["pool"] = steady(26)
		s.Running = map[Subject]int{subject("b"): 8, subject("c"): 11}
		s.ShortSince = map[Subject]time.Time{subject("a"): now.Add(-2 * time.Second)}
		So(Plan(s), ShouldResemble, []Order{order("b", 13, 8, ReasonDemand), order("c", 13, 11, ReasonDemand)})
		s.ShortSince[subject("a")] = now.Add(-6 * time.Second)
		So(Plan(s), ShouldResemble, []Order{order("a", 7, 0, ReasonLost), order("b", 13, 8, ReasonDemand), order("c", 13, 11, ReasonDemand)})
	})
}
