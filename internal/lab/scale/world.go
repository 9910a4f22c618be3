package scale

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/go-kit/log"
	"golang.org/x/sync/errgroup"

	"github.com/covelink/covelink/internal/commandline"
	"github.com/covelink/covelink/internal/ctl"
	"github.com/covelink/covelink/internal/lab/deployment"
	"github.com/covelink/covelink/internal/lab/engine"
	"github.com/covelink/covelink/internal/lab/machines"
	"github.com/covelink/covelink/internal/lab/objectapi"
	"github.com/covelink/covelink/internal/lab/weightstore"
	"github.com/covelink/covelink/internal/rpc"
	"github.com/covelink/covelink/internal/settings"
)

const (
	// anyPort takes a free port of the loopback interface.
	anyPort      = "127.0.0.1:0"
	drainTimeout = 10 * time.Second
	// settleTimeout bounds the wait for a deployment to be whole.
	settleTimeout = 4 * time.Minute
	// startGroup is the number of nodes that start at the same time once the voters run.
	startGroup   = 32
	pollInterval = 50 * time.Millisecond
	// callersThrough is the number of nodes that operators are given.
	callersThrough = 3
)

// Node is a real node of a run.
type Node interface {
	deployment.Node
	// HTTPAddress returns the host:port that callers use.
	HTTPAddress() string
}

// NodeFactory builds a real node that is not started, reaches the other nodes by dial and takes their connections from
// internal.
type NodeFactory func(config settings.Settings, logger log.Logger, dial rpc.DialFunc, internal net.Listener) (Node, error)

// world is a deployment in this process: every node is a whole real one; connections between nodes are in memory, those of
// callers, engines, store and machine list loopback TCP.
type world struct {
	config  Config
	newNode NodeFactory
	plan    *deployment.Plan
	network *network
	roles   *roles

	objects  *objectapi.Server
	machines *machines.Server
	weights  *weightstore.Store
	engines  []*engine.Engine
	mu       sync.Mutex
	nodes    map[string]Node
	http     *http.Client
}

func newWorld(config Config, newNode NodeFactory) (*world, error) {
	plan, err := config.plan()
	if err != nil {
		return nil, err
	}
	return &world{
		config: config, newNode: newNode, plan: plan, network: newNetwork(), roles: newRoles(),
		nodes: make(map[string]Node),
		http:  &http.Client{Transport: &http.Transport{}, Timeout: 10 * time.Second},
	}, nil
}

// startPlatform starts the stand-ins.
func (w *world) startPlatform() error {
	quiet := log.NewNopLogger()
	w.objects = deployment.NewObjectAPI(w.plan.ObjectAPI, quiet)
	var err error
	if w.weights, err = weightstore.New(w.plan.WeightStore, quiet); err != nil {
		return err
	}
	if err := errors.Join(w.objects.Start(), w.weights.Start()); err != nil {
		return err
	}
	if err := w.startEngines(quiet); err != nil {
		return err
	}
	w.machines = deployment.NewMachines(w.plan.Machines, quiet)
	return w.machines.Start()
}

// startEngines starts the engines on ports that are free now, and lists them there.
func (w *world) startEngines(logger log.Logger) error {
	for i, config := range w.plan.Engines {
		config.Listen = anyPort
		started, err := engine.New(config, logger)
		if err != nil {
			return err
		}
		if err := started.Start(); err != nil {
			return err
		}
		w.engines = append(w.engines, started)
		// The plan lists the engines first, in their order.
		w.plan.Machines.Machines[i].URL = started.URL()
	}
	return nil
}

// startNode starts a node by its settings.
func (w *world) startNode(ctx context.Context, config settings.Settings) error {
	name := config.Node.Name
	logger := log.With(w.roles, "node", name)
	// A port that was free when the run was planned may be taken by now.
	config.Listen.HTTP = anyPort
	started, err := w.newNode(config, logger, w.network.dial(name), w.network.listen(name, config.Listen.Internal))
	if err != nil {
		return fmt.Errorf("node %s: %w", name, err)
	}
	if err := started.Start(ctx); err != nil {
		return fmt.Errorf("node %s: %w", name, err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nodes[name] = started
	for i := range w.plan.Nodes {
		if w.plan.Nodes[i].Node.Name == name {
			w.plan.Nodes[i].Listen.HTTP = started.HTTPAddress()
		}
	}
	return nil
}

// startNodes starts the voters, or the other nodes in groups, each of which is waited for: a deployment is not started at one
// stroke.
func (w *world) startNodes(ctx context.Context, voters bool) error {
	seeds := make(map[string]bool)
	for _, seed := range w.plan.Nodes[0].Cluster.Seeds {
		seeds[seed.Name] = true
	}
	var chosen []settings.Settings
	for _, config := range w.plan.Nodes {
		if seeds[config.Node.Name] == voters {
			chosen = append(chosen, config)
		}
	}
	for len(chosen) > 0 {
		size := min(startGroup, len(chosen))
		if voters {
			size = len(chosen)
		}
		if err := w.startGroup(ctx, chosen[:size], !voters); err != nil {
			return err
		}
		chosen = chosen[size:]
	}
	return nil
}

func (w *world) startGroup(ctx context.Context, group []settings.Settings, wait bool) error {
	for _, config := range group {
		if err := w.startNode(ctx, config); err != nil {
			return err
		}
	}
	if !wait {
		return nil
	}
	names := make(map[string]bool)
	for _, config := range group {
		names[config.Node.Name] = true
	}
	for i, url := range w.plan.NodeURLs() {
		if !names[w.plan.Nodes[i].Node.Name] {
			continue
		}
		if err := await(ctx, url+" is not ready", func() bool { return w.isReady(ctx, url) }); err != nil {
			return err
		}
	}
	return nil
}

// stop stops everything.
func (w *world) stop(ctx context.Context) error {
	var stopping errgroup.Group
	for _, node := range w.nodes {
		stopping.Go(func() error { return node.Stop(ctx) })
	}
	err := stopping.Wait()
	for _, started := range w.engines {
		started.Kill()
	}
	if w.weights != nil {
		err = errors.Join(err, w.weights.Stop(ctx))
	}
	if w.machines != nil {
		err = errors.Join(err, w.machines.Stop(ctx))
	}
	if w.objects != nil {
		w.objects.Stop()
	}
	w.http.CloseIdleConnections()
	return err
}

// apply writes resources as an operator does, and returns the time until all are in force.
func (w *world) apply(ctx context.Context, resources []byte) (time.Duration, error) {
	var output, failure bytes.Buffer
	arguments := []string{"covelinkctl", "--token", operatorToken}
	for _, url := range w.plan.NodeURLs()[:min(callersThrough, len(w.plan.Nodes))] {
		arguments = append(arguments, "--server", url)
	}
	arguments = append(arguments, "apply", "-f", "-", "--wait", "--timeout", settleTimeout.String())
	streams := commandline.Streams{In: bytes.NewReader(resources), Out: &output, Err: &failure}
	started := time.Now()
	if code := ctl.Run(ctx, arguments, streams); code != commandline.ExitOK {
		return 0, fmt.Errorf("apply: %s", strings.TrimSpace(failure.String()))
	}
	return time.Since(started), nil
}

// await polls a condition until it holds.
func await(ctx context.Context, what string, holds func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !holds() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return fmt.Errorf("scale: %s: %w", what, ctx.Err())
		}
	}
	return nil
}

// awaitReady waits until every node takes requests.
func (w *world) awaitReady(ctx context.Context) error {
	for _, url := range w.plan.NodeURLs() {
		if err := await(ctx, url+" is not ready", func() bool { return w.isReady(ctx, url) }); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) isReady(ctx context.Context, url string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/readyz", nil)
	if err != nil {
		return false
	}
	request.Close = true
	response, err := w.http.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
