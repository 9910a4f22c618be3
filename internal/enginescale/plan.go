// Package enginescale orders engines from the deployment's platform: how many run of each service in each zone. The orders fall to the
// coordinating process.
//
// Guarantees: orders stay within the service's limits for a zone; a zone is ordered anew only if fewer engines run there than were ordered
// for longer than a start takes, and not while the zone is evacuated; what is ordered outlives the coordinating process, in the metadata store.
package enginescale

import (
	"cmp"
	"slices"
	"time"
)

// Subject is what one order is about.
type Subject struct {
	Service string
	Zone    string
}

// String returns the subject's name in journals, metrics and logs.
func (s Subject) String() string { return "scale/" + s.Service + "/" + s.Zone }

// Limits bound the engines of a service in each zone.
type Limits struct {
	Min int
	// Max is zero if there is no bound.
	Max int
	// StartTime is how long an engine that is ordered takes to serve.
	StartTime time.Duration
}

func (l Limits) clamp(count int) int {
	count = max(count, l.Min)
	if l.Max > 0 {
		count = min(count, l.Max)
	}
	return count
}

// Reason is why an order is given, as logs tell it.
type Reason string

// The reasons.
const (
	// ReasonFound: nothing was ordered yet; what runs is to go on.
	ReasonFound Reason = "as found"
	// ReasonLost: fewer engines run than were ordered.
	ReasonLost Reason = "replaces lost ones"
)

// Order sets how many engines run.
type Order struct {
	Subject Subject
	Desired int
	Reason  Reason
	// Running is how many engines took work when the order was decided.
	Running int
}

// Snapshot is what a plan is made from.
type Snapshot struct {
	Now time.Time
	// Limits are those of the services whose engines are ordered, by name.
	Limits map[string]Limits
	// Running counts the engines that take work.
	Running map[Subject]int
	// Desired is what was ordered.
	Desired map[Subject]int
	// ShortSince is since when fewer engines run than were ordered; absent if as many do.
	ShortSince map[Subject]time.Time
	// OrderedAt is when the platform last took an order.
	OrderedAt map[Subject]time.Time
	// Evacuated are the evacuated zones; every zone while evacuations are not known. Engines lost there are replaced once the zone is restored.
	Evacuated map[string]bool
}

// lossMargin is how much longer than a start an engine may be missing before it is replaced: one that was cut off from the store for a
// moment is listed again within two seconds.
const lossMargin = 2 * time.Second

// Plan returns the orders to be given now, by service and zone.
func Plan(s Snapshot) []Order {
	var orders []Order
	for subject, running := range s.Running {
		limits, scaled := s.Limits[subject.Service]
		if _, ordered := s.Desired[subject]; scaled && !ordered {
			orders = append(orders, Order{Subject: subject, Desired: limits.clamp(running), Reason: ReasonFound, Running: running})
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

// overdue reports whether engines of a subject have been missing for longer than it takes to start them.
func (s Snapshot) overdue(subject Subject, limits Limits) bool {
	since, short := s.ShortSince[subject]
	patience := limits.StartTime + lossMargin
	return short && s.Now.Sub(since) >= patience && s.Now.Sub(s.OrderedAt[subject]) >= patience
}
