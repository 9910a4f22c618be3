package election

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// candidateLife is how long after its last ping a candidate counts as one: some pings may be lost.
const candidateLife = 5 * time.Second

// Candidates remembers which other candidates have pinged this process lately, for those who look for the next holder. It is safe for
// concurrent use.
type Candidates struct {
	mu sync.Mutex
	// heard is when each address last pinged.
	heard map[string]time.Time
}

// NewCandidates returns Candidates that know nobody.
func NewCandidates() *Candidates { return &Candidates{heard: make(map[string]time.Time)} }

// Note takes in a ping of the candidate at an address.
func (c *Candidates) Note(address string) {
	if address == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.heard[address] = time.Now()
}

// Addresses returns the candidates' addresses, sorted.
func (c *Candidates) Addresses() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.heard, func(_ string, at time.Time) bool { return time.Since(at) > candidateLife })
	return slices.Sorted(maps.Keys(c.heard))
}
