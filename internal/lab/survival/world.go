package survival

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/covelink/covelink/coord/voterset"
	"github.com/covelink/covelink/internal/lab/enginesim"
	"github.com/covelink/covelink/internal/lab/invariant"
	"github.com/covelink/covelink/internal/lab/virtual"
)

const (
	poolName    = "pool"
	trainerName = "trainer"
	batchName   = "batch"
	leaseName   = "trainer/" + trainerName
	// leaseLength is the product's default.
	leaseLength = time.Second
	// runLength bounds a run.
	runLength  = 150 * leaseLength
	maxLatency = 8 * time.Millisecond
	// background is the share of messages between nodes that the network loses or repeats in every run.
	background   = 0.01
	randomStream = 11
)

var (
	zoneNames = []string{"a", "b", "c"}
	// nodeZones gives the zone of each node.
	nodeZones   = []string{"a", "b", "c", "a", "b"}
	engineZones = []string{"a", "b", "c", "a"}
	epoch       = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)
)

// guards switches single rules off. Only tests do so, to show that the table notices what each rule prevents.
type guards struct {
	noFencing     bool // a replica serves whoever asks
	halfMajority  bool // half of the keepers of claims are a majority
	noStaleness   bool // the owner hands over however old a sample is
	sendFirst     bool // a gateway writes the request to an engine before it has the claim
	noAbstaining  bool // a keeper of claims that has lost its table grants at once
	noVoterPause  bool // a voter that has restarted grants at once
	acceptForeign bool // a stream takes events of other engine lives
}

// world is one run.
type world struct {
	clock   *virtual.Clock
	rand    *rand.Rand
	guards  guards
	set     voterset.Set
	nodes   []*node
	engines []*engineHost
	trainer *trainer
	callers *callers
	cut     map[string]bool // zones cut off from the others
	// The faults of the network between nodes.
	loss, repetition float64
	// frames disturbs the streams of engines; ackLost, fetchLost and commitLost lose the replies of that kind.
	frames, ackLost, fetchLost, commitLost bool
	// claimDeath crashes the next gateway that is granted a claim.
	claimDeath bool
	// sleeper is a paused owner that wakes when the next one begins.
	sleeper *node
	// emptied is the replica of the log that loses its disk.
	emptied *node
	// froze tells that clocks stood still: two nodes may then believe in the lease, and the log alone keeps them apart.
	froze bool
	// holdEvents keeps the events of engines in held.
	holdEvents bool
	held       []func()
	// streams counts the attempts.
	streams uint64
	hedges  int

	history    invariant.History
	executions []*invariant.Execution
	commits    commits
	broken     []string
	faultAt    time.Duration
	deliveries []time.Duration
}

func newWorld(seed uint64, rules guards) *world {
	w := &world{
		clock: virtual.NewClock(), rand: rand.New(rand.NewPCG(seed, randomStream)), guards: rules, cut: make(map[string]bool),
		loss: background, repetition: background,
	}
	w.history = invariant.History{
		Permitted: map[string][]string{poolName: zoneNames},
		Terms:     map[string]invariant.Terms{trainerName: {Pool: poolName, StalenessBound: stalenessBound}},
		Expect: func(prompt string, seed, version int64, index int) string {
			return enginesim.Token(enginesim.PromptHash(prompt), seed, version, index)
		},
	}
	var names []string
	for index, zone := range nodeZones {
		name := fmt.Sprintf("node-%d", index)
		names = append(names, name)
		w.nodes = append(w.nodes, newNode(w, index, name, zone))
	}
	w.set = voterset.New(1, names...)
	for index, zone := range engineZones {
		w.engines = append(w.engines, newEngineHost(w, fmt.Sprintf("engine-%d", index), zone))
	}
	w.trainer = newTrainer(w)
	w.callers = newCallers(w)
	for _, n := range w.nodes {
		n.boot()
	}
	return w
}

func (w *world) now() time.Time { return epoch.Add(w.clock.Now()) }

func (w *world) breach(format string, arguments ...any) {
	w.broken = append(w.broken, fmt.Sprintf(format, arguments...))
}

func (w *world) latency() time.Duration {
	return time.Millisecond + time.Duration(w.rand.Int64N(int64(maxLatency)))
}

// between returns a random duration from low up to high.
func (w *world) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.rand.Int64N(int64(high-low)))
}

// open reports whether messages pass between two zones.
func (w *world) open(from, to string) bool { return from == to || (!w.cut[from] && !w.cut[to]) }

// carry brings a message from one zone to another: never, once or twice, and messages may overtake one another.
func (w *world) carry(from, to string, deliver func()) {
	copies := 1
	if w.rand.Float64() < w.loss {
		copies = 0
	}
	if w.rand.Float64() < w.repetition {
		copies++
	}
	for range copies {
		w.clock.After(w.latency(), func() {
			if w.open(from, to) {
				deliver()
			}
		})
	}
}

// send brings a message from one node to another; a node's messages to itself always arrive.
func (w *world) send(from, to *node, deliver func()) {
	if from == to {
		w.clock.After(0, func() { to.run(deliver) })
		return
	}
	w.carry(from.zone, to.zone, func() { to.run(deliver) })
}

// sendLate is send for what a process may come to last after a pause.
func (w *world) sendLate(from, to *node, deliver func()) {
	if from == to {
		w.clock.After(0, func() { to.runLate(deliver) })
		return
	}
	w.carry(from.zone, to.zone, func() { to.runLate(deliver) })
}

// finished reports whether the trainer has all its samples and every caller its answer.
func (w *world) finished() bool { return w.trainer.done && w.callers.left == 0 }
