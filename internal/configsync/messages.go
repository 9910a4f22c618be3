package configsync

import (
	"context"
	"time"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/objectapi"
	"github.com/covelink/covelink/internal/rpc"
)

// The requests between nodes and coordinators. The rpc names a method by the request's type.
type (
	// pushRequest gives a node the state of its zone; NodeReport answers it.
	pushRequest struct {
		State State
		// ObjectsOmitted says that the node is believed to hold the resources of the state's revision already.
		ObjectsOmitted bool
	}
	// fetchRequest asks any node for the state it holds.
	fetchRequest struct{ Zone string }
	fetchReply   struct {
		State State
		// Leased says that the node has a valid lease: it applies all that its zone has acknowledged.
		Leased bool
	}
	// exchangeRequest passes one coordinator's report to another, whose own answers it.
	exchangeRequest struct{ Report Report }
	// writeRequest asks a coordinator to write to the store; writeReply answers it.
	writeRequest struct {
		Operation Operation
		Object    v1.RawObject
	}
	writeReply struct{ Object v1.RawObject }
	// readBackRequest asks a coordinator for an object as the store has it; readBackReply answers it.
	readBackRequest struct{ Key ObjectKey }
	readBackReply   struct {
		Found  bool
		Object v1.RawObject
	}
)

// Operation is a kind of write.
type Operation string

// The operations.
const (
	OperationCreate Operation = "create"
	OperationUpdate Operation = "update"
	OperationDelete Operation = "delete"
)

// retryAfterUnavailable is the advice to a caller whose write was not executed.
const retryAfterUnavailable = time.Second

// Store is the part of the object API's client that a coordinator uses.
type Store interface {
	Get(ctx context.Context, kind v1.Kind, name string) (v1.RawObject, error)
	Create(ctx context.Context, object v1.RawObject) (v1.RawObject, error)
	Update(ctx context.Context, object v1.RawObject) (v1.RawObject, error)
	Delete(ctx context.Context, kind v1.Kind, name, resourceVersion string) error
	Follow(ctx context.Context, since uint64, sink objectapi.Sink) error
}

// Register makes the server answer the requests of other nodes. It must be called before the server serves.
func (m *Manager) Register(server *rpc.Server) {
	rpc.Handle(server, m.serveHeartbeat)
	rpc.Handle(server, m.servePush)
	rpc.Handle(server, m.serveFetch)
	rpc.Handle(server, m.serveExchange)
	rpc.Handle(server, m.serveWrite)
	rpc.Handle(server, m.serveReadBack)
}

// errNotCoordinator answers requests that only a coordinator takes.
func (m *Manager) errNotCoordinator() error {
	return v1.NotRun(v1.CodeUnavailable, retryAfterUnavailable, "node %s does not coordinate zone %s", m.self.Name, m.self.Zone)
}

func (m *Manager) checkZone(peer rpc.Peer) error {
	if peer.Zone != m.self.Zone {
		return v1.NotRun(v1.CodeForbidden, 0, "node %s is of another zone", peer.Name)
	}
	return nil
}

func (m *Manager) serveHeartbeat(_ context.Context, peer rpc.Peer, request heartbeatRequest) (heartbeatReply, error) {
	if err := m.checkZone(peer); err != nil {
		return heartbeatReply{}, err
	}
	said, known := m.said(peer.Name, request)
	if !known {
		return heartbeatReply{Repeat: true}, nil // which a node that doesn't coordinate then refuses
	}
	if peer.Name != said.Node.Name || peer.Name != said.Report.Node {
		return heartbeatReply{}, v1.NotRun(v1.CodeForbidden, 0, "node %s may not speak for another", peer.Name)
	}
	grant, err := m.heartbeatLocal(said)
	return replyOf(grant, said.Report), err
}

// said returns the heartbeat that a node's request stands for; known is false when the term hasn't had it yet.
func (m *Manager) said(node string, request heartbeatRequest) (said heartbeat, known bool) {
	if request.Full != nil {
		return *request.Full, true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.term == nil {
		return heartbeat{}, false
	}
	last, known := m.term.heartbeats[node]
	return last, known && last.digest() == request.Digest
}

// heartbeatLocal answers a heartbeat on the coordinator.
func (m *Manager) heartbeatLocal(said heartbeat) (Grant, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.term == nil {
		return Grant{}, m.errNotCoordinator()
	}
	m.term.noteNode(said)
	m.checkFence(said.Report)
	var grant Grant
	m.changeLocked(func(c *Coordinator, now time.Time) { grant = c.Heartbeat(said.Report, now) })
	grant.Version = m.term.core.State().Version
	return grant, nil
}

func (m *Manager) servePush(_ context.Context, peer rpc.Peer, request pushRequest) (NodeReport, error) {
	if err := m.checkZone(peer); err != nil {
		return NodeReport{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	state := request.State
	if request.ObjectsOmitted {
		held := m.replica.State()
		if held.Revision != state.Revision {
			return m.reportLocked(), nil
		}
		state.Objects = held.Objects
	}
	m.offerLocked(state)
	return m.reportLocked(), nil
}

func (m *Manager) serveFetch(context.Context, rpc.Peer, fetchRequest) (fetchReply, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	serving, _ := m.replica.Serving(m.now())
	reply := fetchReply{State: m.replica.State(), Leased: serving}
	if m.term != nil {
		reply.State = m.term.core.State()
	}
	return reply, nil
}

func (m *Manager) serveExchange(_ context.Context, peer rpc.Peer, request exchangeRequest) (Report, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.term == nil {
		return Report{}, m.errNotCoordinator()
	}
	m.term.spread.Reported(peer.Zone, request.Report.Revision)
	m.changeLocked(func(c *Coordinator, now time.Time) { c.Merge(request.Report, now) })
	return m.term.core.State().Report(), nil
}
