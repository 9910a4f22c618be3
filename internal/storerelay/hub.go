package storerelay

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"github.com/covelink/covelink/internal/boottime"
	"github.com/covelink/covelink/internal/metastore"
	"github.com/covelink/covelink/internal/pause"
	"github.com/covelink/covelink/internal/quarantine"
	"github.com/covelink/covelink/internal/rpc"
	"github.com/covelink/covelink/internal/sharedmap"
)

// HubParams are what a Hub works with.
type HubParams struct {
	// Leading reports whether the process coordinates.
	Leading func() bool
	// Essence returns what pollers need of an object, such that equal strings mean that nothing has changed for them; nil means the
	// whole object.
	Essence func(kind string, object metastore.Object) string
	// Alike reports, from two states of an object, that Essence is the same for both; it may say false for any. It spares the Essence of each object
	// whose change is known to be none for pollers, such as a heartbeat. Nil for none.
	Alike func(kind string, before, after metastore.Object) bool
	// Relayed reports whether pollers ask for a kind; nil means for every kind.
	Relayed func(kind string) bool
	// Lease is the kind that tells who coordinates. It is told also while the process does not coordinate.
	Lease string
	// Quarantine is the table that pollers learn from; nil for none.
	Quarantine *quarantine.Table
	// Candidates returns the internal addresses of other processes that may coordinate; nil if they are not known.
	Candidates func() []string
	// MaxDirect bounds the processes, beside relays, that the hub answers while its process coordinates; zero sets no bound. It has no effect while no
	// candidates are known that could relay.
	MaxDirect int
	// WorkerShare returns the WorkerShare of answers; nil for all.
	WorkerShare func() float64
	// Logger may be nil.
	Logger log.Logger
}

// Hub holds the newest snapshots of the kinds that its process follows. It is safe for concurrent use.
type Hub struct {
	HubParams
	pollers pollers
	// direct are the processes that the hub answers while its process coordinates, sentAway those that it sends to relays, and guided those that it
	// tells who coordinates.
	direct, sentAway, guided recentNames
	relaying                 relaying
	// redirects counts the polls that were answered by sending the caller to a relay.
	redirects atomic.Int64

	mu    sync.Mutex
	kinds map[string]*relayedKind
	// shown is, by kind, the time as of which the store last answered a call, whether or not a call has failed since (metastore.Followers.Shown).
	shown   map[string]time.Time
	changed chan struct{}
}

// NewHub returns a Hub.
func NewHub(params HubParams) *Hub {
	if params.Essence == nil {
		params.Essence = func(_ string, object metastore.Object) string { return strconv.FormatInt(int64(object.Revision), 10) }
	}
	if params.Candidates == nil {
		params.Candidates = func() []string { return nil }
	}
	if params.Logger == nil {
		params.Logger = log.NewNopLogger()
	}
	return &Hub{HubParams: params, kinds: make(map[string]*relayedKind), shown: make(map[string]time.Time), changed: make(chan struct{})}
}

// Confirm takes in a kind as the store has just shown it.
func (h *Hub) Confirm(kind string, snapshot metastore.Snapshot) {
	h.confirmAt(kind, snapshot, boottime.Now())
}

// confirmAt takes in a kind as it was known to be at a moment of boottime. A snapshot older than the known one changes nothing.
func (h *Hub) confirmAt(kind string, snapshot metastore.Snapshot, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	known, ok := h.kinds[kind]
	if !ok {
		known = &relayedKind{floor: snapshot.Revision, entries: make(map[string]entry)}
		h.kinds[kind] = known
	}
	if snapshot.Revision < known.snapshot.Revision {
		return
	}
	if at.After(known.confirmed) {
		known.confirmed = at
	}
	differs := !ok
	if !sharedmap.Same(known.snapshot.Objects, snapshot.Objects) {
		differs = h.noteDifference(kind, known, snapshot) || differs
	}
	if differs {
		known.contentRevision = snapshot.Revision
	}
	known.snapshot = snapshot
	if differs {
		close(h.changed)
		h.changed = make(chan struct{})
	}
}

// Doubt takes in that the store did not show a kind when it was asked. A relay answers with what it was told, so that its own access to the store
// says nothing.
func (h *Hub) Doubt(kind string) {
	if h.relaying.on() && !h.Leading() {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	known, ok := h.kinds[kind]
	if !ok || known.confirmed.IsZero() {
		return
	}
	known.confirmed = time.Time{}
	close(h.changed)
	h.changed = make(chan struct{})
}

// ShownAt returns the time, by boottime, as of which the store last answered a call about a kind; zero if it never did.
func (h *Hub) ShownAt(kind string) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.shown[kind]
}

// noteShown records that the store answered a call about a kind, as of a time.
func (h *Hub) noteShown(kind string, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.shown[kind] = at
}

// Attach makes the hub learn from what its process follows. It must be called before the first Follow.
func (h *Hub) Attach(followers *metastore.Followers) {
	followers.Confirmed = h.Confirm
	followers.Shown = h.noteShown
	followers.Doubted = h.Doubt
	followers.MaxWait = h.maxWait
}

// maxWait bounds the waits of the watches of a kind while the process coordinates.
func (h *Hub) maxWait(kind string) time.Duration {
	switch {
	case !h.Leading():
		return 0
	case kind == h.Lease:
		return maxLeaseWait
	case h.Relayed != nil && !h.Relayed(kind):
		return maxOtherWait
	}
	return maxWatchWait
}

// Answer answers a process's poll, or sends the process to a relay.
func (h *Hub) Answer(ctx context.Context, peer rpc.Peer, request PollRequest) PollReply {
	now := boottime.Now()
	switch {
	case request.Relay:
		h.pollers.noteServed(peer.Name, request.Served, now)
	case h.Leading() && request.MayRedirect && h.sendsAway(peer.Name, now):
		h.sentAway.note(peer.Name, now)
		return h.redirect(request)
	case request.Relayed:
		h.relaying.ask(now)
	case !h.Leading():
		h.guided.note(peer.Name, now)
	}
	h.NotePoll(peer, request)
	reply := h.Poll(ctx, request)
	reply.Crowded = h.MaxDirect > 0 && h.guided.count(now) > h.MaxDirect
	return reply
}

// Redirects returns how many polls were answered by sending the caller to a relay.
func (h *Hub) Redirects() int64 { return h.redirects.Load() }

// LearnedWorkerShare returns the WorkerShare that the coordinating process told while this one relayed last; zero if it never did. It stands in for this
// process's own at the begin of a term, when it does not know yet how many processes there are.
func (h *Hub) LearnedWorkerShare() float64 {
	_, share := h.relaying.guidance()
	return share
}

// Relaying reports whether the hub answers for the coordinating process.
func (h *Hub) Relaying() bool { return h.relaying.on() }

// sendsAway reports whether the process that coordinates sends another one to the relays. Those that it answers already stay.
func (h *Hub) sendsAway(name string, now time.Time) bool {
	if h.MaxDirect <= 0 || len(h.Candidates()) == 0 {
		return false
	}
	return !h.direct.admit(name, now, h.MaxDirect)
}

// redirect answers a process that is to ask a relay.
func (h *Hub) redirect(request PollRequest) PollReply {
	h.redirects.Add(1)
	reply := PollReply{Redirect: true, Crowded: true, Candidates: h.Candidates()}
	h.mu.Lock()
	defer h.mu.Unlock()
	reply.Changes = h.leaseChange(request.Known)
	return reply
}

// Poll returns what changed of the kinds that were asked for, as soon as there is something or the wait is over.
func (h *Hub) Poll(ctx context.Context, request PollRequest) PollReply {
	began := boottime.Now()
	reply := h.await(ctx, request)
	reply.Held = boottime.Since(began)
	return reply
}

// serves reports whether the hub answers a request with what it knows, and not only with whom to ask.
func (h *Hub) serves(request PollRequest) bool {
	return h.Leading() || (request.Relayed && h.relaying.on())
}

// await returns what there is to tell as soon as there is something, or once the wait is over. A hub that is asked to relay and is not up to date by then
// has until ReadyWait to become so.
func (h *Hub) await(ctx context.Context, request PollRequest) PollReply {
	reply := h.awaitNews(ctx, request, h.waitOf(request), false)
	if reply.Fresh || request.ReadyWait == 0 {
		return reply
	}
	return h.awaitNews(ctx, request, request.ReadyWait, true)
}

// awaitNews returns what there is to tell as soon as there is something, or once a wait is over, or the hub is up to date if that is enough.
func (h *Hub) awaitNews(ctx context.Context, request PollRequest, wait time.Duration, untilFresh bool) PollReply {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		reply, changed, found := h.now(request)
		if len(reply.Changes) > 0 || len(reply.Quarantine.Records) > 0 || changed == nil || (untilFresh && reply.Fresh) {
			return reply
		}
		select {
		case <-changed:
		case <-found:
			pause.For(ctx, quarantineGather)
		case <-ctx.Done():
			reply, _, _ = h.now(request)
			return reply
		}
	}
}

// waitOf returns how long a poll waits for a change.
func (h *Hub) waitOf(request PollRequest) time.Duration {
	if h.Leading() || request.Relayed {
		return request.Wait
	}
	return guideWait
}

// now returns what there is to tell without a wait, and the channels that are closed when there may be more: that of changes, and found.
func (h *Hub) now(request PollRequest) (reply PollReply, changed, found <-chan struct{}) {
	reply, changed = h.changes(request)
	reply.Quarantine, found = h.found(request.Quarantine)
	return reply, changed, found
}

// found returns what is new in the table, and a channel that is closed when there may be more; nil if there is no table.
func (h *Hub) found(known quarantine.Cursor) (quarantine.News, <-chan struct{}) {
	if h.Quarantine == nil {
		return quarantine.News{}, nil
	}
	news, changed := h.Quarantine.Since(known)
	if news.Cursor == known {
		return quarantine.News{}, changed
	}
	return news, changed
}

// changes returns what there is to tell now, and a channel that is closed when that may be more; nil if waiting for it is of no use.
func (h *Hub) changes(request PollRequest) (reply PollReply, changed <-chan struct{}) {
	leading, serves := h.Leading(), h.serves(request)
	reply.Candidates, reply.WorkerShare = h.guidance(leading)
	h.mu.Lock()
	defer h.mu.Unlock()
	if !serves {
		reply.Changes = h.leaseChange(request.Known)
		return reply, h.changed
	}
	reply.Revisions = make(map[string]metastore.Revision, len(request.Known))
	// One reading for all kinds: it takes two system calls, and hundreds of clients ask several times a second.
	now := boottime.Now()
	for kind, revision := range request.Known {
		relayed, ok := h.kinds[kind]
		if !ok || now.Sub(relayed.confirmed) > maxAge {
			unknown := PollReply{Changes: h.leaseChange(request.Known), Candidates: reply.Candidates}
			if leading {
				return unknown, nil
			}
			// The relay may just have begun.
			return unknown, h.changed
		}
		reply.Revisions[kind] = relayed.snapshot.Revision
		reply.Age = max(reply.Age, now.Sub(relayed.confirmed))
		if relayed.news(revision) {
			reply.Changes = append(reply.Changes, h.since(relayed, kind, revision))
		}
	}
	reply.Fresh = true
	return reply, h.changed
}

// guidance returns the candidates and the share of workers that callers are told: a relay hands on what it was told.
func (h *Hub) guidance(leading bool) (candidates []string, workerShare float64) {
	if !leading && h.relaying.on() {
		return h.relaying.guidance()
	}
	candidates = h.Candidates()
	if leading && h.WorkerShare != nil {
		workerShare = h.WorkerShare()
	}
	return candidates, workerShare
}

// leaseChange returns what the caller does not know of the lease; nil if nothing. The mutex must be held.
func (h *Hub) leaseChange(known map[string]metastore.Revision) []Change {
	revision, asked := known[h.Lease]
	relayed, ok := h.kinds[h.Lease]
	if !asked || !ok || !relayed.news(revision) {
		return nil
	}
	return []Change{h.since(relayed, h.Lease, revision)}
}
