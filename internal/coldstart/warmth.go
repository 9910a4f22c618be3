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
	// entryMargin is added to the rest that an entry tells: clocks of engine and process differ in pace, and a process looks at its view late.
	entryMargin = 200 * time.Millisecond
	// entryDelay is how long an entry may take from its engine to this process: one that says warm and comes sooner after an event may be from
	// before it.
	entryDelay = 2 * time.Second
	// forgetAfter is how long an engine that is not listed any more is remembered: lists are incomplete for some seconds after a process has
	// begun to follow the deployment anew, and an engine that returns to one has not started.
	forgetAfter = 30 * time.Second
	// sweepInterval is the pause between two looks for engines that have become warm, while there are cold ones.
	sweepInterval = 100 * time.Millisecond
)

// Cause is what decided that an engine is cold or warm, as logs tell it.
type Cause string

// The causes.
const (
	// CauseEntry: the engine's entry tells it.
	CauseEntry Cause = "entry"
	// CauseStart: the engine appeared among others of its service.
	CauseStart Cause = "start"
	// CauseRestored: its zone was evacuated until now.
	CauseRestored Cause = "zone restored"
	// CauseTime: the time for which it was taken for cold is over.
	CauseTime Cause = "time over"
)

// Warmth tells which engines are cold. It is safe for concurrent use.
type Warmth struct {
	state  *fleet.State
	now    func() time.Time
	logger log.Logger
	// seen is the last view that was taken in.
	seen atomic.Pointer[fleet.View]
	// cold maps the engines that are cold to until when; it is replaced as a whole.
	cold atomic.Pointer[map[string]time.Time]

	mu      sync.Mutex
	engines map[string]*warmthRecord
	// started are the services of which engines were listed before.
	started map[string]struct{}
	// evacuated are the zones that were evacuated in the last view.
	evacuated map[string]struct{}
}

// warmthRecord is what is known of one start of an engine.
type warmthRecord struct {
	// entry is the rest that its entry told last, and entryAt when this process first saw that.
	entry   time.Duration
	entryAt time.Time
	// until is when it becomes warm; zero or past for a warm one.
	until time.Time
	// believeFrom is from when on an entry that says warm is believed.
	believeFrom time.Time
	// listedAt is when it was last listed.
	listedAt time.Time
}

// NewWarmth returns a Warmth of a state, by a clock that counts suspensions of the machine.
func NewWarmth(state *fleet.State, now func() time.Time, logger log.Logger) *Warmth {
	w := &Warmth{state: state, now: now, logger: logger, engines: make(map[string]*warmthRecord), started: make(map[string]struct{})}
	w.cold.Store(&map[string]time.Time{})
	return w
}

// Run takes in every view until ctx ends. What it misses is taken in when Cold is asked.
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

// Relist makes the engines of the next list count as not seen to start, unless they were known before: for a process that has not followed the
// deployment for a while.
func (w *Warmth) Relist() {
	w.mu.Lock()
	defer w.mu.Unlock()
	clear(w.started)
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

// Rate returns how many requests a second a cold engine of a service bears; zero if its engines are never cold or it is not known.
func (w *Warmth) Rate(service string) float64 {
	return coldService(w.state.View().Routes, service).ColdRate
}

// coldService returns a service whose engines may be cold, or the zero Service.
func coldService(routes *routing.Table, name string) routing.Service {
	if routes == nil || routes.Services[name].ColdRate <= 0 {
		return routing.Service{}
	}
	return routes.Services[name]
}

// observe takes in the newest view, unless that was done. Views are never taken in out of their order: a zone would seem to be restored.
func (w *Warmth) observe() {
	w.mu.Lock()
	defer w.mu.Unlock()
	view := w.state.View()
	if view == w.seen.Load() {
		return
	}
	now := w.now()
	listed := make(map[string]struct{})
	restored := w.restored(view.Evacuations)
	for _, engine := range view.Engines {
		service := coldService(view.Routes, engine.Service)
		if service.ColdRate == 0 {
			continue
		}
		listed[engine.Service] = struct{}{}
		_, amongOthers := w.started[engine.Service]
		w.observeEngine(engine, service.ColdStart, amongOthers, now)
		if _, ok := restored[engine.Zone]; ok {
			w.engines[engine.ID].event(now, service.ColdStart)
			w.tell(engine.ID, CauseRestored, now)
		}
	}
	for service := range listed {
		w.started[service] = struct{}{}
	}
	for id, record := range w.engines {
		if now.Sub(record.listedAt) > forgetAfter {
			delete(w.engines, id)
		}
	}
	w.publish(now)
	w.seen.Store(view)
}

// restored returns the zones that are evacuated no longer.
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

// observeEngine takes in an engine's entry. The mutex must be held.
func (w *Warmth) observeEngine(engine *fleet.Engine, coldStart time.Duration, amongOthers bool, now time.Time) {
	record, known := w.engines[engine.ID]
	if !known {
		record = &warmthRecord{}
		w.engines[engine.ID] = record
		if amongOthers {
			record.event(now, coldStart)
			w.tell(engine.ID, CauseStart, now)
		}
	}
	record.listedAt = now
	if known && engine.ColdRemaining == record.entry {
		return
	}
	record.entry, record.entryAt = engine.ColdRemaining, now
	if record.takeEntry(now) {
		w.tell(engine.ID, CauseEntry, now)
	}
}

// event takes in that the engine has most likely turned cold.
func (r *warmthRecord) event(now time.Time, coldStart time.Duration) {
	if until := now.Add(coldStart); until.After(r.until) {
		r.until = until
	}
	r.believeFrom = now.Add(entryDelay)
}

// takeEntry takes in a changed entry. It reports whether that decides. Its age is not known: it counts as if it had just been written, which
// takes an engine for cold for longer than it is.
func (r *warmthRecord) takeEntry(now time.Time) bool {
	if r.entry <= 0 {
		if now.Before(r.believeFrom) || !now.Before(r.until) {
			return false
		}
		r.until = now
		return true
	}
	// It is from after the event: one that says warm from now on is newer still.
	r.believeFrom = time.Time{}
	r.until = now.Add(r.entry + entryMargin)
	return true
}

// tell logs a decision: one line for each changed input of an engine. The mutex must be held.
func (w *Warmth) tell(id string, cause Cause, now time.Time) {
	record := w.engines[id]
	level.Info(w.logger).Log("msg", "engine warmth changed", "engine", id, "cold", now.Before(record.until), "cause", cause,
		"for", max(record.until.Sub(now), 0).Round(time.Millisecond), "entry_rest", record.entry, "entry_age", now.Sub(record.entryAt).Round(time.Millisecond))
}

// sweep drops the engines that have become warm.
func (w *Warmth) sweep() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	for id, until := range *w.cold.Load() {
		if _, known := w.engines[id]; known && !now.Before(until) {
			w.tell(id, CauseTime, now)
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
