package storerelay

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/covelink/covelink/internal/boottime"
	"github.com/covelink/covelink/internal/metastore"
	"github.com/covelink/covelink/internal/quarantine"
)

// ClientParams are what a Client works with.
type ClientParams struct {
	// Direct follows the store.
	Direct *metastore.Followers
	// Poll asks the hub of the process at an address.
	Poll func(ctx context.Context, address string, request PollRequest) (PollReply, error)
	// Coordinator returns the internal address of the coordinating process, or "".
	Coordinator func() string
	// Seeds are internal addresses of processes that may coordinate, known from the start. They may be out of date.
	Seeds []string
	// Quarantine takes in what hubs know of requests under which engines have ended; nil for nobody.
	Quarantine *quarantine.Table
	// Lease is the kind that tells who coordinates. A client that knows nobody to ask follows it in the store at once.
	Lease string
	// Patience is how long the client waits for a hub to answer again before it follows the store itself; zero means DefaultPatience.
	Patience time.Duration
	// Name is the process's, by which it chooses its relay.
	Name string
	// Relay is true if the client is that of a relay, and asks nobody but the coordinating process.
	Relay bool
	// Confirmed is told of each kind as it was known to be at a moment of boottime, Learned of each answer of the coordinating process, and Served
	// returns the processes to tell it of. They are for relays; nil for nobody.
	Confirmed func(kind string, snapshot metastore.Snapshot, at time.Time)
	Learned   func(reply PollReply)
	Served    func() []ServedProcess
	Logger    log.Logger
}

// Client keeps copies of kinds of the store's objects, from the coordinating process where that answers. It implements
// metastore.Follower.
type Client struct {
	ClientParams

	mu    sync.Mutex
	kinds map[string]*subscription
	// relayed is true while a hub answers.
	relayed bool
	// switched is closed when relayed changes.
	switched chan struct{}
	// lostAt is when relayed last became false, or the client was made.
	lostAt time.Time
	// servedAt is when the store began to show the lease to this client; zero while it does not.
	servedAt time.Time
	// confirmed is up to when each kind is known to be as the store holds it.
	confirmed map[string]time.Time
	// crowded is when a hub last said that the fleet is large; zero for never.
	crowded time.Time
	// workerShare is the share of the gateways that are to run batch items, as a hub told it last; zero means all.
	workerShare float64
	// guided is true once a hub that is up to date has told it.
	guided bool
	// quarantined is up to where the last hub's table is known. It belongs to Run.
	quarantined quarantine.Cursor
}

var _ metastore.Follower = (*Client)(nil)

// NewClient returns a Client. Run makes it poll.
func NewClient(params ClientParams) *Client {
	if params.Patience == 0 {
		params.Patience = DefaultPatience
	}
	c := &Client{ClientParams: params, kinds: make(map[string]*subscription), switched: make(chan struct{}), lostAt: time.Now()}
	c.confirmed = make(map[string]time.Time)
	params.Direct.Confirmed = func(kind string, snapshot metastore.Snapshot) {
		c.noteServed(kind, true)
		c.noteConfirmed(kind, snapshot, boottime.Now())
	}
	params.Direct.Doubted = func(kind string) { c.noteServed(kind, false) }
	params.Direct.MaxWait = c.maxWatchWait
	return c
}

// Follow implements metastore.Follower. A kind may be followed once.
func (c *Client) Follow(ctx context.Context, kind string, options metastore.FollowOptions) {
	followed := newSubscription(options.Changed)
	options.Changed = followed.take
	c.mu.Lock()
	c.kinds[kind] = followed
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.kinds, kind)
	}()
	for ctx.Err() == nil {
		relayed, switched := c.mode()
		if relayed {
			waitFor(ctx, switched)
			continue
		}
		if c.hubReturns(ctx, kind, followed, switched) {
			continue
		}
		options.From = followed.current()
		c.followDirectly(ctx, kind, options, switched)
	}
}

// patience returns how long a kind waits for a hub.
func (c *Client) patience(kind string, followed *subscription) time.Duration {
	switch {
	case followed.known():
		return c.Patience
	case kind == c.Lease && len(c.Seeds) == 0:
		return 0
	}
	return startPatience + rand.N(startJitter)
}

// crowdedLately reports whether a hub has lately said that the fleet is large. The mutex must be held.
func (c *Client) crowdedLately() bool {
	return !c.crowded.IsZero() && time.Since(c.crowded) < crowdedPatience
}

// learnGuidance takes in what a reply tells beside objects.
func (c *Client) learnGuidance(reply PollReply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if reply.Crowded {
		c.crowded = time.Now()
	}
	if reply.Fresh {
		c.workerShare, c.guided = reply.WorkerShare, true
	}
}

// WorkerShare returns the share of the gateways that are to run batch items, from 0 to 1; zero means all. known is false until a hub has told it.
func (c *Client) WorkerShare() (share float64, known bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.workerShare, c.guided
}

// hubReturns waits for a hub to answer. It returns false once a kind is to be followed in the store.
func (c *Client) hubReturns(ctx context.Context, kind string, followed *subscription, switched <-chan struct{}) bool {
	patience := c.patience(kind, followed)
	ticker := time.NewTicker(patienceCheck)
	defer ticker.Stop()
	for !c.overdue(kind, followed.known(), patience) {
		select {
		case <-switched:
			return true
		case <-ctx.Done():
			return true
		case <-ticker.C:
		}
	}
	return false
}

// overdue reports whether a hub should have answered by now, and the store is known to serve this client or not asked yet.
func (c *Client) overdue(kind string, known bool, patience time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !known && c.crowdedLately() {
		patience = max(patience, crowdedPatience)
	}
	if time.Since(c.lostAt) < patience {
		return false
	}
	if _, leaseFollowed := c.kinds[c.Lease]; kind == c.Lease || !leaseFollowed {
		return true
	}
	if c.servedAt.IsZero() {
		return false
	}
	return known || time.Since(c.servedAt) >= leaseHeadStart
}

// ConfirmedAt returns up to when, by boottime, a kind is known to be as the store holds it; zero if it never was.
func (c *Client) ConfirmedAt(kind string) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.confirmed[kind]
}

func (c *Client) noteConfirmed(kind string, snapshot metastore.Snapshot, at time.Time) {
	if c.Confirmed != nil {
		c.Confirmed(kind, snapshot, at)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if at.After(c.confirmed[kind]) {
		c.confirmed[kind] = at
	}
}

// maxWatchWait bounds the waits of watches until the first is answered: only then is it known that the store serves this client.
func (c *Client) maxWatchWait(string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.servedAt.IsZero() {
		return probeWait
	}
	return 0
}

// noteServed notes whether the store shows a kind to this client.
func (c *Client) noteServed(kind string, served bool) {
	if kind != c.Lease {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !served:
		c.servedAt = time.Time{}
	case c.servedAt.IsZero():
		c.servedAt = time.Now()
	}
}

// followDirectly follows a kind in the store until a hub answers or ctx ends.
func (c *Client) followDirectly(ctx context.Context, kind string, options metastore.FollowOptions, switched <-chan struct{}) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	level.Info(c.Logger).Log("msg", "kind followed in the store", "kind", kind, "revision", options.From.Revision)
	go func() {
		waitFor(ctx, switched)
		cancel()
	}()
	options.RetryPause = directRetryPause
	c.Direct.Follow(ctx, kind, options)
}

func waitFor(ctx context.Context, happened <-chan struct{}) {
	select {
	case <-happened:
	case <-ctx.Done():
	}
}

func (c *Client) mode() (relayed bool, switched <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.relayed, c.switched
}

// setRelayed notes whether a hub answers.
func (c *Client) setRelayed(relayed bool, address string, cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.relayed == relayed {
		return
	}
	c.relayed = relayed
	if !relayed {
		c.lostAt, c.servedAt = time.Now(), time.Time{}
	}
	close(c.switched)
	c.switched = make(chan struct{})
	message := "coordinator relays the store"
	if !relayed {
		message = "coordinator does not relay the store"
	}
	level.Info(c.Logger).Log("msg", message, "coordinator", address, "err", cause)
}
