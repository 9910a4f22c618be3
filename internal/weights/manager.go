package weights

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/covelink/covelink/api/enginev1"
	"github.com/covelink/covelink/internal/cluster"
	"github.com/covelink/covelink/internal/leadership"
	"github.com/covelink/covelink/internal/rpc"
	"github.com/covelink/covelink/internal/telemetry"
)

// Orders sends orders to engines.
type Orders interface {
	// Order sends one order. A refusal means that nothing was executed; an error that it may have been.
	Order(ctx context.Context, url string, order enginev1.Order) (enginev1.OrderResult, *enginev1.Refusal, error)
	// Load returns the engine's report of itself, which lags.
	Load(ctx context.Context, url string) (enginev1.Load, error)
}

// Params are what a Manager is built from.
type Params struct {
	// Self is this node; its zone is the one that Lead brings to the targets.
	Self    cluster.Node
	Source  cluster.Source
	Orders  Orders
	Elector leadership.Elector
	Client  *rpc.Client
	// Observe is told of each load that an engine told in the answer to an order. It may be nil.
	Observe func(name string, load enginev1.Load)
	// Fenced is told when an engine refuses an order of the named term because it has seen a higher token. It may be nil.
	Fenced func(term string, seen uint64)
	// Limits may be zero: the defaults.
	Limits     Limits
	Logger     log.Logger
	Registerer prometheus.Registerer
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// Manager is a node's part in bringing engines to the weights wanted. On every node it publishes targets (Publish,
// Run) and tells other nodes what it knows; where the node coordinates its zone (Lead), it orders the engines.
//
// Targets are kept in memory, by the coordinators of every permitted zone and by the node that published them. The
// version wanted of a pool never goes down.
type Manager struct {
	params  Params
	metrics *metrics
	// targets are those this node has taken in as a coordinator or published.
	targets *targetSet
	leading atomic.Bool

	mu      sync.Mutex
	outbox  map[string]*entry // by pool
	stirred chan struct{}     // wakes Run
}

var _ Publisher = (*Manager)(nil)

// New returns a Manager. Run must be running for Publish to reach anyone.
func New(params Params) *Manager {
	if params.Now == nil {
		params.Now = time.Now
	}
	if params.Limits == (Limits{}) {
		params.Limits = DefaultLimits()
	}
	if params.Observe == nil {
		params.Observe = func(string, enginev1.Load) {}
	}
	if params.Fenced == nil {
		params.Fenced = func(string, uint64) {}
	}
	params.Logger = telemetry.For(params.Logger, telemetry.PartWeights)
	return &Manager{
		params:  params,
		metrics: newMetrics(params.Registerer),
		targets: newTargetSet(),
		outbox:  make(map[string]*entry),
		stirred: make(chan struct{}, 1),
	}
}

// metrics are the metrics of the part.
type metrics struct {
	orders  *prometheus.CounterVec
	behind  prometheus.Gauge
	tells   *prometheus.CounterVec
	pending prometheus.Gauge
}

// The values of the label outcome.
const (
	outcomeAccepted = "accepted"
	outcomeRefused  = "refused"
	outcomeUnknown  = "unknown"
	outcomeVoid     = "void"
	outcomeFailed   = "failed"
)

func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		orders: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "covelink_weights_orders_total", Help: "Orders to engines by kind and outcome."}, []string{"kind", "outcome"}),
		behind: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "covelink_weights_behind_engines", Help: "Engines of the zone that run weights below their target."}),
		tells: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "covelink_weights_tells_total", Help: "Targets told to coordinators by outcome."}, []string{"outcome"}),
		pending: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "covelink_weights_pending_zones", Help: "Zones whose coordinator has not yet taken a published target."}),
	}
	if registerer != nil {
		registerer.MustRegister(m.orders, m.behind, m.tells, m.pending)
	}
	return m
}
