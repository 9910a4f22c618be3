package engine

import (
	"errors"
	"net"
	"net/http/httptrace"
	"sync"
)

// errSealed is returned by a write to a connection whose request has been given up as not written.
var errSealed = errors.New("connection sealed")

// countingConn counts the bytes written to a connection, so that a request can be proven not to have been written.
type countingConn struct {
	net.Conn

	mu      sync.Mutex
	sealed  bool
	written int64
}

// Write implements net.Conn. Bytes count from before the write, so that a count taken meanwhile is never too low.
func (c *countingConn) Write(data []byte) (int, error) {
	if !c.begin(len(data)) {
		return 0, errSealed
	}
	n, err := c.Conn.Write(data)
	c.correct(n - len(data))
	return n, err
}

func (c *countingConn) begin(length int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return false
	}
	c.written += int64(length)
	return true
}

func (c *countingConn) correct(difference int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.written += int64(difference)
}

func (c *countingConn) count() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// seal refuses every later write and returns the final count.
func (c *countingConn) seal() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.written
}

// writeWitness tells whether any byte of one request was written to any connection.
//
// A connection carries one request at a time (HTTP/2 is off), so whatever it writes after it was given to the request
// is the request's. A connection of an unknown type counts as written to.
type writeWitness struct {
	mu    sync.Mutex
	uses  []connUse
	blind bool
}

type connUse struct {
	conn  *countingConn
	start int64
}

func (w *writeWitness) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: w.gotConn}
}

func (w *writeWitness) gotConn(info httptrace.GotConnInfo) {
	w.mu.Lock()
	defer w.mu.Unlock()
	conn, ok := countingConnOf(info.Conn)
	if !ok {
		w.blind = true
		return
	}
	w.uses = append(w.uses, connUse{conn: conn, start: conn.count()})
}

// countingConnOf finds the counting connection, also below TLS.
func countingConnOf(conn net.Conn) (*countingConn, bool) {
	if layered, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = layered.NetConn()
	}
	counting, ok := conn.(*countingConn)
	return counting, ok
}

// seal ends the request: none of its connections writes another byte. It reports whether any byte was written before.
// It must be called only after the round trip has failed, when no connection went back to the pool.
func (w *writeWitness) seal() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	written := w.blind
	for _, use := range w.uses {
		if use.conn.seal() > use.start {
			written = true
		}
	}
	return written
}
