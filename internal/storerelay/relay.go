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
	// relayIdleTimeout is how long a relay runs after the last request to relay.
	relayIdleTimeout = 10 * time.Second
	// relayCheckInterval is how often a relay checks whether it is still needed.
	relayCheckInterval = 500 * time.Millisecond
	// servedReportInterval limits how often a relay reports the processes that it answers, which would otherwise dominate the size of its
	// polls.
	servedReportInterval = 2 * time.Second
)

// relayState is the state of a hub that may answer on behalf of the coordinator. It is safe for concurrent use.
type relayState struct {
	mu sync.Mutex
	// running is set while a Relay keeps the hub up to date.
	running     bool
	requestedAt time.Time
	// requested wakes the Relay.
	requested chan struct{}
	// candidates and workerShare were last received from the coordinator.
	candidates  []string
	workerShare float64
}

// active reports whether the hub answers on behalf of the coordinator.
func (r *relayState) active() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.running
}

// request records a request to relay, and wakes the Relay.
func (r *relayState) request(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requestedAt = now
	select {
	case r.requestChannel() <- struct{}{}:
	default:
	}
}

// requestChannel returns the channel that signals requests. The mutex must be held.
func (r *relayState) requestChannel() chan struct{} {
	if r.requested == nil {
		r.requested = make(chan struct{}, 1)
	}
	return r.requested
}

// requests returns the channel that signals requests.
func (r *relayState) requests() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.requestChannel()
}

func (r *relayState) setRunning(running bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running = running
}

// idle reports whether the last request is older than relayIdleTimeout.
func (r *relayState) idle(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Sub(r.requestedAt) > relayIdleTimeout
}

// applyReply stores the candidates and the worker share of the coordinator's reply.
func (r *relayState) applyReply(reply PollReply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(reply.Candidates) > 0 {
		r.candidates = reply.Candidates
	}
	r.workerShare = reply.WorkerShare
}

func (r *relayState) guidance() (candidates []string, workerShare float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.candidates, r.workerShare
}

// RelayParams configures a Relay.
type RelayParams struct {
	Hub *Hub
	// Direct returns followers of the store, used while the coordinator does not answer.
	Direct func() *metastore.Followers
	// Client configures the client that polls the coordinator; Relay sets Direct, Relay, OnConfirmed, OnFreshReply and ServedProcesses.
	Client ClientParams
	// Kinds are the kinds that callers request.
	Kinds  []string
	Logger log.Logger
	// Now is boottime.Now, except in tests.
	Now func() time.Time
}

// Relay keeps the hub of a process that is not the coordinator in step with the coordinator's hub while processes poll it. It never polls
// another relay, so that two relays cannot confirm each other's stale data.
type Relay struct{ RelayParams }

// NewRelay returns a Relay. It relays once Run is called.
func NewRelay(params RelayParams) *Relay { return &Relay{RelayParams: params} }

// Run relays on request until ctx ends.
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

// serve relays until requests cease, this process becomes the coordinator, or ctx ends.
func (r *Relay) serve(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	client := r.newClient()
	level.Info(r.Logger).Log("msg", "store relay started")
	r.Hub.relaying.setRunning(true)
	running.Go(func() { client.Run(ctx) })
	for _, kind := range r.Kinds {
		running.Go(func() { client.Follow(ctx, kind, metastore.FollowOptions{Changed: func(metastore.Snapshot) {}}) })
	}
	for ctx.Err() == nil && !r.Hub.Leading() && !r.Hub.relaying.idle(r.Now()) {
		pause.For(ctx, relayCheckInterval)
	}
	r.Hub.relaying.setRunning(false)
	cancel()
	running.Wait()
	level.Info(r.Logger).Log("msg", "store relay stopped", "coordinates", r.Hub.Leading())
}

func (r *Relay) newClient() *Client {
	params := r.Client
	params.Direct = r.Direct()
	params.Relay = true
	params.OnConfirmed = r.Hub.confirmAt
	params.OnFreshReply = r.Hub.relaying.applyReply
	params.ServedProcesses = func() []ServedProcess { return r.Hub.pollers.servedProcesses(r.Now()) }
	return NewClient(params)
}
