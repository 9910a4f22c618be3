package scale

import (
	"fmt"
	"strings"
	"time"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/lab/deployment"
	"github.com/covelink/covelink/internal/lab/enginesim"
	"github.com/covelink/covelink/internal/lab/trainer"
	"github.com/covelink/covelink/internal/settings"
)

const (
	// votersPerZone is the number of nodes of each zone that the settings of all name: the voters of leases, which also
	// have disks for the replicas of ledgers.
	votersPerZone = 3
	regions       = 2
	maxTrainers   = 8
	operatorToken = "scale-operator-token"
	callerToken   = "scale-application-token"
	weightBytes   = 64 << 10
	// weightRate lets the transfer of weights not be what bounds a run.
	weightRate = 1 << 30
	// machineLag is how late the machine list is, as in the examples.
	machineLag = time.Second
)

// Config describes a run.
type Config struct {
	Nodes, Engines, Zones int
	// Window is how long the quiet deployment is measured.
	Window time.Duration
	// Settle is the time given to a deployment that is whole before it is measured, in which nodes open their connections.
	Settle time.Duration
	// RequestsPerSecond is the rate of interactive requests of the part under load; 0 leaves it out.
	RequestsPerSecond float64
	// MaxTokens bounds an answer of that part.
	MaxTokens int
	// DataRoot is the folder of the nodes' data folders.
	DataRoot string
}

// Check returns the first unfit setting, or nil.
func (c Config) Check() error {
	switch {
	case c.Zones < 1 || c.Zones > 64:
		return fmt.Errorf("zones: must be 1 to 64")
	case c.Nodes < c.Zones || c.Nodes > 1000:
		return fmt.Errorf("nodes: must be the number of zones to 1000")
	case c.Engines < c.Zones || c.Engines > 2000:
		return fmt.Errorf("engines: must be the number of zones to 2000")
	case c.Window <= 0:
		return fmt.Errorf("seconds: must be above 0")
	}
	return nil
}

func (c Config) pools() int { return max(1, min(maxTrainers, c.Engines/c.Zones)) }

func zoneName(zone int) string       { return fmt.Sprintf("z%d", zone+1) }
func poolName(pool int) string       { return fmt.Sprintf("pool-%d", pool+1) }
func trainerName(trainer int) string { return fmt.Sprintf("trainer-%d", trainer+1) }
func trainerToken(trainer int) string {
	return fmt.Sprintf("scale-trainer-token-%d", trainer+1)
}

// region returns the region of a zone: the first half of the zones is the first region.
func (c Config) region(zone int) int { return zone * min(regions, c.Zones) / c.Zones }

// poolZones returns the zones of a pool: those of one region, the regions in turn.
func (c Config) poolZones(pool int) []int {
	var zones []int
	for zone := range c.Zones {
		if c.region(zone) == pool%min(regions, c.Zones) {
			zones = append(zones, zone)
		}
	}
	return zones
}

// share returns the part of a total that one of count equal parts gets.
func share(total, count, index int) int { return total*(index+1)/count - total*index/count }

// plan gives every process its settings.
func (c Config) plan() (*deployment.Plan, error) {
	description := deployment.Description{
		Name: "scale", Simulation: enginesim.DefaultConfig(), WeightBytesPerSecond: weightRate, MachineListLag: machineLag,
		Operator: deployment.Operator{Name: "scale", Token: operatorToken},
	}
	for zone := range c.Zones {
		nodes := share(c.Nodes, c.Zones, zone)
		description.Zones = append(description.Zones, deployment.Zone{
			Name: zoneName(zone), Region: fmt.Sprintf("r%d", c.region(zone)+1), Nodes: nodes, Disks: min(votersPerZone, nodes),
		})
	}
	for pool := range c.pools() {
		engines := make(map[string]int)
		zones := c.poolZones(pool)
		for i, zone := range zones {
			engines[zoneName(zone)] = share(share(c.Engines, c.pools(), pool), len(zones), i)
		}
		description.Pools = append(description.Pools, deployment.Pool{Name: poolName(pool), Engines: engines})
	}
	description.Trainer = trainer.DefaultConfig()
	description.Trainer.Trainer, description.Trainer.Token = trainerName(0), trainerToken(0)
	plan, err := deployment.NewPlan(description, deployment.FreePorts(), c.DataRoot)
	if err != nil {
		return nil, err
	}
	c.limitSeeds(plan)
	for i := range plan.Engines {
		// A report with a lag has the stand-in refresh it all the time, which costs more than what is measured.
		plan.Engines[i].LoadLag = 0
		plan.Engines[i].Simulation.InitialVersion = 1
	}
	return plan, nil
}

// limitSeeds leaves the voters of each zone as seeds of all.
func (c Config) limitSeeds(plan *deployment.Plan) {
	var seeds []settings.Seed
	perZone := make(map[string]int)
	for _, seed := range plan.Nodes[0].Cluster.Seeds {
		if perZone[seed.Zone] < votersPerZone {
			perZone[seed.Zone]++
			seeds = append(seeds, seed)
		}
	}
	for i := range plan.Nodes {
		plan.Nodes[i].Cluster.Seeds = seeds
		plan.Nodes[i].Timing.DrainTimeout = drainTimeout
	}
}

// resources returns the resources of the deployment.
func (c Config) resources() []byte {
	var text strings.Builder
	for zone := range c.Zones {
		fmt.Fprintf(&text, "---\napiVersion: covelink.io/v1\nkind: Zone\nmetadata:\n  name: %s\nspec:\n  region: r%d\n",
			zoneName(zone), c.region(zone)+1)
	}
	var pools []string
	for pool := range c.pools() {
		var zones []string
		for _, zone := range c.poolZones(pool) {
			zones = append(zones, zoneName(zone))
		}
		pools = append(pools, poolName(pool))
		fmt.Fprintf(&text, "---\napiVersion: covelink.io/v1\nkind: Pool\nmetadata:\n  name: %s\nspec:\n  model: %s\n  permittedZones: [%s]\n",
			poolName(pool), poolName(pool), strings.Join(zones, ", "))
	}
	for trainer := range c.pools() {
		text.Write(c.trainerResource(trainer, 0))
	}
	fmt.Fprintf(&text, "---\napiVersion: covelink.io/v1\nkind: Application\nmetadata:\n  name: app\nspec:\n  pools: [%s]\n  tokenHashes: [%s]\n",
		strings.Join(pools, ", "), v1.HashToken(callerToken))
	return []byte(text.String())
}

// trainerResource returns a trainer; each revision differs in the bound of its samples in flight.
func (c Config) trainerResource(trainer, revision int) []byte {
	return fmt.Appendf(nil, "---\napiVersion: covelink.io/v1\nkind: Trainer\nmetadata:\n  name: %s\nspec:\n  pool: %s\n"+
		"  stalenessBound: 4\n  maxInFlight: %d\n  tokenHashes: [%s]\n",
		trainerName(trainer), poolName(trainer), 512+revision, v1.HashToken(trainerToken(trainer)))
}
