package scale

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
)

// acceptBacklog bounds the connections that wait to be accepted by one node.
const acceptBacklog = 64

// traffic counts what one node sends and receives by the internal protocol, answers included. A message is one write.
type traffic struct {
	sentBytes, receivedBytes, sentMessages atomic.Int64
}

// counts is a reading of a traffic.
type counts struct {
	SentBytes, ReceivedBytes, SentMessages float64
}

func (t *traffic) read() counts {
	return counts{
		SentBytes:     float64(t.sentBytes.Load()),
		ReceivedBytes: float64(t.receivedBytes.Load()),
		SentMessages:  float64(t.sentMessages.Load()),
	}
}

// network joins the nodes of one process by synchronous in-memory connections, so that thousands of them take no file
// descriptors, and counts every byte at both ends.
type network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	traffic   map[string]*traffic
}

func newNetwork() *network {
	return &network{listeners: make(map[string]*listener), traffic: make(map[string]*traffic)}
}

// of returns the traffic of the node.
func (n *network) of(node string) *traffic {
	n.mu.Lock()
	defer n.mu.Unlock()
	counted, ok := n.traffic[node]
	if !ok {
		counted = &traffic{}
		n.traffic[node] = counted
	}
	return counted
}

// listen returns the listener of a node at an address, in place of an earlier one.
func (n *network) listen(node, address string) net.Listener {
	l := &listener{
		address: address,
		traffic: n.of(node),
		backlog: make(chan net.Conn, acceptBacklog),
		closed:  make(chan struct{}),
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[address] = l
	return l
}

// dial returns how a node opens connections.
func (n *network) dial(node string) func(ctx context.Context, address string) (net.Conn, error) {
	own := n.of(node)
	return func(ctx context.Context, address string) (net.Conn, error) {
		n.mu.Lock()
		target := n.listeners[address]
		n.mu.Unlock()
		if target == nil {
			return nil, fmt.Errorf("scale: %s: connection refused", address)
		}
		here, there := net.Pipe()
		select {
		case target.backlog <- &countedConn{Conn: there, traffic: target.traffic}:
			return &countedConn{Conn: here, traffic: own}, nil
		case <-target.closed:
			return nil, fmt.Errorf("scale: %s: connection refused", address)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// listener takes the connections of one node.
type listener struct {
	address string
	traffic *traffic
	backlog chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.backlog:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return memoryAddress(l.address) }

type memoryAddress string

func (memoryAddress) Network() string  { return "memory" }
func (a memoryAddress) String() string { return string(a) }

// countedConn counts one end of a connection.
type countedConn struct {
	net.Conn
	traffic *traffic
}

func (c *countedConn) Write(data []byte) (int, error) {
	written, err := c.Conn.Write(data)
	c.traffic.sentBytes.Add(int64(written))
	c.traffic.sentMessages.Add(1)
	return written, err
}

func (c *countedConn) Read(buffer []byte) (int, error) {
	read, err := c.Conn.Read(buffer)
	c.traffic.receivedBytes.Add(int64(read))
	return read, err
}
