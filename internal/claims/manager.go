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
	// claimWindow bounds the time in which grants count for a claim.
	claimWindow = 2 * time.Second
	// noteWindow bounds the work on one release or outcome, beyond what its caller waits for.
	noteWindow = 15 * time.Second
	// startInterval is the time between two attempts to find every keeper new.
	startInterval = 250 * time.Millisecond
	// tendInterval is the time between two sweeps, and the longest that a changed home goes unnoticed.
	tendInterval = time.Second
	// closeGrace is what the work in the background gets to end by itself.
	closeGrace = time.Second
	// renewalsPerRetention is how often the holder renews a running claim within the retention time.
	renewalsPerRetention = 4
	// maxAnswerBytes bounds one stored answer; a longer one is kept as an outcome only.
	maxAnswerBytes = 4 << 20
)

// Params are what a Manager is built from.
type Params struct {
	Self   cluster.Node
	Source cluster.Source
	Client *rpc.Client
	// Seeds must name the same nodes of a region on all nodes of that region.
	Seeds []cluster.Node
	// DataDir is where the keeper's file goes; empty keeps claims in memory.
	DataDir string
	// Retention is how long a claim, its outcome and the fact of its release are kept. Zero means DefaultRetention.
	Retention time.Duration
	// MaxEntries and MaxAnswerBytes bound the keeper's table. Zero means the defaults.
	MaxEntries     int
	MaxAnswerBytes int64
	Logger         log.Logger
	Registerer     prometheus.Registerer
	// Now defaults to time.Now.
	Now func() time.Time
}

// Manager claims requests at the keepers of their home and is a keeper itself. It implements gateway.Claims.
type Manager struct {
	params  Params
	keeper  *keeper
	guards  guards
	metrics *metrics

	// ctx ends the background work; background counts it.
	ctx        context.Context
	cancel     context.CancelFunc
	mu         sync.Mutex
	closed     bool
	background sync.WaitGroup
	// attempts are the claims of this gateway that are not finished, by ID.
	attempts map[string]*attempt
}

var _ gateway.Claims = (*Manager)(nil)

// New returns a Manager that has read its file. A damaged file is set aside: the keeper then abstains, as after the
// loss of a disk. Errors: ErrFormat, or that the file cannot be opened.
func New(params Params) (*Manager, error) {
	params = withDefaults(params)
	m := &Manager{params: params, guards: allGuards, attempts: make(map[string]*attempt)}
	opened, err := newKeeper(params)
	if err != nil {
		return nil, err
	}
	m.keeper = opened
	m.metrics = newMetrics(params.Registerer, opened)
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
		self:     params.Self,
		source:   params.Source,
		seeds:    params.Seeds,
		limits:   limits,
		now:      params.Now,
		life:     uuid.NewString(),
		register: NewRegister(limits),
		history:  make(homeHistory),
		started:  params.Now(),
	}
	if params.DataDir == "" {
		return k, nil
	}
	opened, content, err := openOrReplace(params)
	if err != nil {
		return nil, err
	}
	k.store, k.opened, k.used, k.history = opened, content.opened, content.used, content.history
	for _, c := range content.changes {
		k.register.restore(c)
	}
	return k, nil
}

// openOrReplace opens the file, or a new one if it is damaged.
func openOrReplace(params Params) (*store, loaded, error) {
	opened, content, err := openStore(params.DataDir)
	if !errors.Is(err, ErrCorrupt) {
		return opened, content, err
	}
	level.Error(params.Logger).Log("msg", "claims file damaged and set aside, claims abstain", "err", err)
	if err := setAside(params.DataDir, params.Now()); err != nil {
		return nil, loaded{}, fmt.Errorf("claims: set the damaged file aside: %w", err)
	}
	return openStore(params.DataDir)
}

// Register makes the server answer other nodes' claims.
func (m *Manager) Register(server *rpc.Server) {
	rpc.Handle(server, func(_ context.Context, peer rpc.Peer, message claimMessage) (claimReply, error) {
		return m.answer(message, peer.Zone), nil
	})
	rpc.Handle(server, func(_ context.Context, peer rpc.Peer, message learnMessage) (noteReply, error) {
		return m.keeper.learn(message, peer.Zone), nil
	})
	rpc.Handle(server, func(_ context.Context, _ rpc.Peer, message releaseMessage) (noteReply, error) {
		return m.keeper.release(message), nil
	})
	rpc.Handle(server, func(_ context.Context, _ rpc.Peer, message startMessage) (startReply, error) {
		return m.keeper.start(message), nil
	})
}

// answer is the keeper's answer, counted.
func (m *Manager) answer(message claimMessage, peerZone string) claimReply {
	reply := m.keeper.claim(message, peerZone)
	m.metrics.verdicts.WithLabelValues(string(reply.Verdict)).Inc()
	return reply
}

// Run sweeps, renews running claims and ends the time of abstaining, until ctx ends. Then it waits a
// moment for the work that Claim and Finish have left, and closes the file. The Manager refuses claims from then on.
func (m *Manager) Run(ctx context.Context) error {
	tend := time.NewTicker(tendInterval)
	defer tend.Stop()
	start := time.NewTicker(startInterval)
	defer start.Stop()
	renew := time.NewTicker(m.params.Retention / renewalsPerRetention)
	defer renew.Stop()
	m.keeper.tend()
	for {
		changed := m.params.Source.Changed()
		select {
		case <-ctx.Done():
			return m.close()
		case <-tend.C:
			m.keeper.tend()
		case <-changed:
			m.keeper.tend()
		case <-start.C:
			m.firstStart(ctx)
		case <-renew.C:
			m.renew()
		}
	}
}

func (m *Manager) close() error {
	m.mu.Lock()
	m.closed = true
	m.mu.Unlock()
	grace := time.AfterFunc(closeGrace, m.cancel)
	defer grace.Stop()
	defer m.cancel()
	m.background.Wait()
	if m.keeper.store == nil {
		return nil
	}
	return m.keeper.store.close()
}

// spawn runs the function in a goroutine that close waits for. It reports false once the Manager is closed.
func (m *Manager) spawn(run func()) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return false
	}
	m.background.Go(run)
	return true
}

// firstStart opens the keeper when every keeper of its homes is found new: then nothing was granted that it could have
// forgotten. It also does so when another keeper found that before and saw this life. A keeper that finds another one that
// is not new remembers it: keepers that lose their disks one after the other are never all taken for new.
func (m *Manager) firstStart(ctx context.Context) {
	if m.keeper.isOpen() {
		return
	}
	others, eligible := m.keeper.peers()
	if !eligible {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, startInterval)
	defer cancel()
	found := survey{new: true}
	for reply := range askAll(ctx, others, m.askStart) {
		found.add(reply)
	}
	switch {
	case found.cleared:
		m.keeper.clear(nil)
	case found.used:
		if m.keeper.noteUsed() {
			level.Info(m.params.Logger).Log("msg", "claims were granted before this keeper started, it abstains")
		}
	case found.new:
		m.keeper.clear(found.lives)
		level.Info(m.params.Logger).Log("msg", "every keeper is new, claims are granted", "keepers", len(others)+1)
	}
}

// survey is what a starting keeper hears from the others.
type survey struct {
	// cleared: another keeper found this one new. used: another one is not new. new: all answered that they are.
	cleared, used, new bool
	lives              []string
}

func (s *survey) add(reply answerOf[startReply]) {
	switch {
	case reply.err != nil:
		s.new = false
	case reply.value.Cleared:
		s.cleared = true
	case !reply.value.New:
		s.used, s.new = true, false
	}
	s.lives = append(s.lives, reply.value.Life)
}

func (m *Manager) askStart(ctx context.Context, node cluster.Node) (startReply, error) {
	return rpc.Call[startMessage, startReply](ctx, m.params.Client, node.Address, startMessage{Life: m.keeper.life})
}
