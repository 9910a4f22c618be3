package claims

import (
	"context"
	"encoding/json"
	"errors"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/gin-gonic/gin"
	"github.com/go-kit/log"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/prometheus/client_golang/prometheus"
	. "github.com/smartystreets/goconvey/convey"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/auth"
	"github.com/covelink/covelink/internal/cluster"
	"github.com/covelink/covelink/internal/dispatch"
	"github.com/covelink/covelink/internal/gateway"
	"github.com/covelink/covelink/internal/settings"
)

const testToken = "application-token"

// countingDispatcher is a dispatcher that counts its runs and returns a fixed outcome.
type countingDispatcher struct {
	runs    atomic.Int64
	outcome v1.Outcome
}

func (d *countingDispatcher) Dispatch(context.Context, dispatch.Task, func(dispatch.Progress) error) dispatch.Result {
	d.runs.Add(1)
	if d.outcome != v1.OutcomeCompleted {
		return dispatch.Result{Outcome: d.outcome}
	}
	return dispatch.Result{Outcome: v1.OutcomeCompleted, Tokens: []string{"the ", "minutes"}, FinishReason: "stop",
		Segments: []v1.Segment{{Version: 7, Engine: "engine-1", Tokens: 2}}}
}

// gatewayAt starts a gateway for the member at index and returns an OpenAI client without retries.
func (c *testCluster) gatewayAt(index int, dispatcher *countingDispatcher) openai.Client {
	m := c.members[index]
	m.source.Update(func(*cluster.View) *cluster.View {
		view := viewOf(threeZones...)
		view.Pools[testPool].Spec.MaxTokens = 100
		view.Applications = map[string]*v1.Application{"app": {
			Metadata: v1.ObjectMeta{Name: "app"},
			Spec:     v1.ApplicationSpec{Pools: []string{testPool}, TokenHashes: []string{v1.HashToken(testToken)}},
		}}
		return view
	})
	defaults := settings.Default()
	g := gateway.New(gateway.Params{Self: m.node, Source: m.source, Dispatcher: dispatcher, Claims: m.manager,
		Auth: auth.New(m.source, nil), Limits: defaults.Limits, Timing: defaults.Timing,
		Logger: log.NewNopLogger(), Registerer: prometheus.NewRegistry()})
	g.SetReady(true, "")
	gin.SetMode(gin.TestMode)
	router := gin.New()
	g.Routes(router)
	server := httptest.NewServer(router)
	c.t.Cleanup(server.Close)
	return openai.NewClient(option.WithBaseURL(server.URL+"/v1"), option.WithAPIKey(testToken), option.WithMaxRetries(0),
		option.WithHeader("Idempotency-Key", "k"), option.WithHeader("Covelink-Repeatable", "false"))
}

func requestCompletion(client openai.Client) (string, error) {
	answer, err := client.Completions.New(context.Background(), openai.CompletionNewParams{Model: testPool,
		Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("write the minutes")}})
	if err != nil {
		return "", err
	}
	return answer.Choices[0].Text, nil
}

// outcomeOf returns the outcome in the body of an OpenAI API error; empty if there is none.
func outcomeOf(err error) v1.Outcome {
	var refused *openai.Error
	if !errors.As(err, &refused) {
		return ""
	}
	var detail v1.ErrorDetail
	if json.Unmarshal([]byte(refused.RawJSON()), &detail) != nil {
		return ""
	}
	return detail.Outcome
}

func TestGateways(t *testing.T) {
	Convey("Gateways in three zones with one key", t, func() {
		gin.SetMode(gin.TestMode)
		c := newCluster(t, threeZones, true).open()
		dispatcher := &countingDispatcher{outcome: v1.OutcomeCompleted}
		var clients []openai.Client
		for index := range threeZones {
			clients = append(clients, c.gatewayAt(index, dispatcher))
		}
		Convey("run a request sent to all concurrently at most once, and then return the same answer", func() {
			var requests sync.WaitGroup
			failures := make(chan error, len(clients))
			for _, client := range clients {
				requests.Go(func() {
					if text, err := requestCompletion(client); err != nil {
						failures <- err
					} else if text != "the minutes" {
						t.Errorf("got %q", text)
					}
				})
			}
			requests.Wait()
			close(failures)
			for err := range failures {
				So([]v1.Outcome{v1.OutcomeUnknown, v1.OutcomeNotRun}, ShouldContain, outcomeOf(err))
			}
			c.eventually("a retry returns the answer", func() bool {
				text, err := requestCompletion(clients[2])
				return err == nil && text == "the minutes"
			})
			So(dispatcher.runs.Load(), ShouldEqual, 1)
		})
		Convey("never run it again after an unknown outcome", func() {
			dispatcher.outcome = v1.OutcomeUnknown
			for _, client := range clients {
				_, err := requestCompletion(client)
				So(outcomeOf(err), ShouldEqual, v1.OutcomeUnknown)
			}
			So(dispatcher.runs.Load(), ShouldEqual, 1)
		})
		Convey("return not_run without dispatching when a majority of the keepers is unreachable", func() {
			c.links.isolate(c.seeds[1].Address)
			c.links.isolate(c.seeds[2].Address)
			_, err := requestCompletion(clients[0])
			So(outcomeOf(err), ShouldEqual, v1.OutcomeNotRun)
			So(dispatcher.runs.Load(), ShouldEqual, 0)
		})
	})
}
