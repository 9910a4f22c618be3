// Package httpdrain closes an HTTP server without cutting off a request: it knows the state of every open connection, and
// waits until callers have gone elsewhere and the requests that are on their way have been answered.
package httpdrain

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// newConnectionWait bounds the wait for the request of a connection that has been accepted.
	newConnectionWait = time.Second
	quietPollInterval = 5 * time.Millisecond
	// lingerQuiet is the time without a new connection after which callers are taken to have left, and lingerLimit how long
	// that is waited for.
	lingerQuiet = 250 * time.Millisecond
	lingerLimit = 3 * time.Second
)

// Connections knows the state of every open HTTP connection.
type Connections struct {
	mu     sync.Mutex
	states map[net.Conn]http.ConnState
	// newest is when the last connection was accepted.
	newest time.Time
}

// New returns Connections without any.
func New() *Connections { return &Connections{states: make(map[net.Conn]http.ConnState)} }

// Note is an http.Server's ConnState hook.
func (c *Connections) Note(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(c.states, conn)
		return
	}
	if state == http.StateNew {
		c.newest = time.Now()
	}
	c.states[conn] = state
}

// quiet reports whether no connection is being served or waits for its first request.
func (c *Connections) quiet() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, state := range c.states {
		if state == http.StateNew || state == http.StateActive {
			return false
		}
	}
	return true
}

// AwaitLeft waits until callers open no more connections, or the limit. Whoever connects meanwhile is told that the node stops;
// a connection that the kernel has taken when the listener is closed is reset, and its caller could not tell why.
func (c *Connections) AwaitLeft(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, lingerLimit)
	defer cancel()
	started := time.Now()
	for {
		c.mu.Lock()
		since := c.newest
		c.mu.Unlock()
		if since.Before(started) {
			since = started
		}
		if time.Since(since) >= lingerQuiet {
			return
		}
		select {
		case <-time.After(quietPollInterval):
		case <-ctx.Done():
			return
		}
	}
}

// AwaitQuiet waits until the connections are quiet or ctx ends. The listener must be closed. A server that shuts down closes
// connections whose first request is on its way, and their callers could not tell whether it was run.
func (c *Connections) AwaitQuiet(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, newConnectionWait)
	defer cancel()
	for !c.quiet() {
		select {
		case <-time.After(quietPollInterval):
		case <-ctx.Done():
			return
		}
	}
}
