package coldstart

import (
	"context"
	"time"

	"github.com/covelink/covelink/internal/routing"
	"github.com/covelink/covelink/internal/rpc"
)

// Request asks the coordinating process for a grant.
type Request struct {
	Service string
	// Engines are the IDs of the cold engines that may be sent the request.
	Engines []string
	Rank    routing.Rank
	// Wait is how long the Request may wait for a grant.
	Wait time.Duration
}

// Reply answers a Request.
type Reply struct {
	// Leading is false if the process does not coordinate; the rest means nothing then.
	Leading bool
	// Engine is the ID of the engine that may be sent the request; empty if none was granted.
	Engine string
	// Held is how long the Request waited for its grant.
	Held time.Duration
	// RetryAfter is, without a grant, for how long the service has no grant for a Request of this rank or a less urgent one.
	RetryAfter time.Duration
}

// Register makes the server answer Requests from the keeper.
func Register(server *rpc.Server, keeper *Keeper) {
	rpc.Handle(server, func(ctx context.Context, _ rpc.Peer, request Request) (Reply, error) {
		return keeper.Ask(ctx, request), nil
	})
}

// Ask sends a Request to the process at an address. It fails as rpc.Call does.
func Ask(ctx context.Context, calls *rpc.Client, address string, request Request) (Reply, error) {
	return rpc.Call[Request, Reply](ctx, calls, address, request)
}
