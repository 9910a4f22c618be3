package quarantine

import (
	"context"
	"time"

	"github.com/covelink/covelink/internal/rpc"
)

// TellRequest tells what a process has found out.
type TellRequest struct {
	Records []Record
}

// TellReply answers a TellRequest.
type TellReply struct {
	// Leading is false if the process does not coordinate; it has taken in the records all the same.
	Leading bool
}

// TrialRequest asks whether a held request may run once.
type TrialRequest struct {
	// Known is what the asking process knows: a process that has just begun to coordinate may know less.
	Known Record
}

// TrialReply answers a TrialRequest.
type TrialReply struct {
	// Leading is false if the process does not coordinate and grants nothing.
	Leading bool
	Granted bool
	// Wait is after which time the request may be tried, if that is not granted now.
	Wait time.Duration
}

// Register makes a server answer for a keeper.
func Register(server *rpc.Server, keeper *Keeper) {
	rpc.Handle(server, func(_ context.Context, _ rpc.Peer, request TellRequest) (TellReply, error) {
		return keeper.Receive(request), nil
	})
	rpc.Handle(server, func(ctx context.Context, _ rpc.Peer, request TrialRequest) (TrialReply, error) {
		return keeper.TryKnown(ctx, request.Known), nil
	})
}

// Tell tells the process at an address.
func Tell(ctx context.Context, calls *rpc.Client, address string, request TellRequest) (TellReply, error) {
	return rpc.Call[TellRequest, TellReply](ctx, calls, address, request)
}

// AskTrial asks the process at an address.
func AskTrial(ctx context.Context, calls *rpc.Client, address string, request TrialRequest) (TrialReply, error) {
	return rpc.Call[TrialRequest, TrialReply](ctx, calls, address, request)
}
