package enginescale

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// targetOccupancy is the share of the slots, loads left out, that the offered load takes. Steps arrive as bursts whose items are to start within
	// 0.5 s, and the loss of one of three zones makes it 0.75.
	targetOccupancy = 0.5
	// maxLoadingShare bounds the share of time spent on loads. An engine that loads each version takes 0.9 to 1.15 s of every 4 s; more is seen only
	// while loads share too little bandwidth, which more engines make worse.
	maxLoadingShare = 0.25
	// orderThreshold and orderShare are the least difference between the needed and the expected engines that is worth an order.
	orderThreshold = 2
	orderShare     = 0.1
	// fallDelay is how long the need must have been lower before fewer engines are ordered.
	fallDelay = time.Minute
)

// Load is the load of a service.
type Load struct {
	// Recent is the mean offered load within recentWindow, and Peak the highest within fallDelay, in slots.
	Recent, Peak float64
	// Slots is the number of requests that an engine processes concurrently; at least 1.
	Slots int
	// LoadingShare is the share of time that an engine spends on loads of weights.
	LoadingShare float64
}

// needed returns the number of engines of which the offered load takes targetOccupancy.
func (l Load) needed(offered float64) int {
	free := 1 - min(l.LoadingShare, maxLoadingShare)
	// The margin keeps rounding errors from adding an engine.
	return int(math.Ceil(offered/(targetOccupancy*free*float64(l.Slots)) - 1e-9))
}

// ZoneEngines are the engines of a service in a zone.
type ZoneEngines struct {
	Zone string
	// Running is the number of ready engines, Ordered the last order, and Found the number at the start, which is never undercut.
	Running, Ordered, Found int
	// Short reports that fewer engines run than were ordered, and Missing that they are not being started either.
	Short, Missing bool
	// Evacuated zones serve nothing, and receive no orders.
	Evacuated bool
	// Unavailable zones have had no engines to order recently.
	Unavailable bool
	// Unanswered zones have an order without an answer, which is repeated before they get another.
	Unanswered bool
	Price      float64
}

// expected returns the number of engines that serve once those ordered have started.
func (z ZoneEngines) expected() int {
	switch {
	case z.Evacuated:
		return 0
	case z.Missing:
		return z.Running
	}
	return max(z.Running, z.Ordered)
}

// Demand is the input of the decision on one service.
type Demand struct {
	Load   Load
	Limits Limits
	Zones  []ZoneEngines
	// LowerFor is how long hasSurplus has been true.
	LowerFor time.Duration
}

// Desired returns the number of engines to order in each zone whose number changes: any number of zones if more engines are needed, one if fewer
// are. The numbers are within the limits.
func (d Demand) Desired() map[string]int {
	if missing := d.Load.needed(d.Load.Recent) - d.expected(); worthOrder(missing, d.expected()) {
		return d.grow(missing)
	}
	if d.LowerFor >= fallDelay && d.hasSurplus() {
		return d.shrink(d.surplus())
	}
	return nil
}

// worthOrder reports whether a difference from the expected number of engines is worth an order.
func worthOrder(difference, expected int) bool {
	return difference >= orderThreshold || (difference > 0 && float64(difference) >= orderShare*float64(expected))
}

func (d Demand) expected() int {
	total := 0
	for _, zone := range d.Zones {
		total += zone.expected()
	}
	return total
}

// surplus returns how many engines are expected to serve beyond the highest need of the last fallDelay.
func (d Demand) surplus() int { return d.expected() - d.Load.needed(d.Load.Peak) }

// hasSurplus reports whether fewer engines are needed than run. It is false while engines of any zone are short, evacuated or unavailable, since
// the others serve in their place, and while an order is unanswered.
func (d Demand) hasSurplus() bool {
	for _, zone := range d.Zones {
		if zone.Short || zone.Evacuated || zone.Unavailable || zone.Unanswered {
			return false
		}
	}
	return worthOrder(d.surplus(), d.expected())
}

// grow adds engines one by one to the zone with the fewest, then to the cheapest, up to the limits.
func (d Demand) grow(missing int) map[string]int {
	var open []ZoneEngines
	for _, zone := range d.Zones {
		if !zone.Evacuated && !zone.Missing && !zone.Unavailable && !zone.Unanswered {
			open = append(open, zone)
		}
	}
	desired := make(map[string]int)
	counts := countsOf(open, ZoneEngines.expected)
	for range missing {
		next, found := least(open, func(zone ZoneEngines) bool { return d.Limits.Max == 0 || counts[zone.Zone] < d.Limits.Max },
			func(a, b ZoneEngines) int {
				return cmp.Or(cmp.Compare(counts[a.Zone], counts[b.Zone]), cmp.Compare(a.Price, b.Price), cmp.Compare(a.Zone, b.Zone))
			})
		if !found {
			break
		}
		counts[next.Zone]++
		desired[next.Zone] = d.Limits.clamp(counts[next.Zone])
	}
	return desired
}

// shrink removes engines one by one from the zone with the most, then from the most expensive, down to those found at the start. It returns the
// zone that loses most of them.
func (d Demand) shrink(surplus int) map[string]int {
	ordered := func(zone ZoneEngines) int { return zone.Ordered }
	counts := countsOf(d.Zones, ordered)
	for range surplus {
		next, found := least(d.Zones, func(zone ZoneEngines) bool { return counts[zone.Zone] > d.Limits.clamp(zone.Found) },
			func(a, b ZoneEngines) int {
				return cmp.Or(cmp.Compare(counts[b.Zone], counts[a.Zone]), cmp.Compare(b.Price, a.Price), cmp.Compare(a.Zone, b.Zone))
			})
		if !found {
			break
		}
		counts[next.Zone]--
	}
	removed := func(zone ZoneEngines) int { return zone.Ordered - counts[zone.Zone] }
	zone, found := least(d.Zones, func(zone ZoneEngines) bool { return removed(zone) > 0 }, func(a, b ZoneEngines) int {
		return cmp.Or(cmp.Compare(removed(b), removed(a)), cmp.Compare(b.Price, a.Price), cmp.Compare(a.Zone, b.Zone))
	})
	if !found {
		return nil
	}
	return map[string]int{zone.Zone: counts[zone.Zone]}
}

func countsOf(zones []ZoneEngines, count func(ZoneEngines) int) map[string]int {
	counts := make(map[string]int, len(zones))
	for _, zone := range zones {
		counts[zone.Zone] = count(zone)
	}
	return counts
}

// least returns the first of the eligible zones in an order.
func least(zones []ZoneEngines, eligible func(ZoneEngines) bool, compare func(a, b ZoneEngines) int) (first ZoneEngines, found bool) {
	zones = slices.DeleteFunc(slices.Clone(zones), func(zone ZoneEngines) bool { return !eligible(zone) })
	if len(zones) == 0 {
		return ZoneEngines{}, false
	}
	return slices.MinFunc(zones, compare), true
}
