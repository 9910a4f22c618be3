package batchrun

import (
	"context"
	"sort"
	"time"

	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/forward"
	"github.com/covelink/covelink/internal/routing"
)

const (
	// scheduleInterval is the longest pause between two looks while items wait.
	scheduleInterval = 100 * time.Millisecond
	// idleInterval is the longest pause while nothing waits.
	idleInterval = time.Second
	// defaultSlots stands for engines that tell no slots.
	defaultSlots = 4
	// assumedPace stands for engines that have made no event yet.
	assumedPace = 40 * time.Millisecond
	// paceWeight is the share of the newest pause between events in the moving average.
	paceWeight = 0.1
	// affinityFactor is the cost of an engine that holds the item's shared prompt, relative to one that does not.
	affinityFactor = 0.7
	// loadFactor is how much slower a full engine is than an idle one.
	loadFactor = 0.6
	// firstBackoff and maxBackoff bound how long an engine is left aside after failures in a row.
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 2 * time.Second
	// busyBackoff is how long an engine that refused is left aside.
	busyBackoff = 80 * time.Millisecond
	// maxPrefixes bounds the shared prompts that an engine is taken to hold.
	maxPrefixes = 256
)

// engineRecord is what the runner knows of an engine beyond the list.
type engineRecord struct {
	running  int
	asideTil time.Time
	failures int
	// pace is the moving average of the pause between two events.
	pace time.Duration
	// versions are weight versions that answers have told, by model.
	versions map[string]int64
	// prefixes are the shared prompts that it was sent under its present weights.
	prefixes map[string]struct{}
}

func (r *Runner) engine(id string) *engineRecord {
	record, ok := r.engines[id]
	if !ok {
		record = &engineRecord{versions: make(map[string]int64), prefixes: make(map[string]struct{})}
		r.engines[id] = record
	}
	return record
}

// version returns the weight version of a model at an engine, as far as it is known.
func (e *engineRecord) version(engine *fleet.Engine, model string) int64 {
	return max(engine.Versions[model], e.versions[model])
}

// noteVersion takes in the version that an answer told.
func (e *engineRecord) noteVersion(model string, version int64) {
	if version == e.versions[model] {
		return
	}
	e.versions[model] = version
	clear(e.prefixes)
}

func (e *engineRecord) observePace(pause time.Duration) {
	if e.pace == 0 {
		e.pace = pause
		return
	}
	e.pace += time.Duration(paceWeight * float64(pause-e.pace))
}

// cost is the expected pause between events of one more item.
func (e *engineRecord) cost(slots int, prefix string) float64 {
	pace := e.pace
	if pace == 0 {
		pace = assumedPace
	}
	cost := pace.Seconds() * (1 + loadFactor*float64(e.running)/float64(slots))
	if _, held := e.prefixes[prefix]; held && prefix != "" {
		cost *= affinityFactor
	}
	return cost
}

// scheduleUntil places items until ctx ends.
func (r *Runner) scheduleUntil(ctx context.Context) {
	for ctx.Err() == nil {
		_, changed := r.State.Changed()
		r.mu.Lock()
		left := r.schedule(ctx)
		r.mu.Unlock()
		pause := idleInterval
		if left > 0 {
			pause = scheduleInterval
		}
		timer := time.NewTimer(pause)
		select {
		case <-r.wake:
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// schedule places as many waiting items as there is room for, and returns how many are left. The mutex must be held.
func (r *Runner) schedule(ctx context.Context) int {
	view := r.State.View()
	if view.Routes == nil {
		return 0
	}
	now := r.now()
	left := 0
	for _, it := range r.waiting(view) {
		if it.notBefore.After(now) {
			left++
			continue
		}
		route := view.Routes.Match(it.job.Host, it.Path)
		engine := r.choose(view, route, it, now)
		if engine == nil {
			left++
			continue
		}
		r.start(ctx, it, route, engine)
	}
	return left
}

// waiting returns the items that wait, those first that are placed first, and gives up those that have waited too long.
func (r *Runner) waiting(view *fleet.View) []*item {
	type entry struct {
		item     *item
		priority int
		due      time.Time
	}
	var entries []entry
	now := r.now()
	for _, j := range r.order {
		if j.ended {
			continue
		}
		for _, it := range j.items {
			if it.phase != phaseWaiting {
				continue
			}
			route := view.Routes.Match(j.Host, it.Path)
			if route == nil || (route.MaxQueue > 0 && now.Sub(j.accepted) > route.MaxQueue) {
				r.giveUp(it, "route gone or waited too long")
				continue
			}
			entries = append(entries, entry{item: it, priority: route.Priority, due: j.accepted.Add(route.ResultDeadline)})
		}
	}
	sort.SliceStable(entries, func(a, b int) bool {
		x, y := entries[a], entries[b]
		if x.priority != y.priority {
			return x.priority < y.priority
		}
		if !x.due.Equal(y.due) {
			return x.due.Before(y.due)
		}
		return x.item.carried && !y.item.carried
	})
	items := make([]*item, 0, len(entries))
	for _, e := range entries {
		items = append(items, e.item)
	}
	return items
}

// choose returns the engine for an item, or nil if none can take it now.
func (r *Runner) choose(view *fleet.View, route *routing.Route, it *item, now time.Time) *fleet.Engine {
	var best *fleet.Engine
	var bestCost float64
	for _, engine := range view.Ready(route.Pick(draw(it.ID))) {
		record := r.engine(engine.ID)
		slots := engine.Slots
		if slots <= 0 {
			slots = defaultSlots
		}
		if !r.canTake(record, engine, route, it, slots, now) {
			continue
		}
		cost := record.cost(slots, it.Prefix)
		if best == nil || cost < bestCost {
			best, bestCost = engine, cost
		}
	}
	return best
}

// canTake reports whether an engine can take an item now.
func (r *Runner) canTake(record *engineRecord, engine *fleet.Engine, route *routing.Route, it *item, slots int, now time.Time) bool {
	if record.running >= slots || record.asideTil.After(now) {
		return false
	}
	version := record.version(engine, it.job.Model)
	if version < it.job.MinVersion {
		return false
	}
	return !route.SingleVersion || len(it.versions) == 0 || it.versions[0] == version
}

// draw spreads items evenly over [0, 1) by their IDs.
func draw(id string) float64 {
	return float64(hash(id)>>11) / (1 << 53)
}

// singleVersion reports whether an item's text must be made by one weight version.
func (r *Runner) singleVersion(it *item) bool {
	view := r.State.View()
	if view.Routes == nil {
		return false
	}
	route := view.Routes.Match(it.job.Host, it.Path)
	return route != nil && route.SingleVersion
}

// start begins an attempt at an engine. The mutex must be held.
func (r *Runner) start(ctx context.Context, it *item, route *routing.Route, engine *fleet.Engine) {
	record := r.engine(engine.ID)
	record.running++
	if it.Prefix != "" && len(record.prefixes) < maxPrefixes {
		record.prefixes[it.Prefix] = struct{}{}
	}
	it.phase = phaseRunning
	it.lastEngine = engine.ID
	attemptCtx, cancel := context.WithCancel(ctx)
	it.cancel = cancel
	options := forward.SendOptions{Priority: -1}
	if len(it.events) > 0 {
		options.Resume, options.LastEventID = true, it.lastID
	}
	if route.MaxQueue > 0 {
		options.TimeLeft = max(route.MaxQueue-r.now().Sub(it.job.accepted), time.Second)
	}
	a := &attempt{runner: r, item: it, engine: engine, route: route, options: options, cancel: cancel, version: record.version(engine, it.job.Model)}
	r.running.Go(func() {
		defer cancel()
		a.run(attemptCtx)
	})
}
