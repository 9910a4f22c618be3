package intake

import (
	"errors"
	"io"
	"net"
	"time"
)

// Errors of bodies. No part of the request was passed on.
var (
	// ErrTooLarge reports a body above the limit.
	ErrTooLarge = errors.New("intake: body too large")
	// ErrNoRoom reports a body for which there is no room now.
	ErrNoRoom = errors.New("intake: no room for the body")
	// ErrTimeout reports a body that did not arrive in time, or whose client was stalled while others needed its room.
	ErrTimeout = errors.New("intake: body not received in time")
)

// initialBodyBytes is the first buffer of a body.
const initialBodyBytes = 4 << 10

// Receive lets read take a request's body until a deadline, and then marks the body as received. It returns the error of read, as ErrTimeout if the
// time was over.
func (c *Conn) Receive(deadline time.Time, read func() error) error {
	if c == nil {
		return read()
	}
	if err := c.extend(deadline); err != nil {
		return err
	}
	err := read()
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		c.noteTimeout()
		return ErrTimeout
	}
	if err != nil {
		return err
	}
	if !c.received() {
		return ErrTimeout
	}
	return c.Conn.SetReadDeadline(time.Time{})
}

// noteTimeout counts a body that did not arrive in time, unless it was interrupted because the connection has lost its room.
func (c *Conn) noteTimeout() {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if !c.evicted {
		c.pool.note(ReasonTimeout)
	}
}

// extend sets the deadline of the body, unless the connection has lost its room.
func (c *Conn) extend(deadline time.Time) error {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if c.evicted {
		return ErrTimeout
	}
	return c.Conn.SetReadDeadline(deadline)
}

// ReadBody reads a whole body of at most limit bytes, whose length is negative if it was not announced. What it takes of room is held until the
// request ends. Errors are ErrTooLarge, ErrNoRoom or those of the reader.
func (c *Conn) ReadBody(body io.Reader, length, limit int64) ([]byte, error) {
	if length > limit {
		c.Note(ReasonTooLarge)
		return nil, ErrTooLarge
	}
	bound := limit
	if length >= 0 {
		bound = length
	}
	if !c.expects(length) {
		return nil, ErrNoRoom
	}
	var buffer []byte
	for {
		if int64(len(buffer)) == bound {
			return buffer, c.atEnd(body)
		}
		if len(buffer) == cap(buffer) {
			var err error
			if buffer, err = c.enlarge(buffer, bound); err != nil {
				return nil, err
			}
		}
		n, err := body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if errors.Is(err, io.EOF) {
			return buffer, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// atEnd checks that a body has ended.
func (c *Conn) atEnd(body io.Reader) error {
	_, err := io.ReadFull(body, make([]byte, 1))
	if err == nil {
		c.Note(ReasonTooLarge)
		return ErrTooLarge
	}
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// expects reports whether there could be room for a body of an announced length.
func (c *Conn) expects(length int64) bool {
	return c == nil || length <= smallBytes || c.pool.mayFit(c, bufferPeak(length))
}

// bufferPeak is what a body takes while it is copied into its last buffer.
func bufferPeak(length int64) int64 { return length + length/2 }

// enlarge returns a larger buffer with the same content, of at most bound bytes.
func (c *Conn) enlarge(buffer []byte, bound int64) ([]byte, error) {
	before := int64(cap(buffer))
	size := min(max(2*before, initialBodyBytes), bound)
	if !c.Grow(size) {
		return nil, ErrNoRoom
	}
	larger := make([]byte, len(buffer), size)
	copy(larger, buffer)
	c.Release(before)
	return larger, nil
}

// BodyReader returns a body that takes room as it is read, of at most limit bytes, for a caller that keeps what it reads. Its errors are those of
// ReadBody.
func (c *Conn) BodyReader(body io.Reader, length, limit int64) io.Reader {
	return &countedBody{body: body, conn: c, length: length, left: limit}
}

// countedBody takes room for what is read of a body.
type countedBody struct {
	body   io.Reader
	conn   *Conn
	length int64
	// left is how many bytes may still be read, and counted how many bytes there is room for that were not read.
	left, counted int64
	begun         bool
}

// countedStep is how much room is taken at a time.
const countedStep = 16 << 10

// Read implements io.Reader.
func (b *countedBody) Read(into []byte) (int, error) {
	if err := b.begin(); err != nil {
		return 0, err
	}
	if b.counted == 0 {
		if !b.conn.Grow(countedStep) {
			return 0, ErrNoRoom
		}
		b.counted = countedStep
	}
	n, err := b.body.Read(into[:min(int64(len(into)), b.counted)])
	b.left -= int64(n)
	b.counted -= int64(n)
	if b.left < 0 {
		b.conn.Note(ReasonTooLarge)
		return 0, ErrTooLarge
	}
	return n, err
}

// begin refuses a body whose announced length cannot be received.
func (b *countedBody) begin() error {
	if b.begun {
		return nil
	}
	b.begun = true
	if b.length > b.left {
		b.conn.Note(ReasonTooLarge)
		return ErrTooLarge
	}
	if !b.conn.expects(b.length) {
		return ErrNoRoom
	}
	return nil
}
