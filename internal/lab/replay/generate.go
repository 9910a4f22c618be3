package replay

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/lab/trace"
)

const (
	// generatedEnd is the end of a generated run; every fault is over by faultsEnd, so that all work can end.
	generatedEnd = 10 * time.Minute
	faultsEnd    = 150 * time.Second
	workEnd      = 120 * time.Second
	maxFaults    = 8
)

// Generate composes a trace from a seed: the deployment of one of the users or a smaller one over two regions, work of every
// kind, operators' writes, and faults, several at once. It states that every promise is kept, that every batch is
// delivered, and that every request has an outcome. The same seed gives the same trace.
func Generate(seed int64) *trace.Trace {
	g := &generator{random: rand.New(rand.NewPCG(uint64(seed), 11)), made: &trace.Trace{File: fmt.Sprintf("seed-%d", seed)}}
	g.deployment(seed)
	g.work()
	g.writes()
	g.faults()
	slices.SortStableFunc(g.made.Events, func(a, b trace.Event) int { return int(a.Record.Time() - b.Record.Time()) })
	g.expect()
	for i := range g.made.Events {
		g.made.Events[i].Line = 2 + i
	}
	for i := range g.made.Expectations {
		g.made.Expectations[i].Line = 2 + len(g.made.Events) + i
	}
	return g.made
}

type generator struct {
	random *rand.Rand
	made   *trace.Trace
}

// moment returns a time below the end, in whole milliseconds.
func (g *generator) moment(end time.Duration) trace.Duration {
	return trace.Duration(time.Duration(g.random.Int64N(end.Milliseconds())) * time.Millisecond)
}

func pick[T any](random *rand.Rand, from []T) T { return from[random.IntN(len(from))] }

func (g *generator) deployment(seed int64) {
	builders := []func() trace.Header{moreton, cairnpath, twoRegions}
	h := pick(g.random, builders)()
	h.Type, h.Format = trace.TypeTrace, trace.FormatVersion
	h.Name, h.Seed, h.Until = fmt.Sprintf("generated-%d", seed), seed, trace.Duration(generatedEnd)
	for i := range h.Trainers {
		h.Trainers[i].StalenessBound = int64(g.random.IntN(4))
	}
	g.made.Header = h
}

// moreton is the deployment of one of the users.
func moreton() trace.Header {
	zones := []string{"bne-stl", "bne-kgr", "bne-ipw"}
	return trace.Header{
		Zones:   zonesOf("bne", 3, zones...),
		Latency: trace.Latency{Zone: trace.Duration(500 * time.Microsecond), Client: trace.Duration(time.Millisecond)},
		Pools: []trace.Pool{
			{Name: "summ-lm", Permitted: zones, Engines: map[string]int{"bne-stl": 3, "bne-kgr": 3, "bne-ipw": 2}},
			{Name: "roomdesk", Permitted: zones, Engines: map[string]int{"bne-stl": 1, "bne-kgr": 1, "bne-ipw": 1}},
		},
		Trainers:     []trace.Trainer{{Name: "summ-trainer", Pool: "summ-lm", Zone: "bne-stl", StalenessBound: 4}},
		Applications: []trace.Application{{Name: "meeting-rooms", Pools: []string{"summ-lm", "roomdesk"}}},
	}
}

// cairnpath is the deployment of the other user.
func cairnpath() trace.Header {
	zones := []string{"glasgow-hall", "edinburgh-hall", "stirling-hall"}
	return trace.Header{
		Zones:   zonesOf("scot-central", 3, zones...),
		Latency: trace.Latency{Zone: trace.Duration(1500 * time.Microsecond), Client: trace.Duration(3 * time.Millisecond)},
		Pools: []trace.Pool{
			{Name: "cairn-lm-pool", Permitted: zones, Engines: map[string]int{"glasgow-hall": 3, "edinburgh-hall": 3, "stirling-hall": 3}},
			{Name: "wayfinder-api", Permitted: zones, Engines: map[string]int{"glasgow-hall": 2, "edinburgh-hall": 1, "stirling-hall": 1}},
		},
		Trainers:     []trace.Trainer{{Name: "route-trainer", Pool: "cairn-lm-pool", Zone: "glasgow-hall", StalenessBound: 1}},
		Applications: []trace.Application{{Name: "wayfinder", Pools: []string{"cairn-lm-pool", "wayfinder-api"}}},
	}
}

// twoRegions is a small deployment with a pool bound to each region and one to both.
func twoRegions() trace.Header {
	return trace.Header{
		Zones: append(zonesOf("north", 3, "north-a", "north-b"), zonesOf("south", 1, "south-a")...),
		Latency: trace.Latency{
			Zone: trace.Duration(time.Millisecond), Region: trace.Duration(20 * time.Millisecond), Client: trace.Duration(time.Millisecond),
		},
		Pools: []trace.Pool{
			{Name: "northern", Permitted: []string{"north-a", "north-b"}, Engines: map[string]int{"north-a": 2, "north-b": 2}},
			{Name: "southern", Permitted: []string{"south-a"}, Engines: map[string]int{"south-a": 2}},
			{Name: "shared", Permitted: []string{"north-a", "south-a"}, Engines: map[string]int{"north-a": 1, "south-a": 1}},
		},
		Trainers: []trace.Trainer{
			{Name: "trainer-n", Pool: "northern", Zone: "north-a", StalenessBound: 1},
			{Name: "trainer-x", Pool: "shared", Zone: "south-a", StalenessBound: 2},
		},
		Applications: []trace.Application{{Name: "lookup", Pools: []string{"northern", "southern", "shared"}}},
	}
}

func zonesOf(region string, nodes int, names ...string) []trace.Zone {
	var zones []trace.Zone
	for _, name := range names {
		zones = append(zones, trace.Zone{Name: name, Region: region, Nodes: nodes})
	}
	return zones
}

func (g *generator) add(record trace.Record) {
	g.made.Events = append(g.made.Events, trace.Event{Record: record})
}

func (g *generator) work() {
	for _, trainer := range g.made.Header.Trainers {
		for number := range 1 + g.random.IntN(3) {
			g.add(&trace.Batch{
				Type: trace.TypeBatch, At: g.moment(workEnd), Trainer: trainer.Name, Name: fmt.Sprintf("step-%d", number),
				Samples: 8 + g.random.IntN(120), MaxTokens: 64 << g.random.IntN(4),
			})
		}
		var times []trace.Duration
		for range g.random.IntN(5) {
			times = append(times, g.moment(workEnd))
		}
		slices.Sort(times)
		for i, at := range times {
			g.add(&trace.Publish{Type: trace.TypePublish, At: at, Trainer: trainer.Name, Version: int64(i) + 2})
		}
	}
	for _, application := range g.made.Header.Applications {
		for number, pool := range application.Pools {
			at := g.moment(workEnd / 2)
			g.add(&trace.Load{
				Type: trace.TypeLoad, At: at, Until: at + trace.Duration(20*time.Second), ID: fmt.Sprintf("%s-%d", application.Name, number),
				Application: application.Name, Pool: pool, Zones: g.permitted(pool), Rate: 1 + float64(g.random.IntN(12)), MaxTokens: 24,
				NotRepeatableEvery: g.random.IntN(4),
			})
		}
	}
}

func (g *generator) permitted(pool string) []string {
	for _, declared := range g.made.Header.Pools {
		if declared.Name == pool {
			return declared.Permitted
		}
	}
	return nil
}

// writes adds operators' changes of pools; some of them race.
func (g *generator) writes() {
	for number := range g.random.IntN(5) {
		pool := pick(g.random, g.made.Header.Pools)
		spec, err := json.Marshal(v1.PoolSpec{Model: pool.Name, PermittedZones: pool.Permitted, MaxConcurrent: 4 + g.random.IntN(28)})
		if err != nil {
			panic("replay: a pool's spec cannot be encoded: " + err.Error())
		}
		at := g.moment(workEnd) + trace.Duration(5*time.Second)
		write := &trace.Write{
			Type: trace.TypeWrite, At: at, ID: fmt.Sprintf("write-%d", number), Zone: pick(g.random, g.made.Header.Zones).Name,
			Action: trace.ActionUpdate, Kind: string(v1.KindPool), Name: pool.Name, Spec: spec,
		}
		if g.random.IntN(3) == 0 {
			write.Read = at - trace.Duration(time.Duration(g.random.IntN(3000))*time.Millisecond)
		}
		g.add(write)
	}
}

// generatedFaults are the kinds that Generate draws from.
var generatedFaults = []trace.FaultKind{
	trace.FaultEngineCrash, trace.FaultEngineFreeze, trace.FaultEngineRestart, trace.FaultEngineLeave, trace.FaultSwapFail,
	trace.FaultNodeCrash, trace.FaultNodePause, trace.FaultNodeStop, trace.FaultOwnerCrash, trace.FaultOwnerPause,
	trace.FaultCoordinatorCrash, trace.FaultCoordinatorPause, trace.FaultZoneCut, trace.FaultZoneLoss, trace.FaultSwitchLoss,
	trace.FaultRegionCut, trace.FaultPartition, trace.FaultLoss, trace.FaultStoreSlow, trace.FaultStoreOutage,
	trace.FaultStoreLostReply, trace.FaultStoreStale, trace.FaultMachineListLag, trace.FaultLostReply, trace.FaultStreamCut,
}

func (g *generator) faults() {
	for range 1 + g.random.IntN(maxFaults) {
		g.add(g.fault(pick(g.random, generatedFaults)))
	}
}

func (g *generator) fault(kind trace.FaultKind) *trace.Fault {
	at := g.moment(workEnd)
	longest := faultsEnd - time.Duration(at)
	if g.random.IntN(3) > 0 {
		longest = min(longest, 10*time.Second)
	}
	fault := &trace.Fault{Type: trace.TypeFault, At: at, Fault: kind, For: g.moment(longest) + trace.Duration(time.Millisecond)}
	shape := trace.ShapeOf(kind)
	fault.Target = g.target(shape.Target)
	if shape.Pair {
		fault.From = pick(g.random, g.made.Header.Zones).Name
		for fault.To == "" || fault.To == fault.From {
			fault.To = pick(g.random, g.made.Header.Zones).Name
		}
	}
	if shape.Delay {
		fault.Delay = trace.Duration(time.Duration(50+g.random.IntN(5000)) * time.Millisecond)
	}
	if shape.Count {
		fault.Count = 1 + g.random.IntN(3)
	}
	fault.TakesEffect = kind == trace.FaultSwapFail && g.random.IntN(2) == 0
	return fault
}

func (g *generator) target(what string) string {
	h := &g.made.Header
	zone := pick(g.random, h.Zones)
	switch what {
	case "engine":
		return g.engine()
	case "node":
		return trace.NodeName(zone.Name, 1+g.random.IntN(zone.Nodes))
	case "trainer":
		return pick(g.random, h.Trainers).Name
	case "zone":
		return zone.Name
	case "region":
		return zone.Region
	}
	return ""
}

func (g *generator) engine() string {
	pool := pick(g.random, g.made.Header.Pools)
	for {
		zone := pick(g.random, g.made.Header.Zones).Name
		if count := pool.Engines[zone]; count > 0 {
			return trace.EngineName(pool.Name, zone, 1+g.random.IntN(count))
		}
	}
}

// expect states what must hold whatever the faults are.
func (g *generator) expect() {
	add := func(e trace.Expect) {
		e.Type = trace.TypeExpect
		g.made.Expectations = append(g.made.Expectations, trace.Expectation{Expect: e})
	}
	add(trace.Expect{Promise: trace.AllPromises})
	for _, event := range g.made.Events {
		if batch, ok := event.Record.(*trace.Batch); ok {
			whole := int64(batch.Samples)
			add(trace.Expect{Batch: batch.Trainer + "/" + batch.Name, Delivered: &trace.Range{Min: &whole, Max: &whole}})
		}
	}
	for _, trainer := range g.made.Header.Trainers {
		bound := trainer.StalenessBound
		add(trace.Expect{Trainer: trainer.Name, Staleness: &trace.Range{Max: &bound}})
	}
}
