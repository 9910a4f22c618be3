package netdial

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// controlUserTimeout returns a net.Dialer's Control that bounds how long sent data may stay without acknowledgement before
// the kernel gives the connection up. Without it, a connection that a partition has cut comes back only after minutes of
// retransmission pauses.
func controlUserTimeout(timeout time.Duration) func(_, _ string, raw syscall.RawConn) error {
	if timeout == 0 {
		return nil
	}
	return func(_, _ string, raw syscall.RawConn) error {
		var setErr error
		err := raw.Control(func(descriptor uintptr) {
			setErr = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return setErr
	}
}
