package gateway_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	. "github.com/smartystreets/goconvey/convey"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/cluster"
	"github.com/covelink/covelink/internal/dispatch"
	"github.com/covelink/covelink/internal/gateway"
)

func TestOpenAIClient(t *testing.T) {
	Convey("The official OpenAI client, unchanged", t, func() {
		b := newBench(t, nil)
		client := openai.NewClient(option.WithBaseURL(b.url+"/v1"), option.WithAPIKey(applicationToken), option.WithMaxRetries(0))
		ctx := context.Background()
		params := openai.CompletionNewParams{
			Model:  "pool-a",
			Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("hello")},
			Seed:   openai.Int(5),
		}
		chat := openai.ChatCompletionNewParams{
			Model:         "pool-a",
			Messages:      []openai.ChatCompletionMessageParamUnion{openai.SystemMessage("be brief"), openai.UserMessage("hello")},
			StreamOptions: openai.ChatCompletionStreamOptionsParam{IncludeUsage: openai.Bool(true)},
		}

		Convey("completes a prompt", func() {
			answer, err := client.Completions.New(ctx, params)
			So(err, ShouldBeNil)
			So(answer.Choices[0].Text, ShouldEqual, "one two three")
			So(answer.Usage.CompletionTokens, ShouldEqual, 3)
			So(answer.JSON.ExtraFields["covelink"].Raw(), ShouldContainSubstring, `"version":7`)
			task := b.dispatcher.seen()[0]
			So(task.Seed, ShouldEqual, 5)
			So(task.MaxTokens, ShouldEqual, 100)
			So(task.Repeatable, ShouldBeTrue)
			So(task.Caller, ShouldEqual, "app")
		})
		Convey("streams a prompt", func() {
			stream := client.Completions.NewStreaming(ctx, params)
			text := ""
			for stream.Next() {
				text += stream.Current().Choices[0].Text
			}
			So(stream.Err(), ShouldBeNil)
			So(text, ShouldEqual, "one two three")
		})
		Convey("completes a chat whose messages are joined under their roles", func() {
			answer, err := client.Chat.Completions.New(ctx, openai.ChatCompletionNewParams{Model: chat.Model, Messages: chat.Messages})
			So(err, ShouldBeNil)
			So(answer.Choices[0].Message.Content, ShouldEqual, "one two three")
			So(b.dispatcher.seen()[0].Prompt, ShouldEqual, "<|system|>\nbe brief\n<|user|>\nhello\n<|assistant|>\n")
		})
		Convey("streams a chat with usage", func() {
			stream := client.Chat.Completions.NewStreaming(ctx, chat)
			accumulated := openai.ChatCompletionAccumulator{}
			for stream.Next() {
				So(accumulated.AddChunk(stream.Current()), ShouldBeTrue)
			}
			So(stream.Err(), ShouldBeNil)
			So(accumulated.Choices[0].Message.Content, ShouldEqual, "one two three")
			So(accumulated.Choices[0].FinishReason, ShouldEqual, "stop")
			So(accumulated.Usage.CompletionTokens, ShouldEqual, 3)
		})
		Convey("lists the pools served here", func() {
			page, err := client.Models.List(ctx)
			So(err, ShouldBeNil)
			So(len(page.Data), ShouldEqual, 1)
			So(page.Data[0].ID, ShouldEqual, "pool-a")
		})
		Convey("sees a failure in mid-stream as an error", func() {
			b.dispatcher.script = failsAfterTwo
			stream := client.Completions.NewStreaming(ctx, params)
			chunks := 0
			for stream.Next() {
				chunks++
			}
			So(stream.Err(), ShouldNotBeNil)
			So(chunks, ShouldEqual, 2)
		})
		Convey("sees a refusal as its typed error", func() {
			b.dispatcher.script = refuses
			_, err := client.Completions.New(ctx, params)
			var typed *openai.Error
			So(errors.As(err, &typed), ShouldBeTrue)
			So(typed.StatusCode, ShouldEqual, http.StatusServiceUnavailable)
			So(typed.Code, ShouldEqual, "overloaded")
		})
	})
}

// failsAfterTwo produces two tokens and then claims that nothing was run.
func failsAfterTwo(_ context.Context, _ dispatch.Task, progress func(dispatch.Progress) error) dispatch.Result {
	for index, token := range answerTokens[:2] {
		if err := progress(dispatch.Progress{Index: index, Tokens: []string{token}, Version: 7}); err != nil {
			break
		}
	}
	return dispatch.Result{Outcome: v1.OutcomeNotRun, Err: v1.NotRun(v1.CodeUnavailable, time.Second, "engine lost")}
}

func refuses(context.Context, dispatch.Task, func(dispatch.Progress) error) dispatch.Result {
	return dispatch.Result{Outcome: v1.OutcomeNotRun, Err: v1.NotRun(v1.CodeOverloaded, 1500*time.Millisecond, "queue full")}
}

func TestErrors(t *testing.T) {
	Convey("Errors state the outcome", t, func() {
		b := newBench(t, nil)
		Convey("a refusal is not run and says when to come back, streamed or not", func() {
			b.dispatcher.script = refuses
			for _, body := range []string{simpleBody, streamBody} {
				got := b.complete(body)
				So(got.status, ShouldEqual, http.StatusServiceUnavailable)
				So(got.failure().Outcome, ShouldEqual, v1.OutcomeNotRun)
				So(got.header.Get("Retry-After"), ShouldEqual, "2")
			}
		})
		Convey("a failure of no known fate is unknown and not to be retried blindly", func() {
			b.dispatcher.script = func(context.Context, dispatch.Task, func(dispatch.Progress) error) dispatch.Result {
				return dispatch.Result{Outcome: v1.OutcomeUnknown, Err: v1.Errorf(v1.CodeDeadlineExceeded, "late")}
			}
			got := b.complete(simpleBody)
			So(got.status, ShouldEqual, http.StatusGatewayTimeout)
			So(got.failure().Outcome, ShouldEqual, v1.OutcomeUnknown)
			So(got.header.Get("X-Should-Retry"), ShouldEqual, "false")
			So(got.header.Get("Retry-After"), ShouldBeBlank)
		})
		Convey("a stream that fails ends with an error event of outcome unknown and without [DONE]", func() {
			b.dispatcher.script = failsAfterTwo
			got := b.complete(streamBody)
			So(got.status, ShouldEqual, http.StatusOK)
			So(got.body, ShouldContainSubstring, "event: error\n")
			So(got.body, ShouldContainSubstring, `"outcome":"unknown"`)
			So(got.body, ShouldNotContainSubstring, "[DONE]")
		})
		Convey("tokens out of order end the stream with an error", func() {
			refused := make(chan error, 1)
			b.dispatcher.script = func(_ context.Context, _ dispatch.Task, progress func(dispatch.Progress) error) dispatch.Result {
				refused <- progress(dispatch.Progress{Index: 1, Tokens: []string{"x"}})
				return dispatch.Result{Outcome: v1.OutcomeUnknown}
			}
			So(b.complete(streamBody).failure().Outcome, ShouldEqual, v1.OutcomeUnknown)
			So(<-refused, ShouldNotBeNil)
		})
		Convey("bad requests name the field and never reach the dispatcher", func() {
			cases := map[string]string{
				`{"model":5}`:                                                          "model",
				`{"prompt":"x"}`:                                                       "model",
				`{"model":"pool-a"}`:                                                   "prompt",
				`{"model":"pool-a","prompt":["a","b"]}`:                                "prompt",
				`{"model":"pool-a","prompt":"x","max_tokens":"9"}`:                     "max_tokens",
				`{"model":"pool-a","prompt":"x","max_tokens":101}`:                     "max_tokens",
				`{"model":"pool-a","prompt":"x","n":2}`:                                "n",
				`{"model":"pool-a","prompt":"x","stream_options":{"include_usage":1}}`: "stream_options.include_usage",
			}
			for body, field := range cases {
				got := b.complete(body)
				So(got.status, ShouldEqual, http.StatusBadRequest)
				So(got.failure().Param, ShouldNotBeNil)
				So(*got.failure().Param, ShouldEqual, field)
			}
			So(b.complete(simpleBody, "Covelink-Timeout", "soon").status, ShouldEqual, http.StatusBadRequest)
			So(b.complete(simpleBody, "Covelink-Repeatable", "no").status, ShouldEqual, http.StatusBadRequest)
			So(b.complete(`{"prompt":"`+strings.Repeat("x", 5000)+`"}`).status, ShouldEqual, http.StatusRequestEntityTooLarge)
			So(b.dispatcher.seen(), ShouldBeEmpty)
		})
		Convey("unknown fields are ignored", func() {
			So(b.complete(`{"model":"pool-a","prompt":["x"],"temperature":1,"user":{}}`).status, ShouldEqual, http.StatusOK)
		})
		Convey("nothing of a body reaches the log", func() {
			b.dispatcher.script = failsAfterTwo
			b.complete(streamBody)
			So(b.logs.String(), ShouldContainSubstring, "request failed")
			So(b.logs.String(), ShouldNotContainSubstring, "secret")
			So(b.logs.String(), ShouldNotContainSubstring, "one")
		})
	})
}

func TestAccess(t *testing.T) {
	Convey("Whoever may not use a pool never reaches the dispatcher", t, func() {
		b := newBench(t, nil)
		post := func(token, body string) reply { return b.send(http.MethodPost, "/v1/completions", token, body) }
		So(post("", simpleBody).status, ShouldEqual, http.StatusUnauthorized)
		So(post("guess", simpleBody).status, ShouldEqual, http.StatusUnauthorized)
		So(post(trainerToken, simpleBody).status, ShouldEqual, http.StatusForbidden)
		So(post(foreignToken, simpleBody).failure().Outcome, ShouldEqual, v1.OutcomeNotRun)
		So(post(applicationToken, `{"model":"pool-x","prompt":"x"}`).status, ShouldEqual, http.StatusForbidden)
		wrongZone := post(applicationToken, `{"model":"pool-b","prompt":"x"}`)
		So(wrongZone.status, ShouldEqual, http.StatusServiceUnavailable)
		So(wrongZone.failure().Outcome, ShouldEqual, v1.OutcomeNotRun)
		So(b.send(http.MethodGet, "/v1/trainers/trainer/batches/x", applicationToken, "").status, ShouldEqual, http.StatusForbidden)
		So(b.send(http.MethodGet, "/v1/trainers/other/batches/x", trainerToken, "").status, ShouldEqual, http.StatusForbidden)
		So(b.dispatcher.seen(), ShouldBeEmpty)
		So(b.rollouts.count(), ShouldEqual, 0)
	})
	Convey("A token taken from the resources stops working", t, func() {
		b := newBench(t, nil)
		So(b.complete(simpleBody).status, ShouldEqual, http.StatusOK)
		b.source.Update(func(old *cluster.View) *cluster.View {
			next := *old
			next.Applications = nil
			return &next
		})
		So(b.complete(simpleBody).status, ShouldEqual, http.StatusUnauthorized)
	})
	Convey("A node that may not serve refuses new work as not run", t, func() {
		b := newBench(t, nil)
		for _, change := range []func(*cluster.View){
			func(v *cluster.View) { v.Serving = false },
			func(v *cluster.View) { v.Serving, v.ServingUntil = true, time.Now().Add(-time.Nanosecond) },
		} {
			b.source.Update(func(old *cluster.View) *cluster.View {
				next := *old
				change(&next)
				return &next
			})
			got := b.complete(simpleBody)
			So(got.failure().Outcome, ShouldEqual, v1.OutcomeNotRun)
			So(got.header.Get("Retry-After"), ShouldEqual, "1")
			So(b.send(http.MethodGet, "/readyz", "", "").status, ShouldEqual, http.StatusServiceUnavailable)
			So(b.dispatcher.seen(), ShouldBeEmpty)
		}
	})
}

func TestLimits(t *testing.T) {
	limited := func(b *bench, change func(*v1.ApplicationSpec)) {
		b.source.Update(func(old *cluster.View) *cluster.View {
			next := *old
			changed := application("app", applicationToken, "pool-a")
			change(&changed.Spec)
			next.Applications = map[string]*v1.Application{"app": changed}
			return &next
		})
	}
	Convey("The rate of an application is limited", t, func() {
		b := newBench(t, nil)
		limited(b, func(spec *v1.ApplicationSpec) { spec.RequestsPerSecond, spec.Burst = 0.001, 2 })
		So(b.complete(simpleBody).status, ShouldEqual, http.StatusOK)
		So(b.complete(simpleBody).status, ShouldEqual, http.StatusOK)
		got := b.complete(simpleBody)
		So(got.status, ShouldEqual, http.StatusTooManyRequests)
		So(got.failure().Outcome, ShouldEqual, v1.OutcomeNotRun)
		So(got.header.Get("Retry-After"), ShouldNotBeBlank)
		So(len(b.dispatcher.seen()), ShouldEqual, 2)
	})
	Convey("The requests in flight of an application are limited, and the place is free again after each", t, func() {
		b := newBench(t, nil)
		limited(b, func(spec *v1.ApplicationSpec) { spec.MaxInFlight = 1 })
		entered, open := make(chan struct{}), make(chan struct{})
		b.dispatcher.script = func(ctx context.Context, task dispatch.Task, progress func(dispatch.Progress) error) dispatch.Result {
			close(entered)
			<-open
			return completed()
		}
		first := make(chan reply, 1)
		go func() { first <- b.complete(simpleBody) }()
		<-entered
		So(b.complete(simpleBody).status, ShouldEqual, http.StatusTooManyRequests)
		close(open)
		So((<-first).status, ShouldEqual, http.StatusOK)
		b.dispatcher.mu.Lock()
		b.dispatcher.script = completes
		b.dispatcher.mu.Unlock()
		So(b.complete(simpleBody).status, ShouldEqual, http.StatusOK)
	})
	Convey("The deadline comes from the header, else from the application, else from the settings", t, func() {
		b := newBench(t, func(params *gateway.Params) { params.Timing.RequestTimeout = 15 * time.Minute })
		remaining := func(header ...string) time.Duration {
			So(b.complete(simpleBody, header...).status, ShouldEqual, http.StatusOK)
			tasks := b.dispatcher.seen()
			return time.Until(tasks[len(tasks)-1].Deadline).Round(time.Minute)
		}
		So(remaining("Covelink-Timeout", "300"), ShouldEqual, 5*time.Minute)
		So(remaining("Covelink-Timeout", "10m"), ShouldEqual, 10*time.Minute)
		So(remaining(), ShouldEqual, 15*time.Minute)
		limited(b, func(spec *v1.ApplicationSpec) { spec.TimeoutMillis = 1_200_000 })
		So(remaining(), ShouldEqual, 20*time.Minute)
	})
}

// deadlineRecorder notes the deadlines that a handler sets on its connection.
type deadlineRecorder struct {
	*httptest.ResponseRecorder
	read, write []time.Time
}

func (r *deadlineRecorder) SetReadDeadline(deadline time.Time) error {
	r.read = append(r.read, deadline)
	return nil
}

func (r *deadlineRecorder) SetWriteDeadline(deadline time.Time) error {
	r.write = append(r.write, deadline)
	return nil
}

func TestConnectionDeadlines(t *testing.T) {
	Convey("A slow caller is bounded while it sends and reads, and the connection is left without deadlines", t, func() {
		b := newBench(t, nil)
		recorder := &deadlineRecorder{ResponseRecorder: httptest.NewRecorder()}
		request := httptest.NewRequest(http.MethodPost, "/v1/completions", strings.NewReader(streamBody))
		request.Header.Set("Authorization", "Bearer "+applicationToken)
		b.handler.ServeHTTP(recorder, request)
		So(recorder.Body.String(), ShouldEndWith, "data: [DONE]\n\n")
		for _, deadlines := range [][]time.Time{recorder.read, recorder.write} {
			So(len(deadlines), ShouldBeGreaterThan, 1)
			So(deadlines[0].IsZero(), ShouldBeFalse)
			So(deadlines[len(deadlines)-1].IsZero(), ShouldBeTrue)
		}
	})
}
