package weights

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log/level"
	"golang.org/x/sync/errgroup"

	"github.com/covelink/covelink/api/enginev1"
	"github.com/covelink/covelink/internal/cluster"
	"github.com/covelink/covelink/internal/leadership"
	"github.com/covelink/covelink/internal/rpc"
)

// askConcurrency bounds the peers asked for targets at once.
const askConcurrency = 16

// Lead brings the engines of the zone to the targets until ctx ends. Whatever an earlier term ordered is observed from
// the engines; the targets are learnt from peers and from publishers. Every order carries the term's token.
func (m *Manager) Lead(ctx context.Context, term leadership.Term) {
	level.Info(m.params.Logger).Log("msg", "weight rollouts start", "zone", m.params.Self.Zone, "term", term.Token)
	m.leading.Store(true)
	defer m.leading.Store(false)
	r := &reconciler{
		manager: m,
		term:    term,
		tracker: newTracker(m.params.Self.Zone, m.params.Limits),
		events:  make(chan func(), m.params.Limits.Orders),
	}
	r.workers.Go(func() { m.learnTargets(ctx) })
	r.run(ctx)
	r.workers.Wait()
	level.Info(m.params.Logger).Log("msg", "weight rollouts stop", "zone", m.params.Self.Zone, "term", term.Token)
}

// reconciler runs one term. Only the goroutine of run touches the tracker.
type reconciler struct {
	manager *Manager
	term    leadership.Term
	tracker *tracker
	// events carries what the workers found out, to be applied by run.
	events  chan func()
	workers sync.WaitGroup
}

func (r *reconciler) run(ctx context.Context) {
	ticker := time.NewTicker(r.manager.params.Limits.PollInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		viewChanged := r.manager.params.Source.Changed()
		targetsChanged := r.reconcile(ctx)
		select {
		case <-ctx.Done():
		case <-viewChanged:
		case <-targetsChanged:
		case <-ticker.C:
		case event := <-r.events:
			event()
			r.applyWaiting()
		}
	}
}

// applyWaiting applies the events that have come together, so that one plan follows from all of them.
func (r *reconciler) applyWaiting() {
	for {
		select {
		case event := <-r.events:
			event()
		default:
			return
		}
	}
}

// reconcile sends what follows from the newest view, targets and observations. It returns a channel that is closed
// when the targets change.
func (r *reconciler) reconcile(ctx context.Context) <-chan struct{} {
	m := r.manager
	view := m.params.Source.Current()
	targets, changed := m.targets.snapshot()
	now := m.params.Now()
	r.tracker.applyView(now, view)
	snapshot := r.tracker.snapshot(now, r.term.Token, view, targets)
	m.metrics.behind.Set(float64(countBehind(snapshot)))
	for _, order := range Plan(snapshot, m.params.Limits) {
		id := r.tracker.begin(now, order)
		r.workers.Go(func() { r.order(ctx, id, order) })
	}
	for _, target := range r.tracker.beginPolls(now) {
		r.workers.Go(func() { r.poll(ctx, now, target) })
	}
	return changed
}

// countBehind counts the engines below their target.
func countBehind(snapshot Snapshot) int {
	behind := 0
	for _, engine := range snapshot.Engines {
		if !engine.Leaving && engine.ActiveVersion < snapshot.Targets[engine.Pool].Version {
			behind++
		}
	}
	return behind
}

// post hands an event to run, unless the term has ended.
func (r *reconciler) post(ctx context.Context, event func()) {
	select {
	case r.events <- event:
	case <-ctx.Done():
	}
}

func (r *reconciler) order(ctx context.Context, id uint64, order Order) {
	callCtx, cancel := context.WithTimeout(ctx, r.manager.params.Limits.OrderTimeout)
	defer cancel()
	result, refusal, err := r.manager.params.Orders.Order(callCtx, order.URL, order.Order)
	ended := outcome{refusal: refusal, err: err}
	if err == nil && refusal == nil {
		ended.load = &result.Load
	}
	r.post(ctx, func() { r.ended(id, order, ended) })
}

// ended takes in the outcome of an order and tells of the load that came with it.
func (r *reconciler) ended(id uint64, order Order, result outcome) {
	m := r.manager
	label := outcomeLabel(result)
	if !r.tracker.finish(m.params.Now(), order.Engine, id, result) {
		label = outcomeVoid
	}
	m.metrics.orders.WithLabelValues(string(order.Kind), label).Inc()
	level.Debug(m.params.Logger).Log("msg", "order ended", "engine", order.Engine, "kind", order.Kind,
		"version", order.Version, "outcome", label, "err", result.err)
	if label == outcomeAccepted {
		m.params.Observe(order.Engine, *result.load)
	}
	if label == outcomeRefused {
		r.refused(order, *result.refusal)
	}
}

func (r *reconciler) refused(order Order, refusal enginev1.Refusal) {
	if refusal.Reason == enginev1.RefusedFence {
		level.Warn(r.manager.params.Logger).Log("msg", "engine has seen a higher term", "engine", order.Engine,
			"term", r.term.Token, "highest", refusal.HighestFence)
		r.manager.params.Fenced(r.term.Name, refusal.HighestFence)
	}
	if refusal.Load != nil {
		r.manager.params.Observe(order.Engine, *refusal.Load)
	}
}

func outcomeLabel(result outcome) string {
	switch {
	case result.load != nil:
		return outcomeAccepted
	case result.refusal != nil:
		return outcomeRefused
	}
	return outcomeUnknown
}

func (r *reconciler) poll(ctx context.Context, started time.Time, target pollTarget) {
	callCtx, cancel := context.WithTimeout(ctx, r.manager.params.Limits.PollTimeout)
	defer cancel()
	load, err := r.manager.params.Orders.Load(callCtx, target.URL)
	r.post(ctx, func() {
		if err != nil {
			r.tracker.finishPoll(started, target, nil)
			return
		}
		r.tracker.finishPoll(started, target, &load)
	})
}

// learnTargets asks peers for the targets they know: at once every node of the zone and every other zone's
// coordinator, then at intervals the coordinators.
func (m *Manager) learnTargets(ctx context.Context) {
	peers := m.zoneNodes()
	ticker := time.NewTicker(m.params.Limits.Refresh)
	defer ticker.Stop()
	for ctx.Err() == nil {
		m.ask(ctx, append(peers, m.coordinators()...))
		peers = nil
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// zoneNodes returns the other nodes of the zone.
func (m *Manager) zoneNodes() []cluster.Node {
	var nodes []cluster.Node
	for _, node := range m.params.Source.Current().Nodes {
		if node.Zone == m.params.Self.Zone && node.Name != m.params.Self.Name {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

// coordinators returns the coordinators of the other zones.
func (m *Manager) coordinators() []cluster.Node {
	var nodes []cluster.Node
	for zone := range m.params.Source.Current().Zones {
		holder, known := m.params.Elector.Holder(leadership.ZoneLease(zone))
		if zone != m.params.Self.Zone && known && holder.Name != m.params.Self.Name {
			nodes = append(nodes, holder)
		}
	}
	return nodes
}

func (m *Manager) ask(ctx context.Context, peers []cluster.Node) {
	var questions errgroup.Group
	questions.SetLimit(askConcurrency)
	for _, peer := range peers {
		questions.Go(func() error {
			m.askPeer(ctx, peer)
			return nil
		})
	}
	_ = questions.Wait() // no question returns an error
}

func (m *Manager) askPeer(ctx context.Context, peer cluster.Node) {
	callCtx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	request := ListTargets{Zone: m.params.Self.Zone}
	reply, err := rpc.Call[ListTargets, ListTargetsReply](callCtx, m.params.Client, peer.Address, request)
	if err != nil {
		level.Debug(m.params.Logger).Log("msg", "peer not asked for targets", "peer", peer.Name, "err", err)
		return
	}
	for _, target := range reply.Targets {
		if _, err := m.targets.merge(target); err != nil {
			level.Warn(m.params.Logger).Log("msg", "peer has other weights", "peer", peer.Name, "pool", target.Pool, "err", err)
		}
	}
}
