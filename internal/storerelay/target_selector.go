package storerelay

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/covelink/covelink/coord/rendezvous"
)

// coordinatorAttemptInterval makes every third attempt of a client without a hub go to the last known coordinator. The others go to
// candidates, which detect a takeover first; an unreachable coordinator costs the full poll timeout.
const coordinatorAttemptInterval = 3

// fastFailureLimit separates a busy process, which answers faster, from an unreachable or frozen one.
const fastFailureLimit = 300 * time.Millisecond

// maxAttemptsPerRelay bounds the polls of one relay that return no data. The first poll starts the relay, so that it may need a second one.
const maxAttemptsPerRelay = 2

// targetSelector selects the process that a client polls: candidates in random order or, after a redirect, relays in the order of a rendezvous
// hash of the client's name, which balances clients over relays without coordination. It is not safe for concurrent use.
type targetSelector struct {
	// name is the client's process name.
	name string
	// redirected is set once the coordinator has redirected the client. relays are the peers in the client's rendezvous order.
	redirected bool
	relays     []string
	// relayIndex is the relay in use; a client keeps a relay that answers. relayAttempts counts that relay's answers without usable data.
	relayIndex, relayAttempts int
	// relaysExhausted is set after every relay has failed. The coordinator is then polled without permission to redirect, until the peers
	// change.
	relaysExhausted bool
	// seeds are configured; peers were received from a hub.
	seeds, peers []string
	// order is a random permutation of seeds and peers, and next the position in it.
	order []string
	next  int
	// coordinator is the last known coordinator.
	coordinator string
	// failures counts failed attempts since the last success or change of the known coordinator.
	failures int
	// lastFailedFast is set if the last attempt failed within fastFailureLimit.
	lastFailedFast bool
}

func newTargetSelector(name string, seeds []string) *targetSelector {
	c := &targetSelector{name: name, seeds: slices.Clone(seeds)}
	c.shuffle()
	return c
}

// setPeers replaces the candidates received from a hub. An empty list is ignored.
func (c *targetSelector) setPeers(peers []string) {
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
	c.relayIndex, c.relayAttempts, c.relaysExhausted = 0, 0, false
}

func (c *targetSelector) shuffle() {
	c.order = append(slices.Clone(c.seeds), c.peers...)
	slices.Sort(c.order)
	c.order = slices.Compact(c.order)
	rand.Shuffle(len(c.order), func(i, j int) { c.order[i], c.order[j] = c.order[j], c.order[i] })
	c.next = 0
}

// pollMode is how the selected process is polled.
type pollMode struct {
	// relay asks the process to answer on behalf of the coordinator.
	relay bool
	// mayRedirect allows the process to redirect the client to a relay.
	mayRedirect bool
}

// selectTarget returns the process to poll next, and how; "" if none is known. coordinator is the known coordinator, or "".
func (c *targetSelector) selectTarget(coordinator string) (address string, mode pollMode) {
	if coordinator != c.coordinator {
		c.coordinator, c.failures = coordinator, 0
	}
	if relay := c.currentRelay(coordinator); relay != "" {
		return relay, pollMode{relay: true, mayRedirect: true}
	}
	return c.coordinatorOrCandidate(coordinator), pollMode{mayRedirect: !c.relaysExhausted}
}

// currentRelay returns the relay to poll; "" if the client was not redirected, or if every relay has failed.
func (c *targetSelector) currentRelay(coordinator string) string {
	if !c.redirected || c.relaysExhausted {
		return ""
	}
	for c.relayIndex < len(c.relays) && c.relays[c.relayIndex] == coordinator {
		c.relayIndex++
	}
	if c.relayIndex >= len(c.relays) {
		c.relaysExhausted = len(c.relays) > 0
		return ""
	}
	return c.relays[c.relayIndex]
}

// recordRelayFailure records a relay that did not answer, or answered without usable data.
func (c *targetSelector) recordRelayFailure(answered bool) {
	c.relayAttempts++
	if answered && c.relayAttempts < maxAttemptsPerRelay {
		return
	}
	c.relayIndex++
	c.relayAttempts = 0
}

// coordinatorOrCandidate returns the coordinator, or another process that may know the coordinator.
func (c *targetSelector) coordinatorOrCandidate(coordinator string) string {
	if coordinator != "" && (c.failures%coordinatorAttemptInterval == 0 || c.failures == 1 && c.lastFailedFast) {
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

// recordRedirect records a redirect by the coordinator. It reports whether a relay can be polled immediately, which is not so if all of them
// have failed.
func (c *targetSelector) recordRedirect() bool {
	first := !c.redirected
	c.redirected, c.relayIndex, c.relayAttempts = true, 0, 0
	return first && len(c.relays) > 0
}

func (c *targetSelector) recordSuccess() { c.failures, c.relayAttempts = 0, 0 }

// recordFailure records a failed attempt and its duration.
func (c *targetSelector) recordFailure(took time.Duration) {
	c.failures++
	c.lastFailedFast = took < fastFailureLimit
}
