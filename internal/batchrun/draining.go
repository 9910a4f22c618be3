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
	// drainShare is the share of EvacuateTime spent on ending runs. The rest covers the delay until the coordinator receives the evacuation,
	// which takes one to three seconds; operators expect the zone to be empty after five.
	drainShare = 0.4
	// drainInterval is the delay between two selections of runs to end.
	drainInterval = 200 * time.Millisecond
	// drainMargin is how long before the deadline all remaining runs are ended, because the next selection may be after the deadline.
	drainMargin = drainInterval + scheduleInterval
)

// drainingZones holds the evacuated zones and the drain deadline of each.
type drainingZones struct {
	// evacuations is the value of the last update; nil while evacuations are unknown.
	evacuations *fleet.Evacuations
	zones       map[string]drainingZone
	selectedAt  time.Time
}

type drainingZone struct {
	// since is the store revision at which the zone was evacuated.
	since int64
	// deadline is a boottime, so that a suspension of this machine does not prolong the runs.
	deadline time.Time
}

// update records the evacuations. The drain deadline of a newly evacuated zone is after the window, or now if evacuations were unknown before.
func (e *drainingZones) update(evacuations *fleet.Evacuations, now time.Time, window time.Duration) {
	if evacuations == e.evacuations {
		return
	}
	if e.evacuations == nil {
		window = 0
	}
	e.evacuations = evacuations
	if evacuations == nil {
		return
	}
	zones := make(map[string]drainingZone)
	for _, zone := range evacuations.Zones() {
		since := evacuations.Since(zone)
		if known, ok := e.zones[zone]; ok && known.since == since {
			zones[zone] = known
			continue
		}
		zones[zone] = drainingZone{since: since, deadline: now.Add(window)}
		e.selectedAt = time.Time{}
	}
	e.zones = zones
}

// evacuatedRun is a run in an evacuated zone, with the criteria for ending it.
type evacuatedRun struct {
	run *run
	// timeLeft is the expected remaining time of the stream, and untilDeadline the time until the zone's drain deadline.
	timeLeft, untilDeadline time.Duration
	// freeSlots counts the free slots in the pool where the item could resume. Runs of one pool share the counter. It is nil if no engine can take
	// the item now.
	freeSlots *int
	// unwanted is true if no job waits for the run. Such a run continues until the deadline.
	unwanted bool
}

func (s *evacuatedRun) mustEnd() bool { return s.untilDeadline <= drainMargin }

// mayStay reports whether the run continues until mustEnd: its stream is expected to end in time, or no job waits for its item.
func (s *evacuatedRun) mayStay() bool { return s.unwanted || s.timeLeft < s.untilDeadline-drainMargin }

// selectRunsToEnd returns all runs that must end now, and an equal share of the others per remaining interval, to spread the prefill load. Of the
// others, those with the most time left come first, and no more than there are free slots elsewhere.
func selectRunsToEnd(evacuated []evacuatedRun) []*run {
	var chosen []*run
	var optional []evacuatedRun
	share := 0.0
	for _, candidate := range evacuated {
		switch {
		case candidate.mustEnd():
			chosen = append(chosen, candidate.run)
		case !candidate.mayStay():
			optional = append(optional, candidate)
			share += drainInterval.Seconds() / (candidate.untilDeadline - drainMargin).Seconds()
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
		if candidate.freeSlots == nil || *candidate.freeSlots <= 0 {
			continue
		}
		*candidate.freeSlots--
		budget--
		chosen = append(chosen, candidate.run)
	}
	return chosen
}

// drainEvacuatedZones ends runs in evacuated zones before the drain deadline, so that their items resume elsewhere. It returns the longest delay
// until the next call, which is idleInterval once no runs are left. The mutex must be held.
func (r *Runner) drainEvacuatedZones(pass *schedulingPass) (delay time.Duration) {
	if r.EvacuateTime == 0 {
		return idleInterval
	}
	now := boottime.Now()
	draining := &r.draining
	draining.update(pass.view.Evacuations, now, time.Duration(drainShare*float64(r.EvacuateTime)))
	if len(draining.zones) == 0 {
		return idleInterval
	}
	if elapsed := now.Sub(draining.selectedAt); elapsed < drainInterval {
		// Runs may have been adopted since the last selection; idleInterval could exceed their deadline.
		return drainInterval - elapsed
	}
	evacuated := r.evacuatedRuns(pass, now)
	chosen := selectRunsToEnd(evacuated)
	for _, ended := range chosen {
		r.endEvacuated(ended)
	}
	draining.selectedAt = now
	if len(chosen) == len(evacuated) {
		return idleInterval
	}
	return drainInterval
}

// endEvacuated ends a run in an evacuated zone, so that its item resumes elsewhere. The mutex must be held.
func (r *Runner) endEvacuated(ended *run) {
	it := ended.item
	level.Info(r.Logger).Log("msg", "run ended in evacuated zone", "request", it.ID, "job", it.job.ID, "run", ended.id, "worker", ended.worker,
		"engine", ended.engine, "zone", ended.zone, "evacuated_at", r.draining.zones[ended.zone].since,
		"evacuations", r.draining.evacuations.Revision(), "text_events", it.text.Len(), "time_left", r.timeLeft(it).Round(time.Millisecond))
	r.Observer.HandedOver(HandOverEvacuated)
	ended.moving = true
	ended.cancel()
}

// evacuatedRuns returns the runs in evacuated zones that have not been canceled yet. The mutex must be held.
func (r *Runner) evacuatedRuns(pass *schedulingPass, now time.Time) []evacuatedRun {
	if r.draining.evacuations == nil {
		return nil
	}
	var found []evacuatedRun
	freeSlots := make(map[*pool]*int)
	for _, rn := range r.runs {
		if rn.moving || !rn.streaming {
			continue
		}
		zone, draining := r.draining.zones[r.zoneOf(rn, pass.view)]
		detached := r.isDetached(rn)
		if !draining || (!detached && !rn.current()) {
			continue
		}
		candidate := evacuatedRun{run: rn, timeLeft: r.timeLeft(rn.item), untilDeadline: zone.deadline.Sub(now), unwanted: detached}
		if !candidate.mustEnd() && !candidate.mayStay() {
			candidate.freeSlots = r.freeSlotsFor(pass, rn.item, freeSlots)
		}
		found = append(found, candidate)
	}
	return found
}

// zoneOf returns the zone of a run's engine, or "" if it is unknown. The mutex must be held.
func (r *Runner) zoneOf(rn *run, view *fleet.View) string {
	if rn.zone == "" {
		if engine, listed := view.Engines.Get(rn.engine); listed {
			rn.zone = engine.Zone
		}
	}
	return rn.zone
}

// freeSlotsFor returns the counter of free slots in the pool where an item could resume, or nil if no engine of that pool can take the item now.
// counters caches the counters by pool. The mutex must be held.
func (r *Runner) freeSlotsFor(pass *schedulingPass, it *item, counters map[*pool]*int) *int {
	if pass.view.Routes == nil {
		return nil
	}
	route := pass.view.Routes.Match(it.job.Host, it.Path)
	if route == nil {
		return nil
	}
	if other, _ := pass.choose(route, it, 0); other == nil {
		return nil
	}
	target := pass.poolOf(route, it)
	counter, ok := counters[target]
	if !ok {
		free := target.freeSlots() - r.pendingFor(pass, target)
		counter = &free
		counters[target] = counter
	}
	return counter
}

// freeSlots returns the number of free slots in the pool.
func (p *pool) freeSlots() int {
	free := 0
	for _, c := range p.byID {
		free += c.record.slots - c.record.running
	}
	return free
}

// pendingFor counts the items that will soon take a slot in a pool: waiting items, and items whose runs were ended so that they resume elsewhere. The
// mutex must be held.
func (r *Runner) pendingFor(pass *schedulingPass, target *pool) int {
	count := 0
	for _, j := range r.order {
		if j.ended {
			continue
		}
		for _, it := range j.items {
			if it.phase != phaseWaiting && (it.phase != phaseRunning || !it.run.moving) {
				continue
			}
			if route := pass.view.Routes.Match(j.Host, it.Path); route != nil && pass.poolOf(route, it) == target {
				count++
			}
		}
	}
	return count
}
