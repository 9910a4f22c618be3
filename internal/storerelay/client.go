package storerelay

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/covelink/covelink/internal/metastore"
	"github.com/covelink/covelink/internal/pause"
)

// ClientParams are what a Client works with.
type ClientParams struct {
	// Direct follows the store.
	Direct *metastore.Followers
	// Poll asks the hub of the process at an address.
	Poll func(ctx context.Context, address string, request PollRequest) (PollReply, error)
	// Coordinator returns the internal address of the coordinating process, or "".
	Coordinator func() string
	// Urgent is the kind that tells where the coordinating process is: it is followed in the store at once when no hub answers.
	Urgent string
	Logger log.Logger
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
}

var _ metastore.Follower = (*Client)(nil)

// NewClient returns a Client. Run makes it poll.
func NewClient(params ClientParams) *Client {
	return &Client{ClientParams: params, kinds: make(map[string]*subscription), switched: make(chan struct{})}
}

// subscription is a kind that is followed.
type subscription struct {
	changed func(metastore.Snapshot)
	// listed is closed once the kind is known.
	listed chan struct{}

	mu       sync.Mutex
	snapshot metastore.Snapshot
}

func newSubscription(changed func(metastore.Snapshot)) *subscription {
	return &subscription{changed: changed, listed: make(chan struct{})}
}

// take hands on a snapshot, unless it is older than the last one.
func (s *subscription) take(snapshot metastore.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if snapshot.Revision < s.snapshot.Revision {
		return
	}
	if !s.known() {
		close(s.listed)
	}
	s.snapshot = snapshot
	s.changed(snapshot)
}

// known reports whether the kind is known.
func (s *subscription) known() bool {
	select {
	case <-s.listed:
		return true
	default:
		return false
	}
}

// apply takes in a change that a hub told.
func (s *subscription) apply(change Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if change.Revision < s.snapshot.Revision {
		return
	}
	objects := make(map[string]metastore.Object, len(change.Objects))
	if !change.Whole {
		objects = maps.Clone(s.snapshot.Objects)
	}
	for _, object := range change.Objects {
		objects[object.Name] = object
	}
	for _, name := range change.Removed {
		delete(objects, name)
	}
	s.snapshot = metastore.Snapshot{Objects: objects, Revision: change.Revision}
	s.changed(s.snapshot)
}

// advance notes that nothing has changed up to a revision, so that the store need not keep the history since an older one.
func (s *subscription) advance(revision metastore.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshot.Revision = max(s.snapshot.Revision, revision)
}

func (s *subscription) current() metastore.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.snapshot
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
		// The store shows what a client does not know yet: hundreds that start at the same moment would ask the hub for all there is.
		unknown := !followed.known()
		if relayed && !unknown {
			waitFor(ctx, switched)
			continue
		}
		until := switched
		if relayed {
			until = followed.listed
		}
		direct, cancel := context.WithCancel(ctx)
		stop := make(chan struct{})
		go func() {
			defer close(stop)
			waitFor(direct, until)
			cancel()
		}()
		if kind != c.Urgent && !unknown {
			pause.For(direct, directDelay)
		}
		options.From = followed.current()
		c.Direct.Follow(direct, kind, options)
		cancel()
		<-stop
	}
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
	close(c.switched)
	c.switched = make(chan struct{})
	message := "store followed through the coordinator"
	if !relayed {
		message = "store followed directly"
	}
	level.Info(c.Logger).Log("msg", message, "coordinator", address, "err", cause)
}

// Run polls the coordinating process until ctx ends.
func (c *Client) Run(ctx context.Context) {
	for ctx.Err() == nil {
		address := c.Coordinator()
		reply, err := PollReply{}, error(nil)
		if address != "" {
			reply, err = c.poll(ctx, address)
		}
		if ctx.Err() != nil {
			return
		}
		if !reply.Fresh {
			c.setRelayed(false, address, err)
			pause.For(ctx, retryPause)
			continue
		}
		c.apply(reply)
		c.setRelayed(true, address, nil)
	}
}

func (c *Client) poll(ctx context.Context, address string) (PollReply, error) {
	ctx, cancel := context.WithTimeout(ctx, pollWait+pollMargin)
	defer cancel()
	request := PollRequest{Known: c.known(), Wait: pollWait}
	if relayed, _ := c.mode(); !relayed {
		// The first poll only asks whether the hub is of use.
		request.Wait = time.Millisecond
	}
	return c.Poll(ctx, address, request)
}

// known returns up to which revision each kind is known, of those that are.
func (c *Client) known() map[string]metastore.Revision {
	known := make(map[string]metastore.Revision)
	for kind, followed := range c.subscriptions() {
		if followed.known() {
			known[kind] = followed.current().Revision
		}
	}
	return known
}

func (c *Client) apply(reply PollReply) {
	kinds := c.subscriptions()
	for _, change := range reply.Changes {
		if followed, ok := kinds[change.Kind]; ok {
			followed.apply(change)
		}
	}
	for kind, revision := range reply.Revisions {
		if followed, ok := kinds[kind]; ok {
			followed.advance(revision)
		}
	}
}

func (c *Client) subscriptions() map[string]*subscription {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.kinds)
}
