// Package batchrpc forwards calls about batch jobs from the process that received them to the coordinator.
package batchrpc

import (
	"context"
	"errors"
	"time"

	"github.com/covelink/covelink/internal/batch"
	"github.com/covelink/covelink/internal/rpc"
)

type code int

const (
	codeOK code = iota
	codeNotFound
	codeRefused
	codeUnavailable
	// codeNotLeading: the process is not the coordinator; the call had no effect.
	codeNotLeading
	// codeFull: there is no room for the job; the call had no effect.
	codeFull
	// codeNotStaged: staged items are missing; the call had no effect.
	codeNotStaged
)

// errNotStaged reports a job whose items were not all staged at this process.
var errNotStaged = errors.New("batchrpc: items not staged")

var errNotLeading = errors.New("batchrpc: process is not the coordinator")

var codeErrors = map[code]error{
	codeNotFound:    batch.ErrNotFound,
	codeRefused:     batch.ErrRefused,
	codeUnavailable: batch.ErrUnavailable,
	codeNotLeading:  errNotLeading,
	codeFull:        batch.ErrFull,
	codeNotStaged:   errNotStaged,
}

func toCode(err error) code {
	switch {
	case err == nil:
		return codeOK
	case errors.Is(err, batch.ErrNotFound):
		return codeNotFound
	case errors.Is(err, batch.ErrFull):
		return codeFull
	case errors.Is(err, errNotStaged):
		return codeNotStaged
	case errors.Is(err, batch.ErrRefused):
		return codeRefused
	}
	return codeUnavailable
}

// SubmitRequest submits a job.
type SubmitRequest struct {
	Job batch.Job
	// RewardRoutes are the names of the bound routes that the job's reward calls use.
	RewardRoutes []string
	// Upload names the items that were staged for the job, and Parts is how many parts they have. They stand before those of the job itself.
	Upload string
	Parts  int
}

// StageRequest stages a part of the items of a job that is too large for one message. Without items, it drops what was staged.
type StageRequest struct {
	// Upload identifies the submission.
	Upload string
	// Part counts the parts of the submission from 0. A part that is not the next one is refused.
	Part  int
	Items []batch.Item
}

// ReadRequest requests results.
type ReadRequest struct {
	Job      batch.Ref
	Position int
	Wait     time.Duration
	// RewardRoutes are as in SubmitRequest, for a job whose body must not be sent to the coordinator; empty in a plain read.
	RewardRoutes []string
}

// ReadReply answers a ReadRequest.
type ReadReply struct {
	Code    code
	Reading batch.ResultPage
}

// BodyRequest requests the body of an item.
type BodyRequest struct {
	Job  batch.Ref
	Item string
}

// BodyReply answers a BodyRequest.
type BodyReply struct {
	Code code
	Body []byte
}

// EndRequest ends a job.
type EndRequest struct{ Job batch.Ref }

// Reply answers a SubmitRequest or an EndRequest.
type Reply struct {
	Code code
	// Excluded is true if the job was refused because its bounds exclude the region of the process.
	Excluded bool
}

// PingRequest checks whether an instance is alive and the coordinator.
type PingRequest struct {
	Instance string
	// Candidate is the internal address of the caller, which is a candidate for coordinator.
	Candidate string
	// Now is the caller's clock.
	Now time.Time
}

// PingReply answers a PingRequest.
type PingReply struct {
	Leading bool
	// Unserved is the time since the store last served a call of the process.
	Unserved time.Duration
}

// YieldRequest asks an instance that cannot reach the store to end the term of a token.
type YieldRequest struct {
	Instance string
	Token    int64
}

// YieldReply answers a YieldRequest. Yielded is true once all activity of the term has stopped.
type YieldReply struct{ Yielded bool }

// Lease is a process's access to the coordinator's lease.
type Lease interface {
	// Leading reports whether the process is the coordinator.
	Leading() bool
	// AnswerPing answers a ping.
	AnswerPing(request PingRequest) PingReply
	// YieldTo ends the term of a token.
	YieldTo(ctx context.Context, instance string, token int64) error
	// AddRewardRoutes adds bound routes that reward calls use, which the choice of home regions takes into account.
	AddRewardRoutes(names []string)
}

// Register registers the handlers of a service and a lease with a server.
// maxStagedBytes bounds the items that are staged at the process.
func Register(server *rpc.Server, service batch.Service, lease Lease, maxStagedBytes int64) {
	staging := newStaging(maxStagedBytes)
	rpc.Handle(server, func(_ context.Context, _ rpc.Peer, request StageRequest) (Reply, error) {
		if !lease.Leading() {
			return Reply{Code: codeNotLeading}, nil
		}
		return Reply{Code: toCode(staging.add(request))}, nil
	})
	rpc.Handle(server, func(ctx context.Context, _ rpc.Peer, request SubmitRequest) (Reply, error) {
		if !lease.Leading() {
			return Reply{Code: codeNotLeading}, nil
		}
		lease.AddRewardRoutes(request.RewardRoutes)
		err := staging.complete(&request)
		if err == nil {
			err = service.Submit(ctx, request.Job)
		}
		return Reply{Code: toCode(err), Excluded: errors.Is(err, batch.ErrExcluded)}, nil
	})
	rpc.Handle(server, func(ctx context.Context, _ rpc.Peer, request ReadRequest) (ReadReply, error) {
		if len(request.RewardRoutes) > 0 && lease.Leading() {
			lease.AddRewardRoutes(request.RewardRoutes)
		}
		reading, err := service.Read(ctx, request.Job, request.Position, request.Wait)
		return ReadReply{Code: toCode(err), Reading: reading}, nil
	})
	rpc.Handle(server, func(ctx context.Context, _ rpc.Peer, request BodyRequest) (BodyReply, error) {
		body, err := service.Body(ctx, request.Job, request.Item)
		return BodyReply{Code: toCode(err), Body: body}, nil
	})
	rpc.Handle(server, func(ctx context.Context, _ rpc.Peer, request EndRequest) (Reply, error) {
		return Reply{Code: toCode(service.End(ctx, request.Job))}, nil
	})
	rpc.Handle(server, func(_ context.Context, _ rpc.Peer, request PingRequest) (PingReply, error) {
		return lease.AnswerPing(request), nil
	})
	rpc.Handle(server, func(ctx context.Context, _ rpc.Peer, request YieldRequest) (YieldReply, error) {
		return YieldReply{Yielded: lease.YieldTo(ctx, request.Instance, request.Token) == nil}, nil
	})
}
