package configfaults

import (
	"fmt"
	"strings"
	"time"
)

// Fault is one kind of fault.
type Fault int

// The faults.
const (
	// StoreDown: the store answers nothing for 10 minutes.
	StoreDown Fault = iota
	// StoreSlow: the store takes 5 s to answer.
	StoreSlow
	// ReplyLost: a third of the store's answers, and of the coordinators' to writes, is lost after the effect.
	ReplyLost
	// ZoneCut: a zone reaches neither the store nor other zones.
	ZoneCut
	// Race: two operators in two zones write the same resource 1,000 times.
	Race
	// CoordinatorPaused: the process of a zone's coordinator stands still and resumes.
	CoordinatorPaused
	// StaleCache: lists and new watches of the store come from a cache that lags.
	StaleCache
)

var faultNames = map[Fault]string{
	StoreDown:         "store-down",
	StoreSlow:         "store-slow",
	ReplyLost:         "reply-lost",
	ZoneCut:           "zone-cut",
	Race:              "operators-race",
	CoordinatorPaused: "coordinator-paused",
	StaleCache:        "stale-cache",
}

// String returns the name of the fault in reports.
func (f Fault) String() string { return faultNames[f] }

// Faults are all faults.
var Faults = []Fault{StoreDown, StoreSlow, ReplyLost, ZoneCut, Race, CoordinatorPaused, StaleCache}

// Scenario is the faults of one run.
type Scenario []Fault

// String names the faults.
func (s Scenario) String() string {
	names := make([]string, 0, len(s))
	for _, fault := range s {
		names = append(names, fault.String())
	}
	return strings.Join(names, "+")
}

func (s Scenario) has(fault Fault) bool {
	for _, candidate := range s {
		if candidate == fault {
			return true
		}
	}
	return false
}

// Scenarios returns each fault alone and every pair.
func Scenarios() []Scenario {
	var scenarios []Scenario
	for _, fault := range Faults {
		scenarios = append(scenarios, Scenario{fault})
	}
	for i, first := range Faults {
		for _, second := range Faults[i+1:] {
			scenarios = append(scenarios, Scenario{first, second})
		}
	}
	return scenarios
}

// ParseScenario reads the form of String.
func ParseScenario(text string) (Scenario, error) {
	var scenario Scenario
	for _, name := range strings.Split(text, "+") {
		found := false
		for fault, known := range faultNames {
			if known == name {
				scenario, found = append(scenario, fault), true
			}
		}
		if !found {
			return nil, fmt.Errorf("unknown fault %q", name)
		}
	}
	return scenario, nil
}

// span is a time in which a fault keeps something out of reach.
type span struct {
	from, to time.Time
}

const (
	slowDelay   = 5 * time.Second
	staleBy     = 3
	lossShare   = 1.0 / 3
	breakShare  = 0.5
	minimumSpan = 2 * time.Second
	spanRange   = 18 * time.Second
)

// arrange schedules the faults of the scenario. They overlap, since all start within two seconds.
func (w *world) arrange() {
	w.faultsFrom = w.clock.now().Add(warmUp)
	w.faultsTo = w.faultsFrom
	for _, fault := range w.scenario {
		start := warmUp + w.upTo(minimumSpan)
		length := minimumSpan + w.upTo(spanRange)
		if fault == StoreDown {
			length = w.size.StoreDown
		}
		of := span{from: w.clock.now().Add(start), to: w.clock.now().Add(start + length)}
		if fault != Race && of.to.After(w.faultsTo) {
			w.faultsTo = of.to
		}
		w.plan(fault, start, length, of)
	}
}

func (w *world) plan(fault Fault, start, length time.Duration, of span) {
	begin := func(run func()) { w.clock.after(start, run) }
	end := func(run func()) { w.clock.after(start+length, run) }
	switch fault {
	case StoreDown:
		w.blocked = append(w.blocked, of)
		begin(func() { w.store.down = true; w.store.breakWatches(1) })
		end(func() { w.store.down = false })
	case StoreSlow:
		w.blocked = append(w.blocked, of)
		begin(func() { w.store.delay = slowDelay; w.store.breakWatches(breakShare) })
		end(func() { w.store.delay = 0 })
	case ReplyLost:
		begin(func() { w.loss = lossShare })
		end(func() { w.loss = 0 })
	case StaleCache:
		w.blocked = append(w.blocked, of)
		begin(func() { w.store.staleBy = staleBy; w.store.breakWatches(breakShare) })
		end(func() { w.store.staleBy = 0 })
	case ZoneCut:
		cut := w.zones[w.random.IntN(len(w.zones))]
		w.blockedZone[cut] = append(w.blockedZone[cut], of)
		begin(func() { w.cut = cut; w.store.breakWatchesOf(cut) })
		end(func() { w.cut = "" })
	case CoordinatorPaused:
		zone := w.zones[w.random.IntN(len(w.zones))]
		w.blockedZone[zone] = append(w.blockedZone[zone], of)
		begin(func() { w.pause(w.leases[zone].holder, length) })
	}
}
