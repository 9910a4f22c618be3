package dispatch_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/cespare/xxhash/v2"

	v1 "github.com/covelink/covelink/api/v1"

	"github.com/covelink/covelink/api/enginev1"
	"github.com/covelink/covelink/internal/dispatch"
)

// faultyScript picks its behaviour by a hash of the engine, request and attempt: a complete answer, a refusal, a lost
// connection, a truncated stream, a gap, repeated tokens or tokens without a version.
func faultyScript(e *testEngine, w http.ResponseWriter, r *http.Request, request enginev1.CompletionRequest) {
	hash := xxhash.Sum64String(fmt.Sprint(e.name, request.RequestID, request.Attempt))
	cut := int(hash>>8) % 12
	switch hash % 8 {
	case 0:
		refuseWith(enginev1.RefusedFull)(e, w, r, request)
	case 1:
		panic(http.ErrAbortHandler)
	case 2:
		crashAfter(cut)(e, w, r, request)
	case 3:
		sequence := e.send(w, request, cut)
		e.event(w, request, enginev1.TokenEvent{Sequence: sequence, Index: 50, Tokens: []string{"x"}, Version: 1})
	case 4:
		e.send(w, request, cut)
		completeAnswer(e, w, r, request)
	case 5:
		sequence := e.send(w, request, cut)
		e.event(w, request, enginev1.TokenEvent{Sequence: sequence, Index: len(request.Resume), Tokens: []string{"x"}})
	default:
		completeAnswer(e, w, r, request)
	}
}

func TestInvariantsUnderFaults(t *testing.T) {
	Convey("With faulty engines, answers are complete, not_run tasks were not executed and zones are respected", t, func() {
		r := newHarness("a", "a", "b", "b", "c")
		defer r.close()
		for _, eng := range r.engines {
			eng.setScript(faultyScript)
		}
		const tasks = 400
		results := make([]dispatch.Result, tasks)
		submitted := make([]dispatch.Task, tasks)
		var wait sync.WaitGroup
		for index := range tasks {
			submitted[index] = task(fmt.Sprint("t", index))
			submitted[index].Repeatable = index%3 != 0
			submitted[index].Caller = fmt.Sprint("app", index%20)
			if index%2 == 0 {
				submitted[index].Class = dispatch.ClassRollout
			}
			wait.Go(func() { results[index] = r.manager.Dispatch(context.Background(), submitted[index], nil) })
		}
		wait.Wait()
		executed := executions(r)
		outcomes := map[v1.Outcome]int{}
		for index, result := range results {
			outcomes[result.Outcome]++
			if broken := violation(&submitted[index], &result, executed[submitted[index].RequestID]); broken != "" {
				So(fmt.Sprint(submitted[index].RequestID, ": ", broken), ShouldBeEmpty)
			}
		}
		So(outcomes[v1.OutcomeCompleted], ShouldBeGreaterThan, tasks/2)
		So(outcomes[v1.OutcomeUnknown], ShouldBeGreaterThan, 0)
		So(r.engines[4].requests(), ShouldBeEmpty)
		observed := r.manager.Observations()
		So(observed.InFlightInteractive+observed.InFlightRollout+observed.QueuedInteractive+observed.QueuedRollout, ShouldEqual, 0)
	})
}

// executions returns how often engines executed each request.
func executions(r *harness) map[string]int {
	counts := make(map[string]int)
	for _, eng := range r.engines {
		for _, request := range eng.requests() {
			if xxhash.Sum64String(fmt.Sprint(eng.name, request.RequestID, request.Attempt))%8 != 0 {
				counts[request.RequestID]++
			}
		}
	}
	return counts
}

// violation describes the invariant that a result breaks; it is empty if none.
func violation(submitted *dispatch.Task, result *dispatch.Result, executed int) string {
	covered := 0
	for _, segment := range result.Segments {
		if segment.FirstToken != covered || segment.Version <= 0 || segment.Engine == "" {
			return "segments do not cover the answer"
		}
		covered += segment.Tokens
	}
	switch {
	case covered != len(result.Tokens):
		return "segments do not cover the answer"
	case result.Outcome == v1.OutcomeCompleted && !slices.Equal(result.Tokens, expectedAnswer(submitted.Prompt)):
		return "completed answer differs from the expected one"
	case result.Outcome == v1.OutcomeNotRun && executed > 0:
		return "reported as not run, but executed"
	case !submitted.Repeatable && executed > 1:
		return "not repeatable, but executed more than once"
	}
	return ""
}
