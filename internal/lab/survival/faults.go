package survival

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Fault names what goes wrong in a run: one of Faults, or two of them joined by PairMark.
type Fault string

// PairMark joins the names of two faults that strike at once.
const PairMark = "+"

// TwoAtOnce stands for two different faults, which the seed chooses.
const TwoAtOnce Fault = "two-faults-at-once"

// NoFault is a run without a fault, save for the loss and repetition of one message in a hundred between nodes.
const NoFault Fault = "none"

const (
	// diesWithin is how long after its claim a gateway dies at the latest; an answer takes longer.
	diesWithin   = 400 * time.Millisecond
	firstFaultAt = 1500 * time.Millisecond
	lastFaultAt  = 4 * time.Second
	// deadFor is how long a killed process stays down.
	deadFor      = 6 * leaseLength
	pauseFor     = 3 * leaseLength
	cutFor       = 3 * leaseLength
	repliesLost  = 1500 * time.Millisecond
	framesFor    = 6 * time.Second
	restartAfter = 200 * time.Millisecond
	maxJump      = 20 * time.Minute
	tailSamples  = maxInFlight + 2
	slowFor      = 2900 * time.Millisecond
	// wakeWithin is about how long the next owner takes to read the log.
	wakeWithin = 2 * maxLatency
)

type faultAction struct {
	name   Fault
	strike func(*world)
}

var faultActions = []faultAction{
	{NoFault, func(*world) {}},
	{"owner-killed", func(w *world) { w.kill(w.owner(), deadFor) }},
	{"owner-paused", func(w *world) { w.owner().pause(pauseFor) }},
	{"owner-wakes-as-next-opens", func(w *world) { w.pauseUntilNextOpens() }},
	{"owner-frozen-with-clocks", func(w *world) { w.freeze() }},
	{"keeper-restarted-empty", func(w *world) { w.restartEmpty(w.replicaToEmpty()) }},
	{"three-keepers-emptied", func(w *world) { w.emptyThree() }},
	{"keeper-killed", func(w *world) { w.kill(w.other(), deadFor) }},
	{"fetch-reply-lost", func(w *world) { w.during(repliesLost, &w.fetchLost) }},
	{"ack-reply-lost", func(w *world) { w.during(repliesLost, &w.ackLost) }},
	{"commit-reply-lost", func(w *world) { w.during(repliesLost, &w.commitLost) }},
	{"frames-disturbed", func(w *world) { w.during(framesFor, &w.frames) }},
	{"hedges-together", func(w *world) { w.hedgesTogether() }},
	{"engine-restarted", func(w *world) { w.restartEngine() }},
	{"zone-cut", func(w *world) { w.cutZone() }},
	{"all-voters-restarted", func(w *world) { w.restartAll() }},
	{"other-voters-restarted", func(w *world) { w.restartOthers() }},
	{"clock-jumps", func(w *world) { w.jumpClock() }},
	{"same-key-twice", func(w *world) { w.callers.twice = true }},
	{"gateway-dies-after-claim", func(w *world) { w.claimDeath = true }},
}

// Faults returns the single faults and TwoAtOnce, in the order of the table.
func Faults() []Fault {
	var names []Fault
	for _, action := range faultActions {
		names = append(names, action.name)
	}
	return append(names, TwoAtOnce)
}

// Pairs returns every two different faults at once.
func Pairs() []Fault {
	var pairs []Fault
	for at, first := range faultActions {
		for _, second := range faultActions[at+1:] {
			if first.name != NoFault {
				pairs = append(pairs, first.name+PairMark+second.name)
			}
		}
	}
	return pairs
}

// ParseFault reads a fault's name, or two names joined by PairMark.
func ParseFault(name string) (Fault, error) {
	for _, part := range strings.Split(name, PairMark) {
		known := slices.ContainsFunc(faultActions, func(a faultAction) bool { return a.name == Fault(part) })
		if !known && Fault(name) != TwoAtOnce {
			return "", fmt.Errorf("unknown fault %q", part)
		}
	}
	return Fault(name), nil
}

// chosen returns the faults of a run. TwoAtOnce takes two different ones by the seed, neither of them none.
func (f Fault) chosen(w *world) []faultAction {
	if f == TwoAtOnce {
		order := w.rand.Perm(len(faultActions) - 1)
		return []faultAction{faultActions[order[0]+1], faultActions[order[1]+1]}
	}
	var actions []faultAction
	for _, part := range strings.Split(string(f), PairMark) {
		for _, action := range faultActions {
			if string(action.name) == part {
				actions = append(actions, action)
			}
		}
	}
	return actions
}

// inflict plans the faults of a run.
func (w *world) inflict(f Fault) {
	w.faultAt = w.between(firstFaultAt, lastFaultAt)
	for _, action := range f.chosen(w) {
		if action.name == "same-key-twice" {
			action.strike(w) // from the first request on
			continue
		}
		w.clock.At(w.faultAt, func() { action.strike(w) })
	}
}

// owner returns the node that owns the trainer, or any that is up.
func (w *world) owner() *node {
	for _, n := range w.nodes {
		if n.term != nil {
			return n
		}
	}
	return w.other()
}

// other returns a replica of the log that does not own the trainer, or any node that is up.
func (w *world) other() *node {
	for _, at := range w.rand.Perm(logReplicas) {
		if n := w.nodes[at]; n.term == nil && !n.down {
			return n
		}
	}
	return w.nodes[len(w.nodes)-1]
}

func (w *world) during(length time.Duration, on *bool) {
	*on = true
	w.clock.After(length, func() { *on = false })
}

// kill ends a process without warning; it comes back later with its disk.
func (w *world) kill(n *node, length time.Duration) {
	if n.down {
		return
	}
	n.crash()
	w.clock.After(length, n.bootIfDown)
}

func (n *node) bootIfDown() {
	if n.down {
		n.boot()
	}
}

// replicaToEmpty returns the same replica of the log each time: three copies do not bear the loss of two.
func (w *world) replicaToEmpty() *node {
	if w.emptied == nil {
		w.emptied = w.other()
	}
	return w.emptied
}

func (w *world) restartEmpty(n *node) {
	n.crash()
	n.keeper.wipe()
	w.clock.After(restartAfter, n.bootIfDown)
}

// pauseUntilNextOpens lets the owner wake while the next one opens the log, with all that came meanwhile to do at once.
func (w *world) pauseUntilNextOpens() {
	n := w.owner()
	if n.term == nil || n.paused {
		return
	}
	w.sleeper = n
	n.pause(pauseFor)
}

// freeze stops the owner's machine with both its clocks, so that its lease seems good when it goes on.
func (w *world) freeze() {
	n := w.owner()
	if n.term == nil || n.paused {
		return
	}
	w.froze = true
	n.pause(pauseFor)
	life, began := n.life, w.clock.Now()
	w.clock.After(pauseFor/2, func() {
		if n.life == life && n.paused {
			n.stood += w.clock.Now() - began
			n.resume()
		}
	})
}

// wakeSleeper is called when a term begins.
func (w *world) wakeSleeper(by *node) {
	n := w.sleeper
	if n == nil || n == by {
		return
	}
	w.sleeper = nil
	life := n.life
	w.clock.After(w.between(0, wakeWithin), func() {
		if n.life == life && n.paused {
			n.resume()
		}
	})
}

// emptyThree empties a majority of the keepers of claims, and one replica of the log only.
func (w *world) emptyThree() {
	w.restartEmpty(w.replicaToEmpty())
	for _, n := range w.nodes[logReplicas:] {
		w.restartEmpty(n)
	}
}

// restartOthers restarts every node but the owner.
func (w *world) restartOthers() {
	owner := w.owner()
	for _, n := range w.nodes {
		if n != owner {
			w.kill(n, restartAfter)
		}
	}
}

func (w *world) restartAll() {
	for _, n := range w.nodes {
		w.kill(n, restartAfter+time.Duration(n.index)*restartAfter/4)
	}
}

// cutZone cuts the owner's zone off from the others.
func (w *world) cutZone() {
	zone := w.owner().zone
	w.cut[zone] = true
	w.clock.After(cutFor, func() { delete(w.cut, zone) })
}

// restartEngine restarts an engine under the same name with the first version; the present one follows later.
func (w *world) restartEngine() {
	host := w.engines[w.rand.IntN(len(w.engines))]
	host.start(1)
	w.clock.After(w.between(leaseLength, 2*leaseLength), func() { host.swap(w.trainer.version) })
}

// jumpClock sets the owner's wall clock far off.
func (w *world) jumpClock() {
	jump := w.between(-maxJump, maxJump)
	w.owner().wall += jump
}

// hedgesTogether waits for the end of the batch, since second attempts are started when nothing else waits. Then it holds the
// answers of two engines and of every second attempt back, so that first and second attempts end at once.
func (w *world) hedgesTogether() {
	if len(w.trainer.consumed) < batchSamples-tailSamples {
		w.clock.After(callPause, w.hedgesTogether)
		return
	}
	w.faultAt = w.clock.Now()
	w.holdEvents = true
	w.clock.After(slowFor, func() {
		w.holdEvents = false
		held := w.held
		w.held = nil
		for _, deliver := range held {
			w.clock.After(0, deliver)
		}
	})
}
