package storerelay

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/covelink/covelink/internal/metastore"
	"github.com/covelink/covelink/internal/pause"
)

const (
	// relayIdle is how long a relay goes on following the coordinating process after it was last asked: longer than the pauses between two polls of a
	// process that asks it.
	relayIdle = 10 * time.Second
	// relayCheck is the pause between two looks at whether a relay is still asked.
	relayCheck = 500 * time.Millisecond
	// servedInterval is the pause between two polls with which a relay tells whom it answers: the list is for operators and for the count of
	// processes, and would be most of what relays send if each poll had it.
	servedInterval = 2 * time.Second
)

// relaying is the state of a hub that answers for the coordinating process. It is safe for concurrent use.
type relaying struct {
	mu sync.Mutex
	// running is true while a Relay keeps the hub up to date.
	running bool
	askedAt time.Time
	// asked tells the Relay of the first request.
	asked chan struct{}
	// candidates and workerShare are those that the coordinating process told last.
	candidates  []string
	workerShare float64
}

// on reports whether the hub answers for the coordinating process.
func (r *relaying) on() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.running
}

// ask notes a request to answer for the coordinating process.
func (r *relaying) ask(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.askedAt = now
	select {
	case r.signal() <- struct{}{}:
	default:
	}
}

// signal returns the channel that tells of requests. The mutex must be held.
func (r *relaying) signal() chan struct{} {
	if r.asked == nil {
		r.asked = make(chan struct{}, 1)
	}
	return r.asked
}

// requests returns the channel that tells of requests.
func (r *relaying) requests() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.signal()
}

func (r *relaying) set(running bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running = running
}

// idle reports whether nobody has asked for relayIdle.
func (r *relaying) idle(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Sub(r.askedAt) > relayIdle
}

// learn takes in what the coordinating process tells its callers beside the objects.
func (r *relaying) learn(reply PollReply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(reply.Candidates) > 0 {
		r.candidates = reply.Candidates
	}
	r.workerShare = reply.WorkerShare
}

func (r *relaying) guidance() (candidates []string, workerShare float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.candidates, r.workerShare
}

// RelayParams are what a Relay works with.
type RelayParams struct {
	Hub *Hub
	// Direct returns what follows the store, for the time when the coordinating process does not answer.
	Direct func() *metastore.Followers
	// Client are the parameters of the client that polls the coordinating process; Relay sets Direct, Relay and the functions that hand on.
	Client ClientParams
	// Kinds are those that callers ask for.
	Kinds  []string
	Logger log.Logger
	// Now reads boottime.
	Now func() time.Time
}

// Relay keeps the hub of a process that does not coordinate as the coordinating process's hub is, while processes ask for it. It never asks another
// relay, so that two of them cannot confirm each other.
type Relay struct{ RelayParams }

// NewRelay returns a Relay. Run starts it.
func NewRelay(params RelayParams) *Relay { return &Relay{RelayParams: params} }

// Run relays whenever it is asked to, until ctx ends.
func (r *Relay) Run(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-r.Hub.relaying.requests():
		case <-ctx.Done():
			return
		}
		if !r.Hub.Leading() {
			r.serve(ctx)
		}
	}
}

// serve relays until nobody asks any more or the process coordinates.
func (r *Relay) serve(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	client := r.newClient()
	level.Info(r.Logger).Log("msg", "relaying began")
	r.Hub.relaying.set(true)
	running.Go(func() { client.Run(ctx) })
	for _, kind := range r.Kinds {
		running.Go(func() { client.Follow(ctx, kind, metastore.FollowOptions{Changed: func(metastore.Snapshot) {}}) })
	}
	for ctx.Err() == nil && !r.Hub.Leading() && !r.Hub.relaying.idle(r.Now()) {
		pause.For(ctx, relayCheck)
	}
	r.Hub.relaying.set(false)
	cancel()
	running.Wait()
	level.Info(r.Logger).Log("msg", "relaying ended", "coordinates", r.Hub.Leading())
}

func (r *Relay) newClient() *Client {
	params := r.Client
	params.Direct = r.Direct()
	params.Relay = true
	params.Confirmed = r.Hub.confirmAt
	params.Learned = r.Hub.relaying.learn
	params.Served = func() []ServedProcess { return r.Hub.pollers.served(r.Now()) }
	return NewClient(params)
}
