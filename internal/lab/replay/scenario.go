package replay

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/lab/sim"
	"github.com/covelink/covelink/internal/lab/trace"
)

const (
	// defaultPromptWords is the length of a prompt where the trace states none.
	defaultPromptWords = 24
	// groupSize samples of a batch share a prompt.
	groupSize = 8
	// copyShare is how much faster weights come from another engine than from the weight store.
	copyShare = 4
	// forever is the length of a fault that the trace gives no end, where the simulator needs one.
	forever = 1000 * time.Hour
	// loadStream tells the random numbers of loads from others.
	loadStream = 7
)

// scenarioOf turns a trace into what the simulator runs. An error is a *trace.Error that names the line it cannot run.
func scenarioOf(t *trace.Trace) (sim.Scenario, error) {
	scenario := sim.DefaultScenario()
	h := &t.Header
	scenario.Name, scenario.Seed, scenario.Duration = h.Name, uint64(h.Seed), time.Duration(h.Until)
	setDeployment(&scenario, h)
	setTiming(&scenario, h)
	for i, event := range t.Events {
		switch record := event.Record.(type) {
		case *trace.Request:
			scenario.Requests = append(scenario.Requests, requestOf(record))
		case *trace.Load:
			scenario.Requests = append(scenario.Requests, expandLoad(h.Seed, i, record)...)
		case *trace.Batch:
			scenario.Batches = append(scenario.Batches, batchOf(h.Seed, record))
		case *trace.Publish:
			scenario.Publications = append(scenario.Publications,
				sim.Publication{At: record.Time(), Trainer: record.Trainer, Version: record.Version})
		case *trace.Fault:
			if record.Fault == trace.FaultMachineListLag {
				// The simulator's lag is that of the whole run.
				scenario.System.MachineListLag = max(scenario.System.MachineListLag, time.Duration(record.Delay))
			}
			scenario.Faults = append(scenario.Faults, faultsOf(h, record)...)
		}
	}
	if err := scenario.Validate(); err != nil {
		return sim.Scenario{}, &trace.Error{File: t.File, Line: 1, Message: err.Error()}
	}
	return scenario, nil
}

func setDeployment(scenario *sim.Scenario, h *trace.Header) {
	for _, zone := range h.Zones {
		scenario.Zones = append(scenario.Zones, sim.Zone{Name: zone.Name, Region: zone.Region, Nodes: zone.Nodes})
	}
	for _, pool := range h.Pools {
		scenario.Pools = append(scenario.Pools, sim.Pool{
			Name: pool.Name, PermittedZones: pool.Permitted, MaxConcurrent: pool.MaxConcurrent,
			InteractiveReserve: pool.InteractiveReserve, MaxTokens: scenario.Engine.MaxTokens,
		})
		for _, zone := range h.Zones {
			if count := pool.Engines[zone.Name]; count > 0 {
				scenario.Engines = append(scenario.Engines, sim.EngineGroup{Pool: pool.Name, Zone: zone.Name, Count: count})
			}
		}
	}
	scenario.Engine.InitialVersion = 1
	for _, trainer := range h.Trainers {
		scenario.Trainers = append(scenario.Trainers, sim.Trainer{
			Name: trainer.Name, Pool: trainer.Pool, Zone: trainer.Zone, StalenessBound: trainer.StalenessBound,
			MaxInFlight: trainer.MaxInFlight, LearnPerSample: time.Duration(trainer.LearnPerSample),
			FirstVersion: max(trainer.FirstVersion, 1), GroupSize: groupSize,
		})
	}
}

func setTiming(scenario *sim.Scenario, h *trace.Header) {
	set := func(field *time.Duration, stated trace.Duration) {
		if stated > 0 {
			*field = time.Duration(stated)
		}
	}
	set(&scenario.Latency.SameZone, h.Latency.Local)
	scenario.Latency.SameRegion = time.Duration(h.Latency.Zone)
	set(&scenario.Latency.Other, h.Latency.Region)
	set(&scenario.System.MachineListLag, h.Timing.MachineListLag)
	set(&scenario.System.TakeOver, 3*h.Timing.Lease)
	model := &scenario.Engine
	set(&model.StepBase, h.Engine.StepBase)
	set(&model.StepPerSequence, h.Engine.StepPerSequence)
	set(&model.StepPerPrefillToken, h.Engine.StepPerPrefillToken)
	set(&model.StoreLoad, h.Engine.LoadTime)
	set(&model.CopyLoad, h.Engine.LoadTime/copyShare)
	if h.Engine.MaxRunning > 0 {
		model.MaxRunning = h.Engine.MaxRunning
	}
	if lengths := h.Engine.Lengths; lengths != nil {
		model.Lengths.Median, model.Lengths.Sigma = lengths.Median, lengths.Sigma
	}
}

func requestOf(record *trace.Request) sim.Request {
	return sim.Request{
		At: record.Time(), ID: record.ID, Application: record.Application, Pool: record.Pool, Zone: record.Zone,
		Prompt: promptOf(record.PromptHash, record.ID, record.PromptTokens), Seed: 1, MaxTokens: record.MaxTokens,
		Timeout: time.Duration(record.Timeout), NotRepeatable: record.NotRepeatable,
	}
}

// promptOf returns a prompt of a number of words that no other request has. Requests of one hash begin alike.
func promptOf(hash, id string, words int) string {
	if words <= 0 {
		words = defaultPromptWords
	}
	if hash == "" {
		hash = id
	}
	parts := make([]string, 0, words)
	for word := range words - 1 {
		parts = append(parts, fmt.Sprintf("%s-%d", hash, word))
	}
	return strings.Join(append(parts, id), " ")
}

// expandLoad draws the arrivals of a load.
func expandLoad(seed int64, index int, record *trace.Load) []sim.Request {
	random := rand.New(rand.NewPCG(uint64(seed), loadStream<<32|uint64(index)))
	var requests []sim.Request
	at := record.Time()
	for number := 1; ; number++ {
		at += time.Duration(random.ExpFloat64() / record.Rate * float64(time.Second))
		if at >= time.Duration(record.Until) {
			return requests
		}
		id := LoadRequestID(record.ID, number)
		requests = append(requests, sim.Request{
			At: at, ID: id, Application: record.Application, Pool: record.Pool, Zone: record.Zones[number%len(record.Zones)],
			Prompt: promptOf("", id, record.PromptTokens), Seed: int64(number), MaxTokens: record.MaxTokens,
			Timeout:       time.Duration(record.Timeout),
			NotRepeatable: record.NotRepeatableEvery > 0 && number%record.NotRepeatableEvery == 0,
		})
	}
}

// LoadRequestID returns the ID of a load's request; numbers start at 1.
func LoadRequestID(load string, number int) string { return fmt.Sprintf("%s#%d", load, number) }

// loadOf returns the load that a request belongs to, or false for a single request.
func loadOf(id string) (string, bool) {
	cut := strings.LastIndexByte(id, '#')
	if cut < 0 {
		return "", false
	}
	return id[:cut], true
}

func batchOf(seed int64, record *trace.Batch) sim.Batch {
	batch := sim.Batch{At: record.Time(), Trainer: record.Trainer, Name: record.Name}
	for index := range record.Samples {
		group := fmt.Sprintf("%s/%s/%d/%d", record.Trainer, record.Name, seed, index/groupSize)
		sample := v1.SampleRequest{Prompt: promptOf(group, group, 0), Group: group, MaxTokens: record.MaxTokens, Seed: int64(index)}
		if record.Tokens != nil {
			sample.MaxTokens = record.Tokens[index]
		}
		batch.Samples = append(batch.Samples, sample)
	}
	return batch
}

// faultsOf turns a fault into those of the simulator. Faults of the control plane alone give none.
func faultsOf(h *trace.Header, f *trace.Fault) []sim.Fault {
	made := sim.Fault{At: f.Time(), For: time.Duration(f.For), Target: f.Target, TakesEffect: f.TakesEffect, Count: f.Count}
	switch f.Fault {
	case trace.FaultEngineCrash:
		made.Kind = sim.FaultEngineCrash
	case trace.FaultEngineRestart:
		made.Kind, made.For = sim.FaultEngineCrash, time.Millisecond
	case trace.FaultEngineFreeze:
		made.Kind, made.For = sim.FaultEngineFreeze, endless(f)
	case trace.FaultEngineLeave:
		made.Kind, made.For = sim.FaultEngineLeave, endless(f)
	case trace.FaultSwapFail:
		made.Kind = sim.FaultSwapFails
		return repeat(made, f.Count)
	case trace.FaultNodeCrash:
		made.Kind = sim.FaultNodeCrash
	case trace.FaultNodeStop:
		made.Kind = sim.FaultNodeStop
	case trace.FaultOwnerCrash:
		made.Kind = sim.FaultOwnerCrash
	case trace.FaultOwnerPause:
		made.Kind, made.For = sim.FaultOwnerPause, endless(f)
	case trace.FaultLostReply:
		made.Kind = sim.FaultCommitLost
	case trace.FaultStreamCut:
		made.Kind = sim.FaultStreamCut
	case trace.FaultZoneLoss:
		made.Kind = sim.FaultZoneLoss
	case trace.FaultZoneCut, trace.FaultSwitchLoss:
		made.Kind = sim.FaultZoneCut
	case trace.FaultRegionCut:
		return cutRegion(h, made)
	case trace.FaultPartition:
		made.Kind, made.Target, made.Other = sim.FaultZoneCut, f.From, f.To
	case trace.FaultLoss:
		made.Kind, made.Target, made.Other, made.Share, made.OneWay = sim.FaultMessageLoss, f.From, f.To, 1, true
	default:
		return nil
	}
	return []sim.Fault{made}
}

// endless returns the length of a fault, which lasts to the end where the trace gives none.
func endless(f *trace.Fault) time.Duration {
	if f.For == 0 {
		return forever
	}
	return time.Duration(f.For)
}

func repeat(fault sim.Fault, count int) []sim.Fault {
	faults := make([]sim.Fault, count)
	for i := range faults {
		faults[i] = fault
	}
	return faults
}

// cutRegion cuts every zone of a region from every zone of the others.
func cutRegion(h *trace.Header, made sim.Fault) []sim.Fault {
	var faults []sim.Fault
	for _, inside := range h.Zones {
		if inside.Region != made.Target {
			continue
		}
		for _, outside := range h.Zones {
			if outside.Region != made.Target {
				faults = append(faults, sim.Fault{
					Kind: sim.FaultZoneCut, At: made.At, For: made.For, Target: inside.Name, Other: outside.Name,
				})
			}
		}
	}
	return faults
}
