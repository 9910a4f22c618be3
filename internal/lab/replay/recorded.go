package replay

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/covelink/covelink/internal/dispatch"
	"github.com/covelink/covelink/internal/lab/trace"
	"github.com/covelink/covelink/internal/recorder"
)

const (
	// recordedLatency stands in for the latencies, which a node does not know.
	recordedLatency = trace.Duration(time.Millisecond)
	// recordedTail is how long a replay goes on after the last event.
	recordedTail = 5 * time.Minute
	// bytesPerWord turns the size of a prompt into words.
	bytesPerWord = 6
	maxPrompt    = 1 << 16
)

// FromRecorded makes a trace of what /debug/trace of a node shows. left counts the records that a trace cannot hold, such as
// those of a caller that is no longer declared.
func FromRecorded(reader io.Reader) (made *trace.Trace, left int, err error) {
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(nil, trace.MaxLineBytes*16)
	if !scanner.Scan() {
		return nil, 0, fmt.Errorf("empty: %w", orUnexpectedEnd(scanner.Err()))
	}
	var deployment recorder.Deployment
	if err := json.Unmarshal(scanner.Bytes(), &deployment); err != nil {
		return nil, 0, fmt.Errorf("line 1: %w", err)
	}
	var records []recorder.Record
	for scanner.Scan() {
		var record recorder.Record
		if err := json.Unmarshal(scanner.Bytes(), &record); err != nil {
			return nil, 0, fmt.Errorf("line %d: %w", len(records)+2, err)
		}
		records = append(records, record)
	}
	if err := scanner.Err(); err != nil {
		return nil, 0, err
	}
	slices.SortStableFunc(records, func(a, b recorder.Record) int { return a.At.Compare(b.At) })
	c := &converter{deployment: deployment, made: &trace.Trace{File: "recorded"}, batches: map[string]bool{}, requests: map[string]bool{}}
	c.header(records)
	for _, record := range records {
		c.take(record)
	}
	c.expect()
	return c.made, c.left, nil
}

func orUnexpectedEnd(err error) error {
	if err == nil {
		return io.ErrUnexpectedEOF
	}
	return err
}

// converter turns records into events.
type converter struct {
	deployment recorder.Deployment
	made       *trace.Trace
	start      time.Time
	left       int
	batches    map[string]bool
	requests   map[string]bool
}

func (c *converter) header(records []recorder.Record) {
	h := &c.made.Header
	h.Type, h.Format, h.Name = trace.TypeTrace, trace.FormatVersion, "recorded-"+c.deployment.Node
	h.About = "recorded from a node; latencies and engine speeds are those of the defaults"
	h.Seed = 1
	h.Latency = trace.Latency{Zone: recordedLatency, Client: recordedLatency}
	end := time.Duration(0)
	if len(records) > 0 {
		c.start = records[0].At
		end = records[len(records)-1].At.Sub(c.start)
	}
	h.Until = trace.Duration(end + recordedTail)
	for _, zone := range c.deployment.Zones {
		h.Zones = append(h.Zones, trace.Zone{Name: zone.Name, Region: zone.Region, Nodes: zone.Nodes})
	}
	for _, pool := range c.deployment.Pools {
		h.Pools = append(h.Pools, trace.Pool{
			Name: pool.Name, Permitted: pool.Spec.PermittedZones, Engines: pool.Engines,
			MaxConcurrent: pool.Spec.MaxConcurrent, InteractiveReserve: pool.Spec.InteractiveReserve,
		})
	}
	for _, trainer := range c.deployment.Trainers {
		h.Trainers = append(h.Trainers, trace.Trainer{
			Name: trainer.Name, Pool: trainer.Pool, Zone: c.deployment.Zone, StalenessBound: trainer.StalenessBound,
			MaxInFlight: trainer.MaxInFlight, FirstVersion: firstVersion(records, trainer.Name),
		})
	}
	for _, application := range c.deployment.Applications {
		h.Applications = append(h.Applications, trace.Application{Name: application.Name, Pools: application.Pools})
	}
}

// firstVersion returns the version that a trainer had before the first that was recorded.
func firstVersion(records []recorder.Record, trainer string) int64 {
	for _, record := range records {
		if record.Kind == recorder.KindPublish && record.Caller == trainer {
			return max(record.Version-1, 1)
		}
	}
	return 1
}

func (c *converter) take(record recorder.Record) {
	at := trace.Duration(record.At.Sub(c.start))
	switch record.Kind {
	case recorder.KindTask:
		c.takeTask(at, record)
	case recorder.KindBatch:
		c.takeBatch(at, record)
	case recorder.KindPublish:
		c.takePublish(at, record)
	default:
		c.left++
	}
}

func (c *converter) add(record trace.Record) {
	c.made.Events = append(c.made.Events, trace.Event{Record: record})
}

// takeTask takes an interactive request over; the tasks of samples follow from their batches.
func (c *converter) takeTask(at trace.Duration, record recorder.Record) {
	if record.Class != dispatch.ClassInteractive.String() {
		return
	}
	declared := slices.ContainsFunc(c.made.Header.Applications, func(application trace.Application) bool {
		return application.Name == record.Caller && slices.Contains(application.Pools, record.Pool)
	})
	if !declared || c.requests[record.ID] || record.MaxTokens < 1 {
		c.left++
		return
	}
	c.requests[record.ID] = true
	c.add(&trace.Request{
		Type: trace.TypeRequest, At: at, ID: record.ID, Application: record.Caller, Pool: record.Pool, Zone: c.deployment.Zone,
		MaxTokens: record.MaxTokens, PromptTokens: min(record.PromptBytes/bytesPerWord+1, maxPrompt), PromptHash: record.PromptHash,
		Timeout: trace.Duration(max(record.TimeoutMillis, 0)) * trace.Duration(time.Millisecond), NotRepeatable: record.NotRepeatable,
	})
}

func (c *converter) declaredTrainer(name string) *trace.Trainer {
	for i := range c.made.Header.Trainers {
		if c.made.Header.Trainers[i].Name == name {
			return &c.made.Header.Trainers[i]
		}
	}
	return nil
}

func (c *converter) takeBatch(at trace.Duration, record recorder.Record) {
	key := record.Caller + "/" + record.Batch
	if c.declaredTrainer(record.Caller) == nil || c.batches[key] || record.Samples < 1 {
		c.left++
		return
	}
	c.batches[key] = true
	c.add(&trace.Batch{
		Type: trace.TypeBatch, At: at, Trainer: record.Caller, Name: record.Batch, Samples: record.Samples, Tokens: record.SampleMaxTokens,
	})
}

// takePublish takes a publication over, unless it only repeats what the trainer has published.
func (c *converter) takePublish(at trace.Duration, record recorder.Record) {
	trainer := c.declaredTrainer(record.Caller)
	if trainer == nil {
		c.left++
		return
	}
	last := trainer.FirstVersion
	for _, event := range c.made.Events {
		if published, ok := event.Record.(*trace.Publish); ok && published.Trainer == record.Caller {
			last = published.Version
		}
	}
	if record.Version <= last {
		c.left++
		return
	}
	c.add(&trace.Publish{Type: trace.TypePublish, At: at, Trainer: record.Caller, Version: record.Version})
}

// expect states that every promise is kept.
func (c *converter) expect() {
	c.made.Expectations = []trace.Expectation{{Expect: trace.Expect{Type: trace.TypeExpect, Promise: trace.AllPromises}}}
}
