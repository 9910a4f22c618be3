// Package sim simulates a whole deployment in virtual time: one goroutine, one queue of events, no clock. The engines are
// those of enginesim; every decision is made by the product's own code: dispatch.Core with the scheduler's queue, placer,
// breakers and budgets, dispatch.Run, rollout.Owner with its ledger, weights.Core, and engine.Assembly. What is simulated
// is what surrounds them: the network, the spread of views, leases, trainers, callers and faults.
package sim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/covelink/covelink/internal/lab/enginesim"
	"github.com/covelink/covelink/internal/lab/invariant"
	"github.com/covelink/covelink/internal/lab/virtual"
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

// simulation is one run.
type simulation struct {
	scenario Scenario
	now      time.Time
	end      time.Time
	queue    virtual.Queue
	// streams counts the streams begun; it numbers them.
	streams uint64
	network network

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
	if when.Before(s.now) {
		when = s.now
	}
	s.queue.Push(s.since(when), do)
}

func (s *simulation) after(delay time.Duration, do func()) { s.at(s.now.Add(delay), do) }

// since returns the time since the start.
func (s *simulation) since(moment time.Time) time.Duration { return moment.Sub(epoch) }

// eventsPerCheck is the number of events after which ctx is looked at.
const eventsPerCheck = 4096

func (s *simulation) loop(ctx context.Context) error {
	for !s.finished() {
		if s.result.Events%eventsPerCheck == 0 && ctx.Err() != nil {
			return ctx.Err()
		}
		at, ok := s.queue.Next()
		if !ok || epoch.Add(at).After(s.end) {
			break
		}
		_, do := s.queue.Pop()
		s.now = epoch.Add(at)
		s.result.Events++
		do()
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
