// Package storerelay distributes snapshots of the metadata store from the coordinator to the other processes, so that the store's request rate
// does not grow with the fleet. Clients poll a Hub, and follow the store directly if none is fresh within their FailoverTimeout. A Client's
// snapshots never go back in revision, and may differ from the store in what HubParams.ContentKey leaves out.
package storerelay

import (
	"context"
	"time"

	"github.com/covelink/covelink/internal/metastore"
	"github.com/covelink/covelink/internal/quarantine"
	"github.com/covelink/covelink/internal/rpc"
)

const (
	// pollWait is how long a poll waits in the hub for a change. Together with pollMargin it bounds the time to detect an unreachable hub.
	pollWait = 600 * time.Millisecond
	// pollsPerMaxAge is how many polls without changes fit into the MaxAge of a kind.
	pollsPerMaxAge = 4
	// pollMargin is how long a reply may take beyond the wait of its poll.
	pollMargin = 500 * time.Millisecond
	// maxWatchWait bounds the store watches of a hub, and thereby the time to detect a lost connection to the store.
	maxWatchWait = 750 * time.Millisecond
	// maxLeaseWait bounds watches of the lease, which candidates report as well, and maxUnrelayedWait those of kinds that are not relayed. A
	// watch whose history was compacted may not return earlier.
	maxLeaseWait     = time.Second
	maxUnrelayedWait = 2500 * time.Millisecond
	// maxConfirmationAge is the age above which a snapshot of a hub is stale. It exceeds maxWatchWait plus the pause between two watches.
	maxConfirmationAge = 2500 * time.Millisecond
	// DefaultFailoverTimeout is the default of ClientParams.FailoverTimeout.
	DefaultFailoverTimeout = 450 * time.Millisecond
	// failoverCheckInterval is how often a client checks whether it must follow the store directly.
	failoverCheckInterval = 50 * time.Millisecond
	// directRetryPause is the pause after a failed call to the store by a client that follows it directly, as hundreds of clients may do so at
	// once.
	directRetryPause = 2500 * time.Millisecond
	// directIntervalShare is the interval between two reads of the store as a share of a kind's MaxAge.
	directIntervalShare = 0.6
	// firstWatchWait is the wait of a client's first store watch.
	firstWatchWait = 50 * time.Millisecond
	// leaseHeadStart is how long, after the lease was read from the store, a client waits for the coordinator to provide kinds without a
	// snapshot.
	leaseHeadStart = 500 * time.Millisecond
	// startupTimeout is how long a kind without a snapshot waits for a hub, to cover the election and the first reads of a coordinator at a
	// start of the whole fleet.
	startupTimeout = time.Second
	// startupJitter spreads the store calls of clients that start together.
	startupJitter = time.Second
	// crowdedStartupTimeout replaces startupTimeout while hubs report a large fleet. Relays need the coordinator's lists first, and reads of
	// full lists by hundreds of clients would exhaust the store's request rate.
	crowdedStartupTimeout = 15 * time.Second
	// fullListMargin replaces pollMargin for a client without a snapshot, as all clients of a hub may request the full list at once.
	fullListMargin = 2500 * time.Millisecond
	// relayProbeWait is how long the replacement for a lost relay may take to become fresh, and relayProbeMargin how long its reply may take
	// beyond that. A replacement that is lost too thus costs less than DefaultFailoverTimeout.
	relayProbeWait   = 250 * time.Millisecond
	relayProbeMargin = 100 * time.Millisecond
	// referralWait is how long a poll of a hub that is not the coordinator's waits for a new coordinator.
	referralWait = 400 * time.Millisecond
	// firstPollDelay lets kinds be registered with Follow before the first poll.
	firstPollDelay = 20 * time.Millisecond
	// retryPause is the pause between two polls while no hub answers.
	retryPause = 250 * time.Millisecond
	// quarantineBatchDelay batches quarantine updates. One engine failure updates every request that the engine ran, and each update would
	// otherwise wake all pollers.
	quarantineBatchDelay = 50 * time.Millisecond
	// maxRemovals and maxChanges bound the history of a kind. A poller that needs older entries receives the full list.
	maxRemovals = 1024
	maxChanges  = 4096
)

// directReadMargin is the time that a client needs to read missed changes from the store.
const directReadMargin = 450 * time.Millisecond

// FailoverTimeoutWithin returns the FailoverTimeout with which a client receives a store change within limit even if the coordinator is lost
// at the same moment. It is at least DefaultFailoverTimeout.
func FailoverTimeoutWithin(limit time.Duration) time.Duration {
	return max(DefaultFailoverTimeout, limit-pollWait-pollMargin-directReadMargin)
}

// PollRequest requests the changes of some kinds.
type PollRequest struct {
	// Known maps each requested kind to the caller's revision; zero if it has no snapshot.
	Known map[string]metastore.Revision
	// Quarantine is the caller's position in the hub's quarantine table.
	Quarantine quarantine.Cursor
	// Wait bounds how long the hub waits for a change.
	Wait time.Duration
	// ReadyWait bounds how long a hub that is asked to relay waits until it is fresh.
	ReadyWait time.Duration
	// Relay is set by a relay that polls on behalf of its callers. The coordinator never redirects it.
	Relay bool
	// MayRedirect allows a redirect to a relay. It is not set by versions without redirects, nor by a client for which all relays have failed.
	MayRedirect bool
	// Relayed is set by a client that was redirected and asks another process to answer on behalf of the coordinator.
	Relayed bool
	// Served are the processes that a relay answers; omitted from most polls.
	Served []ServedProcess
}

// ServedProcess is a process that a relay answers.
type ServedProcess struct {
	Name, Zone string
	// Known maps each kind to the revision of the process at its last poll.
	Known map[string]metastore.Revision
	// Age is the time between that poll and the relay's.
	Age time.Duration
}

// PollReply answers a PollRequest.
type PollReply struct {
	// Fresh is set if the hub is the coordinator's, or a running relay's, and its snapshots are not stale. Otherwise Changes has at most the
	// lease.
	Fresh   bool
	Changes []Change
	// Revisions maps each requested kind to the hub's revision.
	Revisions map[string]metastore.Revision
	// Quarantine has the new records of the hub's quarantine table, even if Fresh is not set.
	Quarantine quarantine.Changes
	// Candidates are the internal addresses of the other known coordinator candidates.
	Candidates []string
	// Age is the time since the least recently confirmed requested kind was known to be current.
	Age time.Duration
	// Ages are the times since each requested kind was known to be current; nil from versions that send Age alone.
	Ages map[string]time.Duration
	// Held is how long the poll waited in the hub. The reply is current as of Age, and a kind as of its entry in Ages, before the end of the wait.
	Held time.Duration
	// Redirect tells the caller to poll one of the Candidates as a relay, because the coordinator is at its MaxDirect bound.
	Redirect bool
	// Crowded is set if more processes poll the hub than a coordinator answers directly. A caller without a snapshot then waits longer for a
	// hub before it lists from the store.
	Crowded bool
	// WorkerShare is the fraction of gateways that run batch items, from 0 to 1; zero means all.
	WorkerShare float64
}

// age returns the time since a kind was known to be current.
func (r PollReply) age(kind string) time.Duration {
	if age, known := r.Ages[kind]; known {
		return age
	}
	return r.Age
}

// Change holds the changes of a kind up to a revision.
type Change struct {
	Kind     string
	Revision metastore.Revision
	// Whole is set if the objects are the full list rather than the changed ones.
	Whole bool
	// Objects are the objects, unless they are Packed.
	Objects []metastore.Object
	// Packed holds the compressed objects, encoded once for all callers.
	Packed []byte
	// Removed are the names of removed objects.
	Removed []string
}

// size returns the approximate number of bytes that the change takes in a reply.
func (c Change) size() int {
	size := len(c.Packed)
	for _, object := range c.Objects {
		size += len(object.Name) + len(object.Spec) + len(object.Status)
	}
	for _, name := range c.Removed {
		size += len(name)
	}
	return size
}

// Register registers the hub's poll handler with a server.
func Register(server *rpc.Server, hub *Hub) {
	rpc.Handle(server, func(ctx context.Context, peer rpc.Peer, request PollRequest) (PollReply, error) {
		return hub.Answer(ctx, peer, request), nil
	})
}

// Poll polls the hub of the process at an address.
func Poll(ctx context.Context, calls *rpc.Client, address string, request PollRequest) (PollReply, error) {
	return rpc.Call[PollRequest, PollReply](ctx, calls, address, request)
}
