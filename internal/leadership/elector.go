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

// Params are what a LeaseElector is made of.
type Params struct {
	Self cluster.Node
	// Seeds are the nodes of the settings. The voters of a lease are the seeds of its zones, so all nodes must be set up
	// with the same seeds of these zones; voters refuse candidates that know other ones.
	Seeds []cluster.Node
	// Nodes returns the live nodes, among which candidates are ranked; nil means the seeds.
	Nodes func() []cluster.Node
	// Electorate returns the zones of a lease that this node has no part in, for Holder.
	Electorate Electorate
	Client     *rpc.Client
	Timing     settings.Timing
	Logger     log.Logger
	Registerer prometheus.Registerer
	// Now defaults to boottime.Now, Rand to a randomly seeded source. Tests replace them.
	Now  func() time.Time
	Rand *rand.Rand
}

// LeaseElector is an Elector over majority leases: any number of leases, one voter set for each set of zones.
type LeaseElector struct {
	params      Params
	logger      log.Logger
	metrics     *metrics
	started     time.Time
	incarnation uint64
	wake        chan struct{}
	sends       sync.WaitGroup // grows only while not closed

	mu       sync.Mutex
	closed   bool
	groups   map[string]*group
	peers    map[string]cluster.Node
	inFlight map[string]int
	hints    map[string]*hint
	// introductions are what other nodes' messages have in common.
	introductions introductions
}

var (
	_ Elector = (*LeaseElector)(nil)
	_ Witness = (*LeaseElector)(nil)
)

// New returns an elector that votes once Register's server serves and campaigns while Run runs.
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

		introductions: make(introductions),
	}
	for _, seed := range params.Seeds {
		e.peers[seed.Name] = seed
	}
	e.peers[params.Self.Name] = params.Self
	return e
}

// Register makes the server answer the electors of other nodes. It must be called before the server serves.
func (e *LeaseElector) Register(server *rpc.Server) {
	rpc.Handle(server, e.exchange)
}

// Run renews leases and ends terms that lapse until ctx ends; then every term still led ends, and no message is sent any
// more. It should outlast the campaigns, so that they can release their leases.
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

// tick does what is due and returns how long nothing will be.
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
		for _, c := range g.contests {
			c.endTerm()
		}
	}
	e.mu.Unlock()
	e.sends.Wait()
}

// now reads both clocks.
func (e *LeaseElector) now() lease.Instant {
	now := e.params.Now()
	return lease.Instant{Monotonic: now.Sub(e.started), Wall: boottime.Wall(now)}
}

// ObserveToken tells that a guard has seen the token for the name. A term of this node below it ends, and the next one is
// above it.
func (e *LeaseElector) ObserveToken(name string, seen uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	for _, g := range e.groups {
		if _, ok := g.contests[name]; ok {
			e.deliver(g, now, g.candidate.ObserveToken(name, lease.Token(seen)))
		}
	}
}

// config is this node's part in a group.
func (e *LeaseElector) config() lease.Config {
	return lease.Config{
		Name:        e.params.Self.Name,
		Incarnation: e.incarnation,
		Length:      e.params.Timing.LeaseLength,
		Rand:        e.params.Rand,
	}
}

// mustBeValid panics on an error that only a broken invariant can cause: settings are checked before they come here.
func mustBeValid(err error) {
	if err != nil {
		panic(fmt.Sprintf("leadership: %s", err))
	}
}
