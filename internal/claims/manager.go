package claims

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/covelink/covelink/internal/cluster"
	"github.com/covelink/covelink/internal/gateway"
	"github.com/covelink/covelink/internal/rpc"
)

// The defaults of Params.
const (
	DefaultRetention      = 10 * time.Minute
	DefaultMaxEntries     = 1 << 18
	DefaultMaxAnswerBytes = 256 << 20
)

const (
	// claimWindow bounds how long a claim collects grants.
	claimWindow = 2 * time.Second
	// updateWindow bounds the delivery of one update or release, including retries in the background.
	updateWindow = 15 * time.Second
	// bootstrapInterval is the time between bootstrap attempts, and the timeout of each.
	bootstrapInterval = 250 * time.Millisecond
	// maintenanceInterval is the time between maintenance runs. It bounds how long a changed keeper set goes undetected.
	maintenanceInterval = time.Second
	// shutdownTimeout is how long close waits for background work before canceling it.
	shutdownTimeout = time.Second
	// renewalsPerRetention is the number of renewals of a running claim per retention time.
	renewalsPerRetention = 4
	// maxAnswerBytes bounds one stored answer; for a larger one only the outcome is kept.
	maxAnswerBytes = 4 << 20
)

// Params configures a Manager.
type Params struct {
	Self   cluster.Node
	Source cluster.Source
	Client *rpc.Client
	// Seeds must list the same nodes of a region on every node of that region.
	Seeds []cluster.Node
	// DataDir is the folder of the claims file; empty keeps claims in memory only.
	DataDir string
	// Retention is how long claims, outcomes and tombstones are kept. Zero means DefaultRetention.
	Retention time.Duration
	// MaxEntries and MaxAnswerBytes bound the claim table. Zero means the defaults.
	MaxEntries     int
	MaxAnswerBytes int64
	Logger         log.Logger
	Registerer     prometheus.Registerer
	// Now defaults to time.Now.
	Now func() time.Time
}

// Manager claims requests at the keepers of their pool and serves as a keeper. It implements gateway.Claims.
type Manager struct {
	params  Params
	keeper  *keeper
	guards  guards
	metrics *metrics

	// ctx cancels the background work; background waits for it.
	ctx        context.Context
	cancel     context.CancelFunc
	mu         sync.Mutex
	closed     bool
	background sync.WaitGroup
	// attempts holds the unfinished claims of this gateway by ID. Guarded by mu.
	attempts map[string]*attempt
}

var _ gateway.Claims = (*Manager)(nil)

// New opens the claims file and returns a Manager. A corrupt file is renamed and replaced by an empty one, and the
// keeper abstains. It returns ErrFormat for a file of another format, or the error of opening the file.
func New(params Params) (*Manager, error) {
	params = withDefaults(params)
	m := &Manager{params: params, guards: allGuards, attempts: make(map[string]*attempt)}
	k, err := newKeeper(params)
	if err != nil {
		return nil, err
	}
	m.keeper = k
	m.metrics = newMetrics(params.Registerer, k)
	m.ctx, m.cancel = context.WithCancel(context.Background())
	return m, nil
}

func withDefaults(params Params) Params {
	if params.Now == nil {
		params.Now = time.Now
	}
	if params.Retention <= 0 {
		params.Retention = DefaultRetention
	}
	if params.MaxEntries <= 0 {
		params.MaxEntries = DefaultMaxEntries
	}
	if params.MaxAnswerBytes <= 0 {
		params.MaxAnswerBytes = DefaultMaxAnswerBytes
	}
	if params.Logger == nil {
		params.Logger = log.NewNopLogger()
	}
	return params
}

func newKeeper(params Params) (*keeper, error) {
	limits := Limits{Retention: params.Retention, MaxEntries: params.MaxEntries, MaxAnswerBytes: params.MaxAnswerBytes}
	k := &keeper{
		self:      params.Self,
		source:    params.Source,
		seeds:     params.Seeds,
		limits:    limits,
		now:       params.Now,
		processID: uuid.NewString(),
		table:     NewTable(limits),
		history:   make(keeperSetHistory),
		started:   params.Now(),
	}
	if params.DataDir == "" {
		return k, nil
	}
	opened, content, err := openOrReplace(params)
	if err != nil {
		return nil, err
	}
	k.store, k.tableComplete, k.peerHasGranted, k.history = opened, content.tableComplete, content.peerHasGranted, content.history
	for _, c := range content.changes {
		k.table.restore(c)
	}
	return k, nil
}

// openOrReplace opens the claims file. It renames a corrupt file and creates an empty one.
func openOrReplace(params Params) (*store, storeContent, error) {
	opened, content, err := openStore(params.DataDir)
	if !errors.Is(err, ErrCorrupt) {
		return opened, content, err
	}
	level.Error(params.Logger).Log("msg", "claims file corrupt and renamed, keeper abstains", "err", err)
	if err := renameCorruptFile(params.DataDir, params.Now()); err != nil {
		return nil, storeContent{}, fmt.Errorf("claims: rename corrupt file: %w", err)
	}
	return openStore(params.DataDir)
}

// Register adds the handlers of the keeper to the server.
func (m *Manager) Register(server *rpc.Server) {
	rpc.Handle(server, func(_ context.Context, peer rpc.Peer, message claimMessage) (claimReply, error) {
		return m.serveClaim(message, peer.Zone), nil
	})
	rpc.Handle(server, func(_ context.Context, peer rpc.Peer, message learnMessage) (noteReply, error) {
		return m.keeper.update(message, peer.Zone), nil
	})
	rpc.Handle(server, func(_ context.Context, _ rpc.Peer, message releaseMessage) (noteReply, error) {
		return m.keeper.release(message), nil
	})
	rpc.Handle(server, func(_ context.Context, _ rpc.Peer, message startMessage) (startReply, error) {
		return m.keeper.bootstrapStatus(message), nil
	})
}

// serveClaim serves a claim and counts the verdict.
func (m *Manager) serveClaim(message claimMessage, peerZone string) claimReply {
	reply := m.keeper.claim(message, peerZone)
	m.metrics.verdicts.WithLabelValues(string(reply.Verdict)).Inc()
	return reply
}

// Run maintains the keeper and renews running claims until ctx ends. It then refuses new claims, waits up to
// shutdownTimeout for background work, cancels what remains and closes the claims file.
func (m *Manager) Run(ctx context.Context) error {
	maintainTicker := time.NewTicker(maintenanceInterval)
	defer maintainTicker.Stop()
	bootstrapTicker := time.NewTicker(bootstrapInterval)
	defer bootstrapTicker.Stop()
	renewTicker := time.NewTicker(m.params.Retention / renewalsPerRetention)
	defer renewTicker.Stop()
	m.keeper.maintain()
	for {
		changed := m.params.Source.Changed()
		select {
		case <-ctx.Done():
			return m.close()
		case <-maintainTicker.C:
			m.keeper.maintain()
		case <-changed:
			m.keeper.maintain()
		case <-bootstrapTicker.C:
			m.bootstrap(ctx)
		case <-renewTicker.C:
			m.renew()
		}
	}
}

func (m *Manager) close() error {
	m.mu.Lock()
	m.closed = true
	m.mu.Unlock()
	grace := time.AfterFunc(shutdownTimeout, m.cancel)
	defer grace.Stop()
	defer m.cancel()
	m.background.Wait()
	if m.keeper.store == nil {
		return nil
	}
	return m.keeper.store.close()
}

// startBackground starts run in a goroutine that close waits for. It reports false once the Manager is closed.
func (m *Manager) startBackground(run func()) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return false
	}
	m.background.Go(run)
	return true
}

// bootstrap stops abstaining if every peer is new, so that no grant can have been lost, or if a peer already found this
// process new. A peer with earlier grants is recorded: keepers that lose their disks one after another must not all
// appear new.
func (m *Manager) bootstrap(ctx context.Context) {
	if m.keeper.isTableComplete() {
		return
	}
	others, eligible := m.keeper.bootstrapPeers()
	if !eligible {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, bootstrapInterval)
	defer cancel()
	found := bootstrapResult{allPeersNew: true}
	for reply := range broadcast(ctx, others, m.bootstrapCall) {
		found.add(reply)
	}
	switch {
	case found.clearedByPeer:
		m.keeper.completeBootstrap(nil)
	case found.peerHasGranted:
		if m.keeper.recordPeerGrants() {
			level.Info(m.params.Logger).Log("msg", "peer has earlier grants, keeper abstains for the retention time")
		}
	case found.allPeersNew:
		m.keeper.completeBootstrap(found.processIDs)
		level.Info(m.params.Logger).Log("msg", "all keepers are new, keeper starts granting claims", "keepers", len(others)+1)
	}
}

// bootstrapResult combines the bootstrap replies of the peers.
type bootstrapResult struct {
	// clearedByPeer: a peer has found this process new. peerHasGranted: a peer has earlier grants. allPeersNew: every
	// peer replied that it is new.
	clearedByPeer, peerHasGranted, allPeersNew bool
	processIDs                                 []string
}

func (s *bootstrapResult) add(reply nodeReply[startReply]) {
	switch {
	case reply.err != nil:
		s.allPeersNew = false
	case reply.value.Cleared:
		s.clearedByPeer = true
	case !reply.value.New:
		s.peerHasGranted, s.allPeersNew = true, false
	}
	s.processIDs = append(s.processIDs, reply.value.Life)
}

func (m *Manager) bootstrapCall(ctx context.Context, node cluster.Node) (startReply, error) {
	return rpc.Call[startMessage, startReply](ctx, m.params.Client, node.Address, startMessage{Life: m.keeper.processID})
}
