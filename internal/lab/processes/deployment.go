package processes

import (
	"context"
	"fmt"
	"net/http"
	"path/filepath"
	"time"

	"github.com/go-kit/log"
	"golang.org/x/sync/errgroup"

	"github.com/covelink/covelink/internal/lab/deployment"
	"github.com/covelink/covelink/internal/lab/faultproxy"
	"github.com/covelink/covelink/internal/settings"
)

const (
	// freePort lets the system choose where a process listens.
	freePort = "127.0.0.1:0"
	// pollInterval is the time between two looks at a condition that is waited for.
	pollInterval = 20 * time.Millisecond
	// killTimeout bounds the end of every process at Stop.
	killTimeout = 20 * time.Second

	objectAPIName   = "objectapi"
	machinesName    = "machines"
	weightStoreName = "weightstore"
)

// Config describes a deployment of processes.
type Config struct {
	Description deployment.Description
	Programs    Programs
	// Folder takes settings, data folders and logs.
	Folder string
	// Settings may change the settings of a node; nil changes nothing.
	Settings func(*settings.Settings)
	Logger   log.Logger
}

// Deployment is a deployment whose nodes and stand-ins are processes.
type Deployment struct {
	config    Config
	plan      *deployment.Plan
	links     *links
	callers   []string
	processes map[string]*Process
	// order lists the processes in the order in which they are started.
	order []string
	http  *http.Client
}

// Start starts every process of a description and waits until each listens. If one fails, all are ended.
func Start(ctx context.Context, config Config) (*Deployment, error) {
	d := &Deployment{
		config:    config,
		links:     newLinks(config.Logger),
		processes: map[string]*Process{},
		http:      &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: controlTimeout},
	}
	if err := d.start(ctx); err != nil {
		d.Stop()
		return nil, err
	}
	return d, nil
}

func (d *Deployment) start(ctx context.Context) (err error) {
	dataRoot := filepath.Join(d.config.Folder, "data")
	if d.plan, err = deployment.NewPlan(d.config.Description, d.links.public, dataRoot); err != nil {
		return err
	}
	if err := d.linkCallers(); err != nil {
		return err
	}
	if err := d.writeSettings(); err != nil {
		return err
	}
	var starting errgroup.Group
	for _, name := range d.order {
		starting.Go(func() error { return d.processes[name].Start(ctx) })
	}
	return starting.Wait()
}

// writeSettings writes the settings of every process, in which every address of another process is that of a link.
func (d *Deployment) writeSettings() error {
	wired := *d.plan
	if err := d.wire(&wired); err != nil {
		return err
	}
	listed, err := wired.WriteFiles(d.config.Folder)
	if err != nil {
		return err
	}
	public := d.publicAddresses()
	for _, process := range listed {
		if process.Ends {
			continue
		}
		d.order = append(d.order, process.Name)
		d.processes[process.Name] = &Process{
			name:      process.Name,
			path:      d.config.Programs.path(process.Program),
			arguments: process.Arguments,
			logFile:   filepath.Join(d.config.Folder, process.Name+".log"),
			announce:  d.follow(public[process.Name]),
		}
	}
	return nil
}

// publicAddresses returns the addresses by which the processes know each other, by process name.
func (d *Deployment) publicAddresses() map[string]addresses {
	public := map[string]addresses{
		objectAPIName:   {http: d.plan.ObjectAPI.Listen},
		machinesName:    {http: d.plan.Machines.Listen},
		weightStoreName: {http: d.plan.WeightStore.Listen},
	}
	for _, config := range d.plan.Engines {
		public[engineProcess(config.Name)] = addresses{http: config.Listen}
	}
	for _, node := range d.plan.Nodes {
		public[nodeProcess(node.Node.Name)] = addresses{http: node.Listen.HTTP, internal: node.Listen.Internal}
	}
	return public
}

// follow returns what makes the links to a process lead to where it listens.
func (d *Deployment) follow(public addresses) func(addresses) {
	return func(announced addresses) {
		d.links.retarget(public.http, announced.http)
		if public.internal != "" {
			d.links.retarget(public.internal, announced.internal)
		}
	}
}

func engineProcess(name string) string { return "engine-" + name }

func nodeProcess(name string) string { return "node-" + name }

// Stop ends every process and every link. It is safe to call it again.
func (d *Deployment) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), killTimeout)
	defer cancel()
	var ending errgroup.Group
	for _, process := range d.processes {
		ending.Go(func() error { return process.Kill(ctx) })
	}
	_ = ending.Wait()
	d.links.stop(ctx)
	d.http.CloseIdleConnections()
}

// Plan returns the plan. Its addresses are the public ones, which lead to the processes wherever they listen.
func (d *Deployment) Plan() *deployment.Plan { return d.plan }

// CallerURLs returns the base URLs by which callers reach the nodes, in the order of the plan.
func (d *Deployment) CallerURLs() []string { return d.callers }

// CallerURL returns the base URL by which callers reach a node.
func (d *Deployment) CallerURL(node string) string {
	for i, config := range d.plan.Nodes {
		if config.Node.Name == node {
			return d.callers[i]
		}
	}
	panic(fmt.Sprintf("no node %q", node))
}

// Node returns the process of a node.
func (d *Deployment) Node(name string) *Process { return d.process(nodeProcess(name)) }

// Engine returns the process of an engine.
func (d *Deployment) Engine(name string) *Process { return d.process(engineProcess(name)) }

// ObjectAPI returns the process of the platform's store.
func (d *Deployment) ObjectAPI() *Process { return d.process(objectAPIName) }

// Machines returns the process of the machine list.
func (d *Deployment) Machines() *Process { return d.process(machinesName) }

// WeightStore returns the process of the weight store.
func (d *Deployment) WeightStore() *Process { return d.process(weightStoreName) }

func (d *Deployment) process(name string) *Process {
	process, ok := d.processes[name]
	if !ok {
		panic(fmt.Sprintf("no process %q", name))
	}
	return process
}

// Processes returns every process in the order in which they are started.
func (d *Deployment) Processes() []*Process {
	all := make([]*Process, 0, len(d.order))
	for _, name := range d.order {
		all = append(all, d.processes[name])
	}
	return all
}

// NodeNames returns the names of the nodes in the order of the plan.
func (d *Deployment) NodeNames() []string {
	names := make([]string, 0, len(d.plan.Nodes))
	for _, node := range d.plan.Nodes {
		names = append(names, node.Node.Name)
	}
	return names
}

// Link returns the proxy of a link, or nil. The ends are names of processes, or Callers.
func (d *Deployment) Link(from, to string) *faultproxy.Proxy {
	return d.links.byLink[Link{From: from, To: to}]
}

// LinksOf returns the proxies of the links that lead to a process, and of those that lead away from it.
func (d *Deployment) LinksOf(process string) (to, from []*faultproxy.Proxy) {
	for link, proxy := range d.links.byLink {
		if link.To == process {
			to = append(to, proxy)
		}
		if link.From == process {
			from = append(from, proxy)
		}
	}
	return to, from
}

// Heal ends the faults of every link.
func (d *Deployment) Heal() {
	for _, proxy := range d.links.all {
		proxy.Heal()
	}
}
