package fleetnode

import (
	"sync"
	"syscall"
	"time"

	"github.com/covelink/covelink/internal/settings"
)

const (
	// baseHeapBytes is what the heap of a process takes without callers.
	baseHeapBytes = 24 << 20
	// minCallerBytes is granted to callers however little memory there is.
	minCallerBytes = 8 << 20
	// connectionShare is the share of the callers' memory that is set aside for their connections, as a divisor, and connectionBytes is what one takes.
	connectionShare = 5
	connectionBytes = 16 << 10
	// descriptorShare is the share of the process's descriptors that callers may take, as a divisor: engines, coordinators and the store need
	// descriptors too.
	descriptorShare = 2
	// descriptorInterval is how long a limit of descriptors is taken to hold.
	descriptorInterval = time.Second
)

// callerMemory returns how much memory callers may hold, in bytes.
func callerMemory(config settings.Fleet) int64 {
	bound := config.Callers.Megabytes << 20
	if heap := config.Node.HeapBytes(); heap > 0 {
		bound = min(bound, max(heap-baseHeapBytes, minCallerBytes))
	}
	return bound
}

// callerLimits bound what callers hold of a gateway.
type callerLimits struct {
	// bytes bounds the bytes of requests and answers.
	bytes       int64
	connections int
	descriptors descriptorLimit
}

func callerLimitsOf(config settings.Fleet) *callerLimits {
	total := callerMemory(config)
	forConnections := total / connectionShare
	return &callerLimits{
		bytes:       total - forConnections,
		connections: min(config.Callers.Connections, int(forConnections/connectionBytes)),
	}
}

// maxConnections returns how many connections may be open.
func (l *callerLimits) maxConnections() int { return min(l.connections, l.descriptors.share()) }

// descriptorLimit knows how many descriptors the process may open. The zero value is ready to use.
type descriptorLimit struct {
	mu     sync.Mutex
	count  int
	readAt time.Time
}

// share returns how many descriptors the clients of a listener may take.
func (l *descriptorLimit) share() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.count == 0 || time.Since(l.readAt) >= descriptorInterval {
		l.count, l.readAt = descriptorCount(), time.Now()
	}
	return l.count / descriptorShare
}

// descriptorCount reads how many descriptors the process may open.
func descriptorCount() int {
	const unlimited = 1 << 30
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil {
		return unlimited
	}
	return int(min(limit.Cur, unlimited))
}
