// Package sim simulates a whole deployment in virtual time: one goroutine, one queue of events, no clock. The engines are
// those of enginesim; every decision is made by the product's own code: dispatch.Core with the scheduler's queue, placer,
// breakers and budgets, dispatch.Run, rollout.Owner with its ledger, weights.Core, and engine.Assembly. What is simulated
// is what surrounds them: the network, the spread of views, leases, trainers, callers and faults.
package sim

import (
	"container/heap"
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/covelink/covelink/internal/lab/enginesim"
	"github.com/covelink/covelink/internal/lab/invariant"
)

// Run simulates a scenario. An error means that the scenario is unfit.
func Run(scenario Scenario) (*Result, error) { return RunContext(context.Background(), scenario) }

// RunContext is Run that gives up with ctx's error when ctx ends.
func RunContext(ctx context.Context, scenario Scenario) (*Result, error) {
	scenario = scenario.withDefaults()
	if err := scenario.Validate(); err != nil {
		return nil, err
	}
	s := newSimulation(scenario)
	if err := s.loop(ctx); err != nil {
		return nil, err
	}
	return s.conclude(), nil
}

// The streams of random numbers. Each use has its own, so that a policy that draws more does not change the others' work.
const (
	streamNodes uint64 = iota + 1
	streamNetwork
	streamArrivals
	streamOwners
)

// Epoch is the virtual time at which simulations start.
var Epoch = epoch

var epoch = time.Date(2000, time.January, 1, 0, 0, 0, 0, time.UTC)

// event is something that happens at a time; events of one time happen in the order in which they were planned.
type event struct {
	at       time.Time
	sequence uint64
	do       func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].sequence < q[j].sequence
	}
	return q[i].at.Before(q[j].at)
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(item any) { *q = append(*q, item.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	item := (*q)[last]
	(*q)[last] = event{}
	*q = (*q)[:last]
	return item
}

// simulation is one run.
type simulation struct {
	scenario Scenario
	now      time.Time
	end      time.Time
	queue    eventQueue
	sequence uint64
	network  network

	zones    []*zone
	zoneOf   map[string]*zone
	nodes    []*node
	nodeOf   map[string]*node
	engines  []*engineHost
	engineOf map[string]*engineHost
	trainers []*trainerHost
	owners   map[string]*ownerHost
	callers  *callers

	// working counts the trainers with batches to come.
	working int
	history invariant.History
	result  Result
}

func newSimulation(scenario Scenario) *simulation {
	s := &simulation{
		scenario: scenario, now: epoch, end: epoch.Add(scenario.Duration),
		zoneOf: make(map[string]*zone), nodeOf: make(map[string]*node), engineOf: make(map[string]*engineHost),
		owners:  make(map[string]*ownerHost),
		history: invariant.History{Permitted: map[string][]string{}, Terms: map[string]invariant.Terms{}, Expect: expectToken},
	}
	s.network.init(s)
	s.addZones()
	s.addEngines()
	s.addNodes()
	s.addTrainers()
	s.callers = newCallers(s)
	s.planFaults()
	return s
}

func expectToken(prompt string, seed, version int64, index int) string {
	return enginesim.Token(enginesim.PromptHash(prompt), seed, version, index)
}

func (s *simulation) random(stream, index uint64) *rand.Rand {
	return rand.New(rand.NewPCG(s.scenario.Seed, stream<<32|index))
}

// at plans an event.
func (s *simulation) at(when time.Time, do func()) {
	s.sequence++
	if when.Before(s.now) {
		when = s.now
	}
	heap.Push(&s.queue, event{at: when, sequence: s.sequence, do: do})
}

func (s *simulation) after(delay time.Duration, do func()) { s.at(s.now.Add(delay), do) }

// since returns the time since the start.
func (s *simulation) since(moment time.Time) time.Duration { return moment.Sub(epoch) }

// eventsPerCheck is the number of events after which ctx is looked at.
const eventsPerCheck = 4096

func (s *simulation) loop(ctx context.Context) error {
	for len(s.queue) > 0 && !s.finished() {
		if s.result.Events%eventsPerCheck == 0 && ctx.Err() != nil {
			return ctx.Err()
		}
		next := heap.Pop(&s.queue).(event)
		if next.at.After(s.end) {
			break
		}
		s.now = next.at
		s.result.Events++
		next.do()
	}
	return nil
}

// finished reports whether every trainer has its batches and every request its outcome.
func (s *simulation) finished() bool { return s.working == 0 && s.callers.done() }

func (s *simulation) conclude() *Result {
	result := &s.result
	result.Scenario, result.Policy, result.Seed = s.scenario.Name, s.scenario.Policy.Name, s.scenario.Seed
	result.End = s.since(s.now)
	result.Finished = s.finished()
	for _, trainer := range s.trainers {
		result.Trainers = append(result.Trainers, trainer.conclude())
	}
	s.callers.conclude(result)
	if !s.scenario.SkipInvariants {
		result.Report = invariant.Check(&s.history)
		result.History = &s.history
	}
	return result
}

// nodeName returns the name of the n-th node of a zone, from 1.
func nodeName(zone string, n int) string { return fmt.Sprintf("%s-node-%d", zone, n) }

// engineName returns the name of the n-th engine of a pool in a zone, from 1.
func engineName(pool, zone string, n int) string { return fmt.Sprintf("%s-%s-%03d", pool, zone, n) }
