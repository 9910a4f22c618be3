package engine

import (
	"fmt"
	"time"

	"github.com/covelink/covelink/api/enginev1"
)

// FaultKind names a failure that can be switched on.
type FaultKind string

// The kinds that change streams. Each acts on the next Count streams, at the event whose sequence number is
// AfterEvents; a stream that ends earlier is unharmed.
const (
	FaultDuplicate   FaultKind = "duplicate"   // the event is sent twice
	FaultReorder     FaultKind = "reorder"     // the event is sent after the one that follows it
	FaultDrop        FaultKind = "drop"        // the event is not sent
	FaultTruncate    FaultKind = "truncate"    // the stream ends before the event, like a whole one
	FaultUnversioned FaultKind = "unversioned" // the event and all after it carry no version
	FaultReset       FaultKind = "reset"       // the connection is reset before the event
	FaultCrash       FaultKind = "crash"       // the engine restarts before the event
)

// The kinds that change the engine.
const (
	FaultRestart      FaultKind = "restart"       // at once: new incarnation, initial version, in-flight work lost
	FaultFreeze       FaultKind = "freeze"        // for Delay nothing moves and nothing is answered
	FaultRefuseLate   FaultKind = "refuse_late"   // the next Count requests are refused as full after Delay
	FaultFailPrepare  FaultKind = "fail_prepare"  // the next Count preparations fail
	FaultFailActivate FaultKind = "fail_activate" // the next Count activations fail partway
)

// Fault is a failure to switch on.
type Fault struct {
	Kind FaultKind `json:"kind"`
	// Count is the number of occurrences; 0 means 1.
	Count       int    `json:"count,omitempty"`
	AfterEvents uint64 `json:"after_events,omitempty"`
	DelayMillis int64  `json:"delay_ms,omitempty"`
	// TakesEffect tells whether a failing activation switches the version all the same.
	TakesEffect bool `json:"takes_effect,omitempty"`
}

func (f Fault) delay() time.Duration { return time.Duration(f.DelayMillis) * time.Millisecond }

// faultTable holds the failures that are still to happen, one entry an occurrence, oldest first.
type faultTable struct {
	streams  []Fault
	refusals []Fault
}

// takeFirst removes the first fault of a list, if there is one.
func takeFirst(list *[]Fault) *Fault {
	if len(*list) == 0 {
		return nil
	}
	first := (*list)[0]
	*list = (*list)[1:]
	return &first
}

// Inject switches a failure on. An unknown kind is an error.
func (e *Engine) Inject(fault Fault) error {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	now := time.Now()
	for range max(1, fault.Count) {
		if err := e.injectOne(now, fault); err != nil {
			return err
		}
	}
	e.wakeDriver()
	return nil
}

func (e *Engine) injectOne(now time.Time, fault Fault) error {
	switch fault.Kind {
	case FaultDuplicate, FaultReorder, FaultDrop, FaultTruncate, FaultUnversioned, FaultReset, FaultCrash:
		e.faults.streams = append(e.faults.streams, fault)
	case FaultRefuseLate:
		e.faults.refusals = append(e.faults.refusals, fault)
	case FaultRestart:
		e.restart(now)
	case FaultFreeze:
		e.frozenUntil = now.Add(fault.delay())
	case FaultFailPrepare:
		e.life.simulation.FailPrepares(1)
	case FaultFailActivate:
		e.life.simulation.FailNextActivate(fault.TakesEffect)
	default:
		return fmt.Errorf("engine %s: fault kind %q is unknown", e.config.Name, fault.Kind)
	}
	return nil
}

// verdict says what becomes of a stream.
type verdict int

const (
	verdictSend verdict = iota
	verdictTruncate
	verdictReset
	verdictCrash
)

// distorter applies a stream's fault to its events.
type distorter struct {
	fault *Fault
	held  []enginev1.TokenEvent
}

// apply returns what to send for an event and what becomes of the stream then.
func (d *distorter) apply(event enginev1.TokenEvent) ([]enginev1.TokenEvent, verdict) {
	if d.fault == nil || event.Sequence < d.fault.AfterEvents {
		return []enginev1.TokenEvent{event}, verdictSend
	}
	if d.fault.Kind == FaultUnversioned {
		event.Version = 0
		return []enginev1.TokenEvent{event}, verdictSend
	}
	if event.Sequence > d.fault.AfterEvents {
		sent := append([]enginev1.TokenEvent{event}, d.held...)
		d.held = nil
		return sent, verdictSend
	}
	return d.strike(event)
}

// strike applies the fault to the one event that it is meant for.
func (d *distorter) strike(event enginev1.TokenEvent) ([]enginev1.TokenEvent, verdict) {
	switch d.fault.Kind {
	case FaultDuplicate:
		return []enginev1.TokenEvent{event, event}, verdictSend
	case FaultReorder:
		if event.Final != nil {
			return []enginev1.TokenEvent{event}, verdictSend
		}
		d.held = []enginev1.TokenEvent{event}
		return nil, verdictSend
	case FaultTruncate:
		return nil, verdictTruncate
	case FaultReset:
		return nil, verdictReset
	case FaultCrash:
		return nil, verdictCrash
	default:
		return nil, verdictSend
	}
}
