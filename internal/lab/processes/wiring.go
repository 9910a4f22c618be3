package processes

import (
	"time"

	"github.com/covelink/covelink/internal/lab/deployment"
	"github.com/covelink/covelink/internal/lab/engine"
	"github.com/covelink/covelink/internal/settings"
)

// wirer replaces the addresses of a plan; the first error is kept.
type wirer struct {
	deployment *Deployment
	err        error
}

// link starts the proxy of a link and returns the address by which it is dialled.
func (w *wirer) link(from, to, address string, delay time.Duration) string {
	if w.err != nil {
		return ""
	}
	dialled, err := w.deployment.links.add(Link{From: from, To: to}, address, delay)
	w.err = err
	return dialled
}

// linkCallers starts the links from the callers to the nodes.
func (d *Deployment) linkCallers() error {
	w := &wirer{deployment: d}
	for _, node := range d.plan.Nodes {
		address := w.link(Callers, nodeProcess(node.Node.Name), node.Listen.HTTP, d.plan.Description.ClientLatency)
		d.callers = append(d.callers, baseURL(address))
	}
	d.plan.Trainer.URLs = d.callers
	for i := range d.plan.Loads {
		d.plan.Loads[i].URLs = d.callers
	}
	d.plan.Trainer.WeightStore = baseURL(w.link(Callers, weightStoreName, d.plan.WeightStore.Listen, 0))
	return w.err
}

// wire makes every process of the plan listen on a port that the system chooses and dial the others by links.
func (d *Deployment) wire(plan *deployment.Plan) error {
	w := &wirer{deployment: d}
	plan.ObjectAPI.Listen, plan.Machines.Listen, plan.WeightStore.Listen = freePort, freePort, freePort
	plan.Engines = append([]engine.Config(nil), d.plan.Engines...)
	for i := range plan.Engines {
		w.engine(&plan.Engines[i])
	}
	plan.Nodes = append([]settings.Settings(nil), d.plan.Nodes...)
	for i := range plan.Nodes {
		w.node(&plan.Nodes[i])
	}
	return w.err
}

func (w *wirer) engine(config *engine.Config) {
	store := w.deployment.plan.WeightStore.Listen
	config.WeightStore = baseURL(w.link(engineProcess(config.Name), weightStoreName, store, 0))
	config.Listen = freePort
}

func (w *wirer) node(node *settings.Settings) {
	plan, name := w.deployment.plan, nodeProcess(node.Node.Name)
	node.Platform.ObjectAPI = baseURL(w.link(name, objectAPIName, plan.ObjectAPI.Listen, 0))
	node.Platform.MachineList = baseURL(w.link(name, machinesName, plan.Machines.Listen, 0))
	for _, other := range plan.Nodes {
		if other.Node.Name != node.Node.Name {
			w.route(node, nodeProcess(other.Node.Name), other.Listen.Internal, other.Node.Zone)
		}
	}
	for _, config := range plan.Engines {
		w.route(node, engineProcess(config.Name), config.Listen, config.Zone)
	}
	node.Listen = settings.Listen{HTTP: freePort, Internal: freePort}
	if w.deployment.config.Settings != nil {
		w.deployment.config.Settings(node)
	}
}

// route makes a node dial a public address by a link.
func (w *wirer) route(node *settings.Settings, to, address, zone string) {
	delay := w.deployment.plan.Description.Latency(node.Node.Zone, zone)
	via := w.link(nodeProcess(node.Node.Name), to, address, delay)
	node.Cluster.Routes = append(node.Cluster.Routes, settings.Route{Address: address, Via: via})
}

func baseURL(address string) string { return "http://" + address }
