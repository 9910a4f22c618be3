package trace

import (
	"encoding/json"
	"time"
)

// Request is one interactive request.
type Request struct {
	Type string   `json:"type"`
	At   Duration `json:"at"`
	// ID identifies the request in expectations; requests of the same ID are the same request asked again.
	ID          string `json:"id"`
	Application string `json:"application"`
	Pool        string `json:"pool"`
	// Zone is the zone whose nodes the client asks.
	Zone string `json:"zone"`
	// MaxTokens bounds the answer; PromptTokens is the length of the prompt.
	MaxTokens    int `json:"maxTokens"`
	PromptTokens int `json:"promptTokens,omitempty"`
	// PromptHash groups recorded requests of the same prompt; bodies are not recorded.
	PromptHash string `json:"promptHash,omitempty"`
	// Timeout bounds the whole request; 0 means 30s.
	Timeout Duration `json:"timeout,omitempty"`
	// NotRepeatable marks a request that must run at most once.
	NotRepeatable bool `json:"notRepeatable,omitempty"`
}

// Load is a Poisson stream of interactive requests named ID-0, ID-1 and so on.
type Load struct {
	Type        string   `json:"type"`
	At          Duration `json:"at"`
	Until       Duration `json:"until"`
	ID          string   `json:"id"`
	Application string   `json:"application"`
	Pool        string   `json:"pool"`
	// Zones are asked in turn.
	Zones []string `json:"zones"`
	// Rate is in requests a second.
	Rate         float64  `json:"rate"`
	MaxTokens    int      `json:"maxTokens"`
	PromptTokens int      `json:"promptTokens,omitempty"`
	Timeout      Duration `json:"timeout,omitempty"`
	// NotRepeatableEvery marks every n-th request as not repeatable; 0 marks none.
	NotRepeatableEvery int `json:"notRepeatableEvery,omitempty"`
}

// Batch is a batch that a trainer submits and waits for.
type Batch struct {
	Type    string   `json:"type"`
	At      Duration `json:"at"`
	Trainer string   `json:"trainer"`
	Name    string   `json:"name"`
	// Samples is the number of samples; MaxTokens bounds each.
	Samples   int `json:"samples"`
	MaxTokens int `json:"maxTokens,omitempty"`
	// Tokens gives the bound of each sample instead of MaxTokens; its length is Samples. 0 means the engines' bound.
	Tokens []int `json:"tokens,omitempty"`
}

// Publish is a trainer's publication of new weights.
type Publish struct {
	Type    string   `json:"type"`
	At      Duration `json:"at"`
	Trainer string   `json:"trainer"`
	Version int64    `json:"version"`
}

// The actions of a write.
const (
	ActionCreate = "create"
	ActionUpdate = "update"
	ActionDelete = "delete"
)

// Write is an operator's change of a resource, through a node of a zone.
type Write struct {
	Type   string   `json:"type"`
	At     Duration `json:"at"`
	ID     string   `json:"id"`
	Zone   string   `json:"zone"`
	Action string   `json:"action"`
	Kind   string   `json:"kind"`
	Name   string   `json:"name"`
	// Read is when the operator read the object that the update is based on; 0 means just before the write.
	Read Duration        `json:"read,omitempty"`
	Spec json.RawMessage `json:"spec,omitempty"`
}

// FaultKind names a fault.
type FaultKind string

// The faults. Each names what Target is; a fault lasts For, or to the end of the run where For is 0.
const (
	// FaultEngineCrash: an engine dies; after For it restarts as another incarnation.
	FaultEngineCrash FaultKind = "engine-crash"
	// FaultEngineFreeze: an engine neither works nor answers, then goes on.
	FaultEngineFreeze FaultKind = "engine-freeze"
	// FaultEngineRestart: an engine dies and comes back at once as another incarnation.
	FaultEngineRestart FaultKind = "engine-restart"
	// FaultEngineLeave: the platform takes an engine away; the machine list tells after its lag.
	FaultEngineLeave FaultKind = "engine-leave"
	// FaultSwapFail: the next Count activations of an engine fail partway; with TakesEffect the weights changed all the same.
	FaultSwapFail FaultKind = "swap-fail"
	// FaultNodeCrash: a node dies; after For it starts again with nothing in memory.
	FaultNodeCrash FaultKind = "node-crash"
	// FaultNodePause: a node's process stands still, then goes on without having noticed.
	FaultNodePause FaultKind = "node-pause"
	// FaultNodeStop: a planned stop of a node.
	FaultNodeStop FaultKind = "node-stop"
	// FaultOwnerCrash: the node that owns a trainer's batches dies. Target is the trainer.
	FaultOwnerCrash FaultKind = "owner-crash"
	// FaultOwnerPause: the owner's node stands still. Target is the trainer.
	FaultOwnerPause FaultKind = "owner-pause"
	// FaultCoordinatorCrash: the node that coordinates the zone Target dies.
	FaultCoordinatorCrash FaultKind = "coordinator-crash"
	// FaultCoordinatorPause: the node that coordinates the zone Target stands still.
	FaultCoordinatorPause FaultKind = "coordinator-pause"
	// FaultZoneCut: nothing passes between the zone Target and the others.
	FaultZoneCut FaultKind = "zone-cut"
	// FaultZoneLoss: every node and engine of the zone Target dies.
	FaultZoneLoss FaultKind = "zone-loss"
	// FaultSwitchLoss: nothing passes to, from and within the zone Target.
	FaultSwitchLoss FaultKind = "switch-loss"
	// FaultRegionCut: nothing passes between the region Target and the others.
	FaultRegionCut FaultKind = "region-cut"
	// FaultPartition: nothing passes between the zones From and To.
	FaultPartition FaultKind = "partition"
	// FaultLoss: what is sent from the zone From to the zone To is lost; the other way it passes.
	FaultLoss FaultKind = "loss"
	// FaultStoreSlow: the store takes Delay longer for every answer.
	FaultStoreSlow FaultKind = "store-slow"
	// FaultStoreOutage: the store answers nothing.
	FaultStoreOutage FaultKind = "store-outage"
	// FaultStoreLostReply: the answers of the next Count writes are lost after they took effect.
	FaultStoreLostReply FaultKind = "store-lost-reply"
	// FaultStoreStale: lists and watches of the store show it as of Count revisions ago.
	FaultStoreStale FaultKind = "store-stale"
	// FaultMachineListLag: the machine list trails Delay behind.
	FaultMachineListLag FaultKind = "machine-list-lag"
	// FaultLostReply: the next Count answers of the ledger's log to the owner of the trainer Target are lost after they took effect.
	FaultLostReply FaultKind = "lost-reply"
	// FaultStreamCut: the answers in flight on an engine are cut off.
	FaultStreamCut FaultKind = "stream-cut"
)

// Fault is something that fails.
type Fault struct {
	Type   string    `json:"type"`
	At     Duration  `json:"at"`
	Fault  FaultKind `json:"fault"`
	Target string    `json:"target,omitempty"`
	From   string    `json:"from,omitempty"`
	To     string    `json:"to,omitempty"`
	For    Duration  `json:"for,omitempty"`
	Delay  Duration  `json:"delay,omitempty"`
	Count  int       `json:"count,omitempty"`
	// TakesEffect: a failed swap changed the weights all the same.
	TakesEffect bool `json:"takesEffect,omitempty"`
}

// Time implements Record.
func (r *Request) Time() time.Duration { return time.Duration(r.At) }

// Time implements Record.
func (r *Load) Time() time.Duration { return time.Duration(r.At) }

// Time implements Record.
func (r *Batch) Time() time.Duration { return time.Duration(r.At) }

// Time implements Record.
func (r *Publish) Time() time.Duration { return time.Duration(r.At) }

// Time implements Record.
func (r *Write) Time() time.Duration { return time.Duration(r.At) }

// Time implements Record.
func (r *Fault) Time() time.Duration { return time.Duration(r.At) }
