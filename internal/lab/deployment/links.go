package deployment

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/go-kit/log"

	"github.com/covelink/covelink/internal/lab/faultproxy"
	"github.com/covelink/covelink/internal/rpc"
)

// linkKey names the link from one node to another one.
type linkKey struct {
	from, to string
}

// links are the connections between nodes and from callers to nodes, each through a proxy of its own.
type links struct {
	logger  log.Logger
	between map[linkKey]*faultproxy.Proxy
	// targets maps the internal address of a node to its name.
	targets map[string]string
	callers map[string]*faultproxy.Proxy
}

// newLinks starts the proxies of a plan. Their latency is that of the description.
func newLinks(plan *Plan, logger log.Logger) (*links, error) {
	l := &links{
		logger:  logger,
		between: map[linkKey]*faultproxy.Proxy{},
		targets: map[string]string{},
		callers: map[string]*faultproxy.Proxy{},
	}
	for _, to := range plan.Nodes {
		l.targets[to.Listen.Internal] = to.Node.Name
		caller, err := l.start(to.Listen.HTTP, plan.Description.ClientLatency)
		if err != nil {
			return l, err
		}
		l.callers[to.Node.Name] = caller
		for _, from := range plan.Nodes {
			if from.Node.Name == to.Node.Name {
				continue
			}
			between, err := l.start(to.Listen.Internal, plan.Description.Latency(from.Node.Zone, to.Node.Zone))
			if err != nil {
				return l, err
			}
			l.between[linkKey{from: from.Node.Name, to: to.Node.Name}] = between
		}
	}
	return l, nil
}

func (l *links) start(target string, delay time.Duration) (*faultproxy.Proxy, error) {
	proxy := faultproxy.New(faultproxy.Config{Target: target, Delay: delay}, l.logger)
	return proxy, proxy.Start()
}

// dial returns the way in which a node reaches the others.
func (l *links) dial(from string) rpc.DialFunc {
	var dialer net.Dialer
	return func(ctx context.Context, address string) (net.Conn, error) {
		if proxy, ok := l.between[linkKey{from: from, to: l.targets[address]}]; ok {
			address = proxy.Address()
		}
		connection, err := dialer.DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, fmt.Errorf("dial %s: %w", address, err)
		}
		return connection, nil
	}
}

func (l *links) stop(ctx context.Context) {
	for _, proxy := range l.between {
		proxy.Stop(ctx)
	}
	for _, proxy := range l.callers {
		proxy.Stop(ctx)
	}
}
