package scale

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/covelink/covelink/internal/lab/objectapi"
)

// Report is what a run measured.
type Report struct {
	Nodes   int `json:"nodes"`
	Engines int `json:"engines"`
	Zones   int `json:"zones"`
	// LoadAverage is that of the machine at the end of the quiet window.
	LoadAverage float64 `json:"loadAverage"`
	// StartSeconds is the time from the first node's start until every node takes requests and every engine is known.
	StartSeconds float64 `json:"startSeconds"`
	// RefusedApplies counts the tries to write the first resources that failed while the nodes started.
	RefusedApplies int   `json:"refusedApplies"`
	Quiet          Quiet `json:"quiet"`
	// ConfigSeconds are the times from the write of a change until every node has it in force; ConfigError says why
	// there are none.
	ConfigSeconds []float64 `json:"configSeconds"`
	ConfigError   string    `json:"configError,omitempty"`
	// Weights are a change of weights on all engines, and FailingWeights one with a part of the swaps failing partway.
	Weights        *Swap `json:"weights,omitempty"`
	FailingWeights *Swap `json:"failingWeights,omitempty"`
	// Faults is the daily rate of failures and restarts, compressed.
	Faults *FaultCost `json:"faults,omitempty"`
	// Load is the part under interactive requests.
	Load *LoadCost `json:"load,omitempty"`
}

// Quiet is the cost of a deployment in which nothing changes.
type Quiet struct {
	Seconds float64 `json:"seconds"`
	// Cores is the processor time of the whole process, stand-ins included, and IdleCores that of the stand-ins alone
	// before any node runs.
	Cores     float64 `json:"cores"`
	IdleCores float64 `json:"idleCores"`
	// MegabytesPerNode are live objects and stacks; ReservedMegabytes is what the whole process holds.
	MegabytesPerNode  float64           `json:"megabytesPerNode"`
	ReservedMegabytes float64           `json:"reservedMegabytes"`
	Roles             map[Role]RoleCost `json:"roles"`
	// Terms counts the changes of coordinators in the window: an undisturbed deployment has none.
	Terms int `json:"terms"`
	// Store counts the requests to the store in the window; OpenWatches are those open at its end.
	Store objectapi.Counts `json:"store"`
}

// RoleCost is the internal traffic of the nodes of a role, per node and second.
type RoleCost struct {
	Nodes         int     `json:"nodes"`
	SentBytes     float64 `json:"sentBytesPerSecond"`
	ReceivedBytes float64 `json:"receivedBytesPerSecond"`
	SentMessages  float64 `json:"sentMessagesPerSecond"`
	// BusiestBytes is sent and received by the node with most.
	BusiestBytes float64 `json:"busiestBytesPerSecond"`
	// Methods are the bytes a second of a few nodes of the role by method, sent and received together.
	Methods map[string]float64 `json:"methods"`
}

const (
	megabyte       = 1 << 20
	configChanges  = 5
	idleWindow     = 3 * time.Second
	stopTimeout    = time.Minute
	failingShare   = 0.05
	firstWeights   = 2
	failingWeights = 3
)

// Run starts a deployment, measures it and stops it. What was measured before an error is returned with it; told is given
// the report after each part.
func Run(ctx context.Context, config Config, newNode NodeFactory, told func(part string, report Report)) (Report, error) {
	report := Report{Nodes: config.Nodes, Engines: config.Engines, Zones: config.Zones}
	if err := config.Check(); err != nil {
		return report, err
	}
	w, err := newWorld(config, newNode)
	if err != nil {
		return report, err
	}
	err = w.measure(ctx, &report, told)
	stopContext, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	return report, errors.Join(err, w.stop(stopContext))
}

func (w *world) measure(ctx context.Context, report *Report, told func(string, Report)) error {
	if err := w.startPlatform(); err != nil {
		return err
	}
	platformBytes := liveBytes()
	idle, err := w.cores(ctx, min(idleWindow, w.config.Window))
	if err != nil {
		return err
	}
	report.Quiet.IdleCores = idle
	told("platform", *report)
	if err := w.startAll(ctx, report); err != nil {
		return err
	}
	if err := pause(ctx, w.config.Settle); err != nil {
		return err
	}
	told("start", *report)
	if err := w.measureQuiet(ctx, &report.Quiet); err != nil {
		return err
	}
	report.Quiet.MegabytesPerNode = (liveBytes() - platformBytes) / megabyte / float64(w.config.Nodes)
	report.LoadAverage = loadAverage()
	told("quiet", *report)
	w.measureConfig(ctx, report)
	told("configuration", *report)
	if report.Weights, err = w.swap(ctx, firstWeights, 0); err != nil {
		return err
	}
	told("weights", *report)
	if report.FailingWeights, err = w.swap(ctx, failingWeights, failingShare); err != nil {
		return err
	}
	told("failing weights", *report)
	if w.config.RequestsPerSecond > 0 {
		if report.Load, err = w.load(ctx); err != nil {
			return err
		}
		told("load", *report)
	}
	if report.Faults, err = w.faults(ctx, report.Quiet.Cores); err != nil {
		return err
	}
	told("faults", *report)
	return nil
}

// startAll starts the nodes and waits until the deployment is whole.
func (w *world) startAll(ctx context.Context, report *Report) error {
	started := time.Now()
	if err := w.startNodes(ctx, true); err != nil {
		return err
	}
	err := await(ctx, "zones lack a coordinator", func() bool {
		zones, _, _ := w.roles.counted()
		return zones == w.config.Zones
	})
	if err != nil {
		return err
	}
	if err := w.applyFirst(ctx, report); err != nil {
		return err
	}
	if err := w.startNodes(ctx, false); err != nil {
		return err
	}
	if err := w.awaitReady(ctx); err != nil {
		return err
	}
	err = await(ctx, "trainers lack an owner", func() bool {
		_, trainers, _ := w.roles.counted()
		return trainers == w.config.pools()
	})
	report.StartSeconds = time.Since(started).Seconds()
	return err
}

// applyFirst writes all resources. Nodes that are still starting may refuse what refers to resources that they haven't heard
// of, so an operator repeats it.
func (w *world) applyFirst(ctx context.Context, report *Report) error {
	var last error
	err := await(ctx, "resources are not in force", func() bool {
		if _, last = w.apply(ctx, w.config.resources()); last != nil {
			report.RefusedApplies++
		}
		return last == nil
	})
	return errors.Join(err, last)
}

// cores returns the cores that the process uses over a window.
func (w *world) cores(ctx context.Context, window time.Duration) (float64, error) {
	before := readUsage()
	if err := pause(ctx, window); err != nil {
		return 0, err
	}
	return readUsage().since(before), nil
}

func pause(ctx context.Context, window time.Duration) error {
	select {
	case <-time.After(window):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// measureQuiet measures a window in which nothing changes.
func (w *world) measureQuiet(ctx context.Context, quiet *Quiet) error {
	sampled := w.sample()
	methodsBefore, err := w.methodsOf(ctx, sampled)
	if err != nil {
		return err
	}
	before := w.readTraffic()
	storeBefore := w.objects.Counts()
	_, _, termsBefore := w.roles.counted()
	started := time.Now()
	cores, err := w.cores(ctx, w.config.Window)
	if err != nil {
		return err
	}
	quiet.Seconds = time.Since(started).Seconds()
	quiet.Cores = cores
	quiet.Roles = w.costs(before, w.readTraffic(), quiet.Seconds)
	_, _, terms := w.roles.counted()
	quiet.Terms = terms - termsBefore
	quiet.Store = difference(storeBefore, w.objects.Counts())
	quiet.ReservedMegabytes = reservedBytes() / megabyte
	methods, err := w.methodsOf(ctx, sampled)
	if err != nil {
		return err
	}
	for role, cost := range quiet.Roles {
		cost.Methods = methods[role].rates(methodsBefore[role], quiet.Seconds)
		quiet.Roles[role] = cost
	}
	return nil
}

func difference(before, after objectapi.Counts) objectapi.Counts {
	return objectapi.Counts{
		Gets: after.Gets - before.Gets, Lists: after.Lists - before.Lists, Watches: after.Watches - before.Watches,
		Writes: after.Writes - before.Writes, OpenWatches: after.OpenWatches,
	}
}

func (w *world) readTraffic() map[string]counts {
	read := make(map[string]counts)
	for _, config := range w.plan.Nodes {
		read[config.Node.Name] = w.network.of(config.Node.Name).read()
	}
	return read
}

// costs sums up the traffic between two readings by role.
func (w *world) costs(before, after map[string]counts, seconds float64) map[Role]RoleCost {
	costs := make(map[Role]RoleCost)
	for node, role := range w.roles.assign(w) {
		cost := costs[role]
		sent := (after[node].SentBytes - before[node].SentBytes) / seconds
		received := (after[node].ReceivedBytes - before[node].ReceivedBytes) / seconds
		cost.Nodes++
		cost.SentBytes += sent
		cost.ReceivedBytes += received
		cost.SentMessages += (after[node].SentMessages - before[node].SentMessages) / seconds
		cost.BusiestBytes = max(cost.BusiestBytes, sent+received)
		costs[role] = cost
	}
	for role, cost := range costs {
		cost.SentBytes /= float64(cost.Nodes)
		cost.ReceivedBytes /= float64(cost.Nodes)
		cost.SentMessages /= float64(cost.Nodes)
		costs[role] = cost
	}
	return costs
}

// measureConfig times changes of a trainer from the write until all nodes have them in force, as covelinkctl tells.
func (w *world) measureConfig(ctx context.Context, report *Report) {
	for revision := range configChanges {
		taken, err := w.apply(ctx, w.config.trainerResource(0, revision+1))
		if err != nil {
			report.ConfigError = fmt.Sprint(err)
			return
		}
		report.ConfigSeconds = append(report.ConfigSeconds, taken.Seconds())
	}
}
