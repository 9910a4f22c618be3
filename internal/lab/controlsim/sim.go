// Package controlsim replays what a trace says of the control plane in virtual time: writes of operators, and the faults
// of nodes, links and the store.
//
// It runs configsync's Coordinator and Replica, the election of coordinators by coord/lease, the resource validation of
// api/v1 and the store stand-in's state. It stands in for what they need around them: links, the drive of
// configsync.Manager (heartbeats, pushes, exchanges) and the retries of the store's client.
//
// The same trace gives the same outcome.
package controlsim

import (
	"fmt"
	"math/rand/v2"
	"time"

	labobjectapi "github.com/covelink/covelink/internal/lab/objectapi"
	"github.com/covelink/covelink/internal/lab/trace"
	"github.com/covelink/covelink/internal/lab/virtual"
	"github.com/covelink/covelink/internal/settings"
)

// Epoch is the virtual time at which a run starts.
var Epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// maxHistory lets the store keep every event of a run, for the checks at its end.
const maxHistory = 1 << 20

// Simulation is one run.
type Simulation struct {
	trace   *trace.Trace
	clock   *virtual.Clock
	random  *rand.Rand
	timing  settings.Timing
	network network
	store   *store
	// zones and nodes are in the order of the trace.
	zones  []*zone
	nodes  []*node
	writes []*write
	// reads holds the version that the operator of a write has read earlier, by the write's ID.
	reads  map[string]string
	checks checks
	// incarnations counts the processes started.
	incarnations uint64

	// ignoreLeases makes nodes serve without a lease; tests break the guard by it.
	ignoreLeases bool
}

// zone is a zone with its nodes.
type zone struct {
	name, region string
	nodes        []*node
	// coordinator is the node that acquired the zone's lease last, by which others find it; nil before the first election.
	coordinator *node
}

// Run replays the control plane of a trace and adds what it shows to the outcome.
func Run(t *trace.Trace, outcome *trace.Outcome) { newSimulation(t).run(outcome) }

func newSimulation(t *trace.Trace) *Simulation {
	seed := uint64(t.Header.Seed)
	s := &Simulation{
		trace:  t,
		clock:  virtual.NewClock(),
		random: rand.New(rand.NewPCG(seed, 1)),
		timing: timingOf(t.Header.Timing),
	}
	s.network = newNetwork(s)
	s.store = &store{simulation: s, state: labobjectapi.NewStore(maxHistory, s.now)}
	s.checks = newChecks()
	s.reads = make(map[string]string)
	for _, declared := range t.Header.Zones {
		s.addZone(declared)
	}
	return s
}

func timingOf(stated trace.Timing) settings.Timing {
	timing := settings.Default().Timing
	if stated.Lease > 0 {
		timing.NodeLeaseLength = timing.NodeLeaseLength * time.Duration(stated.Lease) / timing.LeaseLength
		timing.LeaseLength = time.Duration(stated.Lease)
	}
	return timing
}

func (s *Simulation) addZone(declared trace.Zone) {
	added := &zone{name: declared.Name, region: declared.Region}
	for i := range declared.Nodes {
		n := &node{simulation: s, zone: added, name: trace.NodeName(declared.Name, i+1), up: true, life: 1}
		added.nodes = append(added.nodes, n)
		s.nodes = append(s.nodes, n)
	}
	s.zones = append(s.zones, added)
}

// now returns the virtual time as a moment.
func (s *Simulation) now() time.Time { return Epoch.Add(s.clock.Now()) }

func (s *Simulation) run(outcome *trace.Outcome) {
	s.store.seed()
	for _, n := range s.nodes {
		n.start()
	}
	for _, event := range s.trace.Events {
		switch record := event.Record.(type) {
		case *trace.Write:
			if record.Read > 0 {
				s.clock.At(time.Duration(record.Read), func() { s.readBase(record) })
			}
			s.clock.At(record.Time(), func() { s.beginWrite(record) })
		case *trace.Fault:
			s.clock.At(record.Time(), func() { s.fault(record) })
		}
	}
	s.clock.Run(time.Duration(s.trace.Header.Until), s.check)
	s.report(outcome)
}

func (s *Simulation) zoneNamed(name string) *zone {
	for _, z := range s.zones {
		if z.name == name {
			return z
		}
	}
	panic(fmt.Sprintf("controlsim: unknown zone %q in a checked trace", name))
}

func (s *Simulation) nodeNamed(name string) *node {
	for _, n := range s.nodes {
		if n.name == name {
			return n
		}
	}
	panic(fmt.Sprintf("controlsim: unknown node %q in a checked trace", name))
}
