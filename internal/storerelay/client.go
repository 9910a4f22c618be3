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

// ClientParams configures a Client.
type ClientParams struct {
	// Direct follows the store while no hub answers.
	Direct *metastore.Followers
	// Poll polls the hub of the process at an address.
	Poll func(ctx context.Context, address string, request PollRequest) (PollReply, error)
	// Coordinator returns the coordinator's internal address, or "".
	Coordinator func() string
	// Seeds are the configured internal addresses of coordinator candidates. They may be out of date.
	Seeds []string
	// Quarantine is merged with the quarantine records of hubs; may be nil.
	Quarantine *quarantine.Table
	// Lease is the kind that holds the coordinator lease. A client without seeds reads it from the store immediately.
	Lease string
	// FailoverTimeout is how long the client waits for a hub after losing one before it follows the store directly; zero means
	// DefaultFailoverTimeout.
	FailoverTimeout time.Duration
	// MaxAge is the age from which a kind's copy is read in the store even if a hub answers; no entry for no bound. The age is that of
	// ConfirmedAt. The store is then read at intervals, since all clients may do so at once.
	MaxAge map[string]time.Duration
	// Name is the process name, from which the relay is selected.
	Name string
	// Relay is set for the client of a relay, which polls the coordinator only.
	Relay bool
	// OnConfirmed is called with each kind and the boottime at which it was known to be current, OnFreshReply with each fresh reply;
	// ServedProcesses returns the processes to report to the coordinator. They are set by relays; each may be nil.
	OnConfirmed     func(kind string, snapshot metastore.Snapshot, at time.Time)
	OnFreshReply    func(reply PollReply)
	ServedProcesses func() []ServedProcess
	Logger          log.Logger
}

// Client maintains copies of kinds of the store, from a hub while one answers and from the store otherwise. It implements metastore.Follower.
type Client struct {
	ClientParams

	mu    sync.Mutex
	kinds map[string]*subscription
	// relayed is set while a hub answers.
	relayed bool
	// modeChanged is closed when relayed changes.
	modeChanged chan struct{}
	// hubLostAt is when relayed was last reset, or when the client was created.
	hubLostAt time.Time
	// leaseObservedAt is since when the lease can be read from the store; zero while it cannot.
	leaseObservedAt time.Time
	// confirmedAt is the boottime as of which each kind is known to be current, and hubConfirmedAt that by the replies of hubs alone.
	confirmedAt, hubConfirmedAt map[string]time.Time
	// crowdedAt is when a hub last reported a large fleet; zero for never.
	crowdedAt time.Time
	// workerShare is the last received fraction of gateways that run batch items; zero means all.
	workerShare float64
	// workerShareKnown is set by the first fresh reply.
	workerShareKnown bool
	// quarantineCursor is the client's position in the quarantine table of the hub. Only Run uses it.
	quarantineCursor quarantine.Cursor
}

var _ metastore.Follower = (*Client)(nil)

// NewClient returns a Client. It polls once Run is called.
func NewClient(params ClientParams) *Client {
	if params.FailoverTimeout == 0 {
		params.FailoverTimeout = DefaultFailoverTimeout
	}
	c := &Client{ClientParams: params, kinds: make(map[string]*subscription), modeChanged: make(chan struct{}), hubLostAt: time.Now()}
	c.confirmedAt, c.hubConfirmedAt = make(map[string]time.Time), make(map[string]time.Time)
	params.Direct.Confirmed = func(kind string, snapshot metastore.Snapshot, at time.Time) {
		c.recordLeaseObserved(kind, true)
		c.recordConfirmed(kind, snapshot, at)
	}
	params.Direct.Doubted = func(kind string) { c.recordLeaseObserved(kind, false) }
	params.Direct.MaxWait = c.maxWatchWait
	return c
}

// Follow implements metastore.Follower. A kind can be followed once at a time.
func (c *Client) Follow(ctx context.Context, kind string, options metastore.FollowOptions) {
	sub := newSubscription(options.Changed)
	options.Changed = sub.update
	c.mu.Lock()
	c.kinds[kind] = sub
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.kinds, kind)
	}()
	for ctx.Err() == nil {
		relayed, modeChanged := c.mode()
		var direct bool
		if relayed {
			direct = c.waitForAge(ctx, kind, modeChanged)
		} else {
			direct = !c.waitForHub(ctx, kind, sub, modeChanged)
		}
		if !direct {
			continue
		}
		options.From = sub.current()
		c.followDirectly(ctx, kind, options, modeChanged)
	}
}

// tooOld reports whether the copy of a kind has reached its MaxAge.
func (c *Client) tooOld(kind string) bool {
	limit, bounded := c.MaxAge[kind]
	confirmedAt := c.ConfirmedAt(kind)
	return bounded && !confirmedAt.IsZero() && boottime.Since(confirmedAt) >= limit
}

// waitForAge waits while a hub answers. It returns true once the copy of the kind has reached its MaxAge, and false once no hub answers or ctx ends.
func (c *Client) waitForAge(ctx context.Context, kind string, modeChanged <-chan struct{}) bool {
	if _, bounded := c.MaxAge[kind]; !bounded {
		waitFor(ctx, modeChanged)
		return false
	}
	return c.waitUntil(ctx, modeChanged, func() bool { return c.tooOld(kind) })
}

// hubKeepsUp reports whether a hub answers and has lately confirmed a kind, so that it need not be followed in the store.
func (c *Client) hubKeepsUp(kind string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.relayed && boottime.Since(c.hubConfirmedAt[kind]) < c.MaxAge[kind]/2
}

// hubTimeout returns how long a kind waits for a hub before the store is followed directly.
func (c *Client) hubTimeout(kind string, sub *subscription) time.Duration {
	switch {
	case sub.known():
		return c.FailoverTimeout
	case kind == c.Lease && len(c.Seeds) == 0:
		return 0
	}
	return startupTimeout + rand.N(startupJitter)
}

// recentlyCrowded reports whether a hub has reported a large fleet within crowdedStartupTimeout. The mutex must be held.
func (c *Client) recentlyCrowded() bool {
	return !c.crowdedAt.IsZero() && time.Since(c.crowdedAt) < crowdedStartupTimeout
}

// applyGuidance applies the crowded flag and the worker share of a reply.
func (c *Client) applyGuidance(reply PollReply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if reply.Crowded {
		c.crowdedAt = time.Now()
	}
	if reply.Fresh {
		c.workerShare, c.workerShareKnown = reply.WorkerShare, true
	}
}

// WorkerShare returns the fraction of gateways that run batch items, from 0 to 1; zero means all. known is false until a fresh reply was
// received.
func (c *Client) WorkerShare() (share float64, known bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.workerShare, c.workerShareKnown
}

// waitForHub waits until a hub answers or ctx ends. It returns false if the kind must be followed in the store instead.
func (c *Client) waitForHub(ctx context.Context, kind string, sub *subscription, modeChanged <-chan struct{}) bool {
	timeout := c.hubTimeout(kind, sub)
	return !c.waitUntil(ctx, modeChanged, func() bool { return c.hubOverdue(kind, sub.known(), timeout) || c.tooOld(kind) })
}

// hubOverdue reports whether no hub has answered within the timeout. While the lease is followed, other kinds wait until it can be read from
// the store, so that a store that is down receives one call per client.
func (c *Client) hubOverdue(kind string, known bool, timeout time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !known && c.recentlyCrowded() {
		timeout = max(timeout, crowdedStartupTimeout)
	}
	if time.Since(c.hubLostAt) < timeout {
		return false
	}
	if _, leaseFollowed := c.kinds[c.Lease]; kind == c.Lease || !leaseFollowed {
		return true
	}
	if c.leaseObservedAt.IsZero() {
		return false
	}
	return known || time.Since(c.leaseObservedAt) >= leaseHeadStart
}

// ConfirmedAt returns the boottime as of which a kind is known to be current; zero if it never was.
func (c *Client) ConfirmedAt(kind string) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.confirmedAt[kind]
}

func (c *Client) recordConfirmed(kind string, snapshot metastore.Snapshot, at time.Time) {
	if c.OnConfirmed != nil {
		c.OnConfirmed(kind, snapshot, at)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if at.After(c.confirmedAt[kind]) {
		c.confirmedAt[kind] = at
	}
}

// maxWatchWait bounds the first watch, whose answer shows whether the store is reachable.
func (c *Client) maxWatchWait(string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leaseObservedAt.IsZero() {
		return firstWatchWait
	}
	return 0
}

// recordLeaseObserved records whether the lease can be read from the store.
func (c *Client) recordLeaseObserved(kind string, observed bool) {
	if kind != c.Lease {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !observed:
		c.leaseObservedAt = time.Time{}
	case c.leaseObservedAt.IsZero():
		c.leaseObservedAt = time.Now()
	}
}

// followDirectly follows a kind in the store until a hub answers or ctx ends.
func (c *Client) followDirectly(ctx context.Context, kind string, options metastore.FollowOptions, modeChanged <-chan struct{}) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	relayed, _ := c.mode()
	level.Info(c.Logger).Log("msg", "following kind directly in the store", "kind", kind, "revision", options.From.Revision, "hub_answers", relayed,
		"age", boottime.Since(c.ConfirmedAt(kind)).Round(time.Millisecond))
	go func() {
		defer cancel()
		if !relayed {
			waitFor(ctx, modeChanged)
			return
		}
		c.waitUntil(ctx, modeChanged, func() bool { return c.hubKeepsUp(kind) })
	}()
	options.RetryPause = directRetryPause
	if limit, bounded := c.MaxAge[kind]; bounded {
		options.Interval, options.Exact = time.Duration(directIntervalShare*float64(limit)), true
	}
	c.Direct.Follow(ctx, kind, options)
}

// waitUntil waits until a condition holds. It returns false if relayed changes or ctx ends before.
func (c *Client) waitUntil(ctx context.Context, modeChanged <-chan struct{}, holds func() bool) bool {
	ticker := time.NewTicker(failoverCheckInterval)
	defer ticker.Stop()
	for !holds() {
		select {
		case <-modeChanged:
			return false
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
	return true
}

func waitFor(ctx context.Context, done <-chan struct{}) {
	select {
	case <-done:
	case <-ctx.Done():
	}
}

func (c *Client) mode() (relayed bool, modeChanged <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.relayed, c.modeChanged
}

// setRelayed records whether a hub answers, and wakes the followers on a change.
func (c *Client) setRelayed(relayed bool, address string, cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.relayed == relayed {
		return
	}
	c.relayed = relayed
	if !relayed {
		c.hubLostAt, c.leaseObservedAt = time.Now(), time.Time{}
	}
	close(c.modeChanged)
	c.modeChanged = make(chan struct{})
	message := "coordinator relays the store"
	if !relayed {
		message = "coordinator does not relay the store"
	}
	level.Info(c.Logger).Log("msg", message, "coordinator", address, "err", cause)
}
