// Package membership keeps a node's list of the other nodes: it runs the member table of coord/membership over rpc.
//
// Every node of the own zone is listed, and a few nodes of each other zone, as that zone last told. A node that has announced
// its stop, or that has failed its probes and not refuted in time, is not.
package membership

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/covelink/covelink/coord/membership"
	"github.com/covelink/covelink/internal/cluster"
	"github.com/covelink/covelink/internal/rpc"
	"github.com/covelink/covelink/internal/settings"
	"github.com/covelink/covelink/internal/telemetry"
)

// callIntervals is how many probe intervals a message may take; an answer that comes later would not be of use.
const callIntervals = 5

// maxCalls bounds the messages on their way at once; more are dropped, as if lost.
const maxCalls = 64

// metaDisk marks nodes that keep a data folder.
const metaDisk = "disk"

// Params are what a Manager needs.
type Params struct {
	Self cluster.Node
	// Seeds are the nodes to join through. They are listed until they fail their probes.
	Seeds      []cluster.Node
	Client     *rpc.Client
	Timing     settings.Timing
	Logger     log.Logger
	Registerer prometheus.Registerer
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Rand chooses whom to probe; nil means a source seeded at random.
	Rand *rand.Rand
}

// Manager is a node's part in the membership.
type Manager struct {
	params  Params
	logger  log.Logger
	metrics *metrics
	// wake starts Run's loop anew; changed tells it that the list may have changed.
	wake    chan struct{}
	changed chan struct{}
	slots   chan struct{}
	// lifetime ends with Run, and with it every call.
	lifetime context.Context
	end      context.CancelFunc
	calls    sync.WaitGroup

	mu        sync.Mutex
	node      *membership.Node
	ended     bool // no more calls
	listeners []func([]cluster.Node)
}

// New returns a Manager that knows its seeds and does nothing until Run.
func New(params Params) *Manager {
	if params.Now == nil {
		params.Now = time.Now
	}
	if params.Rand == nil {
		params.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	contacts := make([]membership.Member, 0, len(params.Seeds))
	for _, seed := range params.Seeds {
		contacts = append(contacts, memberOf(seed))
	}
	now := params.Now()
	config := membership.Config{ProbeInterval: params.Timing.ProbeInterval}
	m := &Manager{
		params:  params,
		logger:  telemetry.For(params.Logger, telemetry.PartMembership),
		wake:    make(chan struct{}, 1),
		changed: make(chan struct{}, 1),
		slots:   make(chan struct{}, maxCalls),
		node:    membership.New(config, memberOf(params.Self), uint64(now.Unix()), contacts, params.Rand, now),
	}
	m.lifetime, m.end = context.WithCancel(context.Background())
	m.metrics = newMetrics(params.Registerer, m)
	return m
}

// Register makes the server answer the messages of other nodes. It must be called before the server serves.
func (m *Manager) Register(server *rpc.Server) { rpc.Handle(server, m.serve) }

// OnChange makes listener be called with the list whenever it has changed, and once as Run starts. Calls don't overlap.
// It must be called before Run.
func (m *Manager) OnChange(listener func([]cluster.Node)) {
	m.listeners = append(m.listeners, listener)
}

// Members returns the live nodes in the order of their names, this one included.
func (m *Manager) Members() []cluster.Node {
	m.mu.Lock()
	defer m.mu.Unlock()
	var nodes []cluster.Node
	for _, member := range m.node.Live() {
		nodes = append(nodes, nodeOf(member))
	}
	if m.node.Self().State == membership.Leaving {
		nodes = append(nodes, m.params.Self)
		slices.SortFunc(nodes, compareNodes)
	}
	return nodes
}

// Run probes and spreads news until ctx ends. It must be called once.
func (m *Manager) Run(ctx context.Context) {
	defer m.endCalls()
	var notifying sync.WaitGroup
	defer notifying.Wait()
	notifying.Go(func() { m.notifyListeners(ctx) })
	notify(m.changed)
	for ctx.Err() == nil {
		timer := time.NewTimer(m.tick())
		select {
		case <-timer.C:
		case <-m.wake:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// endCalls lets no more calls begin and waits for those under way, which it cuts.
func (m *Manager) endCalls() {
	m.mu.Lock()
	m.ended = true
	m.mu.Unlock()
	m.end()
	m.calls.Wait()
}

// SetLeaving states which nodes another witness, such as the machine list, holds to be leaving. It may lag, so by itself it
// changes nothing; a node of which it is true is no longer listed as soon as it fails its probes.
func (m *Manager) SetLeaving(names []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.node.SetLeaving(m.params.Now(), names)
}

// Leave tells the other nodes that this one is about to stop, and returns once a few have heard it or ctx ends. The node
// goes on to answer while Run runs. It lists itself to the end.
func (m *Manager) Leave(ctx context.Context) {
	m.mu.Lock()
	messages := m.node.Leave(m.params.Now())
	m.mu.Unlock()
	notify(m.wake)
	level.Info(m.logger).Log("msg", "leaving")
	var told sync.WaitGroup
	for _, message := range messages {
		told.Go(func() { m.call(ctx, message) })
	}
	told.Wait()
}

// tick does what is due and returns the time to the next tick.
func (m *Manager) tick() time.Duration {
	now := m.params.Now()
	m.mu.Lock()
	version := m.node.Version()
	messages := m.node.Tick(now)
	next := m.node.NextWake()
	changed := m.node.Version() != version
	m.mu.Unlock()
	m.after(changed, messages)
	return next.Sub(m.params.Now())
}

// step takes in a message and returns what to answer its sender with. The rest is sent.
func (m *Manager) step(from string, message membership.Message) membership.Message {
	now := m.params.Now()
	m.mu.Lock()
	version := m.node.Version()
	messages := m.node.Step(now, from, message)
	changed := m.node.Version() != version
	m.mu.Unlock()
	var answer membership.Message
	at := slices.IndexFunc(messages, func(out membership.Outgoing) bool { return out.To == from })
	if at >= 0 {
		answer = messages[at].Message
		messages = slices.Delete(messages, at, at+1)
	}
	m.after(changed, messages)
	notify(m.wake)
	return answer
}

func (m *Manager) after(changed bool, messages []membership.Outgoing) {
	if changed {
		notify(m.changed)
	}
	for _, message := range messages {
		m.send(message)
	}
}

// notifyListeners passes the list on whenever it may have changed.
func (m *Manager) notifyListeners(ctx context.Context) {
	var last []cluster.Node
	for {
		select {
		case <-m.changed:
		case <-ctx.Done():
			return
		}
		members := m.Members()
		if slices.Equal(members, last) {
			continue
		}
		m.logChanges(last, members)
		last = members
		for _, listener := range m.listeners {
			listener(slices.Clone(members))
		}
	}
}

func (m *Manager) logChanges(before, after []cluster.Node) {
	for _, node := range after {
		if !slices.Contains(before, node) {
			level.Info(m.logger).Log("msg", "node listed", "node", node.Name, "zone", node.Zone, "address", node.Address)
		}
	}
	for _, node := range before {
		if !slices.Contains(after, node) {
			level.Info(m.logger).Log("msg", "node no longer listed", "node", node.Name, "zone", node.Zone, "address", node.Address)
		}
	}
	m.metrics.changes.Inc()
}

func memberOf(node cluster.Node) membership.Member {
	member := membership.Member{Name: node.Name, Zone: node.Zone, Address: node.Address}
	if node.HasDisk {
		member.Meta = metaDisk
	}
	return member
}

func nodeOf(member membership.Member) cluster.Node {
	return cluster.Node{
		Name:    member.Name,
		Zone:    member.Zone,
		Address: member.Address,
		HasDisk: member.Meta == metaDisk,
	}
}

func notify(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}
