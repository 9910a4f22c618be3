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

// faulty behaves by a hash of the request and the engine: whole, refused, lost, cut, gapped, repeated or unstamped.
func faulty(e *testEngine, w http.ResponseWriter, r *http.Request, request enginev1.CompletionRequest) {
	fate := xxhash.Sum64String(fmt.Sprint(e.name, request.RequestID, request.Attempt))
	cut := int(fate>>8) % 12
	switch fate % 8 {
	case 0:
		refusing(enginev1.RefusedFull)(e, w, r, request)
	case 1:
		panic(http.ErrAbortHandler)
	case 2:
		crashAfter(cut)(e, w, r, request)
	case 3:
		sequence := e.send(w, request, cut)
		e.event(w, request, enginev1.TokenEvent{Sequence: sequence, Index: 50, Tokens: []string{"x"}, Version: 1})
	case 4:
		e.send(w, request, cut)
		wholeAnswer(e, w, r, request)
	case 5:
		sequence := e.send(w, request, cut)
		e.event(w, request, enginev1.TokenEvent{Sequence: sequence, Index: len(request.Resume), Tokens: []string{"x"}})
	default:
		wholeAnswer(e, w, r, request)
	}
}

func TestInvariantsUnderFaults(t *testing.T) {
	Convey("Whatever engines do, answers are whole, refusals are true and zones are kept", t, func() {
		r := newRig("a", "a", "b", "b", "c")
		defer r.close()
		for _, made := range r.engines {
			made.setScript(faulty)
		}
		const tasks = 400
		results := make([]dispatch.Result, tasks)
		asked := make([]dispatch.Task, tasks)
		var wait sync.WaitGroup
		for index := range tasks {
			asked[index] = task(fmt.Sprint("t", index))
			asked[index].Repeatable = index%3 != 0
			asked[index].Caller = fmt.Sprint("app", index%20)
			if index%2 == 0 {
				asked[index].Class = dispatch.ClassRollout
			}
			wait.Go(func() { results[index] = r.manager.Dispatch(context.Background(), asked[index], nil) })
		}
		wait.Wait()
		executed := executions(r)
		outcomes := map[v1.Outcome]int{}
		for index, result := range results {
			outcomes[result.Outcome]++
			if fault := violation(&asked[index], &result, executed[asked[index].RequestID]); fault != "" {
				So(fmt.Sprint(asked[index].RequestID, ": ", fault), ShouldBeEmpty)
			}
		}
		So(outcomes[v1.OutcomeCompleted], ShouldBeGreaterThan, tasks/2)
		So(outcomes[v1.OutcomeUnknown], ShouldBeGreaterThan, 0)
		So(r.engines[4].requests(), ShouldBeEmpty)
		reading := r.manager.Observations()
		So(reading.InFlightInteractive+reading.InFlightRollout+reading.QueuedInteractive+reading.QueuedRollout, ShouldEqual, 0)
	})
}

// executions counts, by request, how often engines executed it.
func executions(r *rig) map[string]int {
	counts := make(map[string]int)
	for _, made := range r.engines {
		for _, request := range made.requests() {
			if xxhash.Sum64String(fmt.Sprint(made.name, request.RequestID, request.Attempt))%8 != 0 {
				counts[request.RequestID]++
			}
		}
	}
	return counts
}

// violation names the promise that a result breaks, or returns nothing.
func violation(asked *dispatch.Task, result *dispatch.Result, executed int) string {
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
	case result.Outcome == v1.OutcomeCompleted && !slices.Equal(result.Tokens, answerOf(asked.Prompt)):
		return "answer is not whole"
	case result.Outcome == v1.OutcomeNotRun && executed > 0:
		return "not run, but executed"
	case !asked.Repeatable && executed > 1:
		return "executed more than once"
	}
	return ""
}
