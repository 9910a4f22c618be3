package configsync

import (
	"slices"
	"strings"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/cluster"
	"github.com/covelink/covelink/internal/objectapi"
)

// The reasons of conditions.
const (
	reasonPending      = "Pending"
	reasonAcknowledged = "Acknowledged"
	reasonNoEngines    = "NoEngines"
	reasonEnginesReady = "EnginesReady"
)

// observation is what statuses are computed from.
type observation struct {
	state   State
	index   objectIndex
	engines []cluster.Engine
	nodes   []cluster.Node
	// since holds when the node saw each condition take its status.
	since transitions
}

// fill sets the status of an object that the caller owns.
func (o observation) fill(object v1.Object) v1.Object {
	status := object.ObjectStatus()
	*status = v1.Status{ObservedGeneration: object.Meta().Generation}
	switch typed := object.(type) {
	case *v1.Zone:
		o.fillZone(typed)
	case *v1.Pool:
		o.fillPool(typed)
	}
	status.Conditions = o.conditions(object)
	for i := range status.Conditions {
		status.Conditions[i].LastTransitionTime = o.since.at(object, status.Conditions[i])
	}
	return object
}

// conditions returns the conditions of an object, without the times of their transitions. InForce follows Accepted: a node that
// cannot be reached either counts, as long as it holds a lease, or serves nothing, so that nothing less strict is worth
// telling apart.
func (o observation) conditions(object v1.Object) []v1.Condition {
	accepted := o.accepted(object)
	inForce := accepted
	inForce.Type = v1.ConditionInForce
	conditions := []v1.Condition{accepted, inForce}
	if pool, ok := object.(*v1.Pool); ok {
		conditions = append(conditions, o.degraded(pool))
	}
	return conditions
}

func (o observation) accepted(object v1.Object) v1.Condition {
	condition := v1.Condition{
		Type:               v1.ConditionAccepted,
		Status:             v1.ConditionTrue,
		Reason:             reasonAcknowledged,
		ObservedGeneration: object.Meta().Generation,
	}
	key := ObjectKey{Kind: object.ObjectKind(), Name: object.Meta().Name}
	version := objectapi.ParseRevision(object.Meta().ResourceVersion)
	if o.state.Accepted[key] >= version {
		return condition
	}
	condition.Status = v1.ConditionFalse
	condition.Reason = reasonPending
	condition.Message = "waiting for the zone's coordinator"
	if missing := o.index.missing(object, o.state.Acks); len(missing) > 0 {
		condition.Message = "not yet acknowledged by: " + strings.Join(missing, ", ")
	}
	return condition
}

func (o observation) fillZone(zone *v1.Zone) {
	for _, node := range o.nodes {
		if node.Zone == zone.Metadata.Name {
			zone.Status.Nodes++
		}
	}
	for _, engine := range o.engines {
		if engine.Zone == zone.Metadata.Name && !engine.Leaving {
			zone.Status.Engines++
		}
	}
}

func (o observation) fillPool(pool *v1.Pool) {
	for _, node := range o.nodes {
		if slices.Contains(pool.Spec.PermittedZones, node.Zone) {
			pool.Status.Nodes++
		}
	}
	for _, engine := range o.engines {
		if !usable(pool, engine) {
			continue
		}
		pool.Status.Engines++
		if pool.Status.Versions == nil {
			pool.Status.Versions = make(map[int64]int)
		}
		pool.Status.Versions[engine.ActiveVersion]++
	}
}

// usable reports whether the engine may take work of the pool.
func usable(pool *v1.Pool, engine cluster.Engine) bool {
	if engine.Pool != pool.Metadata.Name || engine.Leaving {
		return false
	}
	return slices.Contains(pool.Spec.PermittedZones, engine.Zone) &&
		!slices.Contains(pool.Spec.DrainingEngines, engine.Name)
}

func (o observation) degraded(pool *v1.Pool) v1.Condition {
	condition := v1.Condition{
		Type:               v1.ConditionDegraded,
		Status:             v1.ConditionFalse,
		Reason:             reasonEnginesReady,
		ObservedGeneration: pool.Metadata.Generation,
	}
	takesWork := func(engine cluster.Engine) bool { return usable(pool, engine) }
	if !slices.ContainsFunc(o.engines, takesWork) {
		condition.Status = v1.ConditionTrue
		condition.Reason = reasonNoEngines
		condition.Message = "no engine in the permitted zones takes work"
	}
	return condition
}
