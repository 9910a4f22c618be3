package storerelay

import (
	"math/rand/v2"
	"slices"
	"time"
)

// coordinatorTurn is in how many attempts, of a client that no hub serves, one goes to the process that coordinated last: most go to
// other candidates, which know of a change of coordinator at once, while a process that is cut off takes each attempt its full time.
const coordinatorTurn = 3

// quickFailure is below what a process that is cut off or frozen takes, and above what a busy one does.
const quickFailure = 300 * time.Millisecond

// candidates chooses whom a client asks, in a random order of its own. It belongs to one goroutine.
type candidates struct {
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

func newCandidates(seeds []string) *candidates {
	c := &candidates{seeds: slices.Clone(seeds)}
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
}

func (c *candidates) shuffle() {
	c.order = append(slices.Clone(c.seeds), c.peers...)
	slices.Sort(c.order)
	c.order = slices.Compact(c.order)
	rand.Shuffle(len(c.order), func(i, j int) { c.order[i], c.order[j] = c.order[j], c.order[i] })
	c.next = 0
}

// choose returns whom to ask next; coordinator is the process that is believed to coordinate, or "". It returns "" if nobody is known.
func (c *candidates) choose(coordinator string) string {
	if coordinator != c.coordinator {
		c.coordinator, c.failures = coordinator, 0
	}
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

// answered notes that a hub has answered.
func (c *candidates) answered() { c.failures = 0 }

// failed notes an attempt of no use, and how long it took.
func (c *candidates) failed(took time.Duration) {
	c.failures++
	c.quick = took < quickFailure
}
