package configsync

import (
	"maps"
	"reflect"
	"slices"
	"time"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/cluster"
)

// NodeReport is what a node tells its coordinator of itself.
type NodeReport struct {
	Node string
	// Incarnation differs for every start of the node's process.
	Incarnation string
	Applied     Version
}

// Grant is the coordinator's answer to a heartbeat.
type Grant struct {
	// Granted says that the lease is renewed, from the moment the node sent the heartbeat.
	Granted bool
	// Version is the state the node should hold.
	Version Version
}

// nodeLease is what a coordinator knows of a node of its zone.
type nodeLease struct {
	incarnation string
	applied     uint64
	// until is when the node must have stopped serving unless it renews.
	until time.Time
	// granted says that this term has granted a lease to this start of the node; else until only allows for an earlier term.
	granted bool
}

// Coordinator is one term of a zone's coordinator. It is pure state: the caller passes the time.
type Coordinator struct {
	zone     string
	length   time.Duration
	started  time.Time
	informed bool
	state    State
	engines  []cluster.Engine // of this zone, nil until set in this term
	leases   map[string]*nodeLease
}

// NewCoordinator starts a term of the zone with the state its node holds. length is the length of a node lease.
func NewCoordinator(zone string, token uint64, held State, now time.Time, length time.Duration) *Coordinator {
	c := &Coordinator{
		zone:    zone,
		length:  length,
		started: now,
		state:   held,
		leases:  make(map[string]*nodeLease),
	}
	c.state.Token = token
	c.state.Sequence = 1
	return c
}

// State returns the state to spread.
func (c *Coordinator) State() State { return c.state }

// SetNodes states the known nodes of the zone. A node that has not been heard may hold a lease from an earlier term,
// so it counts until that must have lapsed; a node no longer known counts until its lease ends.
func (c *Coordinator) SetNodes(names []string) {
	for _, name := range names {
		if _, known := c.leases[name]; !known {
			c.leases[name] = &nodeLease{until: c.started.Add(c.length)}
		}
	}
}

// SetInformed states that the term knows every revision the zone has acknowledged, as when a node with a valid lease
// has been asked. Until then, or until every lease of an earlier term has lapsed, no lease is granted.
func (c *Coordinator) SetInformed() { c.informed = true }

// Ready reports whether leases are granted.
func (c *Coordinator) Ready(now time.Time) bool {
	informed := c.informed || !now.Before(c.started.Add(c.length))
	return informed && c.state.Revision > 0
}

// Heartbeat renews a node's lease. A node with a valid lease of this term keeps it as long as it applies what the zone has
// acknowledged; a node without one gets it once it applies the newest revision, which covers what earlier terms acknowledged.
func (c *Coordinator) Heartbeat(report NodeReport, now time.Time) Grant {
	lease, known := c.leases[report.Node]
	if !known {
		lease = &nodeLease{until: c.started.Add(c.length)}
		c.leases[report.Node] = lease
	}
	if lease.incarnation != report.Incarnation || !now.Before(lease.until) {
		lease.granted = false
	}
	lease.incarnation = report.Incarnation
	lease.applied = report.Applied.Revision
	required := c.state.Acks[c.zone]
	if !lease.granted {
		required = max(required, c.state.Revision)
	}
	granted := c.Ready(now) && report.Applied.Revision >= required
	if granted {
		lease.granted = true
		lease.until = now.Add(c.length)
	}
	c.settle(now, c.outrun(report.Applied))
	return Grant{Granted: granted, Version: c.state.Version}
}

// Acknowledge records what a node applies without renewing its lease. A report of an earlier start of the node is ignored.
func (c *Coordinator) Acknowledge(report NodeReport, now time.Time) {
	lease, known := c.leases[report.Node]
	if !known || lease.incarnation != report.Incarnation {
		return
	}
	lease.applied = max(lease.applied, report.Applied.Revision)
	c.settle(now, c.outrun(report.Applied))
}

// ApplyResources takes over the resources of a higher store revision and reports whether it did.
func (c *Coordinator) ApplyResources(objects []v1.RawObject, revision uint64, now time.Time) bool {
	if revision <= c.state.Revision {
		return false
	}
	c.state.Objects = objects
	c.state.Revision = revision
	c.settle(now, true)
	return true
}

// Adopt takes over what is newer in the state of another node, its resources included.
func (c *Coordinator) Adopt(other State, now time.Time) {
	higher := other.Revision > c.state.Revision
	if higher {
		c.state.Objects = other.Objects
		c.state.Revision = other.Revision
	}
	changed := c.state.merge(other.Report())
	changed = c.outrun(other.Version) || changed
	c.settle(now, changed || higher)
}

// Merge takes over what is newer in another coordinator's report.
func (c *Coordinator) Merge(report Report, now time.Time) {
	c.settle(now, c.state.merge(report))
}

// SetEngines replaces the zone's engines.
func (c *Coordinator) SetEngines(engines []cluster.Engine, now time.Time) {
	c.engines = slices.Clone(engines)
	c.settle(now, c.restoreEngines())
}

// restoreEngines makes the zone's inventory hold the engines of this term and reports whether it didn't. An inventory of an
// earlier start of this node may have come back from others under the same token; the new one supersedes it.
func (c *Coordinator) restoreEngines() bool {
	held := c.state.Inventories[c.zone]
	if c.engines == nil || held.Token == c.state.Token && reflect.DeepEqual(held.Engines, c.engines) {
		return false
	}
	inventories := maps.Clone(c.state.Inventories)
	if inventories == nil {
		inventories = make(map[string]Inventory)
	}
	inventories[c.zone] = Inventory{
		Token:    c.state.Token,
		Sequence: max(c.state.Sequence, held.Sequence) + 1,
		Engines:  c.engines,
	}
	c.state.Inventories = inventories
	return true
}

// outrun numbers the state above one seen under the same token, as of an earlier start of this node.
func (c *Coordinator) outrun(seen Version) bool {
	if seen.Token != c.state.Token || seen.Sequence <= c.state.Sequence {
		return false
	}
	c.state.Sequence = seen.Sequence
	return true
}

// Tick accounts for the leases that have lapsed.
func (c *Coordinator) Tick(now time.Time) { c.settle(now, false) }

// settle derives the zone's acknowledgement and the accepted objects, and numbers the state anew if it has changed.
func (c *Coordinator) settle(now time.Time, changed bool) {
	changed = c.restoreEngines() || changed
	if revision, counted := c.applied(now); counted {
		if acked := min(revision, c.state.Revision); acked > c.state.Acks[c.zone] {
			c.state.Acks = cloneOrMake(c.state.Acks)
			c.state.Acks[c.zone] = acked
			changed = true
		}
	}
	if !changed {
		return
	}
	c.state.refreshAccepted()
	c.state.Sequence++
}

// applied returns the highest revision that every node with an unexpired lease applies; counted is false when there is none.
func (c *Coordinator) applied(now time.Time) (revision uint64, counted bool) {
	for _, lease := range c.leases {
		if !now.Before(lease.until) {
			continue
		}
		if !counted || lease.applied < revision {
			revision = lease.applied
		}
		counted = true
	}
	return revision, counted
}
