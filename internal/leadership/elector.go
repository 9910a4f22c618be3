package leadership

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/covelink/covelink/coord/lease"
	"github.com/covelink/covelink/internal/boottime"
	"github.com/covelink/covelink/internal/cluster"
	"github.com/covelink/covelink/internal/rpc"
	"github.com/covelink/covelink/internal/settings"
	"github.com/covelink/covelink/internal/telemetry"
)

// Params configures a LeaseElector.
type Params struct {
	Self cluster.Node
	// Seeds are the configured nodes. The voters of a lease are the seeds of its zones, so all nodes must be configured with
	// the same seeds for these zones; voters refuse candidates with a different voter set.
	Seeds []cluster.Node
	// Nodes returns the live nodes, among which candidates are ranked; nil means the seeds.
	Nodes func() []cluster.Node
	// Electorate returns the zones of a lease. Holder needs it for leases that this node does not campaign for.
	Electorate Electorate
	Client     *rpc.Client
	Timing     settings.Timing
	Logger     log.Logger
	Registerer prometheus.Registerer
	// Now defaults to boottime.Now, Rand to a randomly seeded source.
	Now  func() time.Time
	Rand *rand.Rand
}

// LeaseElector is an Elector based on majority leases. All leases of one set of zones share a voter set.
type LeaseElector struct {
	params      Params
	logger      log.Logger
	metrics     *metrics
	started     time.Time
	incarnation uint64
	wake        chan struct{}
	sends       sync.WaitGroup // incremented only while not closed

	mu       sync.Mutex
	closed   bool
	groups   map[string]*group
	peers    map[string]cluster.Node
	inFlight map[string]int
	hints    map[string]*hint
	// headers caches the message headers received from other nodes.
	headers headerCache
}

var (
	_ Elector        = (*LeaseElector)(nil)
	_ HolderObserver = (*LeaseElector)(nil)
)

// New returns an elector. It votes while the server passed to Register is serving, and campaigns while Run is running.
func New(params Params) *LeaseElector {
	if params.Now == nil {
		params.Now = boottime.Now
	}
	if params.Rand == nil {
		params.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	e := &LeaseElector{
		params:      params,
		logger:      telemetry.For(params.Logger, telemetry.PartLease),
		metrics:     newMetrics(params.Registerer),
		started:     params.Now(),
		incarnation: params.Rand.Uint64(),
		wake:        make(chan struct{}, 1),
		groups:      make(map[string]*group),
		peers:       make(map[string]cluster.Node),
		inFlight:    make(map[string]int),
		hints:       make(map[string]*hint),

		headers: make(headerCache),
	}
	for _, seed := range params.Seeds {
		e.peers[seed.Name] = seed
	}
	e.peers[params.Self.Name] = params.Self
	return e
}

// Register registers the handler for messages of other electors. It must be called before the server starts serving.
func (e *LeaseElector) Register(server *rpc.Server) {
	rpc.Handle(server, e.exchange)
}

// Run renews leases and ends lapsed terms until ctx ends. It then ends the remaining terms and stops sending messages.
// Callers should end all campaigns before ctx, so that their leases are released.
func (e *LeaseElector) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		timer := time.NewTimer(e.tick())
		select {
		case <-timer.C:
		case <-e.wake:
		case <-ctx.Done():
		}
		timer.Stop()
	}
	e.close()
	return ctx.Err()
}

// tick performs the due actions of all candidates and returns the time until the next one.
func (e *LeaseElector) tick() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	next := e.params.Timing.LeaseLength
	for _, g := range e.groups {
		e.deliver(g, now, g.candidate.Tick(now))
		if wake, ok := g.candidate.NextWake(); ok {
			next = min(next, wake-now.Monotonic)
		}
	}
	return max(next, 0)
}

func (e *LeaseElector) wakeUp() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

func (e *LeaseElector) close() {
	e.mu.Lock()
	e.closed = true
	for _, g := range e.groups {
		for _, c := range g.campaigns {
			c.endTerm()
		}
	}
	e.mu.Unlock()
	e.sends.Wait()
}

// now returns the current time by the monotonic and the wall clock.
func (e *LeaseElector) now() lease.Instant {
	now := e.params.Now()
	return lease.Instant{Monotonic: now.Sub(e.started), Wall: boottime.Wall(now)}
}

// ObserveToken reports a fencing token that a guard has seen for the name. A term of this node with a lower token ends, and
// the next term gets a higher one.
func (e *LeaseElector) ObserveToken(name string, seen uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	for _, g := range e.groups {
		if _, ok := g.campaigns[name]; ok {
			e.deliver(g, now, g.candidate.ObserveToken(name, lease.Token(seen)))
		}
	}
}

// config returns the lease configuration of this node.
func (e *LeaseElector) config() lease.Config {
	return lease.Config{
		Name:        e.params.Self.Name,
		Incarnation: e.incarnation,
		Length:      e.params.Timing.LeaseLength,
		Rand:        e.params.Rand,
	}
}

// mustBeValid panics on an error. Settings are validated earlier, so an error here is a bug.
func mustBeValid(err error) {
	if err != nil {
		panic(fmt.Sprintf("leadership: %s", err))
	}
}
