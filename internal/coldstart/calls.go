package coldstart

import (
	"context"
	"time"

	"github.com/covelink/covelink/internal/routing"
	"github.com/covelink/covelink/internal/rpc"
)

// Request requests a grant from the coordinator.
type Request struct {
	Service string
	// Engines are the IDs of the cold engines that are eligible for the request.
	Engines []string
	Rank    routing.Rank
	// Wait is how long the Request may wait for a grant.
	Wait time.Duration
}

// Reply answers a Request.
type Reply struct {
	// Leading is false if the process is not the coordinator; the other fields are empty then.
	Leading bool
	// Engine is the ID of the granted engine; empty without a grant.
	Engine string
	// Held is how long the Request waited for its grant.
	Held time.Duration
	// RetryAfter is, without a grant, how long Requests of this rank or a less urgent one will be refused for the service.
	RetryAfter time.Duration
}

// Register registers a limiter's handler with a server.
func Register(server *rpc.Server, limiter *Limiter) {
	rpc.Handle(server, func(ctx context.Context, _ rpc.Peer, request Request) (Reply, error) {
		return limiter.Ask(ctx, request), nil
	})
}

// Ask sends a Request to the process at an address. It returns the errors of rpc.Call.
func Ask(ctx context.Context, calls *rpc.Client, address string, request Request) (Reply, error) {
	return rpc.Call[Request, Reply](ctx, calls, address, request)
}
