//go:build !linux

package netdial

import (
	"syscall"
	"time"
)

// controlUserTimeout leaves the system's own timeouts in place.
func controlUserTimeout(time.Duration) func(_, _ string, _ syscall.RawConn) error { return nil }
