package node

import (
	"context"
	"net"

	"github.com/covelink/covelink/internal/engine"
	"github.com/covelink/covelink/internal/rpc"
	"github.com/covelink/covelink/internal/settings"
)

// routes are the addresses that replace others when this node dials them.
type routes map[string]string

func newRoutes(config settings.Settings) routes {
	replaced := routes{}
	for _, route := range config.Cluster.Routes {
		replaced[route.Address] = route.Via
	}
	return replaced
}

// via returns the address to dial for the one that is known.
func (r routes) via(address string) string {
	if via, ok := r[address]; ok {
		return via
	}
	return address
}

// nodes returns the dial function for other nodes; nil means TCP.
func (r routes) nodes(dial rpc.DialFunc) rpc.DialFunc {
	if len(r) == 0 {
		return dial
	}
	if dial == nil {
		dial = rpc.DialTCP
	}
	return func(ctx context.Context, address string) (net.Conn, error) { return dial(ctx, r.via(address)) }
}

// engines returns the dial function for engines; nil means TCP.
func (r routes) engines() func(ctx context.Context, network, address string) (net.Conn, error) {
	if len(r) == 0 {
		return nil
	}
	dial := engine.DialTCP
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		return dial(ctx, network, r.via(address))
	}
}
