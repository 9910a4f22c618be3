package answercheck

import (
	"errors"
	"hash/maphash"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
)

// rememberedRequests is how many of its last requests a connection remembers.
const rememberedRequests = 64

var identitySeed = maphash.MakeSeed()

// Conn is a connection on which the heads of answers are checked as they arrive, and the bytes that are written are counted.
type Conn struct {
	net.Conn
	checker *Checker

	written atomic.Int64
	// sealed is why nothing more may be written; nil if it may.
	sealed      atomic.Pointer[error]
	writeFailed atomic.Bool

	mu   sync.Mutex
	head headScanner
	// exchange numbers the requests that were given to the connection, from 1, and answered is the last of which the head was read.
	exchange, answered uint64
	// writtenBefore is what was written before the current request.
	writtenBefore int64
	// shared is what the head takes of the checker's shared bytes. After Close it takes none.
	shared int64
	closed bool
	// carried holds hashes of the identities of the last requests, and afterUnnamed is true if the last one had no name.
	carried      []uint64
	afterUnnamed bool
}

// begin prepares for the answer to a request and returns the request's number. ok is false if the connection must not carry the request.
func (c *Conn) begin(identity string) (exchange uint64, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if identity == Unnamed && c.afterUnnamed {
		return c.exchange, false
	}
	c.afterUnnamed = identity == Unnamed || identity == Snapshot
	if identity != "" && !c.afterUnnamed {
		hash := maphash.String(identitySeed, identity)
		if slices.Contains(c.carried, hash) {
			return c.exchange, false
		}
		if len(c.carried) == rememberedRequests {
			c.carried = slices.Delete(c.carried, 0, 1)
		}
		c.carried = append(c.carried, hash)
	}
	c.releaseShared()
	c.exchange++
	c.head, c.writtenBefore = headScanner{}, c.written.Load()
	return c.exchange, true
}

// headRead reports whether the head of the answer to a request was read since the request was given to the connection.
func (c *Conn) headRead(exchange uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answered >= exchange
}

// Read implements net.Conn. It returns a *RefusedError in place of a head that can't be used.
func (c *Conn) Read(into []byte) (int, error) {
	n, err := c.Conn.Read(into)
	if reason := c.check(into[:n]); reason != "" {
		return 0, &RefusedError{Reason: reason}
	}
	if errors.Is(err, io.EOF) && c.cutOff() {
		return n, &RefusedError{Reason: ReasonReset}
	}
	return n, err
}

// check takes in the next bytes. It returns why the answer can't be used, or "".
func (c *Conn) check(data []byte) Reason {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(data) == 0 || c.exchange == 0 || c.head.done() {
		// net/http closes a connection on which bytes arrive that belong to no request.
		return ""
	}
	if c.written.Load() == c.writtenBefore {
		return ReasonUnasked
	}
	if reason := c.head.scan(data); reason != "" {
		return reason
	}
	if c.head.done() {
		c.answered = c.exchange
		c.releaseShared()
		return ""
	}
	return c.growShared(int64(c.head.size - ownHeadBytes))
}

// growShared counts the part of a head that is shared with other heads. The mutex must be held.
func (c *Conn) growShared(size int64) Reason {
	if c.closed || size <= c.shared {
		return ""
	}
	if c.checker.shared.Add(size-c.shared) > maxSharedHeadBytes {
		c.checker.shared.Add(c.shared - size)
		return ReasonNoRoom
	}
	c.shared = size
	return ""
}

// releaseShared gives back what the head has taken. The mutex must be held.
func (c *Conn) releaseShared() {
	c.checker.shared.Add(-c.shared)
	c.shared = 0
}

// cutOff reports whether the connection ended by a reset, which the kernel tells only once: to whichever of a read and a write comes first. The other
// one then sees an ordinary end.
func (c *Conn) cutOff() bool {
	c.mu.Lock()
	inBody := c.head.done()
	c.mu.Unlock()
	return inBody && (c.writeFailed.Load() || wasReset(c.Conn))
}

// Write implements net.Conn.
func (c *Conn) Write(data []byte) (int, error) {
	if reason := c.sealed.Load(); reason != nil {
		return 0, *reason
	}
	// Counted from before the write, so that an answer can't come first.
	c.written.Add(int64(len(data)))
	n, err := c.Conn.Write(data)
	c.written.Add(int64(n - len(data)))
	if err != nil {
		c.writeFailed.Store(true)
	}
	return n, err
}

// Written returns the number of bytes that were written, each counted from before its write.
func (c *Conn) Written() int64 { return c.written.Load() }

// Seal makes all further writes fail with an error.
func (c *Conn) Seal(reason error) { c.sealed.CompareAndSwap(nil, &reason) }

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.releaseShared()
	c.mu.Unlock()
	return c.Conn.Close()
}
