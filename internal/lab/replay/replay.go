// Package replay runs traces in virtual time against the decision and state code of the daemon, and judges what it shows by
// the outcomes that the traces state. docs/TRACES.md says which code a replay runs.
package replay

import (
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/covelink/covelink/internal/lab/controlsim"
	"github.com/covelink/covelink/internal/lab/trace"
)

// Result is the verdict on one trace.
type Result struct {
	Trace   *trace.Trace
	Outcome *trace.Outcome
	// Unmet are the stated outcomes that were not shown.
	Unmet []trace.Unmet
	// Digest is a hash of the whole outcome: two replays of one trace give the same.
	Digest uint64
}

// Met reports whether every stated outcome was shown.
func (r *Result) Met() bool { return len(r.Unmet) == 0 }

// String returns the verdict as one line.
func (r *Result) String() string {
	if r.Met() {
		return fmt.Sprintf("ok    %-36s %3d expectations  outcome %016x", r.Trace.Header.Name, len(r.Trace.Expectations), r.Digest)
	}
	line := fmt.Sprintf("UNMET %-36s %s", r.Trace.Header.Name, r.Unmet[0])
	if more := len(r.Unmet) - 1; more > 0 {
		line += fmt.Sprintf(" (and %d more)", more)
	}
	return line
}

// Run replays a trace. The same trace gives the same result. An error says that the trace cannot be replayed: it is a
// *trace.Error.
func Run(t *trace.Trace) (*Result, error) { return run(t, options{}) }

func run(t *trace.Trace, broken options) (*Result, error) {
	outcome := &trace.Outcome{}
	if err := runWork(t, outcome, broken); err != nil {
		return nil, err
	}
	runControl(t, outcome)
	outcome.Sort()
	digest, err := digestOf(outcome)
	if err != nil {
		return nil, err
	}
	return &Result{Trace: t, Outcome: outcome, Unmet: trace.Judge(t, outcome), Digest: digest}, nil
}

// runControl replays the control plane. Without a write nothing of the configuration changes and there is nothing to check.
func runControl(t *trace.Trace, outcome *trace.Outcome) {
	for _, event := range t.Events {
		if _, ok := event.Record.(*trace.Write); ok {
			controlsim.Run(t, outcome)
			return
		}
	}
	outcome.Unchecked = append(outcome.Unchecked, trace.PromiseInForce, trace.PromiseNoRevert, trace.PromiseNoLostWrite)
}

// digestOf hashes an outcome; JSON puts the keys of its maps in order.
func digestOf(outcome *trace.Outcome) (uint64, error) {
	encoded, err := json.Marshal(outcome)
	if err != nil {
		return 0, fmt.Errorf("outcome cannot be encoded: %w", err)
	}
	return xxhash.Sum64(encoded), nil
}
