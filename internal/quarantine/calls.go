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
	// ID identifies the call, so that a trial can be returned whose grant did not reach the caller.
	ID string
}

// TrialReply answers a TrialRequest.
type TrialReply struct {
	// Leading is false if the receiver is not the coordinator and grants nothing.
	Leading bool
	Granted bool
	// Trial identifies the granted trial; it stands for none if the request is not held any more.
	Trial Trial
	// Wait is the time until the next trial may be requested, if none is granted now.
	Wait time.Duration
}

// ReturnRequest tells the coordinator that a trial ended without an outcome. The type name is the rpc method name.
type ReturnRequest struct {
	// ID is that of the TrialRequest.
	ID string
	// Trial is the trial, if the caller received the grant.
	Trial Trial
}

// ReturnReply answers a ReturnRequest.
type ReturnReply struct {
	// Known is true if the receiver granted the trial, or its record has it.
	Known bool
}

// Register registers the coordinator's rpc handlers with a server.
func Register(server *rpc.Server, coordinator *Coordinator) {
	rpc.Handle(server, func(_ context.Context, _ rpc.Peer, request TellRequest) (TellReply, error) {
		return coordinator.Receive(request), nil
	})
	rpc.Handle(server, func(ctx context.Context, _ rpc.Peer, request TrialRequest) (TrialReply, error) {
		return coordinator.HandleTrial(ctx, request), nil
	})
	rpc.Handle(server, func(_ context.Context, _ rpc.Peer, request ReturnRequest) (ReturnReply, error) {
		return coordinator.HandleReturn(request), nil
	})
}

// Report sends records to the process at an address.
func Report(ctx context.Context, calls *rpc.Client, address string, request TellRequest) (TellReply, error) {
	return rpc.Call[TellRequest, TellReply](ctx, calls, address, request)
}

// ReturnTrial returns a trial to the process at an address.
func ReturnTrial(ctx context.Context, calls *rpc.Client, address string, request ReturnRequest) (ReturnReply, error) {
	return rpc.Call[ReturnRequest, ReturnReply](ctx, calls, address, request)
}

// RequestTrial requests a trial from the process at an address.
func RequestTrial(ctx context.Context, calls *rpc.Client, address string, request TrialRequest) (TrialReply, error) {
	return rpc.Call[TrialRequest, TrialReply](ctx, calls, address, request)
}
