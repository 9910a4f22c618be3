package fleetnode

import (
	"errors"
	"net"
	"sync/atomic"
	"time"
)

// acceptPatience is how long after a failed accept a listener counts as one that takes no connections: net/http tries again after a second at
// the latest.
const acceptPatience = 1500 * time.Millisecond

// watchedListener knows whether connections are taken, so that a process which has run out of descriptors does not call itself ready while
// its callers wait in vain.
type watchedListener struct {
	net.Listener
	// failedAt is when an accept last failed, in nanoseconds since 1970; zero once one has succeeded.
	failedAt atomic.Int64
}

// Accept implements net.Listener.
func (l *watchedListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	switch {
	case err == nil:
		l.failedAt.Store(0)
	case !errors.Is(err, net.ErrClosed):
		l.failedAt.Store(time.Now().UnixNano())
	}
	return connection, err
}

// accepting reports whether connections are taken.
func (l *watchedListener) accepting() bool {
	failed := l.failedAt.Load()
	return failed == 0 || time.Since(time.Unix(0, failed)) > acceptPatience
}
