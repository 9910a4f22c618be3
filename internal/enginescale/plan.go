// Package enginescale orders engines from the deployment's platform: how many run of each service in each zone. Only the coordinator sends
// orders.
//
// Guarantees: orders stay within the service's limits for a zone; engines are reordered only if fewer run in the zone than were ordered for
// longer than a start takes, and not while the zone is evacuated; orders are persisted in the metadata store and survive the coordinator.
package enginescale

import (
	"cmp"
	"slices"
	"time"
)

// Subject identifies the service and zone of an order.
type Subject struct {
	Service string
	Zone    string
}

// String returns the name used in journals, metrics and logs.
func (s Subject) String() string { return "scale/" + s.Service + "/" + s.Zone }

// Limits bound the engines of a service in each zone.
type Limits struct {
	Min int
	// Max is zero for no upper bound.
	Max int
	// StartTime is the time from an order until the engine serves.
	StartTime time.Duration
}

func (l Limits) clamp(count int) int {
	count = max(count, l.Min)
	if l.Max > 0 {
		count = min(count, l.Max)
	}
	return count
}

// Reason is the reason of an order as logged.
type Reason string

// Reason values.
const (
	// ReasonInitial means that nothing was ordered yet, so the running engines are ordered.
	ReasonInitial Reason = "as found"
	// ReasonLost means that fewer engines run than were ordered.
	ReasonLost Reason = "replaces lost ones"
)

// Order sets how many engines run.
type Order struct {
	Subject Subject
	Desired int
	Reason  Reason
	// Running is the number of ready engines at the time of the plan.
	Running int
}

// Snapshot is the input of a plan.
type Snapshot struct {
	Now time.Time
	// Limits holds the limits of services with scaling, by service name.
	Limits map[string]Limits
	// Running counts the ready engines.
	Running map[Subject]int
	// Desired is the ordered number of engines.
	Desired map[Subject]int
	// ShortSince is the time since which fewer engines run than were ordered; absent if none are missing.
	ShortSince map[Subject]time.Time
	// OrderedAt is the time at which the platform last accepted an order.
	OrderedAt map[Subject]time.Time
	// Evacuated holds the evacuated zones, or every zone while evacuations are unknown. Engines lost there are replaced after the zone is
	// restored.
	Evacuated map[string]bool
}

// replacementGrace is added to the start time before a missing engine is replaced: an engine that was cut off briefly is listed again
// within two seconds.
const replacementGrace = 2 * time.Second

// Plan returns the orders to be sent now, sorted by service and zone.
func Plan(s Snapshot) []Order {
	var orders []Order
	for subject, running := range s.Running {
		limits, scaled := s.Limits[subject.Service]
		if _, ordered := s.Desired[subject]; scaled && !ordered {
			orders = append(orders, Order{Subject: subject, Desired: limits.clamp(running), Reason: ReasonInitial, Running: running})
		}
	}
	for subject, desired := range s.Desired {
		limits, scaled := s.Limits[subject.Service]
		if !scaled || !s.overdue(subject, limits) || s.Evacuated[subject.Zone] {
			continue
		}
		orders = append(orders, Order{Subject: subject, Desired: limits.clamp(desired), Reason: ReasonLost, Running: s.Running[subject]})
	}
	slices.SortFunc(orders, func(a, b Order) int { return cmp.Compare(a.Subject.String(), b.Subject.String()) })
	return orders
}

// overdue reports whether engines have been missing, and the last order is older, than the start time plus the grace period.
func (s Snapshot) overdue(subject Subject, limits Limits) bool {
	since, missing := s.ShortSince[subject]
	grace := limits.StartTime + replacementGrace
	return missing && s.Now.Sub(since) >= grace && s.Now.Sub(s.OrderedAt[subject]) >= grace
}
