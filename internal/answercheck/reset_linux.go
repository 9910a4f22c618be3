package answercheck

import (
	"net"

	"golang.org/x/sys/unix"
)

// tcpClosed is the state of a socket that was reset. One whose peer has closed in order waits for the own close.
const tcpClosed = 7

// wasReset reports whether a connection whose read has ended was reset; false if that can't be told.
func wasReset(connection net.Conn) bool {
	tcp, ok := connection.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	reset := false
	err = raw.Control(func(descriptor uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
		reset = err == nil && info.State == tcpClosed
	})
	return err == nil && reset
}
