package membership

import (
	"cmp"
	"context"
	"time"

	"github.com/covelink/covelink/coord/membership"
	"github.com/covelink/covelink/internal/cluster"
	"github.com/covelink/covelink/internal/rpc"
)

// memberMessage carries a message; memberAnswer what the receiver has to say to the sender at once, of kind 0 if nothing.
type (
	memberMessage struct{ Message membership.Message }
	memberAnswer  struct{ Message membership.Message }
)

// serve takes in a message of another node. What follows from it is sent even if the caller has gone.
func (m *Manager) serve(_ context.Context, peer rpc.Peer, request memberMessage) (memberAnswer, error) {
	return memberAnswer{Message: m.step(peer.Name, request.Message)}, nil
}

// send sends a message without waiting for it, unless Run has ended or too many are on their way.
func (m *Manager) send(message membership.Outgoing) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ended {
		return
	}
	select {
	case m.slots <- struct{}{}:
	default:
		m.metrics.dropped.Inc()
		return
	}
	m.calls.Go(func() {
		defer func() { <-m.slots }()
		m.call(m.lifetime, message)
	})
}

// call sends a message and takes in the answer. A failure is a lost message, which the table allows for.
func (m *Manager) call(ctx context.Context, message membership.Outgoing) {
	if message.Address == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, m.callTimeout())
	defer cancel()
	answer, err := rpc.Call[memberMessage, memberAnswer](ctx, m.params.Client, message.Address, memberMessage{message.Message})
	if err != nil {
		m.metrics.failed.Inc()
		return
	}
	if answer.Message.Kind == 0 {
		return
	}
	reply := m.step(message.To, answer.Message)
	if reply.Kind != 0 {
		m.send(membership.Outgoing{To: message.To, Address: message.Address, Message: reply})
	}
}

func (m *Manager) callTimeout() time.Duration { return callIntervals * m.params.Timing.ProbeInterval }

func compareNodes(a, b cluster.Node) int { return cmp.Compare(a.Name, b.Name) }
