// Package decommission lets operators take coordinator machines away. Such a machine keeps no lasting state, so that it may
// go as soon as another one coordinates: a machine that is to go gives the lease up, and whoever coordinates reports the
// request done.
package decommission

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// Request is an operator's wish to take a machine away.
type Request struct {
	// Node is the machine's name.
	Node string
	// Done is true once it was reported that the machine may go.
	Done bool
}

const (
	// retryPause is the pause after a report that failed.
	retryPause = 300 * time.Millisecond
	// reportTimeout bounds one report.
	reportTimeout = 1500 * time.Millisecond
)

// Manager knows the requests. It is safe for concurrent use.
type Manager struct {
	self string
	// report tells the operator that the machine may go.
	report func(ctx context.Context, request Request) error
	logger log.Logger

	mu       sync.Mutex
	requests map[string]Request
	changed  chan struct{}
}

// New returns a Manager of the machine self.
func New(self string, report func(ctx context.Context, request Request) error, logger log.Logger) *Manager {
	return &Manager{self: self, report: report, logger: logger, changed: make(chan struct{}, 1)}
}

// SetRequests takes in the requests, by node.
func (m *Manager) SetRequests(requests map[string]Request) {
	m.mu.Lock()
	m.requests = maps.Clone(requests)
	m.mu.Unlock()
	select {
	case m.changed <- struct{}{}:
	default:
	}
}

// MayCoordinate reports whether this machine is to stay.
func (m *Manager) MayCoordinate() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, leaving := m.requests[m.self]
	return !leaving
}

// Lead reports requests done until ctx ends. The machine that coordinates is never reported: it gives the lease up first.
func (m *Manager) Lead(ctx context.Context) {
	for {
		failed := false
		for _, request := range m.open() {
			failed = !m.complete(ctx, request) || failed
		}
		var again <-chan time.Time
		if failed {
			again = time.After(retryPause)
		}
		select {
		case <-m.changed:
		case <-again:
		case <-ctx.Done():
			return
		}
	}
}

// open returns the requests of other machines that are not done.
func (m *Manager) open() []Request {
	m.mu.Lock()
	defer m.mu.Unlock()
	var open []Request
	for _, request := range m.requests {
		if !request.Done && request.Node != m.self {
			open = append(open, request)
		}
	}
	return open
}

func (m *Manager) complete(ctx context.Context, request Request) bool {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	err := m.report(ctx, request)
	level.Info(m.logger).Log("msg", "machine may go", "machine", request.Node, "err", err)
	return err == nil
}
