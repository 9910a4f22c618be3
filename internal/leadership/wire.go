package leadership

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/covelink/covelink/coord/lease"
	"github.com/covelink/covelink/coord/voterset"
	"github.com/covelink/covelink/internal/cluster"
)

const (
	// maxIntroductions bounds the introductions remembered.
	maxIntroductions = 8192
	// maxGrantBits bounds the grants that a reply tells by one bit each.
	maxGrantBits = 64
)

// introduction is what all messages of a node's life to a group have in common. It crosses the wire when the receiver does not
// have it yet; messages then name it by its digest.
type introduction struct {
	Zones       []string
	From        cluster.Node
	Incarnation uint64
	Set         voterset.Set
	// Length is the lease length that asks are for.
	Length time.Duration
}

// digest identifies the introduction among those of the same node.
func (i introduction) digest() uint64 {
	sum := xxhash.New()
	write := func(parts ...string) {
		var length [8]byte
		for _, part := range parts {
			binary.BigEndian.PutUint64(length[:], uint64(len(part)))
			sum.Write(length[:])
			sum.WriteString(part)
		}
	}
	numbers := func(values ...uint64) {
		for _, value := range values {
			sum.Write(binary.BigEndian.AppendUint64(nil, value))
		}
	}
	numbers(i.Incarnation, uint64(i.Length), i.Set.Number, uint64(len(i.Zones)), uint64(len(i.Set.Members)), nodeSum(i.From))
	write(i.Zones...)
	write(i.Set.Members...)
	return sum.Sum64()
}

// nodeSum tells whether two nodes know the same of a third; never 0.
func nodeSum(node cluster.Node) uint64 {
	sum := xxhash.New()
	for _, part := range []string{node.Name, node.Zone, node.Address} {
		sum.WriteString(part)
		sum.Write([]byte{0})
	}
	if node.HasDisk {
		sum.Write([]byte{1})
	}
	return max(sum.Sum64(), 1)
}

// introductionKey is a node and the digest of one of its introductions.
type introductionKey struct {
	node   string
	digest uint64
}

// introductions are those that other nodes have made.
type introductions map[introductionKey]introduction

// keep remembers an introduction of the node.
func (i introductions) keep(node string, digest uint64, made introduction) {
	if len(i) >= maxIntroductions {
		clear(i)
	}
	i[introductionKey{node: node, digest: digest}] = made
}

// strip returns the message without what the introduction tells.
func strip(message lease.Message) lease.Message {
	message.From, message.To = "", ""
	message.Incarnation = 0
	message.Set = voterset.Set{}
	message.Length = 0
	return message
}

// stripReply returns the messages that answer a request without what both sides know, and as bits the plain grants of the
// request's asks. Each is from this node to the one that asked.
func stripReply(request lease.Message, replies []lease.Message) (stripped []lease.Message, granted uint64) {
	for _, reply := range replies {
		reply.From, reply.To = "", ""
		if reply.Set.Equal(request.Set) {
			reply.Set = voterset.Set{}
			reply.Answers, granted = takeGrants(request.Asks, reply.Answers, granted)
		}
		if len(reply.Asks)+len(reply.Releases) == 0 {
			reply.Incarnation, reply.Length = 0, 0
		}
		if saysSomething(reply) {
			stripped = append(stripped, reply)
		}
	}
	return stripped, granted
}

// takeGrants moves the plain grants of the asks from the answers into the bits.
func takeGrants(asks []lease.Ask, answers []lease.Answer, granted uint64) ([]lease.Answer, uint64) {
	var rest []lease.Answer
	for _, answer := range answers {
		at := slices.IndexFunc(asks, func(ask lease.Ask) bool { return answer == grantOf(ask) })
		if at < 0 || at >= maxGrantBits {
			rest = append(rest, answer)
			continue
		}
		granted |= 1 << at
	}
	return rest, granted
}

func grantOf(ask lease.Ask) lease.Answer {
	return lease.Answer{Name: ask.Name, Token: ask.Token, Round: ask.Round, Verdict: lease.Granted}
}

func saysSomething(m lease.Message) bool {
	return len(m.Asks)+len(m.Answers)+len(m.Releases)+len(m.Notices)+len(m.Queries)+len(m.Sightings) > 0
}

// restoreReply is the reverse of stripReply on the node that sent the request.
func restoreReply(request lease.Message, stripped []lease.Message, granted uint64) []lease.Message {
	var restored []lease.Message
	grants := lease.Message{}
	for at, ask := range request.Asks {
		if at < maxGrantBits && granted&(1<<at) != 0 {
			grants.Answers = append(grants.Answers, grantOf(ask))
		}
	}
	if len(grants.Answers) > 0 {
		restored = append(restored, grants)
	}
	restored = append(restored, stripped...)
	for index := range restored {
		restored[index].From, restored[index].To = request.To, request.From
		if restored[index].Set.Number == 0 {
			restored[index].Set = request.Set
		}
	}
	return restored
}

// holdersNamed returns the holders that messages name, in order.
func holdersNamed(messages []lease.Message) []string {
	var names []string
	for _, message := range messages {
		for _, answer := range message.Answers {
			names = append(names, answer.Holder)
		}
		for _, sighting := range message.Sightings {
			names = append(names, sighting.Holder)
		}
	}
	names = slices.DeleteFunc(names, func(name string) bool { return name == "" })
	slices.Sort(names)
	return slices.Compact(names)
}
