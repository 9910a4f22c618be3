// Package storerelay spreads what the coordinating process learns from the metadata store, so that the many other processes need
// not watch the store themselves: its price and its rate are counted by calls.
//
// A Hub holds the newest snapshots of the kinds that its process follows and answers polls for what changed. A Client polls the
// hub of the coordinating process, and follows the store itself while there is none that answers and is up to date.
//
// A change that makes no difference to those who poll, such as the weight versions of an engine, is not told to them: the copy of
// a Client may differ from the store in what its hub's essence leaves out.
//
// Guarantees: what a Client hands out for a kind never goes back to an earlier revision. A hub of which a call to the store has
// failed, or that has not heard from it for maxAge, says so, and a poll that is not answered within pollWait and pollMargin counts as lost; after either a Client
// follows the store itself within directDelay.
package storerelay

import (
	"context"
	"time"

	"github.com/covelink/covelink/internal/metastore"
	"github.com/covelink/covelink/internal/rpc"
)

const (
	// pollWait is how long a poll waits in the hub for a change.
	pollWait = time.Second
	// pollMargin is how long the answer of a poll may take beyond its wait.
	pollMargin = 700 * time.Millisecond
	// maxWatchWait bounds the waits of the watches that a hub relies on, and with them the time until it notices that it is cut off
	// from the store.
	maxWatchWait = time.Second
	// maxAge is how long ago a hub must have heard from the store of a kind that it answers for. It is above maxWatchWait and
	// what a follower leaves between two watches.
	maxAge = 2500 * time.Millisecond
	// directDelay is how long a client waits for a hub to answer again before it follows the store itself.
	directDelay = 800 * time.Millisecond
	// retryPause is the pause between two polls while no hub answers.
	retryPause = 250 * time.Millisecond
	// maxRemovals bounds the removals of a kind that a hub remembers.
	maxRemovals = 1024
)

// PollRequest asks for what changed of some kinds.
type PollRequest struct {
	// Known maps each kind to the revision up to which the caller knows it.
	Known map[string]metastore.Revision
	// Wait bounds how long the hub waits for a change.
	Wait time.Duration
}

// PollReply answers a PollRequest.
type PollReply struct {
	// Fresh is false if the hub's process does not coordinate or has not heard from the store lately. There are no changes then.
	Fresh   bool
	Changes []Change
	// Revisions maps each kind that was asked for to the revision up to which the hub knows it.
	Revisions map[string]metastore.Revision
}

// Change is what changed of a kind up to a revision.
type Change struct {
	Kind     string
	Revision metastore.Revision
	// Whole is true if Objects are all that there are, not only those that changed.
	Whole   bool
	Objects []metastore.Object
	// Removed are the names of objects that are gone.
	Removed []string
}

// Register makes a server answer polls of the hub.
func Register(server *rpc.Server, hub *Hub) {
	rpc.Handle(server, func(ctx context.Context, _ rpc.Peer, request PollRequest) (PollReply, error) {
		return hub.Poll(ctx, request), nil
	})
}

// Poll asks the hub of the process at an address.
func Poll(ctx context.Context, calls *rpc.Client, address string, request PollRequest) (PollReply, error) {
	return rpc.Call[PollRequest, PollReply](ctx, calls, address, request)
}
