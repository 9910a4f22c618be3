package rpc

import (
	"errors"
	"time"
)

const (
	// defaultIdleTime is how long a connection may carry no call before it is closed: longer than the pauses between periodic calls, and short enough
	// that a process which nearly everybody calls once does not hold a connection of each.
	defaultIdleTime = 20 * time.Second
	// idleSweeps is how many times in the idle time idle connections are looked for.
	idleSweeps = 4
)

// errIdle reports a connection that was closed because it carried no call for the client's IdleTime.
var errIdle = errors.New("rpc: connection idle")

func (c *Client) idleTime() time.Duration {
	if c.IdleTime > 0 {
		return c.IdleTime
	}
	return defaultIdleTime
}

// closeIdle closes the connections that have carried no call for the idle time. It is called with each call, and looks at most idleSweeps times in the
// idle time.
func (c *Client) closeIdle(now time.Time) {
	c.mu.Lock()
	if now.Sub(c.sweptAt) < c.idleTime()/idleSweeps {
		c.mu.Unlock()
		return
	}
	c.sweptAt = now
	var idle []*link
	for _, l := range c.links {
		if l.idleSince(now.Add(-c.idleTime())) {
			idle = append(idle, l)
		}
	}
	c.mu.Unlock()
	for _, l := range idle {
		l.fail(errIdle)
	}
}

// idleSince reports whether the link has carried no call since a moment, and lets none begin if so.
func (l *link) idleSince(moment time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failed != nil || l.conn == nil || len(l.pending) > 0 || l.used.After(moment) {
		return false
	}
	l.failed = errIdle
	return true
}
