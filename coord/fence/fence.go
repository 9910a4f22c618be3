// Package fence holds fencing tokens: numbers that order the holders of one name, so that whoever acts on a holder's
// orders can refuse those of a holder that has been replaced without knowing it.
package fence

import (
	"fmt"
	"sync"
)

// Token orders the holders of a name: a later holder has a higher token. Zero is no token.
type Token uint64

// ErrStaleToken is the refusal of a token below the highest one seen. Compare with errors.As.
type ErrStaleToken struct {
	Highest Token
}

// Error implements error.
func (e ErrStaleToken) Error() string {
	return fmt.Sprintf("fence: stale token, the highest seen is %d", e.Highest)
}

// Guard admits a token only while no higher one has been seen. The zero value admits every token once.
// It may be used by many goroutines.
type Guard struct {
	mu      sync.Mutex
	highest Token
}

// Admit records the token as seen. It returns an ErrStaleToken when a higher one has been seen before; the same token is
// admitted any number of times.
func (g *Guard) Admit(token Token) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if token < g.highest {
		return ErrStaleToken{Highest: g.highest}
	}
	g.highest = token
	return nil
}

// Highest returns the highest token seen, zero when there was none.
func (g *Guard) Highest() Token {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.highest
}
