package deployment

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/go-kit/log"
	"golang.org/x/sync/errgroup"

	"github.com/covelink/covelink/internal/lab/engine"
	"github.com/covelink/covelink/internal/lab/faultproxy"
	"github.com/covelink/covelink/internal/lab/invariant"
	"github.com/covelink/covelink/internal/lab/machines"
	"github.com/covelink/covelink/internal/lab/objectapi"
	"github.com/covelink/covelink/internal/lab/weightstore"
	"github.com/covelink/covelink/internal/rpc"
	"github.com/covelink/covelink/internal/settings"
)

// readyPollInterval is the time between two looks at the readiness of a node.
const readyPollInterval = 20 * time.Millisecond

// Node is a covelink node in this process.
type Node interface {
	Start(ctx context.Context) error
	// Stop is the planned stop.
	Stop(ctx context.Context) error
}

// NodeFactory builds a node that is not started and reaches the other nodes by dial.
type NodeFactory func(config settings.Settings, logger log.Logger, dial rpc.DialFunc) (Node, error)

// Deployment is a whole deployment in one process.
type Deployment struct {
	plan     *Plan
	logger   log.Logger
	platform *platform
	links    *links
	nodes    map[string]Node
}

// Start starts the stand-ins, the links and the nodes of a plan. If one of them fails, all are stopped.
func Start(ctx context.Context, plan *Plan, newNode NodeFactory, logger log.Logger) (*Deployment, error) {
	d := &Deployment{plan: plan, logger: logger, nodes: map[string]Node{}}
	if err := d.start(ctx, newNode); err != nil {
		return nil, errors.Join(err, d.Stop(ctx))
	}
	return d, nil
}

func (d *Deployment) start(ctx context.Context, newNode NodeFactory) (err error) {
	if d.platform, err = startPlatform(d.plan, d.logger); err != nil {
		return err
	}
	if d.links, err = newLinks(d.plan, d.logger); err != nil {
		return err
	}
	for _, config := range d.plan.Nodes {
		node, err := newNode(config, log.With(d.logger, "node", config.Node.Name), d.links.dial(config.Node.Name))
		if err != nil {
			return fmt.Errorf("node %s: %w", config.Node.Name, err)
		}
		d.nodes[config.Node.Name] = node
		if err := node.Start(ctx); err != nil {
			return fmt.Errorf("node %s: %w", config.Node.Name, err)
		}
	}
	return nil
}

// Stop stops the nodes as planned, all at the same time, and then everything else.
func (d *Deployment) Stop(ctx context.Context) error {
	var stopping errgroup.Group
	for name, node := range d.nodes {
		stopping.Go(func() error {
			if err := node.Stop(ctx); err != nil {
				return fmt.Errorf("stop node %s: %w", name, err)
			}
			return nil
		})
	}
	err := stopping.Wait()
	if d.links != nil {
		d.links.stop(ctx)
	}
	if d.platform != nil {
		err = errors.Join(err, d.platform.stop(ctx))
	}
	return err
}

// WaitReady waits until every node takes requests.
func (d *Deployment) WaitReady(ctx context.Context) error {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for _, url := range d.plan.NodeURLs() {
		for !isReady(ctx, client, url) {
			select {
			case <-time.After(readyPollInterval):
			case <-ctx.Done():
				return fmt.Errorf("%s is not ready: %w", url, ctx.Err())
			}
		}
	}
	return nil
}

func isReady(ctx context.Context, client *http.Client, url string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Plan returns the plan of the deployment.
func (d *Deployment) Plan() *Plan { return d.plan }

// Node returns a node by its name, or nil.
func (d *Deployment) Node(name string) Node { return d.nodes[name] }

// CallerURLs returns the base URLs by which callers reach the nodes, with the client latency in between.
func (d *Deployment) CallerURLs() []string {
	urls := make([]string, 0, len(d.plan.Nodes))
	for _, node := range d.plan.Nodes {
		urls = append(urls, baseURL(d.links.callers[node.Node.Name].Address()))
	}
	return urls
}

// CallerLink returns the proxy between the callers and a node.
func (d *Deployment) CallerLink(node string) *faultproxy.Proxy { return d.links.callers[node] }

// Link returns the proxy by which one node reaches another one.
func (d *Deployment) Link(from, to string) *faultproxy.Proxy {
	return d.links.between[linkKey{from: from, to: to}]
}

// Engines returns the engines in the order of the plan.
func (d *Deployment) Engines() []*engine.Engine { return d.platform.engines }

// ObjectAPI returns the stand-in of the platform's store.
func (d *Deployment) ObjectAPI() *objectapi.Server { return d.platform.objects }

// Machines returns the stand-in of the machine list.
func (d *Deployment) Machines() *machines.Server { return d.platform.machines }

// WeightStore returns the stand-in of the weight store.
func (d *Deployment) WeightStore() *weightstore.Store { return d.platform.weights }

// Executions returns what the engines executed so far, with the prompts that the history knows.
func (d *Deployment) Executions(_ context.Context, history *invariant.History) ([]invariant.Execution, error) {
	var executions []invariant.Execution
	for i, engine := range d.platform.engines {
		executions = append(executions, ConvertExecutions(history, d.plan.Engines[i].Pool, engine.Executions())...)
	}
	return executions, nil
}
