package jobresidency_test

import (
	"bytes"
	"context"
	"errors"
	"net"
	"slices"
	"strings"
	"sync"

	"github.com/covelink/covelink/internal/rpc"
)

// network connects processes in memory and keeps what each of them received.
type network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	// received holds the bytes of each direction of each connection, with the zone and the kind of the process that received them.
	received []*stream
}

type stream struct {
	zone, process string
	content       bytes.Buffer
}

type listener struct {
	address string
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}
func (l *listener) Close() error   { l.once.Do(func() { close(l.closed) }); return nil }
func (l *listener) Addr() net.Addr { return &net.UnixAddr{Name: l.address} }

// recordedConn keeps what passes.
type recordedConn struct {
	net.Conn
	network     *network
	out, inward *stream
}

func (c *recordedConn) Write(content []byte) (int, error) {
	c.network.mu.Lock()
	c.out.content.Write(content)
	c.network.mu.Unlock()
	return c.Conn.Write(content)
}

func (c *recordedConn) Read(content []byte) (int, error) {
	n, err := c.Conn.Read(content)
	c.network.mu.Lock()
	c.inward.content.Write(content[:n])
	c.network.mu.Unlock()
	return n, err
}

// dialFrom returns the dial function of a process.
func (n *network) dialFrom(zone, process string) rpc.DialFunc {
	return func(ctx context.Context, address string) (net.Conn, error) {
		n.mu.Lock()
		target := n.listeners[address]
		n.mu.Unlock()
		if target == nil {
			return nil, errors.New("connection refused")
		}
		near, far := net.Pipe()
		select {
		case target.conns <- far:
		case <-target.closed:
			return nil, errors.New("connection refused")
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		conn := &recordedConn{Conn: near, network: n, out: &stream{zone: zoneOf(address), process: address}, inward: &stream{zone: zone, process: process}}
		n.mu.Lock()
		n.received = append(n.received, conn.out, conn.inward)
		n.mu.Unlock()
		return conn, nil
	}
}

func zoneOf(address string) string { return address[strings.LastIndex(address, "-")+1:] }

// seen returns the processes that received bytes which contain a text, sorted.
func (n *network) seen(text string) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var found []string
	for _, received := range n.received {
		if bytes.Contains(received.content.Bytes(), []byte(text)) && !slices.Contains(found, received.process) {
			found = append(found, received.process)
		}
	}
	slices.Sort(found)
	return found
}

// seenIn returns the processes of a region that received a text.
func (n *network) seenIn(region, text string) []string {
	return slices.DeleteFunc(n.seen(text), func(process string) bool { return topology.Region(zoneOf(process)) != region })
}
