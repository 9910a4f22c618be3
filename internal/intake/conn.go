package intake

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// ownHeadBytes is the part of a request's head that is not counted: each connection has a buffer of that size anyway.
	ownHeadBytes = 4 << 10
	// headCost is what a byte of a head takes while it is parsed: the line, the field and its copy that is passed on.
	headCost = 3
	// writePieceBytes is what a client must take within the idle timeout for its answer to go on.
	writePieceBytes = 64 << 10
	// progressBytes is what a client must send for its connection to count as making progress, so that single bytes do not keep its room.
	progressBytes = 4 << 10
	// receiveBufferBytes bounds what the kernel holds for a connection that is not read.
	receiveBufferBytes = 32 << 10
	// discardTime is how long what is left of a body is read and dropped after its request was answered. A connection that is closed with unread bytes
	// is reset, and its client may lose the answer.
	discardTime = 500 * time.Millisecond
)

// longAgo is a deadline that interrupts a read.
var longAgo = time.Unix(1, 0)

// errNoRoom reports a connection whose head found no room, or that lost its room.
var errNoRoom = errors.New("intake: no room for the client's bytes")

// phase is what a connection waits for.
type phase int

const (
	// phaseHead means that the connection is idle or receives the head of a request.
	phaseHead phase = iota
	// phaseBody means that the body of a request is being received.
	phaseBody
	// phaseServing means that the client waits for this process.
	phaseServing
)

// Timeouts bound how long a client may take.
type Timeouts struct {
	// Header is the time from the first byte of a request's head to its last.
	Header time.Duration
	// Idle is how long a connection may rest before a request, and how long a client may take to read a piece of its answer.
	Idle time.Duration
}

// Conn is a client's connection.
type Conn struct {
	net.Conn
	pool     *Pool
	timeouts Timeouts
	accepted time.Time
	// begun is true once a byte has arrived.
	begun atomic.Bool
	// progressed is when progressBytes were last received, a piece was last sent or a request began or ended, in nanoseconds since 1970, and unnoted
	// counts the bytes that were received since.
	progressed atomic.Int64
	unnoted    atomic.Int64
	// writing is true while bytes are being sent.
	writing atomic.Bool
	// receivingHead is true while the phase is phaseHead, and headBytes counts the bytes of the head.
	receivingHead atomic.Bool
	headBytes     atomic.Int64

	// The pool's mutex guards the following.
	phase phase
	held  int64
	// evicted is true once the connection has lost its room for good.
	evicted bool
}

// Admit returns a connection that counts in the pool; false if there are too many, and the connection was closed.
func (p *Pool) Admit(connection net.Conn, timeouts Timeouts) (*Conn, bool) {
	if limited, ok := connection.(interface{ SetReadBuffer(bytes int) error }); ok {
		// The default stays in force if the kernel refuses.
		_ = limited.SetReadBuffer(receiveBufferBytes)
	}
	c := &Conn{Conn: connection, pool: p, timeouts: timeouts, accepted: p.Now()}
	c.progress()
	c.receivingHead.Store(true)
	if !p.admit(c) {
		connection.Close()
		return nil, false
	}
	return c, true
}

func (c *Conn) progress() {
	c.unnoted.Store(0)
	c.progressed.Store(c.pool.Now().UnixNano())
}

func (c *Conn) progressedAt() time.Time { return time.Unix(0, c.progressed.Load()) }

func (c *Conn) large() bool { return c.held > smallBytes }

// awaitsClient reports whether the connection waits for its client to send, or to read its answer. The pool's mutex must be held.
func (c *Conn) awaitsClient() bool { return c.phase != phaseServing || c.writing.Load() }

// Read implements net.Conn.
func (c *Conn) Read(into []byte) (int, error) {
	n, err := c.Conn.Read(into)
	if n == 0 {
		return n, err
	}
	if c.unnoted.Add(int64(n)) >= progressBytes {
		c.progress()
	}
	if c.begun.CompareAndSwap(false, true) {
		if deadlineErr := c.Conn.SetReadDeadline(c.pool.Now().Add(c.timeouts.Header)); deadlineErr != nil {
			return n, deadlineErr
		}
	}
	if c.receivingHead.Load() && !c.countHead(int64(n)) {
		return 0, errNoRoom
	}
	return n, err
}

// countHead takes room for a part of a head. It returns false if there is none.
func (c *Conn) countHead(bytes int64) bool {
	total := c.headBytes.Add(bytes)
	return total <= ownHeadBytes || c.Grow(headCost*bytes)
}

// Write implements net.Conn. It fails if the client takes nothing for the idle timeout.
func (c *Conn) Write(data []byte) (int, error) {
	c.writing.Store(true)
	defer c.writing.Store(false)
	written := 0
	for {
		if err := c.Conn.SetWriteDeadline(c.pool.Now().Add(c.timeouts.Idle)); err != nil {
			return written, err
		}
		c.progress()
		n, err := c.Conn.Write(data[written:min(len(data), written+writePieceBytes)])
		written += n
		if err != nil || written == len(data) {
			return written, err
		}
	}
}

// SetReadDeadline implements net.Conn. Before its first byte a connection may rest as long as between two requests.
func (c *Conn) SetReadDeadline(deadline time.Time) error {
	if !c.begun.Load() && !deadline.IsZero() {
		deadline = c.accepted.Add(c.timeouts.Idle)
	}
	return c.Conn.SetReadDeadline(deadline)
}

// CloseWrite ends what the client is sent.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.pool.mu.Lock()
	c.pool.remove(c)
	c.pool.mu.Unlock()
	return c.Conn.Close()
}

// Grow takes room for more bytes, until the request has ended. It returns false if there is none. A nil Conn has room for everything.
func (c *Conn) Grow(bytes int64) bool {
	if c == nil {
		return true
	}
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	return c.pool.grow(c, bytes)
}

// Release gives room back before the request has ended.
func (c *Conn) Release(bytes int64) {
	if c == nil {
		return
	}
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.pool.release(c, bytes)
}

// Note counts a limit that the client met.
func (c *Conn) Note(reason Reason) {
	if c != nil {
		c.pool.Note(reason)
	}
}

// begin marks the end of a request's head.
func (c *Conn) begin(hasBody bool) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.progress()
	c.receivingHead.Store(false)
	c.phase = phaseServing
	if hasBody {
		c.phase = phaseBody
	}
}

// received marks the end of a request's body: from now on the client waits for this process. It returns false if the connection has lost its room.
func (c *Conn) received() bool {
	if c == nil {
		return true
	}
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if c.evicted {
		return false
	}
	c.phase = phaseServing
	return true
}

// end marks the end of a request and releases its room.
func (c *Conn) end() {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if c.phase == phaseBody {
		// An error means that the connection is closed already.
		_ = c.Conn.SetReadDeadline(c.pool.Now().Add(discardTime))
	}
	c.pool.release(c, c.held)
	c.progress()
	c.phase = phaseHead
	c.headBytes.Store(0)
	c.receivingHead.Store(true)
}

// connKey is the context key of a request's connection.
type connKey struct{}

// ConnContext is an http.Server's ConnContext hook, which makes FromContext work.
func ConnContext(ctx context.Context, connection net.Conn) context.Context {
	if c, ok := connection.(*Conn); ok {
		return context.WithValue(ctx, connKey{}, c)
	}
	return ctx
}

// FromContext returns the connection of a request; nil if it came through no Pool.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// Handler follows the requests of connections of a Pool. All requests of a server with ConnContext must pass through it.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c := FromContext(r.Context()); c != nil {
			c.begin(r.ContentLength != 0)
			defer c.end()
		}
		next.ServeHTTP(w, r)
	})
}
