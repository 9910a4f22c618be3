package storerelay

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/covelink/covelink/coord/rendezvous"
)

// coordinatorTurn is in how many attempts, of a client that no hub serves, one goes to the process that coordinated last: most go to
// other candidates, which know of a change of coordinator at once, while a process that is cut off takes each attempt its full time.
const coordinatorTurn = 3

// quickFailure is below what a process that is cut off or frozen takes, and above what a busy one does.
const quickFailure = 300 * time.Millisecond

// relayTries is how often a client asks one relay in vain before it asks the next: the first request makes a process begin to relay.
const relayTries = 2

// candidates chooses whom a client asks: in a random order of its own, or, once the coordinating process has sent it away, in the order of a rendezvous
// hash of its name, by which clients spread over the relays without talking to each other. It belongs to one goroutine.
type candidates struct {
	// name is the client's own.
	name string
	// redirected is true once the coordinating process has sent the client to the relays, and relays are the peers in the client's own order.
	redirected bool
	relays     []string
	// turn is the position of the relay to ask: a client stays with one that answers, also if that is not its first choice. waited counts the answers of
	// that relay which were of no use yet.
	turn, waited int
	// exhausted is true once all relays were asked in vain: the coordinating process is asked to answer itself then, until there are other relays.
	exhausted bool
	// seeds are known from the start, and peers were told by a hub.
	seeds, peers []string
	// order is the rotation over both, and next the position in it.
	order []string
	next  int
	// coordinator is the process that was last believed to coordinate.
	coordinator string
	// failures counts the attempts of no use since a hub last answered, or another process was believed to coordinate.
	failures int
	// quick is true if the last of them took little time: a process that answers is worth another question at once.
	quick bool
}

func newCandidates(name string, seeds []string) *candidates {
	c := &candidates{name: name, seeds: slices.Clone(seeds)}
	c.shuffle()
	return c
}

// learn takes in the candidates that a hub knows. None says nothing.
func (c *candidates) learn(peers []string) {
	if len(peers) == 0 || slices.Equal(peers, c.peers) {
		return
	}
	c.peers = slices.Clone(peers)
	c.shuffle()
	key := rendezvous.Hash(c.name)
	c.relays = slices.Clone(c.peers)
	slices.SortFunc(c.relays, func(a, b string) int {
		return cmp.Compare(rendezvous.Mix(key, rendezvous.Hash(b)), rendezvous.Mix(key, rendezvous.Hash(a)))
	})
	c.turn, c.waited, c.exhausted = 0, 0, false
}

func (c *candidates) shuffle() {
	c.order = append(slices.Clone(c.seeds), c.peers...)
	slices.Sort(c.order)
	c.order = slices.Compact(c.order)
	rand.Shuffle(len(c.order), func(i, j int) { c.order[i], c.order[j] = c.order[j], c.order[i] })
	c.next = 0
}

// manner is how a process is asked.
type manner struct {
	// relay is true if it is to answer for the coordinating process.
	relay bool
	// mayRedirect is true if it may send the client to a relay.
	mayRedirect bool
}

// choose returns whom to ask next, and how; coordinator is the process that is believed to coordinate, or "". It returns "" if
// nobody is known.
func (c *candidates) choose(coordinator string) (address string, how manner) {
	if coordinator != c.coordinator {
		c.coordinator, c.failures = coordinator, 0
	}
	if relay := c.relay(coordinator); relay != "" {
		return relay, manner{relay: true, mayRedirect: true}
	}
	return c.anyone(coordinator), manner{mayRedirect: !c.exhausted}
}

// relay returns the relay to ask next; "" if the client was not sent away, or if all relays were asked in vain: the coordinating process is asked
// to answer itself then.
func (c *candidates) relay(coordinator string) string {
	if !c.redirected || c.exhausted {
		return ""
	}
	for c.turn < len(c.relays) && c.relays[c.turn] == coordinator {
		c.turn++
	}
	if c.turn >= len(c.relays) {
		c.exhausted = len(c.relays) > 0
		return ""
	}
	return c.relays[c.turn]
}

// relayFailed notes a relay that did not answer, or that answered what was of no use.
func (c *candidates) relayFailed(answered bool) {
	c.waited++
	if answered && c.waited < relayTries {
		return
	}
	c.turn++
	c.waited = 0
}

// anyone returns the coordinating process, or another process that may know who coordinates.
func (c *candidates) anyone(coordinator string) string {
	if coordinator != "" && (c.failures%coordinatorTurn == 0 || c.failures == 1 && c.quick) {
		return coordinator
	}
	for range c.order {
		chosen := c.order[c.next%len(c.order)]
		c.next++
		if chosen != coordinator {
			return chosen
		}
	}
	return coordinator
}

// redirect notes that the coordinating process has sent the client to the relays. It reports whether there is one to ask at once: not if all were
// asked in vain.
func (c *candidates) redirect() bool {
	first := !c.redirected
	c.redirected, c.turn, c.waited = true, 0, 0
	return first && len(c.relays) > 0
}

// answered notes that a hub has answered.
func (c *candidates) answered() { c.failures, c.waited = 0, 0 }

// failed notes an attempt of no use, and how long it took.
func (c *candidates) failed(took time.Duration) {
	c.failures++
	c.quick = took < quickFailure
}
