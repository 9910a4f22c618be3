// Package trace is the format of recorded and written traces: versioned JSON lines that hold a deployment, what happened
// to it in virtual time, and the outcomes that a replay must show. docs/TRACES.md documents every field.
package trace

import (
	"encoding/json"
	"fmt"
	"time"
)

// FormatVersion is the version of the format that this package reads and writes.
const FormatVersion = 1

// The types of lines.
const (
	TypeTrace   = "trace"
	TypeRequest = "request"
	TypeLoad    = "load"
	TypeBatch   = "batch"
	TypePublish = "publish"
	TypeWrite   = "write"
	TypeFault   = "fault"
	TypeExpect  = "expect"
)

// Duration is a length of time, written as Go writes it: "1.5s", "20ms".
type Duration time.Duration

func (d Duration) seconds() float64 { return time.Duration(d).Seconds() }

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(d).String()) }

// UnmarshalJSON implements json.Unmarshaler.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return fmt.Errorf("a duration must be a string such as \"1.5s\"")
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf("%q is not a duration", text)
	}
	*d = Duration(parsed)
	return nil
}

// Trace is one trace file.
type Trace struct {
	// File names the trace in messages.
	File   string
	Header Header
	// Events are in order of time; events of the same time happen in order of lines.
	Events []Event
	// Expectations are the stated outcomes.
	Expectations []Expectation
}

// Event is an event with its place in the file.
type Event struct {
	Line   int
	Record Record
}

// Record is what happened: one of the types of records.go.
type Record interface {
	// Time is when it happened, from the start of the run.
	Time() time.Duration
	check(*checker)
}

// Expectation is a stated outcome with its place in the file.
type Expectation struct {
	Line   int
	Expect Expect
}

// Header is the first line: the deployment and how the run is driven.
type Header struct {
	Type   string `json:"type"`
	Format int    `json:"format"`
	Name   string `json:"name"`
	// About says in a sentence what the trace shows.
	About string `json:"about,omitempty"`
	// Seed is the seed of every random choice of the run.
	Seed int64 `json:"seed"`
	// Until is the virtual time at which the run ends.
	Until        Duration      `json:"until"`
	Zones        []Zone        `json:"zones"`
	Latency      Latency       `json:"latency"`
	Pools        []Pool        `json:"pools"`
	Trainers     []Trainer     `json:"trainers,omitempty"`
	Applications []Application `json:"applications,omitempty"`
	Engine       EngineModel   `json:"engine,omitzero"`
	Timing       Timing        `json:"timing,omitzero"`
}

// Zone is a zone and the number of its nodes, named ZONE-node-1 and so on.
type Zone struct {
	Name   string `json:"name"`
	Region string `json:"region"`
	Nodes  int    `json:"nodes"`
}

// Latency holds one-way latencies.
type Latency struct {
	// Local is within a zone, Zone between zones of a region, Region between regions, Client between a client and a node.
	Local  Duration `json:"local,omitempty"`
	Zone   Duration `json:"zone"`
	Region Duration `json:"region,omitempty"`
	Client Duration `json:"client"`
}

// Pool is a model pool with its engines, named POOL-ZONE-001 and so on.
type Pool struct {
	Name string `json:"name"`
	// Permitted are the zones where the pool's data may be processed.
	Permitted []string `json:"permitted"`
	// Engines counts the engines in each zone.
	Engines map[string]int `json:"engines"`
	// MaxConcurrent bounds the requests in flight on an engine; 0 means the scheduler's default.
	MaxConcurrent int `json:"maxConcurrent,omitempty"`
	// InteractiveReserve keeps slots of each engine for interactive requests.
	InteractiveReserve int `json:"interactiveReserve,omitempty"`
}

// Trainer is a trainer: it fetches, acknowledges and learns.
type Trainer struct {
	Name string `json:"name"`
	Pool string `json:"pool"`
	// Zone is the zone whose nodes it calls.
	Zone           string `json:"zone"`
	StalenessBound int64  `json:"stalenessBound"`
	// MaxInFlight bounds its samples in flight; 0 means the default.
	MaxInFlight int `json:"maxInFlight,omitempty"`
	// FirstVersion is the weight version at the start; 0 means 1.
	FirstVersion int64 `json:"firstVersion,omitempty"`
	// LearnPerSample is how long it learns from a sample.
	LearnPerSample Duration `json:"learnPerSample,omitempty"`
}

// Application is a client of interactive requests.
type Application struct {
	Name  string   `json:"name"`
	Pools []string `json:"pools"`
}

// EngineModel is how fast engines are; zero values mean the defaults of the engine model.
type EngineModel struct {
	StepBase            Duration `json:"stepBase,omitempty"`
	StepPerSequence     Duration `json:"stepPerSequence,omitempty"`
	StepPerPrefillToken Duration `json:"stepPerPrefillToken,omitempty"`
	MaxRunning          int      `json:"maxRunning,omitempty"`
	Lengths             *Lengths `json:"lengths,omitempty"`
	// LoadTime is how long an engine takes to prepare a version.
	LoadTime Duration `json:"loadTime,omitempty"`
}

// Lengths is the log-normal distribution of answer lengths in tokens.
type Lengths struct {
	Median float64 `json:"median"`
	Sigma  float64 `json:"sigma"`
}

// Timing holds the lengths of time that the system is set to; zero values mean the defaults.
type Timing struct {
	Lease     Duration `json:"lease,omitempty"`
	Heartbeat Duration `json:"heartbeat,omitempty"`
	// MachineListLag is how long the machine list trails behind.
	MachineListLag Duration `json:"machineListLag,omitempty"`
}
