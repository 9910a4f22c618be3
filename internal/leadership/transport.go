package leadership

import (
	"context"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/coord/lease"
	"github.com/covelink/covelink/internal/cluster"
	"github.com/covelink/covelink/internal/rpc"
)

const (
	// maxInFlight bounds the messages on their way to one node; more are dropped, as a network may drop them.
	maxInFlight = 16
	// maxPeers bounds the nodes remembered because they asked.
	maxPeers = 4096
)

// exchangeRequest carries a message of a group to another node.
type exchangeRequest struct {
	Zones   []string
	From    cluster.Node
	Message lease.Message
}

// exchangeReply carries what the message led to for the node that sent it.
type exchangeReply struct {
	Messages []lease.Message
	// Nodes are those that the messages name.
	Nodes []cluster.Node
}

// exchange serves another node's message.
func (e *LeaseElector) exchange(_ context.Context, peer rpc.Peer, request exchangeRequest) (exchangeReply, error) {
	if request.Message.From != peer.Name || request.From.Name != peer.Name {
		return exchangeReply{}, v1.Errorf(v1.CodeInvalid, "a lease message must come from the node it names")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	g := e.group(request.Zones)
	if g == nil {
		return exchangeReply{}, v1.Errorf(v1.CodeInvalid, "no seed of these zones is known")
	}
	defer e.wakeUp()
	e.learn(request.From)
	message := request.Message
	message.To = e.params.Self.Name
	var reply exchangeReply
	for _, answer := range e.settle(g, e.now(), []lease.Message{message}) {
		if answer.To == peer.Name {
			reply.Messages = append(reply.Messages, answer)
			reply.Nodes = append(reply.Nodes, e.named(answer)...)
			continue
		}
		e.send(g, answer, nil)
	}
	return reply, nil
}

// named returns the holders that the message names, without the seeds, which every node knows.
func (e *LeaseElector) named(message lease.Message) []cluster.Node {
	var nodes []cluster.Node
	add := func(name string) {
		if node, ok := e.lookUp(name); ok && name != message.To {
			nodes = append(nodes, node)
		}
	}
	for _, answer := range message.Answers {
		add(answer.Holder)
	}
	for _, sighting := range message.Sightings {
		add(sighting.Holder)
	}
	return nodes
}

// learn remembers a node's address.
func (e *LeaseElector) learn(node cluster.Node) {
	_, known := e.peers[node.Name]
	if node.Name != e.params.Self.Name && (known || len(e.peers) < maxPeers) {
		e.peers[node.Name] = node
	}
}

// send calls another node in the background and takes its reply in; done, if not nil, is called at the end. A message that
// cannot be sent is lost. The lock is held.
func (e *LeaseElector) send(g *group, message lease.Message, done func()) {
	if done == nil {
		done = func() {}
	}
	node, known := e.lookUp(message.To)
	if !known || e.closed || e.inFlight[message.To] >= maxInFlight {
		e.metrics.dropped.Inc()
		done()
		return
	}
	e.metrics.sent.Inc()
	e.inFlight[message.To]++
	request := exchangeRequest{Zones: g.zones, From: e.params.Self, Message: message}
	e.sends.Go(func() {
		defer done()
		reply, err := e.call(context.Background(), node, request)
		e.answered(g, node.Name, reply, err)
	})
}

func (e *LeaseElector) call(ctx context.Context, node cluster.Node, request exchangeRequest) (exchangeReply, error) {
	ctx, cancel := context.WithTimeout(ctx, e.params.Timing.LeaseLength/2)
	defer cancel()
	return rpc.Call[exchangeRequest, exchangeReply](ctx, e.params.Client, node.Address, request)
}

// answered takes in what a call led to.
func (e *LeaseElector) answered(g *group, node string, reply exchangeReply, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.inFlight[node]--; e.inFlight[node] == 0 {
		delete(e.inFlight, node)
	}
	if err != nil {
		e.metrics.failed.Inc()
		return
	}
	for _, named := range reply.Nodes {
		e.learn(named)
	}
	defer e.wakeUp()
	now := e.now()
	for _, message := range reply.Messages {
		if message.From == node && message.To == e.params.Self.Name {
			e.deliver(g, now, []lease.Message{message})
		}
	}
}
