// Package storerelay spreads what the coordinating process learns from the metadata store, so that the many other processes need
// not watch the store themselves: its price and its rate are counted by calls.
//
// A Hub holds the newest snapshots of the kinds that its process follows and answers polls for what changed. A Client polls the
// hub of the coordinating process, and follows the store itself while there is none that answers and is up to date.
//
// A change that makes no difference to those who poll, such as the weight versions of an engine, is not told to them: the copy of
// a Client may differ from the store in what its hub's essence leaves out.
//
// A hub answers a bounded number of processes for the coordinating process (HubParams.MaxDirect). It sends the others to the processes that may
// coordinate: those follow the coordinating process's hub when they are asked to (Relay) and answer for it. What the coordinating process sends,
// and the connections that it holds, then grow with the relays and not with the processes. Each answer tells as of when it is known to be true, so
// that a relay adds its own delay and no more.
//
// A hub whose process does not coordinate tells callers who does, as far as it knows, so that hundreds of clients that look for the
// coordinating process ask the other candidates and not the store.
//
// Polls also carry what the processes tell each other of requests under which engines have ended (package quarantine): it is news to all of
// them, and they ask the coordinating process anyway.
//
// A hub remembers which revisions each process held when it last polled, so that operators see which processes have received a change (Hub.Spread).
//
// Guarantees: what a Client hands out for a kind never goes back to an earlier revision. A hub of which a call to the store has
// failed, or that has not heard from it for maxAge, says so, and a poll that is not answered within pollWait and pollMargin counts as
// lost. After either, a Client follows the store itself unless a hub answers within its Patience: first the lease, and the other kinds
// once the store has shown that, so that hundreds of clients ask a store that is down one question each.
package storerelay

import (
	"context"
	"time"

	"github.com/covelink/covelink/internal/metastore"
	"github.com/covelink/covelink/internal/quarantine"
	"github.com/covelink/covelink/internal/rpc"
)

const (
	// pollWait is how long a poll waits in the hub for a change, and with pollMargin the time until a client notices that a hub is cut
	// off: about half of the 2 s in which the smallest deployments ask for a change to be in force.
	pollWait = 600 * time.Millisecond
	// pollMargin is how long the answer of a poll may take beyond its wait.
	pollMargin = 500 * time.Millisecond
	// maxWatchWait bounds the waits of the watches that a hub relies on, and with them the time until it notices that it is cut off
	// from the store.
	maxWatchWait = 750 * time.Millisecond
	// maxLeaseWait is the same for the lease, of which the other candidates tell as well, and maxOtherWait for kinds that are not
	// relayed: a watch whose history was dropped may stay silent that long.
	maxLeaseWait = time.Second
	maxOtherWait = 2500 * time.Millisecond
	// maxAge is how long ago a hub must have heard from the store of a kind that it answers for. It is above maxWatchWait and
	// what a follower leaves between two watches.
	maxAge = 2500 * time.Millisecond
	// DefaultPatience is how long a client waits for a hub to answer again before it follows the store itself: what is left of 2 s after
	// the loss was noticed and before what was missed is read.
	DefaultPatience = 450 * time.Millisecond
	// patienceCheck is the pause between two looks at whether a client's patience is over.
	patienceCheck = 50 * time.Millisecond
	// directRetryPause is the pause after a call to the store that failed, of a client that follows it itself: hundreds may do so.
	directRetryPause = 2500 * time.Millisecond
	// probeWait is how long a client's first watch in the store waits there.
	probeWait = 50 * time.Millisecond
	// leaseHeadStart is how long, after the store has shown the lease, a client leaves to the coordinating process to tell it what it
	// does not know yet of other kinds.
	leaseHeadStart = 500 * time.Millisecond
	// startPatience is the same for a kind of which a client knows nothing yet: a coordinating process is chosen, and has read what it
	// relays, within a second of a start of the whole fleet.
	startPatience = time.Second
	// startJitter spreads over time the clients that turn to the store at their start.
	startJitter = time.Second
	// crowdedPatience stands in for startPatience while hubs say that the fleet is large: relays need the coordinating process's list first, and
	// hundreds of whole lists read beside it would use up the store's rate. It leaves some seconds of the 18 s in which a large deployment asks for
	// service after all processes were lost.
	crowdedPatience = 15 * time.Second
	// listMargin is pollMargin for the answer to a client that knows nothing yet: a whole list of 10,000 engines is 0.6 MB, and all clients of a hub
	// ask for it together.
	listMargin = 2500 * time.Millisecond
	// relayProbe is how long a relay may take to have what a client asks for that has lost another one, and relayProbeMargin how long its answer may
	// take beyond that: two relays that were lost together then cost less than the client's patience.
	relayProbe       = 250 * time.Millisecond
	relayProbeMargin = 100 * time.Millisecond
	// guideWait is how long a poll waits, in a hub whose process does not coordinate, for news of who does.
	guideWait = 400 * time.Millisecond
	// firstPollPause leaves those who follow kinds from the start the time to say so.
	firstPollPause = 20 * time.Millisecond
	// retryPause is the pause between two polls while no hub answers.
	retryPause = 250 * time.Millisecond
	// quarantineGather is how long news of requests under which engines have ended are gathered: one end is news of each request that the
	// engine ran, and each of those that ends well at another is news again. Without it they would come one poll each, from every client.
	quarantineGather = 50 * time.Millisecond
	// maxRemovals and maxChanges bound the removals and the changes of a kind that a hub remembers: a poller that missed more is told the whole list,
	// which then is not much longer.
	maxRemovals = 1024
	maxChanges  = 4096
)

// followMargin is what a client needs, once its patience is over, to learn from the store what it missed.
const followMargin = 450 * time.Millisecond

// PatienceWithin returns the patience of a client that must know of a change in the store within some time, even if the coordinating
// process is lost at the same moment: a poll that is not answered any more is noticed first.
func PatienceWithin(limit time.Duration) time.Duration {
	return max(DefaultPatience, limit-pollWait-pollMargin-followMargin)
}

// PollRequest asks for what changed of some kinds.
type PollRequest struct {
	// Known maps each kind to the revision up to which the caller knows it; zero for one of which it knows nothing.
	Known map[string]metastore.Revision
	// Quarantine is up to where the caller knows the hub's table of requests under which engines have ended.
	Quarantine quarantine.Cursor
	// Wait bounds how long the hub waits for a change.
	Wait time.Duration
	// ReadyWait bounds how long a hub that is asked to relay waits until it is up to date.
	ReadyWait time.Duration
	// Relay is true if the caller asks in order to answer for the coordinating process, which always answers such a caller.
	Relay bool
	// MayRedirect is true if the caller may be sent to a relay: not that of an earlier version, which would know nothing of it, nor one that has asked
	// all relays in vain.
	MayRedirect bool
	// Relayed is true if the caller was sent away by the coordinating process and asks another process to answer for it.
	Relayed bool
	// Served are the processes that a Relay answers; it leaves them out of most polls.
	Served []ServedProcess
}

// ServedProcess is a process that a relay answers.
type ServedProcess struct {
	Name, Zone string
	// Known is up to which revision the process knew each kind when it last polled.
	Known map[string]metastore.Revision
	// Age is how long before the relay's poll that was.
	Age time.Duration
}

// PollReply answers a PollRequest.
type PollReply struct {
	// Fresh is false if the hub's process does not coordinate or has not heard from the store lately. Changes are then at most those of
	// the lease.
	Fresh   bool
	Changes []Change
	// Revisions maps each kind that was asked for to the revision up to which the hub knows it.
	Revisions map[string]metastore.Revision
	// Quarantine is what is new in the hub's table of requests under which engines have ended, whether or not it is Fresh.
	Quarantine quarantine.News
	// Candidates are the internal addresses of other processes that may coordinate, as far as the hub knows.
	Candidates []string
	// Age is for how long the hub has not heard from the store of one of the kinds that were asked for, the longest of them.
	Age time.Duration
	// Held is how long the poll waited before it was answered. The answer is true as of Age before its end.
	Held time.Duration
	// Redirect is true if the coordinating process answers no more processes: the caller is to ask one of the Candidates to relay.
	Redirect bool
	// Crowded is true if more processes ask the hub than a coordinating process answers by itself. A caller that knows nothing yet then leaves
	// the time of a start of the whole fleet to hubs, rather than read whole lists from the store beside all others.
	Crowded bool
	// WorkerShare is the share of the gateways that the coordinating process has run batch items, from 0 to 1; zero means all.
	WorkerShare float64
}

// Change is what changed of a kind up to a revision.
type Change struct {
	Kind     string
	Revision metastore.Revision
	// Whole is true if the objects are all that there are, not only those that changed.
	Whole bool
	// Objects are the changed ones, unless they are Packed.
	Objects []metastore.Object
	// Packed holds the objects compressed: a whole list that many callers ask for is encoded once.
	Packed []byte
	// Removed are the names of objects that are gone.
	Removed []string
}

// Register makes a server answer polls of the hub.
func Register(server *rpc.Server, hub *Hub) {
	rpc.Handle(server, func(ctx context.Context, peer rpc.Peer, request PollRequest) (PollReply, error) {
		return hub.Answer(ctx, peer, request), nil
	})
}

// Poll asks the hub of the process at an address.
func Poll(ctx context.Context, calls *rpc.Client, address string, request PollRequest) (PollReply, error) {
	return rpc.Call[PollRequest, PollReply](ctx, calls, address, request)
}
