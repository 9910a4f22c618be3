package leadership

import (
	"context"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/coord/lease"
	"github.com/covelink/covelink/internal/cluster"
	"github.com/covelink/covelink/internal/rpc"
)

const (
	// maxInFlight bounds the messages in flight to one node; further ones are dropped, which the protocol tolerates.
	maxInFlight = 16
	// maxPeers bounds the cached peer addresses.
	maxPeers = 4096
	// maxResolve bounds the names resolved per request.
	maxResolve = 64
)

// exchangeRequest carries a message to another member of a group. Its type name is the rpc method name on the wire.
type exchangeRequest struct {
	// Digest identifies the header of the message.
	Digest uint64
	// Introduction is that header. It is nil unless the receiver has replied with Stranger.
	Introduction *messageHeader
	Message      lease.Message
	// Resolve lists the names of nodes whose addresses the sender needs.
	Resolve []string
}

// exchangeReply carries the replies to a message.
type exchangeReply struct {
	// Stranger is true if the message was not applied because the receiver lacks its header.
	Stranger bool
	// Granted is a bitmap of the asks that were granted without further data; other answers are in Messages.
	Granted  uint64
	Messages []lease.Message
	// Sums are the checksums of the holders in Messages, in order of their names; 0 for an unknown node.
	Sums []uint64
	// Nodes are the nodes listed in Resolve that the receiver knows.
	Nodes []cluster.Node
}

// exchange handles a message of another node.
func (e *LeaseElector) exchange(_ context.Context, peer rpc.Peer, request exchangeRequest) (exchangeReply, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	header, known, err := e.findHeader(peer, request)
	if err != nil || !known {
		return exchangeReply{Stranger: true}, err
	}
	g := e.group(header.Zones)
	if g == nil {
		return exchangeReply{}, v1.Errorf(v1.CodeInvalid, "lease message names zones without voters, or there are too many zone sets")
	}
	defer e.wakeUp()
	e.cachePeer(header.From)
	message := header.restore(request.Message, e.params.Self.Name)
	var replies []lease.Message
	for _, answer := range e.applyLocal(g, e.now(), []lease.Message{message}) {
		if answer.To == peer.Name {
			replies = append(replies, answer)
			continue
		}
		e.send(g, answer, nil)
	}
	var reply exchangeReply
	reply.Messages, reply.Granted = stripReply(message, replies)
	reply.Sums = e.checksums(holderNames(reply.Messages))
	reply.Nodes = e.resolveNodes(request.Resolve)
	return reply, nil
}

// findHeader returns the header of the request. known is false if the peer must send it.
func (e *LeaseElector) findHeader(peer rpc.Peer, request exchangeRequest) (header messageHeader, known bool, err error) {
	if request.Introduction == nil {
		header, known = e.headers[headerKey{node: peer.Name, digest: request.Digest}]
		return header, known, nil
	}
	header = *request.Introduction
	if header.From.Name != peer.Name {
		return header, false, v1.Errorf(v1.CodeInvalid, "lease message names a sender other than the peer that sent it")
	}
	e.headers.add(peer.Name, header.digest(), header)
	return header, true, nil
}

// checksums returns the checksum of each named node, or 0 for an unknown one.
func (e *LeaseElector) checksums(names []string) []uint64 {
	var sums []uint64
	for _, name := range names {
		var sum uint64
		if node, ok := e.lookupNode(name); ok {
			sum = nodeChecksum(node)
		}
		sums = append(sums, sum)
	}
	return sums
}

func (e *LeaseElector) resolveNodes(names []string) []cluster.Node {
	var nodes []cluster.Node
	for _, name := range names[:min(len(names), maxResolve)] {
		if node, ok := e.lookupNode(name); ok {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

// cachePeer caches the address of a node. The lock is held.
func (e *LeaseElector) cachePeer(node cluster.Node) {
	_, known := e.peers[node.Name]
	if node.Name != e.params.Self.Name && (known || len(e.peers) < maxPeers) {
		e.peers[node.Name] = node
	}
}

// send sends a message in the background and applies the reply, then calls done if it is not nil. A message that cannot be
// sent is dropped. The lock is held.
func (e *LeaseElector) send(g *group, message lease.Message, done func()) {
	if done == nil {
		done = func() {}
	}
	node, known := e.lookupNode(message.To)
	if !known || e.closed || e.inFlight[message.To] >= maxInFlight {
		e.metrics.dropped.Inc()
		done()
		return
	}
	e.metrics.sent.Inc()
	e.inFlight[message.To]++
	e.sends.Go(func() {
		defer done()
		messages, err := e.call(context.Background(), node, g.zones, message)
		e.handleReply(g, node.Name, messages, err)
	})
}

// call sends the message and returns the replies. It resends the message with its header if the receiver lacks it, and
// resolves holders in the replies that are unknown or have a stale address.
func (e *LeaseElector) call(ctx context.Context, node cluster.Node, zones []string, message lease.Message) ([]lease.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, e.params.Timing.LeaseLength/2)
	defer cancel()
	header := e.headerFor(zones, message)
	request := exchangeRequest{Digest: header.digest(), Message: strip(message)}
	reply, err := e.callExchange(ctx, node, request)
	if err == nil && reply.Stranger {
		request.Introduction = &header
		reply, err = e.callExchange(ctx, node, request)
	}
	if err != nil {
		return nil, err
	}
	if unknown := e.unresolvedHolders(reply); len(unknown) > 0 {
		// On an error the holder stays unresolved until another reply names it.
		if resolved, err := e.callExchange(ctx, node, exchangeRequest{Digest: request.Digest, Resolve: unknown}); err == nil {
			e.cachePeers(resolved.Nodes)
		}
	}
	return restoreReply(message, reply.Messages, reply.Granted), nil
}

func (e *LeaseElector) callExchange(ctx context.Context, node cluster.Node, request exchangeRequest) (exchangeReply, error) {
	return rpc.Call[exchangeRequest, exchangeReply](ctx, e.params.Client, node.Address, request)
}

// headerFor returns the header shared by this node's messages to the group.
func (e *LeaseElector) headerFor(zones []string, message lease.Message) messageHeader {
	return messageHeader{
		Zones:       zones,
		From:        e.params.Self,
		Incarnation: e.incarnation,
		Set:         message.Set,
		Length:      e.params.Timing.LeaseLength,
	}
}

// restore reverses strip at the receiver.
func (i messageHeader) restore(message lease.Message, to string) lease.Message {
	message.From, message.To = i.From.Name, to
	message.Incarnation = i.Incarnation
	message.Set = i.Set
	message.Length = i.Length
	return message
}

// unresolvedHolders returns the holders in a reply whose cached node is missing or differs from the sender's.
func (e *LeaseElector) unresolvedHolders(reply exchangeReply) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var unknown []string
	names := holderNames(reply.Messages)
	for at, name := range names[:min(len(names), len(reply.Sums))] {
		node, ok := e.lookupNode(name)
		differs := !ok || nodeChecksum(node) != reply.Sums[at]
		if name != e.params.Self.Name && reply.Sums[at] != 0 && differs {
			unknown = append(unknown, name)
		}
	}
	return unknown
}

func (e *LeaseElector) cachePeers(nodes []cluster.Node) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, node := range nodes {
		e.cachePeer(node)
	}
}

// handleReply applies the replies of a call.
func (e *LeaseElector) handleReply(g *group, node string, messages []lease.Message, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.inFlight[node]--; e.inFlight[node] == 0 {
		delete(e.inFlight, node)
	}
	if err != nil {
		e.metrics.failed.Inc()
		return
	}
	defer e.wakeUp()
	now := e.now()
	for _, message := range messages {
		e.deliver(g, now, []lease.Message{message})
	}
}
