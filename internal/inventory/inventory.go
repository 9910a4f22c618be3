// Package inventory keeps the engines of a zone as its coordinator knows them: who exists, which weights each runs
// and which are leaving.
//
// An engine is leaving as soon as any source says so: the machine list (leaving, or absent for a while), the operator
// (drainingEngines of the pool), the engine's own report, or failed probes in a row. While the machine list is down
// the last known engines stay. An engine whose probes failed is back with its next answer.
package inventory

import (
	"context"
	"math/rand/v2"
	"reflect"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	"github.com/covelink/covelink/api/enginev1"
	"github.com/covelink/covelink/api/machinesv1"
	"github.com/covelink/covelink/internal/cluster"
	"github.com/covelink/covelink/internal/leadership"
	"github.com/covelink/covelink/internal/settings"
	"github.com/covelink/covelink/internal/telemetry"
)

const (
	// probeConcurrency bounds the probes in flight.
	probeConcurrency = 64
	// minProbeTimeout is the least time an engine is given to answer a probe.
	minProbeTimeout = time.Second
	// listTimeout bounds one read of the machine list.
	listTimeout = 5 * time.Second
	// jitterShare is the share of an interval by which polls are spread.
	jitterShare = 0.2
)

// Params are what an Inventory is built from.
type Params struct {
	Zone     string
	Machines MachineLister
	Engines  LoadReader
	Source   cluster.Source
	Timing   settings.Timing
	// Thresholds may be zero: the defaults.
	Thresholds Thresholds
	// Publish is told of every change, with the engines sorted by name. It must not call the Inventory.
	Publish func([]cluster.Engine)
	// Listed, if not nil, is told of every machine list that was read.
	Listed     func([]machinesv1.Machine)
	Logger     log.Logger
	Registerer prometheus.Registerer
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// Inventory is a coordinator part.
type Inventory struct {
	params  Params
	metrics *metrics

	mu        sync.Mutex
	state     *state // nil while not leading
	published []cluster.Engine
	everSent  bool
}

// New returns an Inventory that does nothing until Lead.
func New(params Params) *Inventory {
	if params.Now == nil {
		params.Now = time.Now
	}
	if params.Thresholds == (Thresholds{}) {
		params.Thresholds = DefaultThresholds()
	}
	params.Logger = telemetry.For(params.Logger, telemetry.PartInventory)
	return &Inventory{params: params, metrics: newMetrics(params.Registerer)}
}

// Lead keeps the engines of the zone until ctx ends. It starts from the engines of the current view. Nothing is
// published before the first machine list or, without one, before the first engine has answered.
func (i *Inventory) Lead(ctx context.Context, term leadership.Term) {
	level.Info(i.params.Logger).Log("msg", "inventory starts", "zone", i.params.Zone, "term", term.Token)
	i.begin()
	defer i.end()
	var parts sync.WaitGroup
	parts.Go(func() { i.every(ctx, i.params.Timing.MachineListInterval, i.readList) })
	parts.Go(func() { i.every(ctx, i.params.Timing.EnginePollInterval, i.probeAll) })
	parts.Go(func() { i.followView(ctx) })
	parts.Wait()
	level.Info(i.params.Logger).Log("msg", "inventory stops", "zone", i.params.Zone, "term", term.Token)
}

// Observe takes in a load that an engine told in the answer to an order. It outweighs reports for their lag.
func (i *Inventory) Observe(name string, load enginev1.Load) {
	now := i.params.Now()
	i.update(func(s *state) { s.applyDirect(now, name, load) })
}

func (i *Inventory) begin() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.state = newState(i.params.Zone, i.params.Thresholds)
	i.state.adopt(i.params.Source.Current().Engines)
	i.published = nil
	i.everSent = false
}

func (i *Inventory) end() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.state = nil
	i.metrics.engines.Set(0)
	i.metrics.leaving.Set(0)
}

// every runs step at once and then at jittered intervals until ctx ends.
func (i *Inventory) every(ctx context.Context, interval time.Duration, step func(context.Context)) {
	for ctx.Err() == nil {
		step(ctx)
		timer := time.NewTimer(jittered(interval))
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
}

func jittered(interval time.Duration) time.Duration {
	spread := jitterShare * (2*rand.Float64() - 1)
	return time.Duration(float64(interval) * (1 + spread))
}

// followView publishes again when the operator's drains may have changed.
func (i *Inventory) followView(ctx context.Context) {
	for ctx.Err() == nil {
		changed := i.params.Source.Changed()
		if i.ready() {
			i.update(func(*state) {})
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

// ready reports whether there is something to publish.
func (i *Inventory) ready() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.everSent || (i.state != nil && len(i.state.records) > 0)
}

func (i *Inventory) readList(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	list, err := i.params.Machines.List(callCtx, i.params.Zone)
	if err != nil {
		if ctx.Err() == nil {
			i.metrics.listFailures.Inc()
			level.Warn(i.params.Logger).Log("msg", "machine list not read, last known engines stay", "err", err)
		}
		return
	}
	now := i.params.Now()
	i.update(func(s *state) { s.applyList(now, list.Machines) })
	if i.params.Listed != nil {
		i.params.Listed(list.Machines)
	}
}

func (i *Inventory) probeAll(ctx context.Context) {
	var probes errgroup.Group
	probes.SetLimit(probeConcurrency)
	for _, machine := range i.targets() {
		if ctx.Err() != nil {
			break
		}
		probes.Go(func() error {
			i.probe(ctx, machine)
			return nil
		})
	}
	_ = probes.Wait() // no probe returns an error
}

func (i *Inventory) targets() []machinesv1.Machine {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.state == nil {
		return nil
	}
	return i.state.targets()
}

func (i *Inventory) probe(ctx context.Context, machine machinesv1.Machine) {
	started := i.params.Now()
	callCtx, cancel := context.WithTimeout(ctx, max(minProbeTimeout, i.params.Timing.EnginePollInterval))
	defer cancel()
	load, err := i.params.Engines.Load(callCtx, machine.URL)
	if ctx.Err() != nil {
		return
	}
	if err == nil {
		i.update(func(s *state) { s.applyReport(started, machine.Name, machine.URL, load) })
		return
	}
	i.metrics.probeFailures.Inc()
	level.Debug(i.params.Logger).Log("msg", "engine does not answer", "engine", machine.Name, "err", err)
	i.update(func(s *state) { s.applyFailure(machine.Name, machine.URL) })
}

// update changes the state and publishes the engines if they differ from those last published.
func (i *Inventory) update(change func(*state)) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.state == nil {
		return
	}
	change(i.state)
	engines := i.state.engines(i.params.Now(), i.params.Source.Current())
	if i.everSent && reflect.DeepEqual(engines, i.published) {
		return
	}
	i.published = engines
	i.everSent = true
	i.metrics.count(engines)
	i.params.Publish(engines)
}

type metrics struct {
	engines       prometheus.Gauge
	leaving       prometheus.Gauge
	listFailures  prometheus.Counter
	probeFailures prometheus.Counter
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		engines: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "covelink_inventory_engines", Help: "Engines of the zone that this coordinator knows."}),
		leaving: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "covelink_inventory_leaving_engines", Help: "Engines of the zone that receive no new work."}),
		listFailures: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "covelink_inventory_list_failures_total", Help: "Failed reads of the machine list."}),
		probeFailures: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "covelink_inventory_probe_failures_total", Help: "Failed reads of load reports."}),
	}
	if registerer != nil {
		registerer.MustRegister(m.engines, m.leaving, m.listFailures, m.probeFailures)
	}
	return m
}

func (m *metrics) count(engines []cluster.Engine) {
	leaving := 0
	for _, engine := range engines {
		if engine.Leaving {
			leaving++
		}
	}
	m.engines.Set(float64(len(engines)))
	m.leaving.Set(float64(leaving))
}
