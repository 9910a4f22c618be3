package deployment

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"github.com/go-kit/log"

	"github.com/covelink/covelink/api/machinesv1"
	"github.com/covelink/covelink/internal/lab/engine"
	"github.com/covelink/covelink/internal/lab/machines"
	"github.com/covelink/covelink/internal/lab/objectapi"
	"github.com/covelink/covelink/internal/lab/weightstore"
)

// NewObjectAPI returns the stand-in of the platform's store, not yet started.
func NewObjectAPI(config ObjectAPI, logger log.Logger) *objectapi.Server {
	return objectapi.New(objectapi.Config{Listen: config.Listen}, logger)
}

// NewMachines returns the stand-in of the machine list, not yet started.
func NewMachines(config Machines, logger log.Logger) *machines.Server {
	list := make([]machinesv1.Machine, 0, len(config.Machines))
	for _, machine := range config.Machines {
		list = append(list, machinesv1.Machine{
			Name:    machine.Name,
			Zone:    machine.Zone,
			Role:    machine.Role,
			URL:     machine.URL,
			Address: machine.Address,
			Pool:    machine.Pool,
			State:   machinesv1.StateLive,
		})
	}
	return machines.New(machines.Config{Listen: config.Listen, Lag: config.Lag, Machines: list}, logger)
}

// platform holds the stand-ins of a deployment.
type platform struct {
	objects  *objectapi.Server
	machines *machines.Server
	weights  *weightstore.Store
	engines  []*engine.Engine
}

// startPlatform starts every stand-in of a plan. What was started is returned with an error, too.
func startPlatform(plan *Plan, logger log.Logger) (*platform, error) {
	p := &platform{
		objects:  NewObjectAPI(plan.ObjectAPI, logger),
		machines: NewMachines(plan.Machines, logger),
	}
	weights, err := weightstore.New(plan.WeightStore, logger)
	if err != nil {
		return p, err
	}
	p.weights = weights
	for _, start := range []func() error{p.objects.Start, p.machines.Start, p.weights.Start} {
		if err := start(); err != nil {
			return p, fmt.Errorf("deployment: %w", err)
		}
	}
	for _, config := range plan.Engines {
		started, err := engine.New(config, logger)
		if err != nil {
			return p, err
		}
		p.engines = append(p.engines, started)
		if err := started.Start(); err != nil {
			return p, err
		}
	}
	return p, nil
}

// stop stops every stand-in, all at the same time.
func (p *platform) stop(ctx context.Context) error {
	stops := []func(context.Context) error{p.machines.Stop}
	for _, engine := range p.engines {
		stops = append(stops, engine.Stop)
	}
	if p.weights != nil {
		stops = append(stops, p.weights.Stop)
	}
	failed := make([]error, len(stops))
	var stopping sync.WaitGroup
	for i, stop := range stops {
		stopping.Go(func() { failed[i] = stop(ctx) })
	}
	p.objects.Stop()
	stopping.Wait()
	return errors.Join(failed...)
}
