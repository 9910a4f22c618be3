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
	// maxHeaders bounds the cached headers.
	maxHeaders = 8192
	// maxGrantBits is the size of the grant bitmap of a reply.
	maxGrantBits = 64
)

// messageHeader holds the fields that all messages of a node's incarnation to a group share. It is sent only to receivers that
// lack it; other messages carry its digest.
type messageHeader struct {
	Zones       []string
	From        cluster.Node
	Incarnation uint64
	Set         voterset.Set
	// Length is the lease length requested by asks.
	Length time.Duration
}

// digest returns a hash that identifies the header among those of the same node.
func (i messageHeader) digest() uint64 {
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
	numbers(i.Incarnation, uint64(i.Length), i.Set.Number, uint64(len(i.Zones)), uint64(len(i.Set.Members)), nodeChecksum(i.From))
	write(i.Zones...)
	write(i.Set.Members...)
	return sum.Sum64()
}

// nodeChecksum returns a checksum of the node's fields, by which two nodes compare their cached copies. It is never 0.
func nodeChecksum(node cluster.Node) uint64 {
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

// headerKey identifies a header by its sender and digest.
type headerKey struct {
	node   string
	digest uint64
}

// headerCache holds the headers received from other nodes.
type headerCache map[headerKey]messageHeader

// add caches a header, and first clears the cache if it is full.
func (i headerCache) add(node string, digest uint64, header messageHeader) {
	if len(i) >= maxHeaders {
		clear(i)
	}
	i[headerKey{node: node, digest: digest}] = header
}

// strip returns the message without the fields of its header.
func strip(message lease.Message) lease.Message {
	message.From, message.To = "", ""
	message.Incarnation = 0
	message.Set = voterset.Set{}
	message.Length = 0
	return message
}

// stripReply returns the replies to a request without the fields that the requester can restore, and a bitmap of the
// request's asks that were granted without further data. Replies must be from the request's receiver to its sender.
func stripReply(request lease.Message, replies []lease.Message) (stripped []lease.Message, granted uint64) {
	for _, reply := range replies {
		reply.From, reply.To = "", ""
		if reply.Set.Equal(request.Set) {
			reply.Set = voterset.Set{}
			reply.Answers, granted = packGrants(request.Asks, reply.Answers, granted)
		}
		if len(reply.Asks)+len(reply.Releases) == 0 {
			reply.Incarnation, reply.Length = 0, 0
		}
		if hasContent(reply) {
			stripped = append(stripped, reply)
		}
	}
	return stripped, granted
}

// packGrants moves plain grants from the answers into the bitmap.
func packGrants(asks []lease.Ask, answers []lease.Answer, granted uint64) ([]lease.Answer, uint64) {
	var rest []lease.Answer
	for _, answer := range answers {
		at := slices.IndexFunc(asks, func(ask lease.Ask) bool { return answer == plainGrant(ask) })
		if at < 0 || at >= maxGrantBits {
			rest = append(rest, answer)
			continue
		}
		granted |= 1 << at
	}
	return rest, granted
}

func plainGrant(ask lease.Ask) lease.Answer {
	return lease.Answer{Name: ask.Name, Token: ask.Token, Round: ask.Round, Verdict: lease.Granted}
}

func hasContent(m lease.Message) bool {
	return len(m.Asks)+len(m.Answers)+len(m.Releases)+len(m.Notices)+len(m.Queries)+len(m.Sightings) > 0
}

// restoreReply reverses stripReply at the requester.
func restoreReply(request lease.Message, stripped []lease.Message, granted uint64) []lease.Message {
	var restored []lease.Message
	grants := lease.Message{}
	for at, ask := range request.Asks {
		if at < maxGrantBits && granted&(1<<at) != 0 {
			grants.Answers = append(grants.Answers, plainGrant(ask))
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

// holderNames returns the distinct holders in the messages, sorted.
func holderNames(messages []lease.Message) []string {
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
