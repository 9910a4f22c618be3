package controlsim

import (
	"fmt"
	"maps"
	"slices"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/configsync"
	"github.com/covelink/covelink/internal/lab/trace"
	"github.com/covelink/covelink/internal/objectapi"
)

// checks holds what the promises on the configuration are judged by.
type checks struct {
	// acked is the highest revision that anybody has seen a zone acknowledge; required that of a write which an operator
	// was told is in force in the zone.
	acked    map[string]uint64
	required map[string]uint64
	// seen is the state that each node held last.
	seen       map[*node]configsync.State
	violations map[trace.Violation]bool
}

func newChecks() checks {
	return checks{
		acked: map[string]uint64{}, required: map[string]uint64{},
		seen: map[*node]configsync.State{}, violations: map[trace.Violation]bool{},
	}
}

func (c *checks) add(promise, subject, format string, args ...any) {
	c.violations[trace.Violation{Promise: promise, Subject: subject, Detail: fmt.Sprintf(format, args...)}] = true
}

// forget takes note that a node's process has started anew.
func (c *checks) forget(n *node) { delete(c.seen, n) }

// check judges the present state; it is called after every event.
func (s *Simulation) check() {
	for _, n := range s.nodes {
		s.checks.learn(n)
	}
	for _, w := range s.writes {
		s.checkAccepted(w)
	}
	for _, n := range s.nodes {
		if n.serving() {
			s.checks.serves(n)
		}
	}
}

// learn takes over what a node shows and checks that nothing has gone back.
func (c *checks) learn(n *node) {
	if !n.up {
		return
	}
	state, before := n.replica.State(), c.seen[n]
	if state.Version == before.Version {
		return
	}
	if state.Revision < before.Revision {
		c.add(trace.PromiseNoRevert, n.name, "went back from revision %d to %d", before.Revision, state.Revision)
	}
	for key, version := range before.Accepted {
		if now, there := state.Accepted[key]; there && now < version {
			c.add(trace.PromiseNoRevert, n.name, "acceptance of %s %s went back from %d to %d", key.Kind, key.Name, version, now)
		}
	}
	for zone, revision := range state.Acks {
		c.acked[zone] = max(c.acked[zone], revision)
	}
	c.seen[n] = state
}

func (c *checks) serves(n *node) {
	revision, zone := n.replica.State().Revision, n.zone.name
	if revision < c.acked[zone] {
		c.add(trace.PromiseInForce, n.name, "serves by revision %d though its zone acknowledged %d", revision, c.acked[zone])
	}
	if revision < c.required[zone] {
		c.add(trace.PromiseInForce, n.name, "serves by revision %d though an operator was told that %d is in force", revision, c.required[zone])
	}
}

// checkAccepted notes when a stored write is shown as accepted by a node of the operator's zone.
func (s *Simulation) checkAccepted(w *write) {
	if w.result != trace.ResultPending {
		return
	}
	for _, n := range w.zone.nodes {
		if n.up && !n.paused && w.acceptedIn(n.replica.State()) {
			w.result = trace.ResultAccepted
			w.acceptedAt = s.clock.Now()
			for _, zone := range s.scope(w) {
				s.checks.required[zone] = max(s.checks.required[zone], w.revision)
			}
			return
		}
	}
}

// acceptedIn reports whether a node's state shows the write as accepted. A deletion is accepted once every zone has
// acknowledged it.
func (w *write) acceptedIn(state configsync.State) bool {
	if w.record.Action != trace.ActionDelete {
		return state.Accepted[w.key()] >= w.revision
	}
	if state.Revision < w.revision || len(state.Acks) == 0 {
		return false
	}
	for _, object := range state.Objects {
		if object.Kind == v1.KindZone && state.Acks[object.Metadata.Name] < w.revision {
			return false
		}
	}
	return true
}

// scope returns the zones where an accepted write is in force, as its promise says and not as configsync computes it.
func (s *Simulation) scope(w *write) []string {
	if w.record.Action == trace.ActionDelete || w.object.Kind != v1.KindPool {
		return nil
	}
	object, err := w.record.Object()
	if err != nil {
		panic("controlsim: write of a checked trace: " + err.Error())
	}
	pool, ok := object.(*v1.Pool)
	if !ok {
		panic("controlsim: a pool that is none")
	}
	return pool.Spec.PermittedZones
}

// checkHistory checks that no write was stored twice, and none that its operator was told is not stored.
func (s *Simulation) checkHistory() {
	stored := map[string]int{}
	events, err := s.store.state.Since(0)
	if err != nil {
		panic("controlsim: the store's history was cut: " + err.Error())
	}
	for _, event := range events {
		if event.Type != objectapi.EventDeleted && event.Object.Metadata.WriteID != "" {
			stored[event.Object.Metadata.WriteID]++
		}
	}
	for _, w := range s.writes {
		count := stored[w.record.ID]
		switch {
		case w.record.Action == trace.ActionDelete:
		case count > 1:
			s.checks.add(trace.PromiseNoLostWrite, w.record.ID, "was stored %d times", count)
		case count == 1 && (w.result == trace.ResultConflict || w.result == trace.ResultRefused):
			s.checks.add(trace.PromiseNoLostWrite, w.record.ID, "was stored though its operator was told %s", w.result)
		case count == 0 && (w.result == trace.ResultPending || w.result == trace.ResultAccepted):
			s.checks.add(trace.PromiseNoLostWrite, w.record.ID, "was not stored though its operator was told so")
		}
	}
}

// report adds what the run showed to the outcome.
func (s *Simulation) report(outcome *trace.Outcome) {
	s.checkHistory()
	outcome.Violations = append(outcome.Violations, slices.Collect(maps.Keys(s.checks.violations))...)
	if outcome.Writes == nil {
		outcome.Writes = map[string]trace.WriteOutcome{}
	}
	for _, w := range s.writes {
		seen := trace.WriteOutcome{Result: w.result}
		switch w.result {
		case "":
			seen.Result = trace.ResultUnknown
		case trace.ResultAccepted:
			seen.Elapsed = w.acceptedAt - w.record.Time()
		case trace.ResultPending:
			seen.Missing = s.missing(w)
		}
		outcome.Writes[w.record.ID] = seen
	}
}

// missing returns the zones that have not acknowledged a write as far as a node of the operator's zone knows.
func (s *Simulation) missing(w *write) []string {
	source := s.reachableNode(w.zone)
	if source == nil {
		return nil
	}
	var zones []string
	for _, z := range s.zones {
		if source.replica.State().Acks[z.name] < w.revision {
			zones = append(zones, z.name)
		}
	}
	return zones
}
