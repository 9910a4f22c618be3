package scale

import (
	"context"
	"fmt"
	"time"

	"github.com/covelink/covelink/internal/lab/engine"
	"github.com/covelink/covelink/internal/settings"
)

// The daily rate of the target: 7 machines fail and 130 are restarted. A window of the run compresses it so that the
// restarts come every restartEvery.
const (
	restartEvery = 2 * time.Second
	dailyFaults  = 137.0
	day          = 24 * time.Hour
	// crashEvery-th of the faults is a crash of an engine, the rest planned restarts of nodes.
	crashEvery = 4
)

// FaultCost is the cost of restarts and crashes.
type FaultCost struct {
	Seconds  float64 `json:"seconds"`
	Restarts int     `json:"restarts"`
	Crashes  int     `json:"crashes"`
	// Compression is how much faster the faults came than on an ordinary day.
	Compression float64 `json:"compression"`
	Cores       float64 `json:"cores"`
	// SecondsOfCore is the processor time of one fault: what was used beyond the quiet window, by the number of faults.
	// It is a difference of two large figures.
	SecondsOfCore float64 `json:"secondsOfCorePerFault"`
	// MeanSentBytes is sent by a node each second, over all nodes.
	MeanSentBytes float64 `json:"meanSentBytesPerSecond"`
	Terms         int     `json:"terms"`
	// RecoverySeconds is the time from the last fault until every node takes requests.
	RecoverySeconds float64 `json:"recoverySeconds"`
}

// faults restarts nodes and crashes engines for a window. The nodes are taken from the end of the zones in turn, the
// gateways first, so that small deployments lose voters too.
func (w *world) faults(ctx context.Context, quietCores float64) (*FaultCost, error) {
	result := &FaultCost{}
	trafficBefore := w.readTraffic()
	_, _, termsBefore := w.roles.counted()
	started, before := time.Now(), readUsage()
	for time.Since(started) < w.config.Window {
		due := started.Add(time.Duration(result.Restarts+result.Crashes) * restartEvery)
		if err := pause(ctx, time.Until(due)); err != nil {
			return nil, err
		}
		if err := w.fault(ctx, result); err != nil {
			return nil, err
		}
	}
	recovery := time.Now()
	if err := w.awaitReady(ctx); err != nil {
		return nil, err
	}
	result.RecoverySeconds = time.Since(recovery).Seconds()
	w.finish(result, started, before, quietCores, trafficBefore)
	_, _, terms := w.roles.counted()
	result.Terms = terms - termsBefore
	return result, nil
}

func (w *world) fault(ctx context.Context, result *FaultCost) error {
	number := result.Restarts + result.Crashes
	if number%crashEvery == crashEvery-1 {
		result.Crashes++
		return w.engines[number%len(w.engines)].Inject(engine.Fault{Kind: engine.FaultRestart})
	}
	result.Restarts++
	return w.restart(ctx, w.plan.Nodes[len(w.plan.Nodes)-1-number%len(w.plan.Nodes)])
}

// restart stops a node as planned and starts it again.
func (w *world) restart(ctx context.Context, config settings.Settings) error {
	w.mu.Lock()
	node := w.nodes[config.Node.Name]
	w.mu.Unlock()
	if err := node.Stop(ctx); err != nil {
		return fmt.Errorf("restart %s: %w", config.Node.Name, err)
	}
	return w.startNode(ctx, config)
}

func (w *world) finish(result *FaultCost, started time.Time, before usage, quietCores float64, trafficBefore map[string]counts) {
	after := readUsage()
	result.Seconds = after.at.Sub(started).Seconds()
	result.Cores = after.since(before)
	faults := float64(result.Restarts + result.Crashes)
	result.Compression = faults / result.Seconds / (dailyFaults / day.Seconds())
	result.SecondsOfCore = (result.Cores - quietCores) * result.Seconds / faults
	for node, read := range w.readTraffic() {
		result.MeanSentBytes += (read.SentBytes - trafficBefore[node].SentBytes) / result.Seconds / float64(w.config.Nodes)
	}
}
