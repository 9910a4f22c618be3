// Package cluster holds the immutable view that a node acts on: the resources in force and the
// engines and nodes known. Whoever decides takes a View as a snapshot and never changes it.
package cluster

import (
	"slices"
	"time"

	v1 "github.com/covelink/covelink/api/v1"
)

// Node is one covelinkd process.
type Node struct {
	Name string
	Zone string
	// Address is the host:port of the internal protocol.
	Address string
	// HasDisk tells whether the node keeps a data folder.
	HasDisk bool
}

// Engine is one model engine as the zone's coordinator knows it.
type Engine struct {
	Name string
	// URL is the base URL of the engine, without a trailing slash.
	URL string
	// Incarnation changes whenever the engine restarts. Empty until first observed.
	Incarnation string
	Pool        string
	Zone        string
	// Leaving engines receive no new work.
	Leaving bool
	// DrainWanted is true while the machine list or the operator wants the engine to take no new work.
	// It implies Leaving, which also follows from the engine's own signal and from failed probes.
	DrainWanted bool
	// ActiveVersion is the weight version last observed; PreparedVersions are loaded beside it.
	ActiveVersion    int64
	PreparedVersions []int64
	MaxRunning       int
}

// View is one consistent state. Maps and slices must not be changed.
type View struct {
	// Revision is the store revision of the resources. It only grows.
	Revision     uint64
	Zones        map[string]*v1.Zone
	Pools        map[string]*v1.Pool
	Trainers     map[string]*v1.Trainer
	Applications map[string]*v1.Application
	// Engines is sorted by name.
	Engines []Engine
	// Nodes is sorted by name.
	Nodes []Node
	// Serving is false while this node must take no new work: it has not yet held its zone's
	// revision, or has lost its zone coordinator for a lease length.
	Serving bool
	// ServingUntil is when Serving ends by itself, by the monotonic clock; the zero time means never. A process that
	// resumes from a pause may act before anything has cleared Serving, so whoever starts work asks ServingAt.
	ServingUntil time.Time
	// NotServingReason explains Serving == false in a short sentence.
	NotServingReason string
}

// reasonLapsed explains a view whose ServingUntil has passed.
const reasonLapsed = "lease from the zone's coordinator has expired"

// ServingAt reports whether this node may take new work at a time that the caller has just read from its clock.
func (v *View) ServingAt(now time.Time) bool {
	return v.Serving && (v.ServingUntil.IsZero() || now.Before(v.ServingUntil))
}

// WhyNotServing explains in a short sentence why ServingAt is false.
func (v *View) WhyNotServing() string {
	if v.Serving {
		return reasonLapsed
	}
	return v.NotServingReason
}

// Permitted reports whether the pool's data may be in the zone. An unknown pool is permitted nowhere.
func (v *View) Permitted(pool, zone string) bool {
	p, ok := v.Pools[pool]
	return ok && slices.Contains(p.Spec.PermittedZones, zone)
}

// Source gives the current view and tells of new ones.
type Source interface {
	// Current returns the newest view, never nil.
	Current() *View
	// Changed returns a channel that is closed when a newer view than the current one exists.
	Changed() <-chan struct{}
}
