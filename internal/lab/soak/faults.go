package soak

import (
	"context"
	"fmt"
	"time"

	"github.com/covelink/covelink/internal/lab/engine"
	"github.com/covelink/covelink/internal/lab/faultproxy"
	"github.com/covelink/covelink/internal/lab/objectapi"
	"github.com/covelink/covelink/internal/lab/processes"
)

// fault is one fault to strike.
type fault struct {
	kind   string
	target string
	length time.Duration
	begin  func(context.Context) error
	end    func(context.Context) error
}

func nothing(context.Context) error { return nil }

// choose draws a fault.
func (i *injector) choose() fault {
	chosen := fault{length: i.between(minLength, maxLength), end: nothing}
	families := []func(*fault){i.nodeProcess, i.nodeProcess, i.nodeLinks, i.nodeLinks, i.engineFault, i.engineFault, i.engineLink, i.store, i.platformPause}
	families[i.random.IntN(len(families))](&chosen)
	return chosen
}

func (i *injector) anyNode() string {
	names := i.deployment.NodeNames()
	return names[i.random.IntN(len(names))]
}

func (i *injector) anyEngine() string {
	engines := i.deployment.Plan().Engines
	return engines[i.random.IntN(len(engines))].Name
}

// nodeProcess kills, pauses or stops a node.
func (i *injector) nodeProcess(f *fault) {
	f.target = i.anyNode()
	process := i.deployment.Node(f.target)
	switch i.random.IntN(3) {
	case 0:
		f.kind, f.begin, f.end = "node SIGKILL", process.Kill, process.Start
	case 1:
		f.kind = "node SIGSTOP"
		f.begin = func(context.Context) error { return process.Pause() }
		f.end = func(context.Context) error { return process.Continue() }
	default:
		f.kind = "node SIGTERM"
		f.begin = func(ctx context.Context) error { return terminate(ctx, process) }
		f.end = process.Start
	}
}

// terminate stops a node as planned; any exit code but 0 is an error.
func terminate(ctx context.Context, process *processes.Process) error {
	ctx, cancel := context.WithTimeout(ctx, undoTimeout)
	defer cancel()
	code, err := process.Terminate(ctx)
	if err != nil {
		return fmt.Errorf("planned stop: %w", err)
	}
	if code != 0 {
		return fmt.Errorf("planned stop of %s: exit code %d", process.Name(), code)
	}
	return nil
}

// loseDisk kills a node and empties its data folder.
func (i *injector) loseDisk() fault {
	lost := fault{kind: "node SIGKILL and disk lost", target: i.anyNode(), length: i.between(minLength, maxLength)}
	process := i.deployment.Node(lost.target)
	lost.begin = func(ctx context.Context) error {
		if err := process.Kill(ctx); err != nil {
			return err
		}
		return i.deployment.EmptyDataFolder(lost.target)
	}
	lost.end = process.Start
	return lost
}

// nodeLinks harms every link of a node except those of callers.
func (i *injector) nodeLinks(f *fault) {
	f.target = i.anyNode()
	to, from := i.deployment.LinksOf("node-" + f.target)
	callers := i.deployment.Link(processes.Callers, "node-"+f.target)
	links := make([]*faultproxy.Proxy, 0, len(to)+len(from))
	for _, proxy := range append(to, from...) {
		if proxy != callers {
			links = append(links, proxy)
		}
	}
	i.harmLinks(f, "node links", links)
}

// engineLink harms the links from the nodes to one engine.
func (i *injector) engineLink(f *fault) {
	f.target = i.anyEngine()
	to, _ := i.deployment.LinksOf("engine-" + f.target)
	i.harmLinks(f, "engine links", to)
}

func (i *injector) harmLinks(f *fault, what string, links []*faultproxy.Proxy) {
	direction := faultproxy.Direction(i.random.IntN(2))
	harms := []struct {
		name   string
		faults faultproxy.Faults
		both   bool
	}{
		{"black hole", faultproxy.Faults{Blackhole: true}, true},
		{"black hole one way", faultproxy.Faults{Blackhole: true}, false},
		{"frozen", faultproxy.Faults{Frozen: true}, true},
		{"slow", faultproxy.Faults{BytesPerSecond: 64 << 10}, true},
		{"delayed", faultproxy.Faults{Delay: 50 * time.Millisecond}, true},
		{"cut within a frame", faultproxy.Faults{CutAfterBytes: 1 + i.random.Int64N(8192)}, false},
	}
	harm := harms[i.random.IntN(len(harms))]
	f.kind = what + " " + harm.name
	f.begin = func(context.Context) error {
		for _, proxy := range links {
			proxy.SetFaults(direction, harm.faults)
			if harm.both {
				proxy.SetFaults(1-direction, harm.faults)
			}
		}
		return nil
	}
	f.end = func(context.Context) error {
		for _, proxy := range links {
			proxy.Heal()
		}
		return nil
	}
}

// engineFault crashes, freezes or pauses an engine, or harms its streams and its swaps of weights. An engine's process is
// never killed, for its record of executions would be lost.
func (i *injector) engineFault(f *fault) {
	f.target = i.anyEngine()
	kinds := []engine.FaultKind{
		engine.FaultRestart, engine.FaultRestart, engine.FaultFreeze, engine.FaultDuplicate, engine.FaultReorder, engine.FaultDrop,
		engine.FaultTruncate, engine.FaultUnversioned, engine.FaultReset, engine.FaultCrash, engine.FaultRefuseLate,
		engine.FaultFailPrepare, engine.FaultFailActivate,
	}
	injected := engine.Fault{
		Kind:        kinds[i.random.IntN(len(kinds))],
		AfterEvents: uint64(1 + i.random.IntN(20)),
		DelayMillis: f.length.Milliseconds(),
		TakesEffect: i.random.IntN(2) == 0,
	}
	f.kind = "engine " + string(injected.Kind)
	name := f.target
	f.begin = func(ctx context.Context) error { return i.deployment.InjectFault(ctx, name, injected) }
}

// store makes the platform's store fail.
func (i *injector) store(f *fault) {
	f.target = "objectapi"
	failures := []struct {
		name   string
		faults objectapi.Faults
	}{
		{"down", objectapi.Faults{Unavailable: true}},
		{"slow", objectapi.Faults{DelayMillis: 1500}},
		{"loses replies", objectapi.Faults{LoseReplies: 2}},
		{"stale", objectapi.Faults{StaleBy: 3}},
		{"compacted", objectapi.Faults{Compact: true}},
	}
	failure := failures[i.random.IntN(len(failures))]
	f.kind = "store " + failure.name
	f.begin = func(ctx context.Context) error { return i.deployment.SetStoreFaults(ctx, failure.faults) }
	f.end = func(ctx context.Context) error { return i.deployment.SetStoreFaults(ctx, objectapi.Faults{}) }
}

// platformPause pauses the store, the machine list, the weight store or an engine.
func (i *injector) platformPause(f *fault) {
	f.target = i.anyEngine()
	engineProcess := i.deployment.Engine(f.target)
	paused := []*processes.Process{i.deployment.ObjectAPI(), i.deployment.Machines(), i.deployment.WeightStore(), engineProcess}
	process := paused[i.random.IntN(len(paused))]
	if process != engineProcess {
		f.target = process.Name()
	}
	f.kind = "platform SIGSTOP"
	f.begin = func(context.Context) error { return process.Pause() }
	f.end = func(context.Context) error { return process.Continue() }
}
