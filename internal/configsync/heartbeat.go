package configsync

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/covelink/covelink/internal/cluster"
)

// heartbeat is what a node tells its coordinator to have its lease renewed.
type heartbeat struct {
	Node   cluster.Node
	Report NodeReport
}

// digest tells whether a node's heartbeat says the same as its last one.
func (h heartbeat) digest() uint64 {
	sum := xxhash.New()
	number := func(value uint64) { sum.Write(binary.BigEndian.AppendUint64(nil, value)) }
	for _, part := range []string{h.Node.Name, h.Node.Zone, h.Node.Address, h.Report.Node, h.Report.Incarnation} {
		number(uint64(len(part)))
		sum.WriteString(part)
	}
	if h.Node.HasDisk {
		number(1)
	}
	number(h.Report.Applied.Token)
	number(h.Report.Applied.Sequence)
	number(h.Report.Applied.Revision)
	return sum.Sum64()
}

// heartbeatRequest asks a coordinator to renew a node's lease; heartbeatReply answers it.
type heartbeatRequest struct {
	// Digest is that of the heartbeat, which is sent along unless the coordinator has answered the same one before.
	Digest uint64
	Full   *heartbeat
}

// heartbeatReply carries a Grant.
type heartbeatReply struct {
	// Repeat is true when the coordinator doesn't have the heartbeat of the digest and needs it in full.
	Repeat  bool
	Granted bool
	// Version is the state the node should hold; nil stands for the one that the node applies.
	Version *Version
}

// replyOf returns the reply that tells the node of the report the grant.
func replyOf(grant Grant, report NodeReport) heartbeatReply {
	reply := heartbeatReply{Granted: grant.Granted}
	if grant.Version != report.Applied {
		reply.Version = &grant.Version
	}
	return reply
}

// grant is the reverse of replyOf.
func (r heartbeatReply) grant(report NodeReport) Grant {
	grant := Grant{Granted: r.Granted, Version: report.Applied}
	if r.Version != nil {
		grant.Version = *r.Version
	}
	return grant
}

// answeredHeartbeat is the last heartbeat that was answered in full, and by whom.
type answeredHeartbeat struct {
	holder string
	digest uint64
}
