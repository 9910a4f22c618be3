package deployment

import (
	"fmt"
	"path/filepath"
	"time"

	"github.com/covelink/covelink/api/machinesv1"
	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/lab/engine"
	"github.com/covelink/covelink/internal/lab/load"
	"github.com/covelink/covelink/internal/lab/trainer"
	"github.com/covelink/covelink/internal/lab/weightstore"
	"github.com/covelink/covelink/internal/settings"
)

// dataLimitBytes bounds the data folder of a node of the lab.
const dataLimitBytes = 1 << 30

// Plan holds the settings of every process of a deployment.
type Plan struct {
	Description Description
	ObjectAPI   ObjectAPI
	Machines    Machines
	WeightStore weightstore.Config
	Engines     []engine.Config
	Nodes       []settings.Settings
	// Trainer and Loads ask the nodes directly; a deployment in one process puts the client latency in between.
	Trainer trainer.Config
	Loads   []load.Config
}

// ObjectAPI are the settings of the stand-in of the platform's store.
type ObjectAPI struct {
	Listen string `yaml:"listen" validate:"required,hostname_port|tcp_addr"`
}

// Machines are the settings of the stand-in of the machine list.
type Machines struct {
	Listen string `yaml:"listen" validate:"required,hostname_port|tcp_addr"`
	// Lag is how old answers are.
	Lag      time.Duration `yaml:"lag" validate:"gte=0"`
	Machines []Machine     `yaml:"machines" validate:"unique=Name,dive"`
}

// Machine is one entry of the machine list.
type Machine struct {
	Name    string          `yaml:"name" validate:"required"`
	Zone    string          `yaml:"zone" validate:"required"`
	Role    machinesv1.Role `yaml:"role" validate:"oneof=engine node"`
	URL     string          `yaml:"url,omitempty" validate:"omitempty,http_url"`
	Address string          `yaml:"address,omitempty"`
	Pool    string          `yaml:"pool,omitempty"`
}

// NewPlan gives every process of the description an address. Data folders are made under dataRoot.
func NewPlan(description Description, ports PortFinder, dataRoot string) (*Plan, error) {
	p := &planner{plan: &Plan{Description: description}, ports: ports, dataRoot: dataRoot}
	p.addPlatform()
	p.addEngines()
	p.addNodes()
	p.addMachines()
	p.addCallers()
	if p.err != nil {
		return nil, p.err
	}
	return p.plan, p.plan.check()
}

// planner fills a plan; the first error is kept.
type planner struct {
	plan     *Plan
	ports    PortFinder
	dataRoot string
	err      error
}

func (p *planner) address() string {
	if p.err != nil {
		return ""
	}
	address, err := p.ports()
	p.err = err
	return address
}

func (p *planner) addPlatform() {
	p.plan.ObjectAPI = ObjectAPI{Listen: p.address()}
	p.plan.Machines = Machines{Listen: p.address(), Lag: p.plan.Description.MachineListLag}
	p.plan.WeightStore = weightstore.DefaultConfig()
	p.plan.WeightStore.Listen = p.address()
	p.plan.WeightStore.BytesPerSecond = p.plan.Description.WeightBytesPerSecond
}

func (p *planner) addEngines() {
	for _, pool := range p.plan.Description.Pools {
		for _, zone := range p.plan.Description.Zones {
			for number := range pool.Engines[zone.Name] {
				p.addEngine(pool.Name, zone.Name, number+1)
			}
		}
	}
}

func (p *planner) addEngine(pool, zone string, number int) {
	config := engine.DefaultConfig()
	config.Name = fmt.Sprintf("%s-%s-%d", pool, zone, number)
	config.Zone = zone
	config.Pool = pool
	config.Listen = p.address()
	config.WeightStore = baseURL(p.plan.WeightStore.Listen)
	config.Simulation = p.plan.Description.Simulation
	config.Seed = int64(len(p.plan.Engines))
	p.plan.Engines = append(p.plan.Engines, config)
}

func (p *planner) addNodes() {
	var seeds []settings.Seed
	for _, zone := range p.plan.Description.Zones {
		for number := range zone.Nodes {
			seeds = append(seeds, settings.Seed{
				Name:    fmt.Sprintf("%s-%d", zone.Name, number+1),
				Zone:    zone.Name,
				Address: p.address(),
				HasDisk: number < zone.Disks,
			})
		}
	}
	for _, seed := range seeds {
		p.addNode(seed, seeds)
	}
}

func (p *planner) addNode(seed settings.Seed, seeds []settings.Seed) {
	node := settings.Default()
	node.Node.Name = seed.Name
	node.Node.Zone = seed.Zone
	node.Node.DataLimitBytes = dataLimitBytes
	if seed.HasDisk {
		node.Node.DataDir = filepath.Join(p.dataRoot, seed.Name)
	}
	node.Listen = settings.Listen{HTTP: p.address(), Internal: seed.Address}
	node.Platform = settings.Platform{ObjectAPI: baseURL(p.plan.ObjectAPI.Listen), MachineList: baseURL(p.plan.Machines.Listen)}
	node.Cluster.Seeds = seeds
	operator := p.plan.Description.Operator
	node.Operators = []settings.Operator{{Name: operator.Name, TokenHash: v1.HashToken(operator.Token), Role: settings.RoleOperator}}
	p.plan.Nodes = append(p.plan.Nodes, node)
}

func (p *planner) addMachines() {
	for _, config := range p.plan.Engines {
		p.plan.Machines.Machines = append(p.plan.Machines.Machines, Machine{
			Name: config.Name, Zone: config.Zone, Role: machinesv1.RoleEngine, URL: baseURL(config.Listen), Pool: config.Pool,
		})
	}
	for _, node := range p.plan.Nodes {
		p.plan.Machines.Machines = append(p.plan.Machines.Machines, Machine{
			Name: node.Node.Name, Zone: node.Node.Zone, Role: machinesv1.RoleNode, Address: node.Listen.Internal,
		})
	}
}

func (p *planner) addCallers() {
	urls := p.plan.NodeURLs()
	p.plan.Trainer = p.plan.Description.Trainer
	p.plan.Trainer.URLs = urls
	p.plan.Trainer.WeightStore = baseURL(p.plan.WeightStore.Listen)
	for number, application := range p.plan.Description.Applications {
		config := load.DefaultConfig()
		config.Name = application.Name
		config.URLs = urls
		config.Pool = application.Pool
		config.Token = application.Token
		config.RequestsPerSecond = application.RequestsPerSecond
		config.MaxTokens = application.MaxTokens
		config.NotRepeatableShare = application.NotRepeatableShare
		config.Seed = int64(number) + 1
		p.plan.Loads = append(p.plan.Loads, config)
	}
}

// NodeURLs returns the base URLs of the nodes for callers and operators.
func (p *Plan) NodeURLs() []string {
	urls := make([]string, 0, len(p.Nodes))
	for _, node := range p.Nodes {
		urls = append(urls, baseURL(node.Listen.HTTP))
	}
	return urls
}

// check returns the first fault of the settings of any process.
func (p *Plan) check() error {
	for _, config := range p.Engines {
		if err := config.Validate(); err != nil {
			return err
		}
	}
	for _, node := range p.Nodes {
		if err := node.Check(); err != nil {
			return fmt.Errorf("node %s: %w", node.Node.Name, err)
		}
	}
	for _, config := range p.Loads {
		if err := config.Validate(); err != nil {
			return err
		}
	}
	return p.Trainer.Validate()
}

func baseURL(address string) string { return "http://" + address }
