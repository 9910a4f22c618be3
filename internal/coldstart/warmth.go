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
	// entryMargin is added to the remaining time of an entry: the clocks of engine and process run at different speeds, and a process looks at its
	// view some time after it changed.
	entryMargin = 200 * time.Millisecond
	// entryDelay is how long an entry may take from its engine to this process. An entry that says warm and arrives within this time of a start may
	// have been written before it.
	entryDelay = 2 * time.Second
	// forgetAfter is how long an engine that is no longer listed is remembered. Lists are incomplete for some seconds after a process begins to
	// follow the deployment again; an engine that reappears in one has not started.
	forgetAfter = 30 * time.Second
	// sweepInterval is the pause between two looks for engines that have become warm: how late a log line and the count of cold engines may be.
	sweepInterval = 100 * time.Millisecond
)

// Cause is why an engine counts as cold or warm, as logged.
type Cause string

// The causes.
const (
	// CauseEntry: the engine's entry says so.
	CauseEntry Cause = "entry"
	// CauseStart: the engine appeared in a service of which engines were listed before.
	CauseStart Cause = "start"
	// CauseRestored: the evacuation of its zone ended.
	CauseRestored Cause = "zone restored"
	// CauseTime: its cold time is over.
	CauseTime Cause = "time over"
)

// Warmth tells which engines are cold. It is safe for concurrent use.
type Warmth struct {
	state  *fleet.State
	now    func() time.Time
	logger log.Logger
	// seen is the last view that was observed.
	seen atomic.Pointer[fleet.View]
	// cold maps the IDs of cold engines to when each becomes warm. It is replaced as a whole, so that Cold takes no lock.
	cold atomic.Pointer[map[string]time.Time]

	mu      sync.Mutex
	engines map[string]*warmthRecord
	// listed are the services of which engines were listed in an earlier view.
	listed map[string]struct{}
	// evacuated are the zones that were evacuated in the last view that told evacuations.
	evacuated map[string]struct{}
}

// warmthRecord is what this process knows of one start of an engine.
type warmthRecord struct {
	// entry is the remaining cold time in the engine's last entry, and entryAt when this process first saw that value.
	entry   time.Duration
	entryAt time.Time
	// until is when it becomes warm; zero or past for a warm one.
	until time.Time
	// believeFrom is the moment from which an entry that says warm is believed.
	believeFrom time.Time
	// listedAt is when it was last listed.
	listedAt time.Time
}

// NewWarmth returns a Warmth of the engines of a state. now must be a clock that counts suspensions of the machine.
func NewWarmth(state *fleet.State, now func() time.Time, logger log.Logger) *Warmth {
	w := &Warmth{state: state, now: now, logger: logger, engines: make(map[string]*warmthRecord), listed: make(map[string]struct{})}
	w.cold.Store(&map[string]time.Time{})
	return w
}

// Run observes the views of the state until ctx ends. Cold observes a view that Run has not got to yet.
func (w *Warmth) Run(ctx context.Context) {
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

// Relist makes the unknown engines of the next view count as listed before, not as just started. A process calls it when it has not followed the
// deployment for a while.
func (w *Warmth) Relist() {
	w.mu.Lock()
	defer w.mu.Unlock()
	clear(w.listed)
}

// Cold reports whether an engine is cold now.
func (w *Warmth) Cold(engine *fleet.Engine) bool {
	if w.state.View() != w.seen.Load() {
		w.observe()
	}
	until, ok := (*w.cold.Load())[engine.ID]
	return ok && w.now().Before(until)
}

// Count returns the number of cold engines.
func (w *Warmth) Count() int { return len(*w.cold.Load()) }

// Rate returns the cold rate of a service, in requests a second for each engine; zero if its engines are never cold or the service is unknown.
func (w *Warmth) Rate(service string) float64 {
	return coldService(w.state.View().Routes, service).ColdRate
}

// coldService returns a service if its engines may be cold, else the zero Service.
func coldService(routes *routing.Table, name string) routing.Service {
	if routes == nil || routes.Services[name].ColdRate <= 0 {
		return routing.Service{}
	}
	return routes.Services[name]
}

// anyColdService reports whether engines of any service may be cold.
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

// observe updates the records from the newest view, unless that was done. It reads the view under the mutex: an older view observed after a newer one
// would make a zone seem restored.
func (w *Warmth) observe() {
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
		// Nothing to look at in any engine.
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
			w.engines[engine.ID].turnCold(now, service.ColdStart)
			w.logChange(engine.ID, CauseRestored, now)
		}
	}
	// Only now: the engines of a service's first view did not appear among others.
	for service := range services {
		w.listed[service] = struct{}{}
	}
	for id, record := range w.engines {
		if now.Sub(record.listedAt) > forgetAfter {
			delete(w.engines, id)
		}
	}
	w.publish(now)
	w.seen.Store(view)
}

// restored returns the zones whose evacuation ended since the last view, and remembers those that are evacuated. The mutex must be held.
func (w *Warmth) restored(evacuations *fleet.Evacuations) map[string]struct{} {
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
func (w *Warmth) observeEngine(engine *fleet.Engine, coldStart time.Duration, now time.Time) {
	record, known := w.engines[engine.ID]
	if !known {
		record = &warmthRecord{}
		w.engines[engine.ID] = record
		if _, listedBefore := w.listed[engine.Service]; listedBefore {
			record.turnCold(now, coldStart)
			w.logChange(engine.ID, CauseStart, now)
		}
	}
	record.listedAt = now
	if known && engine.ColdRemaining == record.entry {
		return
	}
	record.entry, record.entryAt = engine.ColdRemaining, now
	if record.takeEntry(now) {
		w.logChange(engine.ID, CauseEntry, now)
	}
}

// turnCold records that the engine has probably become cold now: it started, or its zone was restored.
func (r *warmthRecord) turnCold(now time.Time, coldStart time.Duration) {
	if until := now.Add(coldStart); until.After(r.until) {
		r.until = until
	}
	r.believeFrom = now.Add(entryDelay)
}

// takeEntry applies a changed entry. It reports whether that changed until. The age of an entry is unknown: it counts as just written, so that an
// engine counts as cold for too long rather than too short a time.
func (r *warmthRecord) takeEntry(now time.Time) bool {
	if r.entry <= 0 {
		if now.Before(r.believeFrom) || !now.Before(r.until) {
			return false
		}
		r.until = now
		return true
	}
	// The engine wrote this entry after it became cold: an entry that says warm is newer still, and is believed at once.
	r.believeFrom = time.Time{}
	r.until = now.Add(r.entry + entryMargin)
	return true
}

// logChange logs why an engine counts as cold or warm, one line for each input that changed. The mutex must be held.
func (w *Warmth) logChange(id string, cause Cause, now time.Time) {
	record := w.engines[id]
	level.Info(w.logger).Log("msg", "engine warmth changed", "engine", id, "cold", now.Before(record.until), "cause", cause,
		"for", max(record.until.Sub(now), 0).Round(time.Millisecond), "entry_rest", record.entry, "entry_age", now.Sub(record.entryAt).Round(time.Millisecond))
}

// sweep removes the engines whose cold time is over from the set of cold engines.
func (w *Warmth) sweep() {
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
func (w *Warmth) publish(now time.Time) {
	cold := make(map[string]time.Time)
	for id, record := range w.engines {
		if now.Before(record.until) {
			cold[id] = record.until
		}
	}
	w.cold.Store(&cold)
}
