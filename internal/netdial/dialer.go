// Package netdial opens TCP connections that notice a partition: one that is idle by keep-alive probes, one that sends by
// the kernel's user timeout. What is written to them does not outlive them.
package netdial

import (
	"cmp"
	"context"
	"net"
	"time"
)

// Options bound the life of a connection.
type Options struct {
	// ConnectTimeout bounds the dial; zero means no bound.
	ConnectTimeout time.Duration
	// UserTimeout bounds how long sent data may stay without acknowledgement; zero leaves the system's default.
	UserTimeout time.Duration
	// ProbeInterval is the pause between keep-alive probes; zero leaves the system's default.
	ProbeInterval time.Duration
	// ProbeIdle is the pause before the first keep-alive probe; zero means ProbeInterval.
	ProbeIdle time.Duration
	// ProbeCount is how many probes may stay without answer.
	ProbeCount int
}

// Dialer opens connections. It is safe for concurrent use.
type Dialer struct {
	dialer net.Dialer
}

// New returns a dialer with the bounds.
func New(options Options) *Dialer {
	dialer := net.Dialer{Timeout: options.ConnectTimeout, Control: controlUserTimeout(options.UserTimeout)}
	if options.ProbeInterval > 0 {
		dialer.KeepAliveConfig = net.KeepAliveConfig{
			Enable:   true,
			Idle:     cmp.Or(options.ProbeIdle, options.ProbeInterval),
			Interval: options.ProbeInterval,
			Count:    options.ProbeCount,
		}
	}
	return &Dialer{dialer: dialer}
}

// DialContext opens a connection.
//
// Guarantee: nothing that was written to the connection and not acknowledged by the peer's kernel is sent after Close, or after the end of this
// process: closing resets the connection. After an ordinary close the kernel goes on retransmitting, so that a call which was given up during a
// partition would reach its peer after it. Callers close a connection only when they have the answers to all that they sent, or need none.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := d.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		if err := tcp.SetLinger(0); err != nil {
			conn.Close()
			return nil, err
		}
	}
	return conn, nil
}
