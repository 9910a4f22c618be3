package weights

import (
	"maps"
	"slices"
	"time"

	"github.com/covelink/covelink/api/enginev1"
	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/cluster"
)

// flight is an order in flight.
type flight struct {
	id    uint64
	order Order
}

// job is a load that an engine was ordered to do.
type job struct {
	Copy
	started time.Time
}

// outcome is the end of an order: the engine's answer, its refusal, or neither when the fate is unknown.
type outcome struct {
	load    *enginev1.Load
	refusal *enginev1.Refusal
	err     error
}

// record is what a term knows of one engine in its current incarnation.
type record struct {
	engine cluster.Engine // versions and incarnation as effective
	// viewIncarnation is the incarnation that the view last told.
	viewIncarnation string
	// since is when the incarnation became known: a report asked for earlier may be of one before.
	since time.Time

	load     enginev1.Load
	observed bool
	directAt time.Time // when an order's answer last told the load
	polledAt time.Time
	polling  bool

	flight   *flight
	job      *job
	failures int
	retryAt  time.Time
	// activationUnknown is true from an activation without an answer until retryAt.
	activationUnknown bool
	drainOrdered      bool
	storeNext         bool
}

// tracker is the pure state of one term: what the engines of the zone said and what was ordered of them.
type tracker struct {
	zone    string
	limits  Limits
	records map[string]*record
	nextID  uint64
}

func newTracker(zone string, limits Limits) *tracker {
	return &tracker{zone: zone, limits: limits, records: make(map[string]*record)}
}

// applyView takes in the engines of a view. A new incarnation or address voids everything known, orders in flight included.
func (t *tracker) applyView(now time.Time, view *cluster.View) {
	present := make(map[string]bool)
	for _, engine := range view.Engines {
		if engine.Zone == t.zone {
			present[engine.Name] = true
			t.applyEngine(now, engine)
		}
	}
	for name := range t.records {
		if !present[name] {
			delete(t.records, name)
		}
	}
}

func (t *tracker) applyEngine(now time.Time, engine cluster.Engine) {
	known, ok := t.records[engine.Name]
	restarted := ok && engine.Incarnation != known.viewIncarnation && engine.Incarnation != known.engine.Incarnation
	if !ok || restarted || known.engine.URL != engine.URL {
		t.records[engine.Name] = &record{engine: engine, viewIncarnation: engine.Incarnation, since: now}
		return
	}
	sameIncarnation := engine.Incarnation == known.engine.Incarnation
	if !sameIncarnation || now.Before(known.directAt.Add(t.limits.ReportLag)) {
		// The view has not caught up with what this term observed itself.
		engine.ActiveVersion = known.engine.ActiveVersion
		engine.PreparedVersions = known.engine.PreparedVersions
	}
	known.viewIncarnation = engine.Incarnation
	engine.Incarnation = known.engine.Incarnation
	known.engine = engine
}

// applyReport takes in a load report asked for at started. It returns whether the report counts.
func (t *tracker) applyReport(started time.Time, name, url string, load enginev1.Load) bool {
	known, ok := t.records[name]
	if !ok || known.engine.URL != url {
		return false
	}
	sameIncarnation := load.Incarnation == known.engine.Incarnation
	if !sameIncarnation && started.Before(known.since) {
		return false
	}
	lagging := started.Before(known.directAt.Add(t.limits.ReportLag))
	if known.observed && sameIncarnation && lagging && !known.showsProgress(load) {
		return false
	}
	t.observe(started, known, load)
	return true
}

// showsProgress reports whether a load shows the engine after the load in progress has ended well.
func (r *record) showsProgress(load enginev1.Load) bool {
	return r.job != nil && load.ActiveVersion >= r.load.ActiveVersion && slices.Contains(load.PreparedVersions, r.job.Version)
}

// observe sets what the engine said at a time.
func (t *tracker) observe(at time.Time, known *record, load enginev1.Load) {
	if load.Incarnation != known.engine.Incarnation {
		known = t.restart(at, known, load.Incarnation)
	}
	known.load = load
	known.observed = true
	known.engine.ActiveVersion = load.ActiveVersion
	known.engine.PreparedVersions = load.PreparedVersions
	t.settleJob(at, known)
}

// restart replaces the record of an engine by that of a new incarnation.
func (t *tracker) restart(at time.Time, known *record, incarnation string) *record {
	fresh := &record{engine: known.engine, viewIncarnation: known.viewIncarnation, since: at}
	fresh.engine.Incarnation = incarnation
	t.records[fresh.engine.Name] = fresh
	return fresh
}

// settleJob ends the job when the load, asked for at a time, shows its end.
func (t *tracker) settleJob(at time.Time, known *record) {
	if known.job == nil {
		return
	}
	version := known.job.Version
	if known.load.ActiveVersion == version || slices.Contains(known.load.PreparedVersions, version) {
		known.job = nil
		known.failures = 0
		known.storeNext = false
		return
	}
	age := at.Sub(known.job.started)
	stopped := known.load.Preparing != version && age >= t.limits.ReportLag
	if stopped || age >= t.limits.PrepareTimeout {
		t.failJob(at, known)
	}
}

func (t *tracker) failJob(now time.Time, known *record) {
	known.storeNext = known.job.Source != ""
	known.job = nil
	t.fail(now, known)
}

func (t *tracker) fail(now time.Time, known *record) {
	known.failures++
	known.retryAt = now.Add(t.limits.backoff(known.failures))
}

// begin notes that an order is sent and returns the id by which to finish it.
func (t *tracker) begin(now time.Time, order Order) uint64 {
	known := t.records[order.Engine]
	t.nextID++
	known.flight = &flight{id: t.nextID, order: order}
	known.activationUnknown = false
	switch order.Kind {
	case enginev1.OrderPrepare:
		known.job = &job{Copy: Copy{Version: order.Version, Source: order.Source}, started: now}
	case enginev1.OrderDrain:
		known.drainOrdered = true
	}
	return t.nextID
}

// finish takes in the outcome of an order. It returns false for an order that a new incarnation has made void.
func (t *tracker) finish(now time.Time, name string, id uint64, result outcome) bool {
	known, ok := t.records[name]
	if !ok || known.flight == nil || known.flight.id != id {
		return false
	}
	order := known.flight.order
	known.flight = nil
	switch {
	case result.load != nil:
		t.finishAccepted(now, known, order, *result.load)
	case result.refusal != nil:
		t.finishRefused(now, known, order, *result.refusal)
	default:
		t.fail(now, known)
		known.activationUnknown = order.Kind == enginev1.OrderActivate
	}
	return true
}

func (t *tracker) finishAccepted(now time.Time, known *record, order Order, load enginev1.Load) {
	t.observeDirect(now, known, load)
	known = t.records[order.Engine]
	switch {
	case order.Kind == enginev1.OrderPrepare:
		return // settleJob decides
	case shows(load, order):
		known.failures = 0
	default:
		t.fail(now, known)
	}
}

// shows reports whether the load has what an order asked for, which an accepted order does not prove.
func shows(load enginev1.Load, order Order) bool {
	switch order.Kind {
	case enginev1.OrderActivate:
		return load.ActiveVersion >= order.Version
	case enginev1.OrderUnload:
		return !slices.Contains(load.PreparedVersions, order.Version)
	case enginev1.OrderDrain:
		return load.Draining == order.Drain
	}
	return true
}

func (t *tracker) finishRefused(now time.Time, known *record, order Order, refusal enginev1.Refusal) {
	t.fail(now, known)
	if order.Kind == enginev1.OrderPrepare {
		known.job = nil
		known.storeNext = order.Source != "" && refusal.Reason != enginev1.RefusedLoading
	}
	if refusal.Load != nil {
		t.observeDirect(now, known, *refusal.Load)
	}
}

func (t *tracker) observeDirect(now time.Time, known *record, load enginev1.Load) {
	name := known.engine.Name
	t.observe(now, known, load)
	t.records[name].directAt = now
}

// pollTarget is an engine whose load report is wanted.
type pollTarget struct {
	Name string
	URL  string
}

// beginPolls returns the engines to ask for a report now: those not yet observed, those with a load in progress, and
// those that leave for reasons of their own.
func (t *tracker) beginPolls(now time.Time) []pollTarget {
	var targets []pollTarget
	// In the order of names, so that the same state gives the same polls.
	for _, name := range slices.Sorted(maps.Keys(t.records)) {
		known := t.records[name]
		wanted := !known.observed || known.job != nil || known.load.Preparing != 0 || (known.engine.Leaving && !known.engine.DrainWanted)
		if !wanted || known.polling || now.Sub(known.polledAt) < t.limits.PollInterval {
			continue
		}
		known.polling = true
		known.polledAt = now
		targets = append(targets, pollTarget{Name: name, URL: known.engine.URL})
	}
	return targets
}

// finishPoll takes in the end of a poll; load is nil when the engine did not answer.
func (t *tracker) finishPoll(started time.Time, target pollTarget, load *enginev1.Load) {
	if known, ok := t.records[target.Name]; ok {
		known.polling = false
	}
	if load != nil {
		t.applyReport(started, target.Name, target.URL, *load)
	}
}

// snapshot returns what to plan from.
func (t *tracker) snapshot(now time.Time, token uint64, view *cluster.View, targets map[string]v1.WeightVersion) Snapshot {
	snapshot := Snapshot{Now: now, Zone: t.zone, Token: token, Pools: view.Pools, Targets: targets}
	for _, engine := range view.Engines {
		known, ok := t.records[engine.Name]
		switch {
		case engine.Zone != t.zone:
			snapshot.Others = append(snapshot.Others, engine)
		case ok:
			snapshot.Engines = append(snapshot.Engines, known.state(now))
		}
	}
	return snapshot
}

func (r *record) state(now time.Time) EngineState {
	state := EngineState{
		Engine:       r.engine,
		Observed:     r.observed,
		Draining:     r.load.Draining,
		DrainOrdered: r.drainOrdered || r.load.DrainFence != 0,
		StoreNext:    r.storeNext,
		Busy:         r.flight != nil,
		RetryAt:      r.retryAt,
	}
	state.Activating = (r.flight != nil && r.flight.order.Kind == enginev1.OrderActivate) ||
		(r.activationUnknown && now.Before(r.retryAt))
	if r.job != nil {
		state.Copy = &Copy{Version: r.job.Version, Source: r.job.Source}
	} else if r.load.Preparing != 0 {
		state.Copy = &Copy{Version: r.load.Preparing}
	}
	return state
}
