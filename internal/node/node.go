// Package node wires the parts of a covelinkd process together and runs its life: start, serve, planned stop.
package node

import (
	"context"
	"fmt"
	"net"

	"github.com/go-kit/log"
	"go.uber.org/fx"

	"github.com/covelink/covelink/internal/cluster"
	"github.com/covelink/covelink/internal/rpc"
	"github.com/covelink/covelink/internal/settings"
)

// Options replace parts of a node, for tests and for many nodes in one process. The zero value is a node on its own.
type Options struct {
	// Dial opens connections to other nodes; nil means TCP, or mutual TLS if the settings name certificates.
	Dial rpc.DialFunc
	// Internal takes the connections of other nodes; nil means a listener at the address of the settings.
	Internal net.Listener
}

// Node is one covelinkd process.
type Node struct {
	app       *fx.App
	listeners listeners
}

// listeners are bound before anything else starts, so that port 0 is resolved and a taken port is reported at once.
type listeners struct {
	http     net.Listener
	internal net.Listener
}

// New builds a node and binds its addresses. The node does nothing until Start.
func New(config settings.Settings, logger log.Logger, options Options) (*Node, error) {
	bound, err := bind(config.Listen, options.Internal)
	if err != nil {
		return nil, err
	}
	app := fx.New(
		fx.NopLogger,
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(config.Timing.DrainTimeout+stopMargin),
		fx.Supply(config, options, bound, self(config, bound)),
		fx.Provide(func() log.Logger { return logger }),
		parts,
		fx.Invoke(registerLifecycle),
	)
	if err := app.Err(); err != nil {
		bound.close()
		return nil, fmt.Errorf("node: %w", err)
	}
	return &Node{app: app, listeners: bound}, nil
}

// Start begins to serve. The node takes requests once it holds its zone's configuration; /readyz tells.
func (n *Node) Start(ctx context.Context) error { return n.app.Start(ctx) }

// Stop is the planned stop: it refuses new work, hands leases over, and returns once no request is in flight or ctx ends,
// which cuts what is left.
func (n *Node) Stop(ctx context.Context) error { return n.app.Stop(ctx) }

// HTTPAddress returns the host:port that callers and operators use.
func (n *Node) HTTPAddress() string { return n.listeners.http.Addr().String() }

// InternalAddress returns the host:port that other nodes use.
func (n *Node) InternalAddress() string { return n.listeners.internal.Addr().String() }

func bind(listen settings.Listen, internal net.Listener) (listeners, error) {
	http, err := net.Listen("tcp", listen.HTTP)
	if err != nil {
		return listeners{}, fmt.Errorf("listen.http: %w", err)
	}
	if internal != nil {
		return listeners{http: http, internal: internal}, nil
	}
	internal, err = net.Listen("tcp", listen.Internal)
	if err != nil {
		http.Close()
		return listeners{}, fmt.Errorf("listen.internal: %w", err)
	}
	return listeners{http: http, internal: internal}, nil
}

func (l listeners) close() {
	l.http.Close()
	l.internal.Close()
}

// self describes this node. Other nodes reach it at its seed's address if it has one, else where it listens.
func self(config settings.Settings, bound listeners) cluster.Node {
	node := cluster.Node{
		Name:    config.Node.Name,
		Zone:    config.Node.Zone,
		Address: bound.internal.Addr().String(),
		HasDisk: config.Node.DataDir != "",
	}
	for _, seed := range config.Cluster.Seeds {
		if seed.Name == node.Name {
			node.Address = seed.Address
		}
	}
	return node
}

// seeds returns the nodes that the settings name.
func seeds(config settings.Settings) []cluster.Node {
	nodes := make([]cluster.Node, 0, len(config.Cluster.Seeds))
	for _, seed := range config.Cluster.Seeds {
		nodes = append(nodes, cluster.Node{
			Name:    seed.Name,
			Zone:    seed.Zone,
			Address: seed.Address,
			HasDisk: seed.HasDisk,
		})
	}
	return nodes
}
