package recorder_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/gin-gonic/gin"
	. "github.com/smartystreets/goconvey/convey"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/auth"
	"github.com/covelink/covelink/internal/cluster"
	"github.com/covelink/covelink/internal/dispatch"
	"github.com/covelink/covelink/internal/recorder"
	"github.com/covelink/covelink/internal/rollout"
	"github.com/covelink/covelink/internal/scheduler"
	"github.com/covelink/covelink/internal/settings"
)

const (
	secretPrompt = "room seven at noon"
	secretAnswer = "third floor"
)

// scripted answers every task, batch and version alike.
type scripted struct {
	rollout.Service
	result   dispatch.Result
	decision scheduler.Decision
	err      error
}

func (s *scripted) Dispatch(context.Context, dispatch.Task, func(dispatch.Progress) error) dispatch.Result {
	return s.result
}

func (s *scripted) Explain(dispatch.Task) scheduler.Decision { return s.decision }

func (s *scripted) PutBatch(context.Context, string, string, v1.BatchSpec) (v1.BatchStatus, error) {
	return v1.BatchStatus{}, s.err
}

func (s *scripted) PutVersion(context.Context, string, v1.WeightVersion) error { return s.err }

func view() *cluster.View {
	return &cluster.View{
		Zones:   map[string]*v1.Zone{"a": {Spec: v1.ZoneSpec{Region: "r"}}},
		Pools:   map[string]*v1.Pool{"lm": {Spec: v1.PoolSpec{PermittedZones: []string{"a"}}}},
		Engines: []cluster.Engine{{Name: "e1", Pool: "lm", Zone: "a"}, {Name: "e2", Pool: "lm", Zone: "a"}},
		Nodes:   []cluster.Node{{Name: "n1", Zone: "a"}},
	}
}

func task(id string) dispatch.Task {
	return dispatch.Task{RequestID: id, Class: dispatch.ClassInteractive, Pool: "lm", Caller: "app", Prompt: secretPrompt, MaxTokens: 8}
}

// serve returns a router with the operators' routes.
func serve(recorded *recorder.Recorder) http.Handler {
	gin.SetMode(gin.ReleaseMode)
	source := cluster.NewHolder()
	source.Update(func(*cluster.View) *cluster.View { return view() })
	checks := auth.New(source, []settings.Operator{
		{Name: "o", TokenHash: v1.HashToken("operator"), Role: settings.RoleReadOnly},
	})
	router := gin.New()
	recorder.Handlers{Recorder: recorded, Self: cluster.Node{Name: "n1", Zone: "a"}, Source: source}.
		Routes(router, checks.Authenticate(), auth.RequireOperatorRead())
	return router
}

func get(handler http.Handler, path, token string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(http.MethodGet, path, nil)
	request.Header.Set("Authorization", "Bearer "+token)
	answer := httptest.NewRecorder()
	handler.ServeHTTP(answer, request)
	return answer
}

func TestTrace(t *testing.T) {
	Convey("What passes a node is recorded without any text of it", t, func() {
		recorded := recorder.New(func() time.Time { return time.Unix(1000, 0) })
		inner := &scripted{result: dispatch.Result{Outcome: v1.OutcomeCompleted, Tokens: []string{secretAnswer}, Engine: "e1", Attempts: 1,
			Segments: []v1.Segment{{Version: 4, Engine: "e1", Tokens: 1}}}, decision: scheduler.Decision{Kind: scheduler.Placed}}
		dispatcher := recorder.NewDispatcher(recorded, inner, inner)
		service := recorder.NewService(recorded, inner)
		spec := v1.BatchSpec{Samples: []v1.SampleRequest{{Prompt: secretPrompt, MaxTokens: 5}, {Prompt: secretPrompt, MaxTokens: 9}}}
		_, err := service.PutBatch(context.Background(), "t", "b", spec)
		So(err, ShouldBeNil)
		So(service.PutVersion(context.Background(), "t", v1.WeightVersion{Version: 3}), ShouldBeNil)
		So(dispatcher.Dispatch(context.Background(), task("r1"), nil).Tokens, ShouldResemble, []string{secretAnswer})
		inner.err = v1.NotRun(v1.CodeConflict, 0, "other")
		So(service.PutVersion(context.Background(), "t", v1.WeightVersion{Version: 2}), ShouldNotBeNil)

		answer := get(serve(recorded), recorder.PathTrace, "operator")
		So(answer.Code, ShouldEqual, http.StatusOK)
		So(answer.Body.String(), ShouldNotContainSubstring, "room")
		So(answer.Body.String(), ShouldNotContainSubstring, "floor")
		lines := bufio.NewScanner(answer.Body)
		So(lines.Scan(), ShouldBeTrue)
		var deployment recorder.Deployment
		So(json.Unmarshal(lines.Bytes(), &deployment), ShouldBeNil)
		So(deployment.Pools[0].Engines, ShouldResemble, map[string]int{"a": 2})
		So(deployment.Zones, ShouldResemble, []recorder.DeployedZone{{Name: "a", Region: "r", Nodes: 1}})
		var records []recorder.Record
		for lines.Scan() {
			var record recorder.Record
			So(json.Unmarshal(lines.Bytes(), &record), ShouldBeNil)
			records = append(records, record)
		}
		So(len(records), ShouldEqual, 3)
		So(records[0].SampleMaxTokens, ShouldResemble, []int{5, 9})
		So(records[1].Version, ShouldEqual, 3)
		So(records[2].PromptBytes, ShouldEqual, len(secretPrompt))
		So(records[2].Outcome.Segments, ShouldResemble, inner.result.Segments)
	})
	Convey("Only operators may read", t, func() {
		handler := serve(recorder.New(nil))
		So(get(handler, recorder.PathTrace, "other").Code, ShouldEqual, http.StatusUnauthorized)
		So(get(handler, recorder.PathExplain+"r1", "").Code, ShouldEqual, http.StatusUnauthorized)
	})
	Convey("The memory is bounded, and the oldest records go first", t, func() {
		recorded := recorder.New(nil)
		inner := &scripted{}
		dispatcher := recorder.NewDispatcher(recorded, inner, inner)
		const extra = 10
		for i := range recorder.Capacity + extra {
			dispatcher.Dispatch(context.Background(), task(fmt.Sprint(i)), nil)
		}
		records := recorded.Records()
		So(len(records), ShouldEqual, recorder.Capacity)
		So(records[0].ID, ShouldEqual, fmt.Sprint(extra))
		So(records[len(records)-1].ID, ShouldEqual, fmt.Sprint(recorder.Capacity+extra-1))
	})
	Convey("Prompts are told apart only within a process", t, func() {
		first, second := recorder.New(nil), recorder.New(nil)
		inner := &scripted{}
		for _, recorded := range []*recorder.Recorder{first, second} {
			recorder.NewDispatcher(recorded, inner, inner).Dispatch(context.Background(), task("a"), nil)
			recorder.NewDispatcher(recorded, inner, inner).Dispatch(context.Background(), task("b"), nil)
		}
		So(first.Records()[0].PromptHash, ShouldEqual, first.Records()[1].PromptHash)
		So(first.Records()[0].PromptHash, ShouldNotEqual, second.Records()[0].PromptHash)
	})
}

func TestExplain(t *testing.T) {
	Convey("A sample is explained by each of its attempts", t, func() {
		recorded := recorder.New(nil)
		inner := &scripted{result: dispatch.Result{Outcome: v1.OutcomeNotRun, Err: v1.NotRun(v1.CodeOverloaded, 0, "full")},
			decision: scheduler.Decision{Kind: scheduler.Wait, Reason: scheduler.FilterFull,
				Explanation: scheduler.Explanation{Engines: 2, Removed: [...]int{scheduler.FilterLeaving: 1, scheduler.FilterFull: 1}}}}
		dispatcher := recorder.NewDispatcher(recorded, inner, inner)
		dispatcher.Dispatch(context.Background(), task("t/b/0"), nil)
		dispatcher.Dispatch(context.Background(), task("t/b/1"), nil)
		dispatcher.Dispatch(context.Background(), task("t/b/0"), nil)
		handler := serve(recorded)
		for _, path := range []string{"t/b/0", "t%2Fb%2F0"} {
			answer := get(handler, recorder.PathExplain+path, "operator")
			So(answer.Code, ShouldEqual, http.StatusOK)
			var explanation recorder.Explanation
			So(json.Unmarshal(answer.Body.Bytes(), &explanation), ShouldBeNil)
			So(len(explanation.Attempts), ShouldEqual, 2)
			decision := explanation.Attempts[0].Decision
			So(decision.Kind, ShouldEqual, "wait")
			So(decision.Reason, ShouldEqual, scheduler.FilterFull.String())
			So(decision.Removed, ShouldResemble, []recorder.Removal{
				{Rule: scheduler.FilterLeaving.String(), Engines: 1}, {Rule: scheduler.FilterFull.String(), Engines: 1}})
			So(explanation.Attempts[0].Outcome.Code, ShouldEqual, v1.CodeOverloaded)
		}
	})
	Convey("An answer's own ID is taken as well, and an unknown one is said to be unknown", t, func() {
		recorded := recorder.New(nil)
		inner := &scripted{}
		recorder.NewDispatcher(recorded, inner, inner).Dispatch(context.Background(), task("r1"), nil)
		handler := serve(recorded)
		So(get(handler, recorder.PathExplain+"chatcmpl-r1", "operator").Code, ShouldEqual, http.StatusOK)
		answer := get(handler, recorder.PathExplain+"r2", "operator")
		So(answer.Code, ShouldEqual, http.StatusNotFound)
		So(strings.Count(answer.Body.String(), "n1"), ShouldEqual, 1)
	})
}
