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
	// emptyShare is the part of the time to evacuate a zone in which this process empties it. The rest is for this process to learn of the
	// evacuation: that takes one to three seconds, where operators wait for five.
	emptyShare = 0.4
	// emptyInterval is the pause between two choices of runs to end.
	emptyInterval = 200 * time.Millisecond
	// emptyMargin is how long before the end all runs are ended that are left: the next choice is an interval later, and a busy scheduler
	// rests up to scheduleInterval in addition.
	emptyMargin = emptyInterval + scheduleInterval
)

// emptyingZones are the evacuated zones, with the moment from which on no run may be left in each.
type emptyingZones struct {
	// seen are the evacuations that were taken in last; nil while they are not known.
	seen  *fleet.Evacuations
	zones map[string]emptyingZone
	// chosenAt is when runs were last chosen, and left how many there were then that had not been ended.
	chosenAt time.Time
	left     int
}

type emptyingZone struct {
	// since is the revision of the store at which the zone became evacuated.
	since int64
	// emptyBy is a moment of boottime: runs must not stay longer because this machine was suspended.
	emptyBy time.Time
}

// update takes in the evacuations. A zone must be empty after the window, or at once if they were not known before: how long ago it became
// evacuated is not known then.
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

// strandedRun is a run in an evacuated zone, with what decides whether it is ended from here.
type strandedRun struct {
	run *run
	// timeLeft is how long its stream is expected to take, and untilEmpty how long it may.
	timeLeft, untilEmpty time.Duration
	// room counts the free places in which its item could go on. Runs that compete for the same places share it; nil if there is none.
	room *int
	// unwanted runs are those that no job waits for: they go on as long as they may.
	unwanted bool
}

// forced reports whether the run must be ended now.
func (s *strandedRun) forced() bool { return s.untilEmpty <= emptyMargin }

// patient reports whether the run had better stay: its stream is expected to end in time, or nobody waits for its item.
func (s *strandedRun) patient() bool { return s.unwanted || s.timeLeft < s.untilEmpty-emptyMargin }

// chooseToEnd returns the runs that are to be ended now: all for which the time is over, and of the others an even part for each interval that
// is left, those with the longest rest first, as far as there is room elsewhere. An even part keeps their prompts from being read all at once.
func chooseToEnd(stranded []strandedRun) []*run {
	var chosen []*run
	var optional []strandedRun
	quota := 0.0
	for _, candidate := range stranded {
		switch {
		case candidate.forced():
			chosen = append(chosen, candidate.run)
		case !candidate.patient():
			optional = append(optional, candidate)
			quota += emptyInterval.Seconds() / (candidate.untilEmpty - emptyMargin).Seconds()
		}
	}
	slices.SortFunc(optional, func(a, b strandedRun) int {
		return cmp.Or(cmp.Compare(b.timeLeft, a.timeLeft), cmp.Compare(a.run.id.Number, b.run.id.Number))
	})
	left := int(math.Ceil(quota))
	for _, candidate := range optional {
		if left == 0 {
			break
		}
		if candidate.room == nil || *candidate.room <= 0 {
			continue
		}
		*candidate.room--
		left--
		chosen = append(chosen, candidate.run)
	}
	return chosen
}

// emptyZones ends runs in evacuated zones, so that their items go on elsewhere and the zones are empty in time. It returns how long the next
// choice may be put off; idleInterval if none is due. The mutex must be held.
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
		return emptying.pause(emptyInterval - passed)
	}
	stranded := r.strandedRuns(looked, now)
	chosen := chooseToEnd(stranded)
	for _, ended := range chosen {
		r.endStranded(ended)
	}
	emptying.chosenAt, emptying.left = now, len(stranded)-len(chosen)
	return emptying.pause(emptyInterval)
}

// pause returns how long the next choice may be put off, if it is due after a while for the runs that are left.
func (e *emptyingZones) pause(due time.Duration) time.Duration {
	if e.left == 0 {
		return idleInterval
	}
	return due
}

// endStranded ends a run so that its item goes on elsewhere. The mutex must be held.
func (r *Runner) endStranded(ended *run) {
	it := ended.item
	level.Info(r.Logger).Log("msg", "run ended in evacuated zone", "request", it.ID, "job", it.job.ID, "run", ended.id, "worker", ended.worker,
		"engine", ended.engine, "zone", ended.zone, "evacuated_at", r.emptying.zones[ended.zone].since,
		"evacuations", r.emptying.seen.Revision(), "text_events", it.text.Len(), "time_left", r.timeLeft(it).Round(time.Millisecond))
	r.Observer.HandedOver(HandOverEvacuated)
	ended.moving = true
	ended.cancel()
}

// strandedRuns returns the runs in evacuated zones that were not ended yet. The mutex must be held.
func (r *Runner) strandedRuns(looked *look, now time.Time) []strandedRun {
	if r.emptying.seen == nil {
		return nil
	}
	var stranded []strandedRun
	rooms := make(map[*pool]*int)
	for _, known := range r.runs {
		if known.moving || !known.streaming {
			continue
		}
		zone, evacuated := r.emptying.zones[r.zoneOf(known, looked.view)]
		detached := r.isDetached(known)
		if !evacuated || (!detached && !known.current()) {
			continue
		}
		found := strandedRun{run: known, timeLeft: r.timeLeft(known.item), untilEmpty: zone.emptyBy.Sub(now), unwanted: detached}
		if !found.forced() && !found.patient() {
			found.room = r.roomFor(looked, known.item, rooms)
		}
		stranded = append(stranded, found)
	}
	return stranded
}

// zoneOf returns the zone of a run's engine; empty if it is not known. The mutex must be held.
func (r *Runner) zoneOf(known *run, view *fleet.View) string {
	if known.zone == "" {
		if engine, listed := view.Engines[known.engine]; listed {
			known.zone = engine.Zone
		}
	}
	return known.zone
}

// roomFor returns the count of free places of the pool in which an item could go on, or nil if no engine there may take it now. rooms are the
// counts of pools that were asked for before. The mutex must be held.
func (r *Runner) roomFor(looked *look, it *item, rooms map[*pool]*int) *int {
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
	room, counted := rooms[target]
	if !counted {
		free := target.free() - r.expectedAt(looked, target)
		room = &free
		rooms[target] = room
	}
	return room
}

// free returns the number of free places.
func (p *pool) free() int {
	free := 0
	for _, known := range p.byID {
		free += known.slots - known.record.running
	}
	return free
}

// expectedAt counts the items that are about to take a place of a pool: those that wait, and those whose runs were ended so that they go on
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
