// Package decommission handles requests to remove coordinator machines. They keep no durable state, so a machine can be removed
// once another one coordinates: it releases its lease, and the new coordinator reports the request done.
package decommission

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// Request is an operator's request to remove a machine.
type Request struct {
	// Node is the machine's name.
	Node string
	// Done is true once the machine was reported as safe to remove.
	Done bool
}

const (
	// retryPause is the delay before failed reports are retried.
	retryPause    = 300 * time.Millisecond
	reportTimeout = 1500 * time.Millisecond
)

// Manager tracks decommission requests. It is safe for concurrent use.
type Manager struct {
	self string
	// report reports to the operator that the machine can be removed.
	report func(ctx context.Context, request Request) error
	logger log.Logger

	mu       sync.Mutex
	requests map[string]Request
	changed  chan struct{}
}

// New returns the Manager of the machine self.
func New(self string, report func(ctx context.Context, request Request) error, logger log.Logger) *Manager {
	return &Manager{self: self, report: report, logger: logger, changed: make(chan struct{}, 1)}
}

// SetRequests replaces the requests, keyed by node.
func (m *Manager) SetRequests(requests map[string]Request) {
	m.mu.Lock()
	m.requests = maps.Clone(requests)
	m.mu.Unlock()
	select {
	case m.changed <- struct{}{}:
	default:
	}
}

// MayCoordinate reports whether there is no request to remove this machine.
func (m *Manager) MayCoordinate() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, leaving := m.requests[m.self]
	return !leaving
}

// Lead reports requests done until ctx ends. It runs on the coordinator and never reports this machine, which must release
// its lease first.
func (m *Manager) Lead(ctx context.Context) {
	for {
		failed := false
		for _, request := range m.pendingRequests() {
			failed = !m.reportDone(ctx, request) || failed
		}
		var retry <-chan time.Time
		if failed {
			retry = time.After(retryPause)
		}
		select {
		case <-m.changed:
		case <-retry:
		case <-ctx.Done():
			return
		}
	}
}

// pendingRequests returns the requests for other machines that are not done.
func (m *Manager) pendingRequests() []Request {
	m.mu.Lock()
	defer m.mu.Unlock()
	var pending []Request
	for _, request := range m.requests {
		if !request.Done && request.Node != m.self {
			pending = append(pending, request)
		}
	}
	return pending
}

// reportDone makes one attempt to report the request done, and returns whether it succeeded.
func (m *Manager) reportDone(ctx context.Context, request Request) bool {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	err := m.report(ctx, request)
	level.Info(m.logger).Log("msg", "decommission report sent", "machine", request.Node, "err", err)
	return err == nil
}
