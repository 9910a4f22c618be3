package rpc

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// userTimeout is how long sent data may stay without acknowledgement before the kernel gives the connection up. Without it, a
// connection that a partition has cut comes back only after minutes of retransmission pauses.
const userTimeout = 5 * time.Second

// setUserTimeout is a net.Dialer's Control.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var setErr error
	err := raw.Control(func(descriptor uintptr) {
		setErr = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return setErr
}
