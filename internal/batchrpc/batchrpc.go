// Package batchrpc carries calls about batch jobs from the process that took them to the one that coordinates.
package batchrpc

import (
	"context"
	"errors"
	"time"

	"github.com/covelink/covelink/internal/batch"
	"github.com/covelink/covelink/internal/rpc"
)

// code is how a call ended.
type code int

const (
	codeOK code = iota
	codeNotFound
	codeRefused
	codeUnavailable
	// codeNotLeading: the process does not coordinate; nothing was done.
	codeNotLeading
)

// errNotLeading reports a process that does not coordinate.
var errNotLeading = errors.New("batchrpc: not leading")

var codeErrors = map[code]error{
	codeNotFound:    batch.ErrNotFound,
	codeRefused:     batch.ErrRefused,
	codeUnavailable: batch.ErrUnavailable,
	codeNotLeading:  errNotLeading,
}

func toCode(err error) code {
	switch {
	case err == nil:
		return codeOK
	case errors.Is(err, batch.ErrNotFound):
		return codeNotFound
	case errors.Is(err, batch.ErrRefused):
		return codeRefused
	}
	return codeUnavailable
}

// SubmitRequest asks to take a job.
type SubmitRequest struct {
	Job batch.Job
	// RewardRoutes are the names of the bound routes that its reward calls take.
	RewardRoutes []string
}

// ReadRequest asks for results.
type ReadRequest struct {
	Job      batch.Ref
	Position int
	Wait     time.Duration
	// RewardRoutes are set if the request stands for a submission whose body may not be sent (see SubmitRequest); empty for a reading.
	RewardRoutes []string
}

// ReadReply answers a ReadRequest.
type ReadReply struct {
	Code    code
	Reading batch.Reading
}

// BodyRequest asks for the body of an item.
type BodyRequest struct {
	Job  batch.Ref
	Item string
}

// BodyReply answers a BodyRequest.
type BodyReply struct {
	Code code
	Body []byte
}

// EndRequest asks to end a job.
type EndRequest struct{ Job batch.Ref }

// Reply answers the other requests.
type Reply struct {
	Code code
	// Excluded is true if a job was refused because its bounds exclude the region of the process.
	Excluded bool
}

// PingRequest asks whether an instance lives and coordinates.
type PingRequest struct {
	Instance string
	// Candidate is the internal address of the caller, which may coordinate too.
	Candidate string
	// Now is what the caller's clock shows.
	Now time.Time
}

// PingReply answers a PingRequest.
type PingReply struct {
	Leading bool
	// Unserved is for how long the store has served no call of the process.
	Unserved time.Duration
}

// YieldRequest asks an instance that the store does not serve to stop the term of a token.
type YieldRequest struct {
	Instance string
	Token    int64
}

// YieldReply answers a YieldRequest. Yielded is true once nothing of the term goes on.
type YieldReply struct{ Yielded bool }

// Lease is what a process tells and does about the coordinator's lease.
type Lease interface {
	// Leading reports whether the process coordinates.
	Leading() bool
	// Standing answers a ping.
	Standing(request PingRequest) PingReply
	// YieldTo stops the term of a token.
	YieldTo(ctx context.Context, instance string, token int64) error
	// NoteRewardRoutes adds names of bound routes that reward calls of jobs take, which count for the home regions.
	NoteRewardRoutes(names []string)
}

// Register makes the server answer for the service and the lease.
func Register(server *rpc.Server, service batch.Service, lease Lease) {
	rpc.Handle(server, func(ctx context.Context, _ rpc.Peer, request SubmitRequest) (Reply, error) {
		if !lease.Leading() {
			return Reply{Code: codeNotLeading}, nil
		}
		lease.NoteRewardRoutes(request.RewardRoutes)
		err := service.Submit(ctx, request.Job)
		return Reply{Code: toCode(err), Excluded: errors.Is(err, batch.ErrExcluded)}, nil
	})
	rpc.Handle(server, func(ctx context.Context, _ rpc.Peer, request ReadRequest) (ReadReply, error) {
		if len(request.RewardRoutes) > 0 && lease.Leading() {
			lease.NoteRewardRoutes(request.RewardRoutes)
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
		return lease.Standing(request), nil
	})
	rpc.Handle(server, func(ctx context.Context, _ rpc.Peer, request YieldRequest) (YieldReply, error) {
		return YieldReply{Yielded: lease.YieldTo(ctx, request.Instance, request.Token) == nil}, nil
	})
}
