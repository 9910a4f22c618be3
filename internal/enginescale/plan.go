// Package enginescale orders engines from the deployment's platform: how many run of each service in each zone. Only the coordinator sends
// orders.
//
// Guarantees: orders stay within the service's limits for a zone, and are never below the number of engines found at the start; engines are
// reordered only if fewer run in the zone than were ordered for longer than a start takes, and not while the zone is evacuated; the number changes
// with the offered load (Demand) only while that load is known; the platform is called at most once in callInterval for a zone; orders are
// persisted in the metadata store and survive the coordinator.
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
	// ReasonDemand means that the offered load requires another number.
	ReasonDemand Reason = "demand"
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
	// Found is the number of engines found at the start, within the limits then. Never fewer are ordered for demand.
	Found map[Subject]int
	// ShortSince is the time since which fewer engines run than were ordered; absent if none are missing.
	ShortSince map[Subject]time.Time
	// OrderedAt is the time at which the platform last accepted an order, and CalledAt that at which it was last called.
	OrderedAt, CalledAt map[Subject]time.Time
	// Unanswered holds the last order if the platform did not answer it. It may have been carried out.
	Unanswered map[Subject]Order
	// UnavailableSince is the time at which the platform last had no engines to order.
	UnavailableSince map[Subject]time.Time
	// Evacuated holds the evacuated zones, or every zone while evacuations are unknown. Engines lost there are replaced after the zone is
	// restored.
	Evacuated map[string]bool
	// Loads holds the services whose load is known, and LowerSince the time since which they need fewer engines.
	Loads      map[string]Load
	LowerSince map[string]time.Time
	// Prices are the prices of an engine.
	Prices map[Subject]float64
}

const (
	// replacementGrace is added to the start time before a missing engine is replaced: an engine that was cut off briefly is listed again
	// within two seconds.
	replacementGrace = 2 * time.Second
	// callInterval is the least time between two calls for a subject: the platform limits calls, and an engine takes longer to start.
	callInterval = 2 * time.Second
	// unavailableDelay is how long a zone without engines to order is left out. Other zones take its share meanwhile.
	unavailableDelay = 10 * time.Second
)

// Plan returns the orders to be sent now, sorted by service and zone; at most one for each subject.
func Plan(s Snapshot) []Order {
	orders := s.initialOrders()
	for subject := range s.Desired {
		if order, due := s.repeatedOrder(subject); due {
			orders = append(orders, order)
		}
	}
	orders = append(orders, s.demandOrders()...)
	orders = slices.DeleteFunc(orders, func(order Order) bool { return s.recentlyCalled(order.Subject) })
	slices.SortFunc(orders, func(a, b Order) int { return cmp.Compare(a.Subject.String(), b.Subject.String()) })
	return orders
}

// initialOrders returns the orders of running engines for which nothing was ordered yet.
func (s Snapshot) initialOrders() []Order {
	var orders []Order
	for subject, running := range s.Running {
		limits, scaled := s.Limits[subject.Service]
		if _, ordered := s.Desired[subject]; !scaled || ordered {
			continue
		}
		order := Order{Subject: subject, Desired: limits.clamp(running), Reason: ReasonInitial, Running: running}
		if unanswered, exists := s.Unanswered[subject]; exists {
			order.Desired = limits.clamp(unanswered.Desired)
		}
		orders = append(orders, order)
	}
	return orders
}

// repeatedOrder returns the order that repeats an unanswered one or replaces lost engines.
func (s Snapshot) repeatedOrder(subject Subject) (order Order, due bool) {
	limits, scaled := s.Limits[subject.Service]
	if !scaled || s.Evacuated[subject.Zone] || s.unavailable(subject) {
		return Order{}, false
	}
	order = Order{Subject: subject, Desired: limits.clamp(s.Desired[subject]), Reason: ReasonLost, Running: s.Running[subject]}
	if unanswered, exists := s.Unanswered[subject]; exists {
		order.Desired, order.Reason = limits.clamp(unanswered.Desired), unanswered.Reason
		return order, true
	}
	return order, s.overdue(subject, limits)
}

// demandOrders returns the orders that the load requires. Subjects with another order, which are unanswered or have missing engines, get none.
func (s Snapshot) demandOrders() []Order {
	var orders []Order
	for service, load := range s.Loads {
		for zone, desired := range s.demand(service, load).Desired() {
			subject := Subject{Service: service, Zone: zone}
			orders = append(orders, Order{Subject: subject, Desired: desired, Reason: ReasonDemand, Running: s.Running[subject]})
		}
	}
	return orders
}

// demand returns the input of the decision on a service.
func (s Snapshot) demand(service string, load Load) Demand {
	d := Demand{Load: load, Limits: s.Limits[service]}
	if since, lower := s.LowerSince[service]; lower {
		d.LowerFor = s.Now.Sub(since)
	}
	for subject, ordered := range s.Desired {
		if subject.Service != service {
			continue
		}
		_, short := s.ShortSince[subject]
		unanswered, isUnanswered := s.Unanswered[subject]
		if isUnanswered {
			ordered = unanswered.Desired
		}
		d.Zones = append(d.Zones, ZoneEngines{
			Zone:        subject.Zone,
			Running:     s.Running[subject],
			Ordered:     ordered,
			Found:       s.Found[subject],
			Short:       short,
			Missing:     s.missing(subject, d.Limits),
			Evacuated:   s.Evacuated[subject.Zone],
			Unavailable: s.unavailable(subject),
			Unanswered:  isUnanswered,
			Price:       s.Prices[subject],
		})
	}
	return d
}

// overdue reports whether engines have been missing, and the last order is older, than the start time plus the grace period.
func (s Snapshot) overdue(subject Subject, limits Limits) bool {
	since, missing := s.ShortSince[subject]
	grace := limits.StartTime + replacementGrace
	return missing && s.Now.Sub(since) >= grace && s.Now.Sub(s.OrderedAt[subject]) >= grace
}

// missing reports whether engines have been missing for longer than the grace period and no accepted order is starting them.
func (s Snapshot) missing(subject Subject, limits Limits) bool {
	since, short := s.ShortSince[subject]
	return short && s.Now.Sub(since) >= replacementGrace && s.Now.Sub(s.OrderedAt[subject]) >= limits.StartTime+replacementGrace
}

// unavailable reports whether the platform had no engines for a subject recently.
func (s Snapshot) unavailable(subject Subject) bool {
	since, exists := s.UnavailableSince[subject]
	return exists && s.Now.Sub(since) < unavailableDelay
}

// recentlyCalled reports whether the platform was called for a subject within callInterval.
func (s Snapshot) recentlyCalled(subject Subject) bool {
	at, called := s.CalledAt[subject]
	return called && s.Now.Sub(at) < callInterval
}
