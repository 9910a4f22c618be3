package replay

import (
	"fmt"
	"time"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/lab/invariant"
	"github.com/covelink/covelink/internal/lab/sim"
	"github.com/covelink/covelink/internal/lab/trace"
)

// leavingGrace is how long after the machine list has told of it a leaving engine may still get new work.
const leavingGrace = 5 * time.Second

// promiseNames maps the promises of the invariant checker to those of a trace.
var promiseNames = map[invariant.Promise]string{
	invariant.PromiseWhole:      trace.PromiseWhole,
	invariant.PromiseOnce:       trace.PromiseOnce,
	invariant.PromiseDelivered:  trace.PromiseDelivered,
	invariant.PromiseFresh:      trace.PromiseFresh,
	invariant.PromiseVersions:   trace.PromiseVersions,
	invariant.PromiseZones:      trace.PromiseZones,
	invariant.PromiseNotRun:     trace.PromiseNotRun,
	invariant.PromiseAtMostOnce: trace.PromiseAtMostOnce,
	invariant.PromiseOwnAnswer:  trace.PromiseOwnAnswer,
	invariant.PromiseEngine:     trace.PromiseEngine,
}

// options break a replay on purpose, so that tests see the outcomes not met.
type options struct {
	// change alters the scenario before it is run.
	change func(*sim.Scenario)
	// tamper alters the history before the promises are judged.
	tamper func(*invariant.History)
}

// runWork replays requests, batches and publications and adds what they show to the outcome.
func runWork(t *trace.Trace, outcome *trace.Outcome, broken options) error {
	scenario, err := scenarioOf(t)
	if err != nil {
		return err
	}
	if broken.change != nil {
		broken.change(&scenario)
	}
	result, err := sim.Run(scenario)
	if err != nil {
		return &trace.Error{File: t.File, Line: 1, Message: err.Error()}
	}
	if broken.tamper != nil {
		broken.tamper(result.History)
		result.Report = invariant.Check(result.History)
	}
	for _, violation := range result.Report.Violations {
		outcome.Violations = append(outcome.Violations, trace.Violation{
			Promise: promiseNames[violation.Promise], Subject: violation.Subject, Detail: violation.Detail,
		})
	}
	addRequests(result, outcome)
	addSamples(t, result, outcome)
	checkLeaving(t, scenario.System.MachineListLag, result, outcome)
	checkPlannedStops(t, result, outcome)
	return nil
}

func addRequests(result *sim.Result, outcome *trace.Outcome) {
	outcome.Requests = map[string]trace.RequestOutcome{}
	outcome.Loads = map[string]trace.LoadOutcome{}
	for _, request := range result.Requests {
		if request.Outcome == "" {
			continue // none by the end of the run
		}
		if load, ok := loadOf(request.ID); ok {
			outcome.Loads[load] = addToLoad(outcome.Loads[load], request)
			continue
		}
		seen := outcome.Requests[request.ID]
		seen.Outcome = string(request.Outcome)
		seen.Elapsed = request.Ended - request.Arrived
		seen.Attempts += int64(request.Attempts)
		outcome.Requests[request.ID] = seen
	}
}

func addToLoad(load trace.LoadOutcome, request sim.RequestResult) trace.LoadOutcome {
	switch request.Outcome {
	case v1.OutcomeCompleted:
		load.Completed++
		load.Latencies = append(load.Latencies, request.Ended-request.Arrived)
	case v1.OutcomeNotRun:
		load.NotRun++
	default:
		load.Unknown++
	}
	return load
}

// addSamples counts what the trainers got.
func addSamples(t *trace.Trace, result *sim.Result, outcome *trace.Outcome) {
	outcome.Samples = map[string]trace.SampleOutcome{}
	outcome.Batches = map[string]trace.BatchOutcome{}
	outcome.Trainers = map[string]trace.TrainerOutcome{}
	for _, sample := range result.Samples {
		batch := sample.Trainer + "/" + sample.Batch
		id := fmt.Sprintf("%s/%d", batch, sample.Index)
		seen, into := outcome.Samples[id], outcome.Batches[batch]
		if seen.Delivered == 0 {
			into.Delivered++
		}
		seen.Delivered++
		seen.Staleness = max(seen.Staleness, sample.Staleness)
		into.Elapsed = max(into.Elapsed, sample.At-sample.Opened)
		outcome.Samples[id], outcome.Batches[batch] = seen, into
	}
	for _, event := range t.Events {
		if record, ok := event.Record.(*trace.Batch); ok {
			batch := record.Trainer + "/" + record.Name
			into := outcome.Batches[batch]
			into.Complete = into.Delivered == int64(record.Samples)
			outcome.Batches[batch] = into
		}
	}
	for _, trainer := range result.Trainers {
		outcome.Trainers[trainer.Name] = trace.TrainerOutcome{Idle: trainer.Idle, Staleness: trainer.Staleness.Max}
	}
}

// checkLeaving looks for requests that an engine accepted after everyone must have known that it leaves.
func checkLeaving(t *trace.Trace, lag time.Duration, result *sim.Result, outcome *trace.Outcome) {
	for _, event := range t.Events {
		fault, ok := event.Record.(*trace.Fault)
		if !ok || fault.Fault != trace.FaultEngineLeave {
			continue
		}
		after := sim.Epoch.Add(fault.Time() + lag + leavingGrace)
		until := sim.Epoch.Add(fault.Time() + endless(fault))
		for _, execution := range result.History.Executions {
			if execution.Engine == fault.Target && execution.Started.After(after) && execution.Started.Before(until) {
				outcome.Violations = append(outcome.Violations, trace.Violation{
					Promise: trace.PromiseLeaving, Subject: execution.Engine,
					Detail: fmt.Sprintf("began %s, %s after it was told to leave", execution.RequestID,
						execution.Started.Sub(sim.Epoch.Add(fault.Time()))),
				})
			}
		}
	}
}

// harmless are the faults that cut off no request by themselves, beside a planned stop.
var harmless = map[trace.FaultKind]bool{
	trace.FaultNodeStop: true, trace.FaultEngineLeave: true, trace.FaultMachineListLag: true, trace.FaultSwapFail: true,
	trace.FaultStoreSlow: true, trace.FaultStoreOutage: true, trace.FaultStoreStale: true, trace.FaultStoreLostReply: true,
	trace.FaultLostReply: true, trace.FaultOwnerCrash: true, trace.FaultOwnerPause: true,
}

// checkPlannedStops looks for requests that were cut off on a node that was stopped as planned. Where something else may
// have cut them off, it cannot tell.
func checkPlannedStops(t *trace.Trace, result *sim.Result, outcome *trace.Outcome) {
	stops := map[string]time.Duration{}
	for _, event := range t.Events {
		fault, ok := event.Record.(*trace.Fault)
		if !ok {
			continue
		}
		if !harmless[fault.Fault] {
			outcome.Unchecked = append(outcome.Unchecked, trace.PromisePlannedStop)
			return
		}
		if fault.Fault == trace.FaultNodeStop {
			stops[fault.Target] = fault.Time()
		}
	}
	for _, request := range result.Requests {
		stopped, ok := stops[request.Node]
		if ok && request.Arrived <= stopped && request.Ended >= stopped && request.Outcome == v1.OutcomeUnknown {
			outcome.Violations = append(outcome.Violations, trace.Violation{
				Promise: trace.PromisePlannedStop, Subject: request.ID, Detail: "was cut off on " + request.Node,
			})
		}
	}
}
