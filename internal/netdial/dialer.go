// Package netdial opens TCP connections that notice a partition: one that is idle by keep-alive probes, one that sends by
// the kernel's user timeout.
package netdial

import (
	"net"
	"time"
)

// Options bound the life of a connection.
type Options struct {
	// ConnectTimeout bounds the dial.
	ConnectTimeout time.Duration
	// UserTimeout bounds how long sent data may stay without acknowledgement.
	UserTimeout time.Duration
	// ProbeInterval is the pause before and between keep-alive probes; zero leaves the system's default.
	ProbeInterval time.Duration
	// ProbeCount is how many probes may stay without answer.
	ProbeCount int
}

// New returns a dialer with the bounds.
func New(options Options) *net.Dialer {
	dialer := &net.Dialer{Timeout: options.ConnectTimeout, Control: controlUserTimeout(options.UserTimeout)}
	if options.ProbeInterval > 0 {
		dialer.KeepAliveConfig = net.KeepAliveConfig{
			Enable:   true,
			Idle:     options.ProbeInterval,
			Interval: options.ProbeInterval,
			Count:    options.ProbeCount,
		}
	}
	return dialer
}
