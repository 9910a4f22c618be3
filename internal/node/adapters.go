package node

import (
	"context"
	"errors"

	"github.com/covelink/covelink/api/enginev1"
	"github.com/covelink/covelink/api/machinesv1"
	"github.com/covelink/covelink/internal/engine"
)

// engineOrders makes the engine client the weights.Orders: a refusal is told apart from an unknown fate.
type engineOrders struct{ client *engine.Client }

// Order implements weights.Orders.
func (o engineOrders) Order(ctx context.Context, url string, order enginev1.Order) (enginev1.OrderResult, *enginev1.Refusal, error) {
	result, err := o.client.Order(ctx, url, order)
	var refused *engine.RefusalError
	if errors.As(err, &refused) {
		return enginev1.OrderResult{}, &refused.Refusal, nil
	}
	return result, nil, err
}

// Load implements weights.Orders.
func (o engineOrders) Load(ctx context.Context, url string) (enginev1.Load, error) {
	return o.client.Load(ctx, url)
}

// leavingNodes returns the names of the machines that run nodes and are leaving.
func leavingNodes(machines []machinesv1.Machine) []string {
	var names []string
	for _, machine := range machines {
		if machine.Role == machinesv1.RoleNode && machine.State == machinesv1.StateLeaving {
			names = append(names, machine.Name)
		}
	}
	return names
}
