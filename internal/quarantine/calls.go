package quarantine

import (
	"context"
	"time"

	"github.com/covelink/covelink/internal/rpc"
)

// TellRequest reports records to the coordinator. The type name is the rpc method name.
type TellRequest struct {
	Records []Record
}

// TellReply answers a TellRequest.
type TellReply struct {
	// Leading is false if the receiver is not the coordinator; it has merged the records nevertheless.
	Leading bool
}

// TrialRequest asks the coordinator for a trial run of a held request. The type name is the rpc method name.
type TrialRequest struct {
	// Known is the caller's record of the request: a coordinator that has just taken over may have an older one.
	Known Record
}

// TrialReply answers a TrialRequest.
type TrialReply struct {
	// Leading is false if the receiver is not the coordinator and grants nothing.
	Leading bool
	Granted bool
	// Wait is the time until the next trial may be requested, if none is granted now.
	Wait time.Duration
}

// Register registers the coordinator's rpc handlers with a server.
func Register(server *rpc.Server, coordinator *Coordinator) {
	rpc.Handle(server, func(_ context.Context, _ rpc.Peer, request TellRequest) (TellReply, error) {
		return coordinator.Receive(request), nil
	})
	rpc.Handle(server, func(ctx context.Context, _ rpc.Peer, request TrialRequest) (TrialReply, error) {
		return coordinator.HandleTrial(ctx, request.Known), nil
	})
}

// Report sends records to the process at an address.
func Report(ctx context.Context, calls *rpc.Client, address string, request TellRequest) (TellReply, error) {
	return rpc.Call[TellRequest, TellReply](ctx, calls, address, request)
}

// RequestTrial requests a trial from the process at an address.
func RequestTrial(ctx context.Context, calls *rpc.Client, address string, request TrialRequest) (TrialReply, error) {
	return rpc.Call[TrialRequest, TrialReply](ctx, calls, address, request)
}
