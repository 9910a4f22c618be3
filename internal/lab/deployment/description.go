// Package deployment builds a whole deployment out of a description: the stand-ins of the platform, the engines and the
// nodes of every zone, in one process or as settings files for many.
package deployment

import (
	"fmt"
	"time"

	"github.com/covelink/covelink/internal/lab/configfile"
	"github.com/covelink/covelink/internal/lab/enginesim"
	"github.com/covelink/covelink/internal/lab/trainer"
	"github.com/covelink/covelink/internal/settings"
)

// Description describes a deployment. The resources that operators write are not part of it.
type Description struct {
	Name  string `yaml:"name" validate:"required,hostname_rfc1123"`
	Zones []Zone `yaml:"zones" validate:"required,min=1,unique=Name,dive"`
	// ZoneLatency is the one-way latency between two zones of a region, RegionLatency that between regions, and
	// ClientLatency that between a node and its callers.
	ZoneLatency   time.Duration `yaml:"zoneLatency" validate:"gte=0,lte=10s"`
	RegionLatency time.Duration `yaml:"regionLatency" validate:"gte=0,lte=10s"`
	ClientLatency time.Duration `yaml:"clientLatency" validate:"gte=0,lte=10s"`
	Pools         []Pool        `yaml:"pools" validate:"required,min=1,unique=Name,dive"`
	// Simulation is the model of every engine.
	Simulation enginesim.Config `yaml:"simulation"`
	// WeightBytesPerSecond bounds the rate of the weight store. Default 64 MiB.
	WeightBytesPerSecond int64 `yaml:"weightBytesPerSecond" validate:"gte=1"`
	// MachineListLag is how late the machine list is.
	MachineListLag time.Duration `yaml:"machineListLag" validate:"gte=0"`
	Operator       Operator      `yaml:"operator"`
	// Trainer consumes rollouts. Its addresses are filled in by the plan.
	Trainer trainer.Config `yaml:"trainer" validate:"-"`
	// Applications send interactive requests.
	Applications []Application `yaml:"applications" validate:"unique=Name,dive"`
}

// Zone is a zone and its nodes.
type Zone struct {
	Name   string `yaml:"name" validate:"required,hostname_rfc1123"`
	Region string `yaml:"region" validate:"required"`
	// Nodes is the number of nodes, the first Disks of which have a data folder.
	Nodes int `yaml:"nodes" validate:"gte=1,lte=64"`
	Disks int `yaml:"disks" validate:"gte=0,ltefield=Nodes"`
}

// Pool is a model pool and its engines.
type Pool struct {
	Name string `yaml:"name" validate:"required,hostname_rfc1123"`
	// Engines gives the number of engines by zone.
	Engines map[string]int `yaml:"engines" validate:"required,min=1,dive,gte=0,lte=64"`
}

// Operator is who may use the resource API.
type Operator struct {
	Name  string `yaml:"name" validate:"required"`
	Token string `yaml:"token" validate:"required"`
}

// Application is one interactive client.
type Application struct {
	Name               string  `yaml:"name" validate:"required,hostname_rfc1123"`
	Pool               string  `yaml:"pool" validate:"required"`
	Token              string  `yaml:"token" validate:"required"`
	RequestsPerSecond  float64 `yaml:"requestsPerSecond" validate:"gt=0"`
	MaxTokens          int     `yaml:"maxTokens" validate:"gte=1"`
	NotRepeatableShare float64 `yaml:"notRepeatableShare" validate:"gte=0,lte=1"`
}

// defaultWeightBytesPerSecond is the rate of the weight store where the description states none.
const defaultWeightBytesPerSecond = 64 << 20

// Parse reads a description. file names it in errors, each of which is a *settings.Error.
func Parse(file string, content []byte) (Description, error) {
	description := Description{
		Simulation:           enginesim.DefaultConfig(),
		WeightBytesPerSecond: defaultWeightBytesPerSecond,
		Trainer:              trainer.DefaultConfig(),
	}
	if err := configfile.Decode(file, content, &description); err != nil {
		return Description{}, err
	}
	if err := description.check(); err != nil {
		err.File = file
		return Description{}, err
	}
	return description, nil
}

// check finds references to what the description does not name.
func (d *Description) check() *settings.Error {
	for i, pool := range d.Pools {
		for zone := range pool.Engines {
			if d.region(zone) == "" {
				return &settings.Error{Field: fmt.Sprintf("pools[%d].engines", i), Message: fmt.Sprintf("unknown zone %q", zone)}
			}
		}
	}
	for i, application := range d.Applications {
		if !d.hasPool(application.Pool) {
			return &settings.Error{Field: fmt.Sprintf("applications[%d].pool", i), Message: fmt.Sprintf("unknown pool %q", application.Pool)}
		}
	}
	return nil
}

// region returns the region of a zone, or "" for an unknown zone.
func (d *Description) region(zone string) string {
	for _, candidate := range d.Zones {
		if candidate.Name == zone {
			return candidate.Region
		}
	}
	return ""
}

func (d *Description) hasPool(name string) bool {
	for _, pool := range d.Pools {
		if pool.Name == name {
			return true
		}
	}
	return false
}

// Latency returns the one-way latency between two zones.
func (d *Description) Latency(from, to string) time.Duration {
	switch {
	case from == to:
		return 0
	case d.region(from) == d.region(to):
		return d.ZoneLatency
	default:
		return d.RegionLatency
	}
}
