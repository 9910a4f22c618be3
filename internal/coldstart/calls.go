package coldstart

import (
	"context"

	"github.com/covelink/covelink/internal/rpc"
)

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
