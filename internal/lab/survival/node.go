package survival

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/covelink/covelink/coord/lease"
)

// node is one process: a voter, a candidate for the owner's lease, a keeper and a gateway.
type node struct {
	world *world
	index int
	name  string
	zone  string
	// life counts the starts; what an earlier life has planned does not happen.
	life    uint64
	down    bool
	paused  bool
	backlog []func()
	// lateBacklog is done after the rest: whatever may look at the lease.
	lateBacklog []func()
	// wall is how far the wall clock is off.
	wall time.Duration
	// stood is how long both clocks have stood still altogether.
	stood     time.Duration
	voter     *lease.Voter
	candidate *lease.Candidate
	keeper    *keeper
	term      *term
}

func newNode(w *world, index int, name, zone string) *node {
	n := &node{world: w, index: index, name: name, zone: zone}
	n.keeper = newKeeper(n)
	return n
}

// boot starts the process. Its disk is what the last life has left.
func (n *node) boot() {
	n.life++
	n.down, n.paused, n.backlog, n.lateBacklog, n.term = false, false, nil, nil, nil
	config := lease.Config{
		Name: n.name, Incarnation: n.life<<8 | uint64(n.index), Length: leaseLength,
		Rand: rand.New(rand.NewPCG(n.world.rand.Uint64(), randomStream)),
	}
	started := n.instant()
	if n.world.guards.noVoterPause {
		started.Monotonic -= 2 * leaseLength
		started.Wall = started.Wall.Add(-2 * leaseLength)
	}
	var err error
	if n.voter, err = lease.NewVoter(config, n.world.set, started); err != nil {
		panic(err) // the config is fixed
	}
	if n.candidate, err = lease.NewCandidate(config, n.world.set); err != nil {
		panic(err)
	}
	n.keeper.boot()
	n.candidate.Campaign(n.instant(), leaseName, n.index)
	n.everyLate(leaseTick, n.tick)
}

// leaseTick is how often a node looks at its lease.
const leaseTick = 20 * time.Millisecond

func (n *node) instant() lease.Instant {
	return lease.Instant{Monotonic: n.world.clock.Now() + time.Hour - n.stood, Wall: n.world.now().Add(n.wall - n.stood)}
}

// run does something in the process: now, after its pause, or never if it is down.
func (n *node) run(do func()) {
	switch {
	case n.down:
	case n.paused:
		n.backlog = append(n.backlog, do)
	default:
		do()
	}
}

// runLate is run for what a process may come to last after a pause.
func (n *node) runLate(do func()) {
	if n.paused && !n.down {
		n.lateBacklog = append(n.lateBacklog, do)
		return
	}
	n.run(do)
}

// after does something later in this life.
func (n *node) after(delay time.Duration, do func()) {
	life := n.life
	n.world.clock.After(delay, func() {
		if n.life == life {
			n.run(do)
		}
	})
}

// everyLate repeats something in this life.
func (n *node) everyLate(interval time.Duration, do func()) {
	life := n.life
	n.world.clock.After(interval, func() {
		if n.life == life {
			n.runLate(func() {
				do()
				n.everyLate(interval, do)
			})
		}
	})
}

// crash ends the process.
func (n *node) crash() {
	n.down = true
	n.life++
	n.paused, n.backlog, n.lateBacklog = false, nil, nil
	n.term = nil
}

// pause stops the process and not the machine: its clocks go on.
func (n *node) pause(length time.Duration) {
	if n.down || n.paused {
		return
	}
	n.paused = true
	life := n.life
	n.world.clock.After(length, func() {
		if n.life == life {
			n.resume()
		}
	})
}

func (n *node) resume() {
	n.paused = false
	backlog := slices.Concat(n.backlog, n.lateBacklog)
	n.backlog, n.lateBacklog = nil, nil
	for _, do := range backlog {
		n.run(do)
	}
}

// tick drives the candidate.
func (n *node) tick() {
	now := n.instant()
	if wake, ok := n.candidate.NextWake(); ok && wake <= now.Monotonic {
		n.sendLease(n.candidate.Tick(now))
	}
	n.follow()
	n.checkHolders()
}

func (n *node) sendLease(messages []lease.Message) {
	for _, message := range messages {
		to := n.world.nodes[0]
		for _, other := range n.world.nodes {
			if other.name == message.To {
				to = other
			}
		}
		n.world.sendLate(n, to, func() { to.receiveLease(message) })
	}
}

func (n *node) receiveLease(message lease.Message) {
	n.sendLease(n.voter.Step(n.instant(), message))
	n.sendLease(n.candidate.Step(n.instant(), message))
	n.follow()
}

// follow starts and ends terms as the lease is won and lost.
func (n *node) follow() {
	for _, event := range n.candidate.Events() {
		if event.Kind == lease.Lost {
			n.endTerm()
			n.candidate.Campaign(n.instant(), leaseName, n.index)
			continue
		}
		n.endTerm()
		n.term = newTerm(n, uint64(event.Token), 1)
	}
	if _, held := n.candidate.Held(n.instant(), leaseName); !held {
		n.endTerm()
	}
}

func (n *node) endTerm() {
	if n.term != nil {
		n.term.end()
		n.term = nil
	}
}

// checkHolders notes two nodes that hold the lease at one moment.
func (n *node) checkHolders() {
	holders := 0
	for _, other := range n.world.nodes {
		if other.down {
			continue
		}
		if _, held := other.candidate.Held(other.instant(), leaseName); held {
			holders++
		}
	}
	if holders > 1 && len(n.world.broken) == 0 && !n.world.froze {
		n.world.breach("%d nodes hold the lease at %v", holders, n.world.clock.Now())
	}
}
