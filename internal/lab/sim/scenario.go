package sim

import (
	"fmt"
	"slices"
	"time"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/lab/enginesim"
)

// Scenario is everything that a simulation depends on. The same scenario gives the same Result, byte for byte. Times are
// durations since the start of the simulation.
type Scenario struct {
	Name string `yaml:"name"`
	// Seed makes every random choice.
	Seed uint64 `yaml:"seed"`
	// Duration bounds the virtual time. A simulation ends earlier when every trainer has all its batches and every request
	// has its outcome.
	Duration time.Duration `yaml:"duration"`
	Policy   Policy        `yaml:"policy"`

	Zones   []Zone        `yaml:"zones"`
	Latency Latency       `yaml:"latency"`
	Pools   []Pool        `yaml:"pools"`
	Engines []EngineGroup `yaml:"engines"`
	Engine  EngineModel   `yaml:"engine"`
	System  System        `yaml:"system"`

	Trainers     []Trainer     `yaml:"trainers"`
	Applications []Application `yaml:"applications"`
	// Requests are single interactive requests, Batches single batches, and Publications single statements of weights,
	// beside those of the applications and trainers above. Recorded traces are replayed through them.
	Requests     []Request     `yaml:"requests"`
	Batches      []Batch       `yaml:"batches"`
	Publications []Publication `yaml:"publications"`
	Faults       []Fault       `yaml:"faults"`

	// SkipInvariants leaves Result.Report empty: a history of every token is too large for the largest scenarios.
	SkipInvariants bool `yaml:"skipInvariants"`
}

// Zone is a zone with its nodes, named ZONE-node-N from N = 1.
type Zone struct {
	Name   string `yaml:"name"`
	Region string `yaml:"region"`
	Nodes  int    `yaml:"nodes"`
}

// Latency gives the one-way delay of a message between two places.
type Latency struct {
	SameZone   time.Duration `yaml:"sameZone"`
	SameRegion time.Duration `yaml:"sameRegion"`
	Other      time.Duration `yaml:"other"`
	// Pairs override the delay between two zones, in both directions.
	Pairs []LatencyPair `yaml:"pairs"`
}

// LatencyPair is the one-way delay between two zones.
type LatencyPair struct {
	A     string        `yaml:"a"`
	B     string        `yaml:"b"`
	Delay time.Duration `yaml:"delay"`
}

// Pool is a pool as its resource states it. Its engines serve the model of the same name.
type Pool struct {
	Name               string   `yaml:"name"`
	PermittedZones     []string `yaml:"permittedZones"`
	MaxTokens          int      `yaml:"maxTokens"`
	MaxConcurrent      int      `yaml:"maxConcurrent"`
	InteractiveReserve int      `yaml:"interactiveReserve"`
}

// EngineGroup is a number of engines of a pool in a zone, named POOL-ZONE-NNN from 001.
type EngineGroup struct {
	Pool  string `yaml:"pool"`
	Zone  string `yaml:"zone"`
	Count int    `yaml:"count"`
}

// EngineModel is how the engines behave.
type EngineModel struct {
	enginesim.Config `yaml:",inline"`
	// StoreLoad is the time to load a version from the weight store, CopyLoad that to copy it from another engine.
	StoreLoad time.Duration `yaml:"storeLoad"`
	CopyLoad  time.Duration `yaml:"copyLoad"`
	// StreamInterval is how often tokens are sent while nothing else happens; 0 sends each at its step. A longer interval
	// makes a simulation faster. Ends of answers are never late.
	StreamInterval time.Duration `yaml:"streamInterval"`
}

// System is what surrounds the decisions: how late observations are and how long take-overs last.
type System struct {
	// ViewInterval is how often a zone tells the others what changed of its engines.
	ViewInterval time.Duration `yaml:"viewInterval"`
	// Detect is the time until a failed engine is known as failed, or a started one as started, in its zone.
	Detect time.Duration `yaml:"detect"`
	// MachineListLag is the lag of the list of leaving machines.
	MachineListLag time.Duration `yaml:"machineListLag"`
	// BreakDetect is the time until a connection that carries nothing any more is known as broken.
	BreakDetect time.Duration `yaml:"breakDetect"`
	// DialTimeout is the time until a connection that is not answered is given up.
	DialTimeout time.Duration `yaml:"dialTimeout"`
	// CommitTime is the time to make entries durable, TakeOver that until another node owns a lost owner's batches.
	CommitTime time.Duration `yaml:"commitTime"`
	TakeOver   time.Duration `yaml:"takeOver"`
	// MaxQueued and MaxQueuedTokens bound a node's queue.
	MaxQueued       int   `yaml:"maxQueued"`
	MaxQueuedTokens int64 `yaml:"maxQueuedTokens"`
}

// Trainer is a trainer with its batches, which it consumes one after the other.
type Trainer struct {
	Name           string `yaml:"name"`
	Pool           string `yaml:"pool"`
	Zone           string `yaml:"zone"`
	StalenessBound int64  `yaml:"stalenessBound"`
	MaxInFlight    int    `yaml:"maxInFlight"`
	Weight         int    `yaml:"weight"`
	// Batches of Samples each, of which as many as Ahead are submitted beside the one that is consumed.
	Batches int `yaml:"batches"`
	Samples int `yaml:"samples"`
	Ahead   int `yaml:"ahead"`
	// WholeBatch trainers learn from a batch only once they hold all of it.
	WholeBatch bool `yaml:"wholeBatch"`
	// GroupSize samples share a prompt of PromptWords words.
	GroupSize      int           `yaml:"groupSize"`
	PromptWords    int           `yaml:"promptWords"`
	MaxTokens      int           `yaml:"maxTokens"`
	LearnPerSample time.Duration `yaml:"learnPerSample"`
	FetchLimit     int           `yaml:"fetchLimit"`
	FetchWait      time.Duration `yaml:"fetchWait"`
	// FirstVersion is published at the start. PublishEverySamples publishes the next version each time so many more samples
	// were learnt; 0 means never.
	FirstVersion        int64 `yaml:"firstVersion"`
	PublishEverySamples int   `yaml:"publishEverySamples"`
}

// Application is a stream of interactive requests with bursts, as a Poisson process.
type Application struct {
	Name              string        `yaml:"name"`
	Pool              string        `yaml:"pool"`
	Zone              string        `yaml:"zone"`
	RequestsPerSecond float64       `yaml:"requestsPerSecond"`
	Start             time.Duration `yaml:"start"`
	// End is when the last request may arrive; 0 means when the trainers have all their batches, or without any the end of
	// the simulation.
	End time.Duration `yaml:"end"`
	// A burst multiplies the rate by BurstFactor for BurstLength, every BurstEvery.
	BurstEvery         time.Duration `yaml:"burstEvery"`
	BurstLength        time.Duration `yaml:"burstLength"`
	BurstFactor        float64       `yaml:"burstFactor"`
	MaxTokens          int           `yaml:"maxTokens"`
	PromptWords        int           `yaml:"promptWords"`
	Timeout            time.Duration `yaml:"timeout"`
	NotRepeatableShare float64       `yaml:"notRepeatableShare"`
}

// Request is one interactive request.
type Request struct {
	At            time.Duration `yaml:"at"`
	ID            string        `yaml:"id"`
	Application   string        `yaml:"application"`
	Pool          string        `yaml:"pool"`
	Zone          string        `yaml:"zone"`
	Prompt        string        `yaml:"prompt"`
	Seed          int64         `yaml:"seed"`
	MaxTokens     int           `yaml:"maxTokens"`
	Timeout       time.Duration `yaml:"timeout"`
	NotRepeatable bool          `yaml:"notRepeatable"`
}

// Batch is one batch of a trainer of the scenario, consumed after the trainer's own batches.
type Batch struct {
	At      time.Duration      `yaml:"at"`
	Trainer string             `yaml:"trainer"`
	Name    string             `yaml:"name"`
	Samples []v1.SampleRequest `yaml:"samples"`
}

// Publication is a version that a trainer publishes at a time.
type Publication struct {
	At      time.Duration `yaml:"at"`
	Trainer string        `yaml:"trainer"`
	Version int64         `yaml:"version"`
}

// FaultKind names a fault.
type FaultKind string

// The faults. Target is an engine, a node, a zone or a trainer; For is how long the fault lasts.
const (
	// FaultEngineCrash: the engine dies and starts again after For; 0 means never.
	FaultEngineCrash FaultKind = "engine-crash"
	// FaultEngineFreeze: the engine does nothing for For, and then goes on.
	FaultEngineFreeze FaultKind = "engine-freeze"
	// FaultEngineLeave: the machine list tells that the engine leaves; it dies after For.
	FaultEngineLeave FaultKind = "engine-leave"
	// FaultZoneCut: nothing passes between Target and Other (empty: every other zone) for For.
	FaultZoneCut FaultKind = "zone-cut"
	// FaultZoneLoss: every engine and node of the zone dies, and starts again after For; 0 means never.
	FaultZoneLoss FaultKind = "zone-loss"
	// FaultMessageLoss: a message between Target and Other (empty: any two places) is lost with probability Share.
	FaultMessageLoss FaultKind = "message-loss"
	// FaultSwapFails: the engine's next activation fails partway, having taken effect if TakesEffect is set.
	FaultSwapFails FaultKind = "swap-fails"
	// FaultPrepareFails: the engine's next preparation fails.
	FaultPrepareFails FaultKind = "prepare-fails"
	// FaultOwnerCrash: the trainer's owner is lost, and another node takes over.
	FaultOwnerCrash FaultKind = "owner-crash"
	// FaultNodeStop: the node is stopped as planned, and starts again after For; 0 means never.
	FaultNodeStop FaultKind = "node-stop"
	// FaultNodeCrash: the node dies, and starts again after For; 0 means never.
	FaultNodeCrash FaultKind = "node-crash"
	// FaultOwnerPause: the trainer's owner stands still for For and then goes on, not knowing that another may have taken over.
	FaultOwnerPause FaultKind = "owner-pause"
	// FaultCommitLost: the answers to the owner's next Count commits are lost after they took effect.
	FaultCommitLost FaultKind = "commit-lost"
	// FaultStreamCut: the connections of the attempts on the engine break.
	FaultStreamCut FaultKind = "stream-cut"
)

var faultKinds = []FaultKind{
	FaultEngineCrash, FaultEngineFreeze, FaultEngineLeave, FaultZoneCut, FaultZoneLoss, FaultMessageLoss,
	FaultSwapFails, FaultPrepareFails, FaultOwnerCrash, FaultNodeStop, FaultNodeCrash,
	FaultOwnerPause, FaultCommitLost, FaultStreamCut,
}

// Fault is something that goes wrong at a time.
type Fault struct {
	At     time.Duration `yaml:"at"`
	For    time.Duration `yaml:"for"`
	Kind   FaultKind     `yaml:"kind"`
	Target string        `yaml:"target"`
	Other  string        `yaml:"other"`
	Share  float64       `yaml:"share"`
	// OneWay loses only the messages from Target to Other.
	OneWay      bool `yaml:"oneWay"`
	Count       int  `yaml:"count"`
	TakesEffect bool `yaml:"takesEffect"`
}

// DefaultScenario returns the settings that hold where a scenario says nothing. It has no zones, pools or work.
func DefaultScenario() Scenario {
	model := enginesim.DefaultConfig()
	return Scenario{
		Seed:     1,
		Duration: time.Hour,
		Policy:   Covelink(),
		Latency:  Latency{SameZone: 200 * time.Microsecond, SameRegion: time.Millisecond, Other: 20 * time.Millisecond},
		Engine: EngineModel{
			Config:    model,
			StoreLoad: 8 * time.Second,
			CopyLoad:  2 * time.Second,
		},
		System: System{
			ViewInterval:    250 * time.Millisecond,
			Detect:          time.Second,
			MachineListLag:  20 * time.Second,
			BreakDetect:     9 * time.Second,
			DialTimeout:     2 * time.Second,
			CommitTime:      2 * time.Millisecond,
			TakeOver:        3 * time.Second,
			MaxQueued:       10_000,
			MaxQueuedTokens: 50_000_000,
		},
	}
}

// withDefaults fills in the fields of the work for which zero has no meaning.
func (s Scenario) withDefaults() Scenario {
	s.Pools = slices.Clone(s.Pools)
	for index := range s.Pools {
		fill(&s.Pools[index].MaxConcurrent, 16)
		fill(&s.Pools[index].MaxTokens, s.Engine.MaxTokens)
	}
	s.Trainers = slices.Clone(s.Trainers)
	for index := range s.Trainers {
		t := &s.Trainers[index]
		fill(&t.MaxInFlight, 1024)
		fill(&t.GroupSize, 8)
		fill(&t.PromptWords, 24)
		fill(&t.FetchLimit, 128)
		fill(&t.FetchWait, 5*time.Second)
		fill(&t.FirstVersion, s.Engine.InitialVersion)
		fill(&t.FirstVersion, 1)
	}
	s.Applications = slices.Clone(s.Applications)
	for index := range s.Applications {
		a := &s.Applications[index]
		fill(&a.PromptWords, 24)
		fill(&a.Timeout, 30*time.Second)
		fill(&a.BurstFactor, 1)
	}
	s.Requests = slices.Clone(s.Requests)
	for index := range s.Requests {
		fill(&s.Requests[index].Timeout, 30*time.Second)
	}
	return s
}

// fill sets a field that is zero.
func fill[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Validate returns an error that names the first unfit field, or nil.
func (s Scenario) Validate() error {
	if s.Duration <= 0 {
		return fmt.Errorf("scenario: duration must be above 0")
	}
	if err := s.Engine.Validate(); err != nil {
		return fmt.Errorf("scenario: %w", err)
	}
	for _, check := range []func() error{s.checkPlaces, s.checkWork, s.checkFaults, s.Policy.validate} {
		if err := check(); err != nil {
			return fmt.Errorf("scenario: %w", err)
		}
	}
	return nil
}

func (s Scenario) hasZone(name string) bool {
	return slices.ContainsFunc(s.Zones, func(zone Zone) bool { return zone.Name == name })
}

func (s Scenario) hasPool(name string) bool {
	return slices.ContainsFunc(s.Pools, func(pool Pool) bool { return pool.Name == name })
}

func (s Scenario) hasTrainer(name string) bool {
	return slices.ContainsFunc(s.Trainers, func(trainer Trainer) bool { return trainer.Name == name })
}

func (s Scenario) checkPlaces() error {
	nodes := 0
	for index, zone := range s.Zones {
		if zone.Name == "" || zone.Nodes < 0 {
			return fmt.Errorf("zones[%d]: a zone has a name and 0 or more nodes", index)
		}
		nodes += zone.Nodes
	}
	if nodes == 0 {
		return fmt.Errorf("zones: no zone has a node")
	}
	for index, pool := range s.Pools {
		for _, zone := range pool.PermittedZones {
			if !s.hasZone(zone) {
				return fmt.Errorf("pools[%d].permittedZones: no zone %q", index, zone)
			}
		}
	}
	for index, group := range s.Engines {
		if !s.hasPool(group.Pool) || !s.hasZone(group.Zone) || group.Count < 0 {
			return fmt.Errorf("engines[%d]: no pool %q, no zone %q or a negative count", index, group.Pool, group.Zone)
		}
	}
	return nil
}

func (s Scenario) checkWork() error {
	for index, trainer := range s.Trainers {
		if trainer.Name == "" || !s.hasPool(trainer.Pool) || !s.hasZone(trainer.Zone) {
			return fmt.Errorf("trainers[%d]: no name, no pool %q or no zone %q", index, trainer.Pool, trainer.Zone)
		}
		if trainer.Batches > 0 && trainer.Samples <= 0 {
			return fmt.Errorf("trainers[%d].samples: must be above 0", index)
		}
	}
	for index, application := range s.Applications {
		if !s.hasPool(application.Pool) || !s.hasZone(application.Zone) || application.RequestsPerSecond <= 0 {
			return fmt.Errorf("applications[%d]: no pool %q, no zone %q or no rate", index, application.Pool, application.Zone)
		}
	}
	for index, request := range s.Requests {
		if request.ID == "" || !s.hasPool(request.Pool) || !s.hasZone(request.Zone) {
			return fmt.Errorf("requests[%d]: no id, no pool %q or no zone %q", index, request.Pool, request.Zone)
		}
	}
	for index, batch := range s.Batches {
		if !s.hasTrainer(batch.Trainer) || batch.Name == "" || len(batch.Samples) == 0 {
			return fmt.Errorf("batches[%d]: no trainer %q, no name or no samples", index, batch.Trainer)
		}
	}
	for index, publication := range s.Publications {
		if !s.hasTrainer(publication.Trainer) || publication.Version <= 0 {
			return fmt.Errorf("publications[%d]: no trainer %q or no version", index, publication.Trainer)
		}
	}
	return nil
}

func (s Scenario) checkFaults() error {
	for index, fault := range s.Faults {
		if !slices.Contains(faultKinds, fault.Kind) {
			return fmt.Errorf("faults[%d].kind: no fault %q", index, fault.Kind)
		}
		if fault.Share < 0 || fault.Share > 1 {
			return fmt.Errorf("faults[%d].share: must be 0 to 1", index)
		}
	}
	return nil
}
