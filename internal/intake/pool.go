// Package intake bounds what the clients of a listener hold of a process: connections, and the bytes that are received or buffered for them.
//
// The connections of a Pool share one budget of bytes. Bytes are counted as they arrive, so that a length that is announced and never sent takes no
// room. A request for room never waits: it is granted, granted in place of the connection that has been stalled longest, or denied. So clients that
// hold room and stand still cannot lock out others, and of clients that all want more, at least one gets it or is refused.
//
// Small requests have a share of the budget that large ones cannot take.
package intake

import (
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

const (
	// smallBytes is what a connection may hold without counting as large.
	smallBytes = 64 << 10
	// reservedShare is the share of the bytes that only connections that are not large may hold, as a divisor.
	reservedShare = 16
	// minStall is how long a connection must have made no progress before others may take its room.
	minStall = 500 * time.Millisecond
	// logInterval is the pause between two lines about limits that were met.
	logInterval = 10 * time.Second
)

// Reason is the limit that a client met.
type Reason string

// The reasons.
const (
	// ReasonConnections means that a connection was closed because there were too many.
	ReasonConnections Reason = "connections"
	// ReasonMemory means that a request was refused because there was no room for its bytes.
	ReasonMemory Reason = "memory"
	// ReasonStalled means that a connection lost its room because it made no progress.
	ReasonStalled Reason = "stalled"
	// ReasonTimeout means that a body did not arrive within the time of its request.
	ReasonTimeout Reason = "timeout"
	// ReasonTooLarge means that a body was above the limit of the configuration.
	ReasonTooLarge Reason = "too large"
)

// Params configures a Pool.
type Params struct {
	// MaxBytes bounds the bytes of all connections.
	MaxBytes int64
	// MaxConnections returns the most connections that may be open now. It is asked for each new connection.
	MaxConnections func() int
	// OnLimit is called for each limit that a client met, with the pool locked; nil for none.
	OnLimit func(reason Reason)
	Logger  log.Logger
	// Now returns the time; nil for time.Now.
	Now func() time.Time
}

// Pool is the budget of one listener. It is safe for concurrent use.
type Pool struct {
	Params

	mu    sync.Mutex
	conns map[*Conn]struct{}
	// held is the sum over all connections, and heldLarge that over the large ones.
	held, heldLarge int64
	// met counts the limits met since loggedAt.
	met      map[Reason]int
	loggedAt time.Time
}

// NewPool returns a Pool without connections.
func NewPool(params Params) *Pool {
	if params.Now == nil {
		params.Now = time.Now
	}
	return &Pool{Params: params, conns: make(map[*Conn]struct{}), met: make(map[Reason]int)}
}

// Usage returns how many connections are open, and how many bytes they hold.
func (p *Pool) Usage() (connections int, bytes int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns), p.held
}

// admit adds a connection, in place of the one that has made no progress for the longest time if there are too many. It returns false if all others
// are being served.
func (p *Pool) admit(c *Conn) bool {
	limit := p.MaxConnections()
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.conns) >= limit {
		if !p.shed() {
			return false
		}
	}
	p.conns[c] = struct{}{}
	return true
}

// Shed closes the connection that has waited for its client for the longest time, for a process that has run out of descriptors.
func (p *Pool) Shed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.shed()
}

// shed closes the connection that has waited for its client for the longest time. It returns false if none waits. The mutex must be held.
func (p *Pool) shed() bool {
	p.note(ReasonConnections)
	victim := p.longestStalled(func(c *Conn) bool { return c.awaitsClient() })
	if victim == nil {
		return false
	}
	p.remove(victim)
	victim.Conn.Close()
	return true
}

// remove forgets a connection and releases what it holds. The mutex must be held.
func (p *Pool) remove(c *Conn) {
	p.release(c, c.held)
	c.evicted = true
	delete(p.conns, c)
}

// grow gives a connection room for more bytes, if need be in place of stalled ones. The mutex must be held.
func (p *Pool) grow(c *Conn, bytes int64) bool {
	if c.evicted || c.held+bytes > p.limitFor(c.held+bytes) {
		return false
	}
	for !p.fits(c, bytes) {
		victim := p.stalledHolder(c)
		if victim == nil {
			p.note(ReasonMemory)
			return false
		}
		p.note(ReasonStalled)
		p.evict(victim)
	}
	wasLarge := c.large()
	c.held += bytes
	p.held += bytes
	switch {
	case wasLarge:
		p.heldLarge += bytes
	case c.large():
		p.heldLarge += c.held
	}
	return true
}

// release takes room back. The mutex must be held.
func (p *Pool) release(c *Conn, bytes int64) {
	bytes = min(bytes, c.held)
	wasLarge, before := c.large(), c.held
	c.held -= bytes
	p.held -= bytes
	switch {
	case c.large():
		p.heldLarge -= bytes
	case wasLarge:
		p.heldLarge -= before
	}
}

// limitFor returns what all connections of the same class as one that holds bytes may hold together.
func (p *Pool) limitFor(bytes int64) int64 {
	if bytes > smallBytes {
		return p.MaxBytes - p.MaxBytes/reservedShare
	}
	return p.MaxBytes
}

// fits reports whether a connection may hold more bytes beside all others. The mutex must be held.
func (p *Pool) fits(c *Conn, bytes int64) bool {
	if p.held+bytes > p.MaxBytes {
		return false
	}
	if c.held+bytes <= smallBytes {
		return true
	}
	more := bytes
	if !c.large() {
		more += c.held
	}
	return p.heldLarge+more <= p.limitFor(c.held+bytes)
}

// mayFit reports whether a connection could hold more bytes once all stalled connections have lost their room.
func (p *Pool) mayFit(c *Conn, bytes int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	free := p.limitFor(c.held+bytes) - p.held
	for other := range p.conns {
		if other != c && p.stalled(other) {
			free += other.held
		}
	}
	if bytes > free {
		p.note(ReasonMemory)
		return false
	}
	return true
}

// stalled reports whether a connection holds room and has waited for its client for minStall.
func (p *Pool) stalled(c *Conn) bool {
	return c.held > 0 && c.awaitsClient() && p.Now().Sub(c.progressedAt()) >= minStall
}

// stalledHolder returns the connection that has been stalled longest of those that hold room, except for one; nil if there is none.
func (p *Pool) stalledHolder(except *Conn) *Conn {
	return p.longestStalled(func(c *Conn) bool { return c != except && p.stalled(c) })
}

// longestStalled returns the connection that has made no progress for the longest time of those that are eligible; nil if there is none.
func (p *Pool) longestStalled(eligible func(c *Conn) bool) *Conn {
	var longest *Conn
	for c := range p.conns {
		if eligible(c) && (longest == nil || c.progressedAt().Before(longest.progressedAt())) {
			longest = c
		}
	}
	return longest
}

// evict takes a stalled connection's room. One whose body is being read is interrupted, so that its client is answered; others are closed. The mutex
// must be held.
func (p *Pool) evict(c *Conn) {
	if c.phase == phaseBody {
		p.release(c, c.held)
		c.evicted = true
		// An error means that the connection is closed already.
		_ = c.Conn.SetReadDeadline(longAgo)
		return
	}
	p.remove(c)
	c.Conn.Close()
}

// note counts a limit that was met. The mutex must be held.
func (p *Pool) note(reason Reason) {
	if p.OnLimit != nil {
		p.OnLimit(reason)
	}
	p.met[reason]++
	now := p.Now()
	if now.Sub(p.loggedAt) < logInterval {
		return
	}
	p.loggedAt = now
	fields := []any{"msg", "clients met limits", "connections", len(p.conns), "bytes", p.held, "max_bytes", p.MaxBytes}
	for _, known := range []Reason{ReasonConnections, ReasonMemory, ReasonStalled, ReasonTimeout, ReasonTooLarge} {
		fields = append(fields, string(known), p.met[known])
	}
	clear(p.met)
	level.Warn(p.Logger).Log(fields...)
}

// Note counts a limit that a client met.
func (p *Pool) Note(reason Reason) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.note(reason)
}
