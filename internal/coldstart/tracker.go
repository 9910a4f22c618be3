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
	// seen is the last processed view.
	seen atomic.Pointer[fleet.View]
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
	// listedAt is when the engine was last listed.
	listedAt time.Time
}

// NewTracker returns a Tracker of the engines of a state. now must be a clock that includes time during which the machine is suspended.
func NewTracker(state *fleet.State, now func() time.Time, logger log.Logger) *Tracker {
	w := &Tracker{state: state, now: now, logger: logger, engines: make(map[string]*engineRecord), listed: make(map[string]struct{})}
	w.cold.Store(&map[string]time.Time{})
	return w
}

// Run processes the views of the state until ctx ends. Cold processes a new view itself if Run has not yet done so.
func (w *Tracker) Run(ctx context.Context) {
	for ctx.Err() == nil {
		_, changed := w.state.Changed()
		w.observe()
		if w.Count() == 0 {
			pause.Unless(ctx, changed, time.Hour)
			continue
		}
		pause.Unless(ctx, changed, sweepInterval)
		w.sweep()
	}
}

// Relist makes new engines of the next view count as listed before, not as just started. Call it after a gap in following the deployment.
func (w *Tracker) Relist() {
	w.mu.Lock()
	defer w.mu.Unlock()
	clear(w.listed)
}

// Cold reports whether an engine is cold now.
func (w *Tracker) Cold(engine *fleet.Engine) bool {
	if w.state.View() != w.seen.Load() {
		w.observe()
	}
	until, ok := (*w.cold.Load())[engine.ID]
	return ok && w.now().Before(until)
}

// Count returns the number of cold engines.
func (w *Tracker) Count() int { return len(*w.cold.Load()) }

// Rate returns the cold rate of a service, in requests per second and engine; zero if its engines are never cold or the service is unknown.
func (w *Tracker) Rate(service string) float64 {
	return coldService(w.state.View().Routes, service).ColdRate
}

// coldService returns a service that has a cold rate, else the zero Service.
func coldService(routes *routing.Table, name string) routing.Service {
	if routes == nil || routes.Services[name].ColdRate <= 0 {
		return routing.Service{}
	}
	return routes.Services[name]
}

// anyColdService reports whether any service has a cold rate.
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
func (w *Tracker) observe() {
	w.mu.Lock()
	defer w.mu.Unlock()
	view := w.state.View()
	if view == w.seen.Load() {
		return
	}
	now := w.now()
	services := make(map[string]struct{})
	restored := w.restored(view.Evacuations)
	if !anyColdService(view.Routes) && len(w.engines) == 0 {
		w.seen.Store(view)
		return
	}
	for _, engine := range view.Engines.All() {
		service := coldService(view.Routes, engine.Service)
		if service.ColdRate == 0 {
			continue
		}
		services[engine.Service] = struct{}{}
		w.observeEngine(engine, service.ColdStart, now)
		if _, ok := restored[engine.Zone]; ok {
			w.engines[engine.ID].markCold(now, service.ColdStart)
			w.logChange(engine.ID, CauseRestored, now)
		}
	}
	// Must follow the loop: engines in the first view of a service have not just started.
	for service := range services {
		w.listed[service] = struct{}{}
	}
	for id, record := range w.engines {
		if now.Sub(record.listedAt) > recordTTL {
			delete(w.engines, id)
		}
	}
	w.publish(now)
	w.seen.Store(view)
}

// restored returns the zones whose evacuation ended since the last view, and stores the evacuated ones. The mutex must be held.
func (w *Tracker) restored(evacuations *fleet.Evacuations) map[string]struct{} {
	if evacuations == nil {
		return nil
	}
	gone := make(map[string]struct{})
	for zone := range w.evacuated {
		if !evacuations.Include(zone) {
			gone[zone] = struct{}{}
		}
	}
	w.evacuated = make(map[string]struct{})
	for _, zone := range evacuations.Zones() {
		w.evacuated[zone] = struct{}{}
	}
	return gone
}

// observeEngine updates an engine's record from its entry. The mutex must be held.
func (w *Tracker) observeEngine(engine *fleet.Engine, coldStart time.Duration, now time.Time) {
	record, known := w.engines[engine.ID]
	if !known {
		record = &engineRecord{}
		w.engines[engine.ID] = record
		if _, listedBefore := w.listed[engine.Service]; listedBefore {
			record.markCold(now, coldStart)
			w.logChange(engine.ID, CauseStart, now)
		}
	}
	record.listedAt = now
	if known && engine.ColdRemaining == record.entry {
		return
	}
	record.entry, record.entryAt = engine.ColdRemaining, now
	if record.applyEntry(now) {
		w.logChange(engine.ID, CauseEntry, now)
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
func (w *Tracker) logChange(id string, cause Cause, now time.Time) {
	record := w.engines[id]
	level.Info(w.logger).Log("msg", "engine cold state changed", "engine", id, "cold", now.Before(record.until), "cause", cause,
		"for", max(record.until.Sub(now), 0).Round(time.Millisecond), "entry_rest", record.entry, "entry_age", now.Sub(record.entryAt).Round(time.Millisecond))
}

// sweep removes engines whose cold time has elapsed from the set of cold engines.
func (w *Tracker) sweep() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	for id, until := range *w.cold.Load() {
		if _, known := w.engines[id]; known && !now.Before(until) {
			w.logChange(id, CauseTime, now)
		}
	}
	w.publish(now)
}

// publish replaces the set of cold engines. The mutex must be held.
func (w *Tracker) publish(now time.Time) {
	cold := make(map[string]time.Time)
	for id, record := range w.engines {
		if now.Before(record.until) {
			cold[id] = record.until
		}
	}
	w.cold.Store(&cold)
}
