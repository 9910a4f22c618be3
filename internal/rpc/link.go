package rpc

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	v1 "github.com/covelink/covelink/api/v1"
)

// call is one request that waits for its reply.
type call struct {
	method   string
	response any
	done     chan error // buffered, receives exactly once
}

// link is one connection of a client.
type link struct {
	client  *Client
	address string
	ready   chan struct{} // closed when open has finished
	openErr error
	conn    net.Conn
	writer  *frameWriter

	mu      sync.Mutex
	nextID  uint64
	pending map[uint64]*call
	failed  error
	// used is when the last call began.
	used time.Time
	// heard is when a reply last arrived, and retired is true once no new call uses the link.
	heard   time.Time
	retired bool
}

// errSilent reports a connection that carried no reply while a call waited until its end.
var errSilent = errors.New("rpc: connection silent")

// open dials and says hello.
func (l *link) open() {
	defer close(l.ready)
	ctx, cancel := context.WithTimeout(l.client.ctx, defaultDialTimeout)
	defer cancel()
	conn, err := l.client.dial(ctx, l.address)
	if err != nil {
		l.openErr = err
		l.client.forget(l)
		return
	}
	l.mu.Lock()
	closed := l.failed
	l.conn = conn
	l.mu.Unlock()
	if closed != nil {
		conn.Close()
		l.openErr = closed
		return
	}
	l.writer = newFrameWriter(conn, l.client.frameLimit())
	err = l.greet(ctx, conn)
	if err == nil && !l.client.spawn(func() { l.receive(newFrameReader(conn, l.client.frameLimit())) }) {
		err = net.ErrClosed
	}
	if err != nil {
		l.openErr = err
		l.fail(err)
	}
}

func (l *link) greet(ctx context.Context, conn net.Conn) error {
	if err := conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	if _, err := io.WriteString(conn, preamble); err != nil {
		return err
	}
	_, _, err := l.writer.write(ctx, header{}, hello{Peer: l.client.self})
	return err
}

func (l *link) call(ctx context.Context, method string, request, response any) error {
	id, waiting, err := l.register(method, response)
	if err != nil {
		return fmt.Errorf("%w: %s: %w", ErrNotSent, l.address, err)
	}
	head := header{ID: id, Method: method}
	if deadline, ok := ctx.Deadline(); ok {
		head.Timeout = time.Until(deadline)
		if head.Timeout <= 0 {
			l.unregister(id)
			return fmt.Errorf("%w: %w", ErrNotSent, context.DeadlineExceeded)
		}
	}
	size, sent, err := l.writer.write(ctx, head, request)
	if err != nil {
		return l.notWritten(id, sent, err)
	}
	l.client.observe(method, true, size)
	return l.await(ctx, id, waiting, time.Now())
}

// notWritten ends a call whose frame was not wholly written.
func (l *link) notWritten(id uint64, sent bool, err error) error {
	l.unregister(id)
	harmless := errors.Is(err, errEncode) || errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
	if !harmless {
		l.fail(err)
	}
	if sent {
		return fmt.Errorf("%w: %s: %w", ErrLost, l.address, err)
	}
	return fmt.Errorf("%w: %s: %w", ErrNotSent, l.address, err)
}

func (l *link) await(ctx context.Context, id uint64, waiting *call, sent time.Time) error {
	select {
	case err := <-waiting.done:
		return err
	case <-ctx.Done():
	}
	if !l.unregister(id) {
		// The reply has arrived in the meantime and is being decoded into the caller's response.
		return <-waiting.done
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		l.suspect(sent)
	}
	l.client.spawn(func() {
		l.sendCancel(id)
		l.closeIfRetired()
	})
	return fmt.Errorf("%w: %s: %w", ErrLost, l.address, ctx.Err())
}

// suspect retires the link if nothing has arrived since a call was sent that waited until its end: a connection may go silent for good
// while new ones work, and no acknowledgement of the kernel's shows it. The next call opens another; those that wait on this one go on.
func (l *link) suspect(sent time.Time) {
	l.mu.Lock()
	l.retired = l.retired || l.heard.Before(sent)
	retired := l.retired
	l.mu.Unlock()
	if retired {
		l.client.retire(l)
	}
}

// closeIfRetired closes a retired link for whose replies nobody waits any more.
func (l *link) closeIfRetired() {
	l.mu.Lock()
	unused := l.retired && len(l.pending) == 0 && l.failed == nil
	l.mu.Unlock()
	if unused {
		l.fail(errSilent)
	}
}

// sendCancel tells the server that nobody waits for the reply any more.
func (l *link) sendCancel(id uint64) {
	_, _, err := l.writer.write(l.client.ctx, header{ID: id, Cancel: true}, empty{})
	if err != nil {
		l.fail(err)
	}
}

func (l *link) register(method string, response any) (uint64, *call, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failed != nil {
		return 0, nil, l.failed
	}
	if l.retired {
		return 0, nil, errSilent
	}
	l.nextID++
	l.used = time.Now()
	waiting := &call{method: method, response: response, done: make(chan error, 1)}
	l.pending[l.nextID] = waiting
	return l.nextID, waiting, nil
}

// unregister reports whether the call was still waiting.
func (l *link) unregister(id uint64) bool {
	return l.take(id) != nil
}

func (l *link) take(id uint64) *call {
	l.mu.Lock()
	defer l.mu.Unlock()
	waiting := l.pending[id]
	delete(l.pending, id)
	return waiting
}

// receive hands replies to their callers until the connection fails.
func (l *link) receive(reader *frameReader) {
	for {
		head, size, err := reader.next()
		if err != nil {
			l.fail(err)
			return
		}
		l.client.observe("", false, size)
		l.noteHeard()
		if err := l.deliver(reader, head); err != nil {
			l.fail(err)
			return
		}
		l.closeIfRetired()
	}
}

func (l *link) noteHeard() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heard = time.Now()
}

// deliver decodes one reply. Replies to calls that have been given up are dropped.
func (l *link) deliver(reader *frameReader, head header) error {
	waiting := l.take(head.ID)
	if waiting == nil || head.Failure != nil {
		if err := reader.body(nil); err != nil {
			l.finish(waiting, fmt.Errorf("%w: %w", ErrLost, err))
			return err
		}
		l.finish(waiting, failureOf(head.Failure))
		return nil
	}
	if err := reader.body(waiting.response); err != nil {
		l.finish(waiting, fmt.Errorf("%w: %w", ErrLost, err))
		return err
	}
	l.finish(waiting, nil)
	return nil
}

func (l *link) finish(waiting *call, err error) {
	if waiting != nil {
		waiting.done <- err
	}
}

func failureOf(failure *v1.Error) error {
	if failure == nil {
		return nil
	}
	return failure
}

// fail closes the connection; every waiting call returns ErrLost.
func (l *link) fail(err error) {
	l.client.forget(l)
	l.mu.Lock()
	pending := l.pending
	l.pending = make(map[uint64]*call)
	if l.failed == nil {
		l.failed = err
	}
	conn := l.conn
	l.mu.Unlock()
	if conn != nil {
		conn.Close()
	}
	for _, waiting := range pending {
		waiting.done <- fmt.Errorf("%w: %s: %w", ErrLost, l.address, err)
	}
}
