package batchrun

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"github.com/covelink/covelink/internal/boottime"
	"github.com/covelink/covelink/internal/fleet"
)

const (
	// emptyShare is the share of EvacuateTime that this process spends on ending runs in the zone. The rest is for learning of the evacuation,
	// which takes one to three seconds; operators expect the zone to be empty after five.
	emptyShare = 0.4
	// emptyInterval is the pause between two choices of runs to end: ten choices in the two seconds that operators' settings leave.
	emptyInterval = 200 * time.Millisecond
	// emptyMargin is how long before the zone must be empty all remaining runs are ended: the next choice would come emptyInterval later, and
	// a busy scheduler adds a pause of up to scheduleInterval.
	emptyMargin = emptyInterval + scheduleInterval
)

// emptyingZones holds the evacuated zones and, for each, when its last run must have ended.
type emptyingZones struct {
	// seen are the evacuations of the last update; nil while they are not known.
	seen  *fleet.Evacuations
	zones map[string]emptyingZone
	// chosenAt is when runs to end were last chosen.
	chosenAt time.Time
}

type emptyingZone struct {
	// since is the revision of the store at which the zone became evacuated.
	since int64
	// emptyBy is measured by boottime, so that a suspension of this machine does not prolong the runs.
	emptyBy time.Time
}

// update records the evacuations. A newly evacuated zone must be empty after the window. If no evacuations were known before, it must be empty at
// once, as nobody knows how long ago it was evacuated.
func (e *emptyingZones) update(evacuations *fleet.Evacuations, now time.Time, window time.Duration) {
	if evacuations == e.seen {
		return
	}
	if e.seen == nil {
		window = 0
	}
	e.seen = evacuations
	if evacuations == nil {
		return
	}
	zones := make(map[string]emptyingZone)
	for _, zone := range evacuations.Zones() {
		since := evacuations.Since(zone)
		if known, ok := e.zones[zone]; ok && known.since == since {
			zones[zone] = known
			continue
		}
		zones[zone] = emptyingZone{since: since, emptyBy: now.Add(window)}
		e.chosenAt = time.Time{}
	}
	e.zones = zones
}

// evacuatedRun is a run in an evacuated zone, with what decides whether and when it is ended.
type evacuatedRun struct {
	run *run
	// timeLeft is how much longer its stream is expected to take, and untilEmpty how much longer it may take.
	timeLeft, untilEmpty time.Duration
	// freePlaces counts the free places at which its item could continue. Runs that compete for the same places share the counter. Nil if no
	// engine can take the item now.
	freePlaces *int
	// unwanted is true if no job waits for the run: it continues as long as it may.
	unwanted bool
}

// mustEnd reports whether the run must be ended now.
func (s *evacuatedRun) mustEnd() bool { return s.untilEmpty <= emptyMargin }

// mayStay reports whether the run is left alone until mustEnd: its stream is expected to end in time, or no job waits for its item.
func (s *evacuatedRun) mayStay() bool { return s.unwanted || s.timeLeft < s.untilEmpty-emptyMargin }

// chooseToEnd returns the runs to end now: all whose time is over, and an equal share of the others for each interval that is left. Of these, the
// runs with the most time left come first, and only as many as there are free places elsewhere. Equal shares spread the prefill of their prompts
// over the intervals.
func chooseToEnd(evacuated []evacuatedRun) []*run {
	var chosen []*run
	var optional []evacuatedRun
	share := 0.0
	for _, candidate := range evacuated {
		switch {
		case candidate.mustEnd():
			chosen = append(chosen, candidate.run)
		case !candidate.mayStay():
			optional = append(optional, candidate)
			share += emptyInterval.Seconds() / (candidate.untilEmpty - emptyMargin).Seconds()
		}
	}
	slices.SortFunc(optional, func(a, b evacuatedRun) int {
		return cmp.Or(cmp.Compare(b.timeLeft, a.timeLeft), cmp.Compare(a.run.id.Number, b.run.id.Number))
	})
	budget := int(math.Ceil(share))
	for _, candidate := range optional {
		if budget == 0 {
			break
		}
		if candidate.freePlaces == nil || *candidate.freePlaces <= 0 {
			continue
		}
		*candidate.freePlaces--
		budget--
		chosen = append(chosen, candidate.run)
	}
	return chosen
}

// emptyZones ends runs in evacuated zones, so that their items continue elsewhere and the zones are empty in time. It returns the longest pause
// until the next call; idleInterval if a choice has just left no run. The mutex must be held.
func (r *Runner) emptyZones(looked *look) (pause time.Duration) {
	if r.EvacuateTime == 0 {
		return idleInterval
	}
	now := boottime.Now()
	emptying := &r.emptying
	emptying.update(looked.view.Evacuations, now, time.Duration(emptyShare*float64(r.EvacuateTime)))
	if len(emptying.zones) == 0 {
		return idleInterval
	}
	if passed := now.Sub(emptying.chosenAt); passed < emptyInterval {
		// Runs may have been adopted since the last choice, even if it left none: after idleInterval they would be ended too late.
		return emptyInterval - passed
	}
	evacuated := r.evacuatedRuns(looked, now)
	chosen := chooseToEnd(evacuated)
	for _, ended := range chosen {
		r.endEvacuated(ended)
	}
	emptying.chosenAt = now
	if len(chosen) == len(evacuated) {
		return idleInterval
	}
	return emptyInterval
}

// endEvacuated ends a run in an evacuated zone so that its item continues elsewhere. The mutex must be held.
func (r *Runner) endEvacuated(ended *run) {
	it := ended.item
	level.Info(r.Logger).Log("msg", "run ended in evacuated zone", "request", it.ID, "job", it.job.ID, "run", ended.id, "worker", ended.worker,
		"engine", ended.engine, "zone", ended.zone, "evacuated_at", r.emptying.zones[ended.zone].since,
		"evacuations", r.emptying.seen.Revision(), "text_events", it.text.Len(), "time_left", r.timeLeft(it).Round(time.Millisecond))
	r.Observer.HandedOver(HandOverEvacuated)
	ended.moving = true
	ended.cancel()
}

// evacuatedRuns returns the runs in evacuated zones that have not been told to end yet. The mutex must be held.
func (r *Runner) evacuatedRuns(looked *look, now time.Time) []evacuatedRun {
	if r.emptying.seen == nil {
		return nil
	}
	var found []evacuatedRun
	freePlaces := make(map[*pool]*int)
	for _, known := range r.runs {
		if known.moving || !known.streaming {
			continue
		}
		zone, emptying := r.emptying.zones[r.zoneOf(known, looked.view)]
		detached := r.isDetached(known)
		if !emptying || (!detached && !known.current()) {
			continue
		}
		one := evacuatedRun{run: known, timeLeft: r.timeLeft(known.item), untilEmpty: zone.emptyBy.Sub(now), unwanted: detached}
		if !one.mustEnd() && !one.mayStay() {
			one.freePlaces = r.freePlacesFor(looked, known.item, freePlaces)
		}
		found = append(found, one)
	}
	return found
}

// zoneOf returns the zone of a run's engine; empty if it is not known. The mutex must be held.
func (r *Runner) zoneOf(known *run, view *fleet.View) string {
	if known.zone == "" {
		if engine, listed := view.Engines.Get(known.engine); listed {
			known.zone = engine.Zone
		}
	}
	return known.zone
}

// freePlacesFor returns the counter of free places in the pool where an item could continue, or nil if no engine of it can take the item now.
// counted holds the counters of pools that were asked for before. The mutex must be held.
func (r *Runner) freePlacesFor(looked *look, it *item, counted map[*pool]*int) *int {
	if looked.view.Routes == nil {
		return nil
	}
	route := looked.view.Routes.Match(it.job.Host, it.Path)
	if route == nil {
		return nil
	}
	if other, _ := looked.choose(route, it, 0); other == nil {
		return nil
	}
	target := looked.poolOf(route, it)
	places, known := counted[target]
	if !known {
		free := target.free() - r.expectedAt(looked, target)
		places = &free
		counted[target] = places
	}
	return places
}

// free returns the number of free places.
func (p *pool) free() int {
	free := 0
	for _, known := range p.byID {
		free += known.slots - known.record.running
	}
	return free
}

// expectedAt counts the items that will take a place in a pool soon: those that wait, and those whose runs were ended so that they continue
// elsewhere. The mutex must be held.
func (r *Runner) expectedAt(looked *look, target *pool) int {
	count := 0
	for _, j := range r.order {
		if j.ended {
			continue
		}
		for _, it := range j.items {
			if it.phase != phaseWaiting && (it.phase != phaseRunning || !it.run.moving) {
				continue
			}
			if route := looked.view.Routes.Match(j.Host, it.Path); route != nil && looked.poolOf(route, it) == target {
				count++
			}
		}
	}
	return count
}
