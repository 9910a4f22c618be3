package rpc

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/covelink/covelink/internal/netdial"
)

const (
	defaultDialTimeout = 2 * time.Second
	// userTimeout is how long sent data may stay without acknowledgement before a connection is given up.
	userTimeout = 5 * time.Second
)

// DialFunc opens a connection to a node's internal address.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// Client calls other nodes over one long-lived connection per address.
type Client struct {
	// MaxFrameBytes bounds a frame; zero means DefaultMaxFrameBytes.
	MaxFrameBytes int
	// IdleTime is how long a connection may carry no call before it is closed; zero means 20 s.
	IdleTime time.Duration
	// Observer may be nil.
	Observer Observer

	self Peer
	dial DialFunc

	// ctx ends with Close.
	ctx    context.Context
	cancel context.CancelFunc

	mu    sync.Mutex
	links map[string]*link
	// retired are the links that no new call uses and that have not failed yet.
	retired map[*link]struct{}
	closed  bool
	// sweptAt is when idle connections were last looked for.
	sweptAt time.Time
	running sync.WaitGroup // grows only while not closed
}

// NewClient returns a Client that introduces itself as self. A nil dial means plain TCP.
func NewClient(self Peer, dial DialFunc) *Client {
	if dial == nil {
		dial = DialTCP
	}
	c := &Client{self: self, dial: dial, links: make(map[string]*link), retired: make(map[*link]struct{})}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// DialTCP opens a plain connection.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	dialer := netdial.New(netdial.Options{ConnectTimeout: defaultDialTimeout, UserTimeout: userTimeout})
	return dialer.DialContext(ctx, "tcp", address)
}

// Call sends the request to the node at address and returns its reply.
//
// Errors: one that wraps ErrNotSent when no byte of the request was written; one that wraps ErrLost when it may have been
// received but no reply came, the end of ctx included; a *v1.Error when the handler refused or failed. A request too large
// for a frame is ErrNotSent and ErrFrameTooLarge. Call returns soon after ctx ends; the one call that is writing to a peer
// that does not read may take two seconds longer.
func Call[Req, Resp any](ctx context.Context, c *Client, address string, request Req) (Resp, error) {
	c.closeIdle(time.Now())
	response, err := callOnce[Req, Resp](ctx, c, address, request)
	if errors.Is(err, errIdle) && errors.Is(err, ErrNotSent) {
		// The connection was closed between being chosen and being used.
		return callOnce[Req, Resp](ctx, c, address, request)
	}
	return response, err
}

func callOnce[Req, Resp any](ctx context.Context, c *Client, address string, request Req) (Resp, error) {
	var response Resp
	l, err := c.link(ctx, address)
	if err != nil {
		return response, fmt.Errorf("%w: %s: %w", ErrNotSent, address, err)
	}
	err = l.call(ctx, methodOf[Req](), request, &response)
	return response, err
}

// Close ends every connection and waits for the client's goroutines; calls in flight return ErrLost.
func (c *Client) Close() {
	c.mu.Lock()
	open := append(slices.Collect(maps.Values(c.links)), slices.Collect(maps.Keys(c.retired))...)
	clear(c.links)
	c.closed = true
	c.mu.Unlock()
	c.cancel()
	for _, l := range open {
		l.fail(net.ErrClosed)
	}
	c.running.Wait()
}

// spawn runs the function in a goroutine that Close waits for. It reports false once the client is closed.
func (c *Client) spawn(run func()) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.running.Go(run)
	return true
}

func (c *Client) frameLimit() int {
	if c.MaxFrameBytes > 0 {
		return c.MaxFrameBytes
	}
	return DefaultMaxFrameBytes
}

// link returns the connection to address, opening it if there is none. Concurrent callers share one dial.
func (c *Client) link(ctx context.Context, address string) (*link, error) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil, net.ErrClosed
	}
	l, ok := c.links[address]
	if !ok {
		l = &link{client: c, address: address, ready: make(chan struct{}), pending: make(map[uint64]*call)}
		c.links[address] = l
		c.running.Go(l.open)
	}
	c.mu.Unlock()
	select {
	case <-l.ready:
		return l, l.openErr
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// forget drops a link that has failed.
func (c *Client) forget(l *link) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.links[l.address] == l {
		delete(c.links, l.address)
	}
	delete(c.retired, l)
}

// retire makes new calls use another link.
func (c *Client) retire(l *link) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.links[l.address] == l {
		delete(c.links, l.address)
		c.retired[l] = struct{}{}
	}
}

func (c *Client) observe(method string, sent bool, bytes int) {
	if c.Observer != nil {
		c.Observer.Frame(method, sent, bytes)
	}
}
