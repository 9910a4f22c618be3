package weights

import (
	"context"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/rpc"
)

// PutTarget tells a zone's coordinator of a target.
type PutTarget struct {
	Zone   string
	Target Target
}

// PutTargetReply tells that the coordinator has the target, or a newer one.
type PutTargetReply struct {
	// Version is the version the coordinator wants now.
	Version int64
}

// ListTargets asks a node for the targets it knows, on behalf of the coordinator of Zone.
type ListTargets struct {
	Zone string
}

// ListTargetsReply holds the targets of pools permitted in the zone that asked.
type ListTargetsReply struct {
	Targets []Target
}

// Register makes the server answer other nodes. It must be called before the server serves.
func (m *Manager) Register(server *rpc.Server) {
	rpc.Handle(server, func(_ context.Context, _ rpc.Peer, request PutTarget) (PutTargetReply, error) {
		return m.putTarget(request)
	})
	rpc.Handle(server, func(_ context.Context, _ rpc.Peer, request ListTargets) (ListTargetsReply, error) {
		return m.listTargets(request), nil
	})
}

// putTarget takes a target in if this node coordinates the zone and the pool may be there.
func (m *Manager) putTarget(request PutTarget) (PutTargetReply, error) {
	if request.Zone != m.params.Self.Zone || !m.leading.Load() {
		return PutTargetReply{}, v1.NotRun(v1.CodeUnavailable, m.params.Limits.RetryBase, "not the coordinator of zone %s", request.Zone)
	}
	if !m.params.Source.Current().Permitted(request.Target.Pool, request.Zone) {
		return PutTargetReply{}, v1.Errorf(v1.CodeForbidden, "pool %s is not permitted in zone %s", request.Target.Pool, request.Zone)
	}
	version, err := m.targets.merge(request.Target)
	return PutTargetReply{Version: version}, err
}

func (m *Manager) listTargets(request ListTargets) ListTargetsReply {
	view := m.params.Source.Current()
	var reply ListTargetsReply
	for _, target := range m.targets.list() {
		if view.Permitted(target.Pool, request.Zone) {
			reply.Targets = append(reply.Targets, target)
		}
	}
	return reply
}
