package configsync

import (
	"time"

	"github.com/covelink/covelink/internal/settings"
)

// The parts of the lease length of coordinators between two attempts.
const (
	timeoutFraction = 2
	retryFraction   = 20
	tickFraction    = 4
)

// heartbeatFraction is the part of the length of a node's lease between two heartbeats while all goes well.
const heartbeatFraction = 4

// HeartbeatResult is how a heartbeat ended.
type HeartbeatResult int

// The results of heartbeats.
const (
	// HeartbeatFailed: no answer, or no coordinator.
	HeartbeatFailed HeartbeatResult = iota
	// HeartbeatPending: no lease yet, or a state that has just been taken over has to be reported.
	HeartbeatPending
	// HeartbeatRenewed: the lease has been renewed and nothing is missing.
	HeartbeatRenewed
)

// Pause returns the time to the next heartbeat.
func (r HeartbeatResult) Pause(timing settings.Timing) time.Duration {
	switch r {
	case HeartbeatRenewed:
		return timing.NodeLeaseLength / heartbeatFraction
	case HeartbeatPending:
		return timing.LeaseLength / retryFraction
	}
	return timing.LeaseLength / tickFraction
}

// HeartbeatTimeout returns how long a node waits for the answer to a heartbeat. It is short, so that a coordinator that stands
// still doesn't keep a node from asking the next one before the node's lease has lapsed.
func HeartbeatTimeout(leaseLength time.Duration) time.Duration {
	return leaseLength / timeoutFraction
}

// TickInterval returns the time between two ticks of a coordinator.
func TickInterval(leaseLength time.Duration) time.Duration { return leaseLength / tickFraction }

// CountedLease returns how long a coordinator counts a node's lease: longer than the node holds it by a margin for clocks
// that run at different rates and for the time a node's timer takes to stop it.
func CountedLease(nodeLeaseLength time.Duration) time.Duration {
	const marginFraction = 8
	return nodeLeaseLength + nodeLeaseLength/marginFraction
}

// BeginTerm starts a term of the zone on a node that holds the state and, if leased, a valid lease of the zone; nodes are the
// known ones of the zone.
func BeginTerm(zone string, token uint64, held State, leased bool, nodes []string, now time.Time, nodeLeaseLength time.Duration) *Coordinator {
	c := NewCoordinator(zone, token, held, now, CountedLease(nodeLeaseLength))
	c.SetNodes(nodes)
	if leased {
		c.SetInformed()
	}
	return c
}

// Deliver brings the state into force on the coordinator's own node. offer gives the node a state and reports what it then
// applies, and whether it has taken the state.
func (c *Coordinator) Deliver(held Version, now time.Time, offer func(State) (NodeReport, bool)) {
	for !held.Covers(c.state.Version) {
		report, taken := offer(c.State())
		if !taken {
			return
		}
		c.Acknowledge(report, now)
		held = report.Applied
	}
}

// ForwardTimeout returns how much of a write's time is spent on the coordinator's answer; the rest is for reading back.
func ForwardTimeout(writeTimeout time.Duration) time.Duration { return writeTimeout / 2 }

// StoreTimeout returns how long a coordinator that has to answer within a time tries to reach the store, so that its answer
// arrives before whoever waits gives up.
func StoreTimeout(answerTimeout time.Duration) time.Duration { return answerTimeout * 3 / 4 }
