package replay

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/gin-gonic/gin"
	. "github.com/smartystreets/goconvey/convey"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/cluster"
	"github.com/covelink/covelink/internal/dispatch"
	"github.com/covelink/covelink/internal/lab/trace"
	"github.com/covelink/covelink/internal/recorder"
	"github.com/covelink/covelink/internal/rollout"
	"github.com/covelink/covelink/internal/scheduler"
)

// accepting answers every task, batch and version alike.
type accepting struct{ rollout.Service }

func (accepting) Dispatch(context.Context, dispatch.Task, func(dispatch.Progress) error) dispatch.Result {
	return dispatch.Result{Outcome: v1.OutcomeCompleted}
}

func (accepting) Explain(dispatch.Task) scheduler.Decision { return scheduler.Decision{} }

func (accepting) PutBatch(context.Context, string, string, v1.BatchSpec) (v1.BatchStatus, error) {
	return v1.BatchStatus{}, nil
}

func (accepting) PutVersion(context.Context, string, v1.WeightVersion) error { return nil }

// recordedNode returns what /debug/trace of a node shows after some work.
func recordedNode() string {
	now := time.Unix(1000, 0)
	recorded := recorder.New(func() time.Time {
		now = now.Add(50 * time.Millisecond)
		return now
	})
	dispatcher := recorder.NewDispatcher(recorded, accepting{}, accepting{})
	service := recorder.NewService(recorded, accepting{})
	ctx := context.Background()
	So(service.PutVersion(ctx, "t", v1.WeightVersion{Version: 4}), ShouldBeNil)
	_, err := service.PutBatch(ctx, "t", "Step.1", v1.BatchSpec{Samples: []v1.SampleRequest{{Prompt: "p", MaxTokens: 40}, {Prompt: "p"}}})
	So(err, ShouldBeNil)
	for i := range 5 {
		dispatcher.Dispatch(ctx, dispatch.Task{
			RequestID: fmt.Sprint("r", i), Class: dispatch.ClassInteractive, Pool: "lm", Caller: "app", Prompt: "where is gate one",
			MaxTokens: 8, Repeatable: i != 3, Deadline: now.Add(10 * time.Second),
		}, nil)
	}
	dispatcher.Dispatch(ctx, dispatch.Task{RequestID: "t/Step.1/0", Class: dispatch.ClassRollout, Pool: "lm", Caller: "t"}, nil)
	dispatcher.Dispatch(ctx, dispatch.Task{RequestID: "gone", Class: dispatch.ClassInteractive, Pool: "lm", Caller: "gone", MaxTokens: 8}, nil)
	So(service.PutVersion(ctx, "t", v1.WeightVersion{Version: 5}), ShouldBeNil)
	So(service.PutVersion(ctx, "t", v1.WeightVersion{Version: 5}), ShouldBeNil)

	source := cluster.NewHolder()
	source.Update(func(*cluster.View) *cluster.View {
		return &cluster.View{
			Zones:        map[string]*v1.Zone{"a": {Spec: v1.ZoneSpec{Region: "r"}}, "b": {Spec: v1.ZoneSpec{Region: "r"}}},
			Pools:        map[string]*v1.Pool{"lm": {Spec: v1.PoolSpec{PermittedZones: []string{"a", "b"}}}},
			Trainers:     map[string]*v1.Trainer{"t": {Spec: v1.TrainerSpec{Pool: "lm", StalenessBound: 2}}},
			Applications: map[string]*v1.Application{"app": {Spec: v1.ApplicationSpec{Pools: []string{"lm"}}}},
			Engines:      []cluster.Engine{{Name: "e1", Pool: "lm", Zone: "a"}, {Name: "e2", Pool: "lm", Zone: "b"}},
			Nodes:        []cluster.Node{{Name: "n1", Zone: "a"}, {Name: "n2", Zone: "b"}},
		}
	})
	gin.SetMode(gin.ReleaseMode)
	router := gin.New()
	recorder.Handlers{Recorder: recorded, Self: cluster.Node{Name: "n1", Zone: "a"}, Source: source}.Routes(router)
	answer := httptest.NewRecorder()
	router.ServeHTTP(answer, httptest.NewRequest(http.MethodGet, recorder.PathTrace, nil))
	return answer.Body.String()
}

func TestFromRecorded(t *testing.T) {
	Convey("What a node recorded becomes a sound trace that replays", t, func() {
		made, left, err := FromRecorded(strings.NewReader(recordedNode()))
		So(err, ShouldBeNil)
		So(left, ShouldEqual, 2) // the caller that is gone, and the repeated publication
		So(len(made.Events), ShouldEqual, 8)
		var text bytes.Buffer
		_, err = made.WriteTo(&text)
		So(err, ShouldBeNil)
		So(text.String(), ShouldNotContainSubstring, "gate one")
		read, err := trace.Parse("recorded", &text)
		So(err, ShouldBeNil)
		So(read.Header.Trainers[0].FirstVersion, ShouldEqual, 3)
		result, err := Run(read)
		So(err, ShouldBeNil)
		So(result.Met(), ShouldBeTrue)
		So(result.Outcome.Batches["t/Step.1"].Delivered, ShouldEqual, 2)
		So(result.Outcome.Requests["r3"].Outcome, ShouldEqual, trace.OutcomeCompleted)
	})
	Convey("What is not a node's answer is refused", t, func() {
		_, _, err := FromRecorded(strings.NewReader(""))
		So(err, ShouldNotBeNil)
		_, _, err = FromRecorded(strings.NewReader("{}\nno\n"))
		So(err, ShouldNotBeNil)
		So(err.Error(), ShouldStartWith, "line 2: ")
	})
}
