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
	// maxResolve bounds the names that one request asks the addresses of.
	maxResolve = 64
)

// exchangeRequest carries a message of a group to another node.
type exchangeRequest struct {
	// Digest names the introduction, which is sent along when the receiver has asked for it.
	Digest       uint64
	Introduction *introduction
	Message      lease.Message
	// Resolve names the nodes whose addresses the sender lacks.
	Resolve []string
}

// exchangeReply carries what the message led to for the node that sent it.
type exchangeReply struct {
	// Stranger is true when the message was not taken in because the introduction is not known.
	Stranger bool
	// Granted has a bit for each ask that is granted plainly; other answers are in Messages.
	Granted  uint64
	Messages []lease.Message
	// Sums are nodeSum of the holders that Messages name, in order of their names; 0 for one not known.
	Sums []uint64
	// Nodes are those asked for.
	Nodes []cluster.Node
}

// exchange serves another node's message.
func (e *LeaseElector) exchange(_ context.Context, peer rpc.Peer, request exchangeRequest) (exchangeReply, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	made, known, err := e.introduced(peer, request)
	if err != nil || !known {
		return exchangeReply{Stranger: true}, err
	}
	g := e.group(made.Zones)
	if g == nil {
		return exchangeReply{}, v1.Errorf(v1.CodeInvalid, "no seed of these zones is known")
	}
	defer e.wakeUp()
	e.learn(made.From)
	message := made.address(request.Message, e.params.Self.Name)
	var replies []lease.Message
	for _, answer := range e.settle(g, e.now(), []lease.Message{message}) {
		if answer.To == peer.Name {
			replies = append(replies, answer)
			continue
		}
		e.send(g, answer, nil)
	}
	var reply exchangeReply
	reply.Messages, reply.Granted = stripReply(message, replies)
	reply.Sums = e.sums(holdersNamed(reply.Messages))
	reply.Nodes = e.resolve(request.Resolve)
	return reply, nil
}

// introduced returns the introduction that the request names; known is false when the peer has to make it.
func (e *LeaseElector) introduced(peer rpc.Peer, request exchangeRequest) (made introduction, known bool, err error) {
	if request.Introduction == nil {
		made, known = e.introductions[introductionKey{node: peer.Name, digest: request.Digest}]
		return made, known, nil
	}
	made = *request.Introduction
	if made.From.Name != peer.Name {
		return made, false, v1.Errorf(v1.CodeInvalid, "a lease message must come from the node it names")
	}
	e.introductions.keep(peer.Name, made.digest(), made)
	return made, true, nil
}

// sums returns what this node knows of the named ones, as nodeSum.
func (e *LeaseElector) sums(names []string) []uint64 {
	var sums []uint64
	for _, name := range names {
		var sum uint64
		if node, ok := e.lookUp(name); ok {
			sum = nodeSum(node)
		}
		sums = append(sums, sum)
	}
	return sums
}

func (e *LeaseElector) resolve(names []string) []cluster.Node {
	var nodes []cluster.Node
	for _, name := range names[:min(len(names), maxResolve)] {
		if node, ok := e.lookUp(name); ok {
			nodes = append(nodes, node)
		}
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
	e.sends.Go(func() {
		defer done()
		messages, err := e.call(context.Background(), node, g.zones, message)
		e.answered(g, node.Name, messages, err)
	})
}

// call sends the message and returns those that answer it. It introduces this node, and asks for the addresses of the holders
// named, if need be.
func (e *LeaseElector) call(ctx context.Context, node cluster.Node, zones []string, message lease.Message) ([]lease.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, e.params.Timing.LeaseLength/2)
	defer cancel()
	made := e.introduce(zones, message)
	request := exchangeRequest{Digest: made.digest(), Message: strip(message)}
	reply, err := e.exchangeWith(ctx, node, request)
	if err == nil && reply.Stranger {
		request.Introduction = &made
		reply, err = e.exchangeWith(ctx, node, request)
	}
	if err != nil {
		return nil, err
	}
	if unknown := e.unknown(reply); len(unknown) > 0 {
		// Without an answer the holder stays unknown, and is asked for again when it is next named.
		if resolved, err := e.exchangeWith(ctx, node, exchangeRequest{Digest: request.Digest, Resolve: unknown}); err == nil {
			e.learnAll(resolved.Nodes)
		}
	}
	return restoreReply(message, reply.Messages, reply.Granted), nil
}

func (e *LeaseElector) exchangeWith(ctx context.Context, node cluster.Node, request exchangeRequest) (exchangeReply, error) {
	return rpc.Call[exchangeRequest, exchangeReply](ctx, e.params.Client, node.Address, request)
}

// introduce returns what the message has in common with the others of this node to the group.
func (e *LeaseElector) introduce(zones []string, message lease.Message) introduction {
	return introduction{
		Zones:       zones,
		From:        e.params.Self,
		Incarnation: e.incarnation,
		Set:         message.Set,
		Length:      e.params.Timing.LeaseLength,
	}
}

// address is the reverse of strip on the node that receives the message.
func (i introduction) address(message lease.Message, to string) lease.Message {
	message.From, message.To = i.From.Name, to
	message.Incarnation = i.Incarnation
	message.Set = i.Set
	message.Length = i.Length
	return message
}

// unknown returns the holders named by a reply of whom the other node knows something else than this one.
func (e *LeaseElector) unknown(reply exchangeReply) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var unknown []string
	names := holdersNamed(reply.Messages)
	for at, name := range names[:min(len(names), len(reply.Sums))] {
		node, ok := e.lookUp(name)
		differs := !ok || nodeSum(node) != reply.Sums[at]
		if name != e.params.Self.Name && reply.Sums[at] != 0 && differs {
			unknown = append(unknown, name)
		}
	}
	return unknown
}

func (e *LeaseElector) learnAll(nodes []cluster.Node) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, node := range nodes {
		e.learn(node)
	}
}

// answered takes in what a call led to.
func (e *LeaseElector) answered(g *group, node string, messages []lease.Message, err error) {
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
