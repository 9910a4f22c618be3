package coldstart

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/pause"
	"github.com/covelink/covelink/internal/routing"
)

const (
	// entryMargin is added to the remaining cold time of an entry: the clocks of the engine and this process may drift, and a process reads a view
	// some time after it changed.
	entryMargin = 200 * time.Millisecond
	// maxEntryDelay bounds the propagation of an entry from its engine to this process. An entry without cold time that arrives within this time of
	// a start may predate it.
	maxEntryDelay = 2 * time.Second
	// recordTTL is how long the record of an unlisted engine is kept. Lists may be incomplete for some seconds after a process resumes following
	// the deployment; an engine that reappears has not restarted.
	recordTTL = 30 * time.Second
	// sweepInterval is the pause between two checks for engines that have become warm. It bounds the delay of the log line and of Count.
	sweepInterval = 100 * time.Millisecond
)

// Cause is why the cold state of an engine changed, as logged.
type Cause string

// The causes.
const (
	// CauseEntry: the engine's entry changed.
	CauseEntry Cause = "entry"
	// CauseStart: the engine appeared in a service with engines already listed.
	CauseStart Cause = "start"
	// CauseRestored: the evacuation of its zone ended.
	CauseRestored Cause = "zone restored"
	// CauseTime: its cold time has elapsed.
	CauseTime Cause = "time over"
)

// Tracker determines which engines are cold. It is safe for concurrent use.
type Tracker struct {
	state  *fleet.State
	now    func() time.Time
	logger log.Logger
	// lastView is the last processed view.
	lastView atomic.Pointer[fleet.View]
	// cold maps the IDs of cold engines to when each becomes warm. The map is replaced as a whole so that Cold takes no lock.
	cold atomic.Pointer[map[string]time.Time]

	mu      sync.Mutex
	engines map[string]*engineRecord
	// listed holds the services that had engines in an earlier view.
	listed map[string]struct{}
	// evacuated holds the evacuated zones of the last view with known evacuations.
	evacuated map[string]struct{}
}

// engineRecord is the state of one start of an engine.
type engineRecord struct {
	// entry is the remaining cold time in the engine's last entry, and entryAt when that value was first seen.
	entry   time.Duration
	entryAt time.Time
	// until is when the engine becomes warm; zero or past if it is warm.
	until time.Time
	// ignoreWarmUntil is the moment before which entries without cold time are ignored.
	ignoreWarmUntil time.Time
	listedAt        time.Time
}

// NewTracker returns a Tracker of the engines of a state. now must be a clock that includes time during which the machine is suspended.
func NewTracker(state *fleet.State, now func() time.Time, logger log.Logger) *Tracker {
	t := &Tracker{state: state, now: now, logger: logger, engines: make(map[string]*engineRecord), listed: make(map[string]struct{})}
	t.cold.Store(&map[string]time.Time{})
	return t
}

// Run processes the views of the state until ctx ends. Cold processes a new view itself if Run has not yet done so.
func (t *Tracker) Run(ctx context.Context) {
	for ctx.Err() == nil {
		_, changed := t.state.Changed()
		t.observe()
		if t.Count() == 0 {
			pause.Unless(ctx, changed, time.Hour)
			continue
		}
		pause.Unless(ctx, changed, sweepInterval)
		t.sweep()
	}
}

// Relist makes new engines of the next view count as listed before, not as just started. Call it after a gap in following the deployment.
func (t *Tracker) Relist() {
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.listed)
}

// Cold reports whether an engine is cold now.
func (t *Tracker) Cold(engine *fleet.Engine) bool {
	if t.state.View() != t.lastView.Load() {
		t.observe()
	}
	until, ok := (*t.cold.Load())[engine.ID]
	return ok && t.now().Before(until)
}

// Count returns the number of cold engines.
func (t *Tracker) Count() int { return len(*t.cold.Load()) }

// Rate returns the cold rate of a service, in requests per second and engine; zero if its engines are never cold or the service is unknown.
func (t *Tracker) Rate(service string) float64 {
	return coldService(t.state.View().Routes, service).ColdRate
}

// coldService returns a service that has a cold rate, else the zero Service.
func coldService(routes *routing.Table, name string) routing.Service {
	if routes == nil || routes.Services[name].ColdRate <= 0 {
		return routing.Service{}
	}
	return routes.Services[name]
}

func anyColdService(routes *routing.Table) bool {
	if routes == nil {
		return false
	}
	for _, service := range routes.Services {
		if service.ColdRate > 0 {
			return true
		}
	}
	return false
}

// observe updates the records from the current view unless that was already done. It reads the view under the mutex: processing an older view after
// a newer one would make a zone appear restored.
func (t *Tracker) observe() {
	t.mu.Lock()
	defer t.mu.Unlock()
	view := t.state.View()
	if view == t.lastView.Load() {
		return
	}
	now := t.now()
	services := make(map[string]struct{})
	restored := t.restored(view.Evacuations)
	if !anyColdService(view.Routes) && len(t.engines) == 0 {
		t.lastView.Store(view)
		return
	}
	for _, engine := range view.Engines.All() {
		service := coldService(view.Routes, engine.Service)
		if service.ColdRate == 0 {
			continue
		}
		services[engine.Service] = struct{}{}
		t.observeEngine(engine, service.ColdStart, now)
		if _, ok := restored[engine.Zone]; ok {
			t.engines[engine.ID].markCold(now, service.ColdStart)
			t.logChange(engine.ID, CauseRestored, now)
		}
	}
	// Must follow the loop: engines in the first view of a service have not just started.
	for service := range services {
		t.listed[service] = struct{}{}
	}
	for id, record := range t.engines {
		if now.Sub(record.listedAt) > recordTTL {
			delete(t.engines, id)
		}
	}
	t.publish(now)
	t.lastView.Store(view)
}

// restored returns the zones whose evacuation ended since the last view, and stores the evacuated ones. The mutex must be held.
func (t *Tracker) restored(evacuations *fleet.Evacuations) map[string]struct{} {
	if evacuations == nil {
		return nil
	}
	ended := make(map[string]struct{})
	for zone := range t.evacuated {
		if !evacuations.Contains(zone) {
			ended[zone] = struct{}{}
		}
	}
	t.evacuated = make(map[string]struct{})
	for _, zone := range evacuations.Zones() {
		t.evacuated[zone] = struct{}{}
	}
	return ended
}

// observeEngine updates an engine's record from its entry. The mutex must be held.
func (t *Tracker) observeEngine(engine *fleet.Engine, coldStart time.Duration, now time.Time) {
	record, known := t.engines[engine.ID]
	if !known {
		record = &engineRecord{}
		t.engines[engine.ID] = record
		if _, listedBefore := t.listed[engine.Service]; listedBefore {
			record.markCold(now, coldStart)
			t.logChange(engine.ID, CauseStart, now)
		}
	}
	record.listedAt = now
	if known && engine.ColdRemaining == record.entry {
		return
	}
	record.entry, record.entryAt = engine.ColdRemaining, now
	if record.applyEntry(now) {
		t.logChange(engine.ID, CauseEntry, now)
	}
}

// markCold records that the engine may have become cold now because it started or its zone was restored.
func (r *engineRecord) markCold(now time.Time, coldStart time.Duration) {
	if until := now.Add(coldStart); until.After(r.until) {
		r.until = until
	}
	r.ignoreWarmUntil = now.Add(maxEntryDelay)
}

// applyEntry applies a changed entry and reports whether until has changed. As the age of an entry is unknown, it is treated as just written: the
// engine counts as cold for too long rather than too short a time.
func (r *engineRecord) applyEntry(now time.Time) bool {
	if r.entry <= 0 {
		if now.Before(r.ignoreWarmUntil) || !now.Before(r.until) {
			return false
		}
		r.until = now
		return true
	}
	// The engine wrote this entry after it became cold, so a later entry without cold time is valid.
	r.ignoreWarmUntil = time.Time{}
	r.until = now.Add(r.entry + entryMargin)
	return true
}

// logChange logs a change of an engine's cold state and its cause. The mutex must be held.
func (t *Tracker) logChange(id string, cause Cause, now time.Time) {
	record := t.engines[id]
	level.Info(t.logger).Log("msg", "engine cold state changed", "engine", id, "cold", now.Before(record.until), "cause", cause,
		"for", max(record.until.Sub(now), 0).Round(time.Millisecond), "entry_rest", record.entry, "entry_age", now.Sub(record.entryAt).Round(time.Millisecond))
}

// sweep removes engines whose cold time has elapsed from the set of cold engines.
func (t *Tracker) sweep() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	for id, until := range *t.cold.Load() {
		if _, known := t.engines[id]; known && !now.Before(until) {
			t.logChange(id, CauseTime, now)
		}
	}
	t.publish(now)
}

// publish replaces the set of cold engines. The mutex must be held.
func (t *Tracker) publish(now time.Time) {
	cold := make(map[string]time.Time)
	for id, record := range t.engines {
		if now.Before(record.until) {
			cold[id] = record.until
		}
	}
	t.cold.Store(&cold)
}
