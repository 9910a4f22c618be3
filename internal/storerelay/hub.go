package storerelay

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/covelink/covelink/internal/boottime"
	"github.com/covelink/covelink/internal/metastore"
	"github.com/covelink/covelink/internal/pause"
	"github.com/covelink/covelink/internal/quarantine"
	"github.com/covelink/covelink/internal/rpc"
	"github.com/covelink/covelink/internal/sharedmap"
)

// HubParams configures a Hub.
type HubParams struct {
	// Leading reports whether this process is the coordinator.
	Leading func() bool
	// ContentKey returns the part of an object that pollers need; a change that leaves it equal is not sent. Nil means the whole object.
	ContentKey func(kind string, object metastore.Object) string
	// SameContent reports whether ContentKey is known to be equal for two states of an object; false negatives are allowed. It saves computing
	// ContentKey for frequent changes such as heartbeats. May be nil.
	SameContent func(kind string, before, after metastore.Object) bool
	// Relayed reports whether pollers request a kind; nil means every kind.
	Relayed func(kind string) bool
	// Lease is the kind that holds the coordinator lease. It is also sent by a hub that is not the coordinator's.
	Lease string
	// Quarantine is the quarantine table sent to pollers; may be nil.
	Quarantine *quarantine.Table
	// Candidates returns the internal addresses of the other coordinator candidates; nil if they are unknown.
	Candidates func() []string
	// MaxDirect bounds the processes, other than relays, that the coordinator's hub answers; zero means no bound. It has no effect while no
	// candidate is known that could relay.
	MaxDirect int
	// WorkerShare returns the WorkerShare of replies; nil means all.
	WorkerShare func() float64
	// Logger may be nil.
	Logger log.Logger
}

// Hub caches the newest snapshots of the kinds that its process follows and answers polls from them. It is safe for concurrent use.
type Hub struct {
	HubParams
	pollers pollers
	// direct are the processes that the coordinator's hub answers, redirected those that it redirects to relays, and referred those that
	// another hub refers to the coordinator.
	direct, redirected, referred recentPeers
	relaying                     relayState
	// redirects counts the polls answered with a redirect.
	redirects atomic.Int64

	mu    sync.Mutex
	kinds map[string]*relayedKind
	// respondedAt is when the store last answered a call for each kind, even if a later call has failed (metastore.Followers.Shown).
	respondedAt map[string]time.Time
	changed     chan struct{}
}

// NewHub returns a Hub without snapshots.
func NewHub(params HubParams) *Hub {
	if params.ContentKey == nil {
		params.ContentKey = func(_ string, object metastore.Object) string { return strconv.FormatInt(int64(object.Revision), 10) }
	}
	if params.Candidates == nil {
		params.Candidates = func() []string { return nil }
	}
	if params.Logger == nil {
		params.Logger = log.NewNopLogger()
	}
	return &Hub{HubParams: params, kinds: make(map[string]*relayedKind), respondedAt: make(map[string]time.Time), changed: make(chan struct{})}
}

// Confirm stores a snapshot that was just read from the store.
func (h *Hub) Confirm(kind string, snapshot metastore.Snapshot) {
	h.confirmAt(kind, snapshot, boottime.Now())
}

// confirmAt stores a snapshot that was current at a boottime. A snapshot older than the cached one is ignored.
func (h *Hub) confirmAt(kind string, snapshot metastore.Snapshot, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	cached, ok := h.kinds[kind]
	if !ok {
		cached = &relayedKind{historyFloor: snapshot.Revision, entries: make(map[string]entry)}
		h.kinds[kind] = cached
	}
	if snapshot.Revision < cached.snapshot.Revision {
		return
	}
	if at.After(cached.confirmed) {
		cached.confirmed = at
	}
	contentChanged := !ok
	if !sharedmap.Identical(cached.snapshot.Objects, snapshot.Objects) {
		contentChanged = h.recordDiff(kind, cached, snapshot) || contentChanged
	}
	if contentChanged {
		cached.contentRevision = snapshot.Revision
	}
	cached.snapshot = snapshot
	if contentChanged {
		level.Debug(h.Logger).Log("msg", "change published", "kind", kind, "revision", snapshot.Revision, "objects", snapshot.Objects.Len(),
			"age", boottime.Since(at).Round(time.Millisecond))
		close(h.changed)
		h.changed = make(chan struct{})
	}
}

// MarkStale marks a kind as stale after a failed call to the store. A relay ignores it: it answers from the coordinator's data, whatever its
// own access to the store.
func (h *Hub) MarkStale(kind string) {
	if h.relaying.active() && !h.Leading() {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	cached, ok := h.kinds[kind]
	if !ok || cached.confirmed.IsZero() {
		return
	}
	cached.confirmed = time.Time{}
	close(h.changed)
	h.changed = make(chan struct{})
}

// LastResponseAt returns the boottime at which the store last answered a call for a kind; zero if it never did.
func (h *Hub) LastResponseAt(kind string) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.respondedAt[kind]
}

// recordResponse records when the store answered a call for a kind.
func (h *Hub) recordResponse(kind string, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.respondedAt[kind] = at
}

// Attach subscribes the hub to the snapshots of followers. It must be called before the first Follow.
func (h *Hub) Attach(followers *metastore.Followers) {
	followers.Confirmed = h.confirmAt
	followers.Shown = h.recordResponse
	followers.Doubted = h.MarkStale
	followers.MaxWait = h.maxWait
}

// maxWait bounds the watches of a kind while this process is the coordinator.
func (h *Hub) maxWait(kind string) time.Duration {
	switch {
	case !h.Leading():
		return 0
	case kind == h.Lease:
		return maxLeaseWait
	case h.Relayed != nil && !h.Relayed(kind):
		return maxUnrelayedWait
	}
	return maxWatchWait
}

// Answer answers a poll from a process, or redirects the process to a relay.
func (h *Hub) Answer(ctx context.Context, peer rpc.Peer, request PollRequest) PollReply {
	now := boottime.Now()
	switch {
	case request.Relay:
		h.pollers.recordServed(peer.Name, request.Served, now)
	case h.Leading() && request.MayRedirect && h.shouldRedirect(peer.Name, now):
		h.redirected.add(peer.Name, now)
		return h.redirectReply(request)
	case request.Relayed:
		h.relaying.request(now)
	case !h.Leading():
		h.referred.add(peer.Name, now)
	}
	h.RecordPoll(peer, request)
	reply := h.Poll(ctx, request)
	reply.Crowded = h.MaxDirect > 0 && h.referred.count(now) > h.MaxDirect
	return reply
}

// Redirects returns the number of polls answered with a redirect.
func (h *Hub) Redirects() int64 { return h.redirects.Load() }

// RelayedWorkerShare returns the last WorkerShare received from the coordinator while relaying; zero if none. A new coordinator uses it until
// it has counted the processes itself.
func (h *Hub) RelayedWorkerShare() float64 {
	_, share := h.relaying.guidance()
	return share
}

// Relaying reports whether the hub answers on behalf of the coordinator.
func (h *Hub) Relaying() bool { return h.relaying.active() }

// shouldRedirect reports whether the coordinator's hub redirects a process. Processes that it already answers are not redirected.
func (h *Hub) shouldRedirect(name string, now time.Time) bool {
	if h.MaxDirect <= 0 || len(h.Candidates()) == 0 {
		return false
	}
	return !h.direct.admit(name, now, h.MaxDirect)
}

// redirectReply returns a redirect to the relays, with changes of the lease only.
func (h *Hub) redirectReply(request PollRequest) PollReply {
	h.redirects.Add(1)
	reply := PollReply{Redirect: true, Crowded: true, Candidates: h.Candidates()}
	h.mu.Lock()
	defer h.mu.Unlock()
	reply.Changes = h.leaseChange(request.Known)
	return reply
}

// Poll returns the changes of the requested kinds as soon as there are any, or once the wait is over.
func (h *Hub) Poll(ctx context.Context, request PollRequest) PollReply {
	started := boottime.Now()
	reply := h.waitReply(ctx, request)
	reply.Held = boottime.Since(started)
	return reply
}

// canServe reports whether the hub may answer a request from its cache, rather than only refer the caller to the coordinator.
func (h *Hub) canServe(request PollRequest) bool {
	return h.Leading() || (request.Relayed && h.relaying.active())
}

// waitReply returns a reply as soon as it has content, or once the wait is over. A hub that is asked to relay and is not fresh by then gets
// another ReadyWait to become so.
func (h *Hub) waitReply(ctx context.Context, request PollRequest) PollReply {
	reply := h.waitForChange(ctx, request, h.waitLimit(request), false)
	if reply.Fresh || request.ReadyWait == 0 {
		return reply
	}
	return h.waitForChange(ctx, request, request.ReadyWait, true)
}

// waitForChange returns a reply as soon as it has content, the wait is over or, with untilFresh, the hub is fresh.
func (h *Hub) waitForChange(ctx context.Context, request PollRequest, wait time.Duration, untilFresh bool) PollReply {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		reply, changed, quarantineChanged := h.currentReply(request)
		if len(reply.Changes) > 0 || len(reply.Quarantine.Records) > 0 || changed == nil || (untilFresh && reply.Fresh) {
			return reply
		}
		select {
		case <-changed:
		case <-quarantineChanged:
			pause.For(ctx, quarantineBatchDelay)
		case <-ctx.Done():
			reply, _, _ = h.currentReply(request)
			return reply
		}
	}
}

// waitLimit returns how long a poll waits for a change.
func (h *Hub) waitLimit(request PollRequest) time.Duration {
	if h.Leading() || request.Relayed {
		return request.Wait
	}
	return referralWait
}

// currentReply returns the reply as of now, and the channels that are closed on the next change of the kinds and of the quarantine table.
func (h *Hub) currentReply(request PollRequest) (reply PollReply, changed, quarantineChanged <-chan struct{}) {
	reply, changed = h.storeChanges(request)
	reply.Quarantine, quarantineChanged = h.quarantineUpdates(request.Quarantine)
	return reply, changed, quarantineChanged
}

// quarantineUpdates returns the new records of the quarantine table, and a channel that is closed on the next change; nil without a table.
func (h *Hub) quarantineUpdates(known quarantine.Cursor) (quarantine.Changes, <-chan struct{}) {
	if h.Quarantine == nil {
		return quarantine.Changes{}, nil
	}
	changes, changed := h.Quarantine.Since(known)
	if changes.Cursor == known {
		return quarantine.Changes{}, changed
	}
	return changes, changed
}

// storeChanges returns the current changes of the requested kinds, and a channel that is closed on the next change; nil if waiting cannot
// help.
func (h *Hub) storeChanges(request PollRequest) (reply PollReply, changed <-chan struct{}) {
	leading, serves := h.Leading(), h.canServe(request)
	reply.Candidates, reply.WorkerShare = h.guidance(leading)
	h.mu.Lock()
	defer h.mu.Unlock()
	if !serves {
		reply.Changes = h.leaseChange(request.Known)
		return reply, h.changed
	}
	reply.Revisions = make(map[string]metastore.Revision, len(request.Known))
	reply.Ages = make(map[string]time.Duration, len(request.Known))
	// Read the clock once for all kinds: it takes two system calls.
	now := boottime.Now()
	for kind, revision := range request.Known {
		relayed, ok := h.kinds[kind]
		if !ok || now.Sub(relayed.confirmed) > maxConfirmationAge {
			stale := PollReply{Changes: h.leaseChange(request.Known), Candidates: reply.Candidates}
			if leading {
				return stale, nil
			}
			// The relay may just have started.
			return stale, h.changed
		}
		reply.Revisions[kind] = relayed.snapshot.Revision
		reply.Ages[kind] = now.Sub(relayed.confirmed)
		reply.Age = max(reply.Age, reply.Ages[kind])
		if relayed.hasChangesSince(revision) {
			reply.Changes = append(reply.Changes, h.changeSince(relayed, kind, revision))
		}
	}
	reply.Fresh = true
	return reply, h.changed
}

// guidance returns the candidates and the worker share of replies. A relay forwards those of the coordinator.
func (h *Hub) guidance(leading bool) (candidates []string, workerShare float64) {
	if !leading && h.relaying.active() {
		return h.relaying.guidance()
	}
	candidates = h.Candidates()
	if leading && h.WorkerShare != nil {
		workerShare = h.WorkerShare()
	}
	return candidates, workerShare
}

// leaseChange returns the change of the lease since the caller's revision; nil if there is none. The mutex must be held.
func (h *Hub) leaseChange(known map[string]metastore.Revision) []Change {
	revision, requested := known[h.Lease]
	relayed, ok := h.kinds[h.Lease]
	if !requested || !ok || !relayed.hasChangesSince(revision) {
		return nil
	}
	return []Change{h.changeSince(relayed, h.Lease, revision)}
}
