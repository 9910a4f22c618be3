package integration

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	. "github.com/smartystreets/goconvey/convey"
	"golang.org/x/sync/errgroup"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/client"
	"github.com/covelink/covelink/internal/lab/invariant"
)

const (
	applicationToken = "demo-application-token"
	trainerToken     = "demo-trainer-token"
)

// outcomeOf returns the outcome that an error states; without one it is unknown.
func outcomeOf(err error) v1.Outcome {
	var stated *v1.Error
	if errors.As(err, &stated) {
		return stated.Outcome
	}
	return v1.OutcomeUnknown
}

// codeOf returns the code that an error states.
func codeOf(err error) v1.ErrorCode {
	var stated *v1.Error
	if errors.As(err, &stated) {
		return stated.Code
	}
	return ""
}

func (r *run) pauseBriefly() error {
	select {
	case <-time.After(50 * time.Millisecond):
		return nil
	case <-r.ctx.Done():
		return r.ctx.Err()
	}
}

// executions returns what the engines executed so far.
func (r *run) executions() []invariant.Execution {
	executions, err := r.Executions(r.ctx, r.session.Recorder.History())
	So(err, ShouldBeNil)
	return executions
}

func TestTokens(t *testing.T) {
	Convey("Wrong, expired and foreign tokens reach no engine", t, func() {
		withSmall(t, func(r *run) {
			So(r.session.Apply(r.ctx, application("rotating", "old-token")), ShouldBeNil)
			So(r.session.Apply(r.ctx, application("rotating", "new-token")), ShouldBeNil)
			for _, node := range r.NodeNames() {
				for token, code := range map[string]v1.ErrorCode{
					"":           v1.CodeUnauthenticated,
					"wrong":      v1.CodeUnauthenticated,
					"old-token":  v1.CodeUnauthenticated,
					trainerToken: v1.CodeForbidden,
				} {
					_, err := r.ask(node, token, client.CompletionRequest{Pool: "summ-lm", Prompt: "a question", MaxTokens: 4})
					So(codeOf(err), ShouldEqual, code)
					So(outcomeOf(err), ShouldEqual, v1.OutcomeNotRun)
				}
				r.refusesBatch(node)
				_, err := r.ask(node, "new-token", client.CompletionRequest{Pool: "roomdesk", Prompt: "a question", MaxTokens: 4})
				So(outcomeOf(err), ShouldEqual, v1.OutcomeNotRun)
			}
			So(r.executions(), ShouldBeEmpty)
			r.completes(r.NodeNames()[0], "new-token")
			So(len(r.executions()), ShouldEqual, 1)
		})
	})
}

// refusesBatch checks that nobody but its trainer can submit a batch.
func (r *run) refusesBatch(node string) {
	for _, token := range []string{"wrong", applicationToken} {
		service, err := client.New(client.Options{BaseURLs: []string{r.CallerURL(node)}, Token: token, HTTPClient: plainClient(), MaxAttempts: 1})
		So(err, ShouldBeNil)
		spec := v1.BatchSpec{Samples: []v1.SampleRequest{{Prompt: "a question", MaxTokens: 4}}}
		_, err = service.PutBatch(r.ctx, "summ-trainer", "foreign", spec)
		So(outcomeOf(err), ShouldEqual, v1.OutcomeNotRun)
	}
}

func TestOpenAIClient(t *testing.T) {
	Convey("The OpenAI client completes, chats and streams unchanged", t, func() {
		withSmall(t, func(r *run) {
			service := openai.NewClient(option.WithBaseURL(r.CallerURLs()[0]+"/v1/"), option.WithAPIKey(applicationToken))
			models, err := service.Models.List(r.ctx)
			So(err, ShouldBeNil)
			So(len(models.Data), ShouldBeGreaterThan, 0)

			completion, err := service.Completions.New(r.ctx, openai.CompletionNewParams{
				Model: "summ-lm", Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("a question")},
				MaxTokens: openai.Int(8), Seed: openai.Int(1),
			})
			So(err, ShouldBeNil)
			So(completion.Choices[0].Text, ShouldNotBeEmpty)
			So(string(completion.Choices[0].FinishReason), ShouldNotBeEmpty)

			chat := openai.ChatCompletionNewParams{
				Model:     "summ-lm",
				Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage("a question")},
				MaxTokens: openai.Int(8), Seed: openai.Int(1),
			}
			whole, err := service.Chat.Completions.New(r.ctx, chat)
			So(err, ShouldBeNil)
			So(whole.Choices[0].Message.Content, ShouldNotBeEmpty)

			stream := service.Chat.Completions.NewStreaming(r.ctx, chat)
			defer stream.Close()
			accumulator := openai.ChatCompletionAccumulator{}
			for stream.Next() {
				So(accumulator.AddChunk(stream.Current()), ShouldBeTrue)
			}
			So(stream.Err(), ShouldBeNil)
			So(accumulator.Choices[0].Message.Content, ShouldEqual, whole.Choices[0].Message.Content)
		})
	})
}

// keyed is one request that is not repeatable.
func keyed(number int) client.CompletionRequest {
	key := fmt.Sprintf("minutes-%03d", number)
	return client.CompletionRequest{
		Pool: "summ-lm", Prompt: key + " of a meeting", MaxTokens: 64, Seed: int64(number), IdempotencyKey: key, NotRepeatable: true,
		Timeout: 10 * time.Second,
	}
}

// askOnce sends a request that is not repeatable to a node and records what its client was told.
func (r *run) askOnce(node string, request client.CompletionRequest) error {
	service, err := client.New(client.Options{
		BaseURLs: []string{r.CallerURL(node)}, Token: applicationToken, HTTPClient: plainClient(), MaxAttempts: 1,
	})
	if err != nil {
		return err
	}
	call := invariant.Call{
		Request: request.IdempotencyKey, Pool: request.Pool, Prompt: request.Prompt, Seed: request.Seed, NotRepeatable: true,
		Started: time.Now(), Outcome: v1.OutcomeCompleted,
	}
	completion, err := service.StreamComplete(r.ctx, request, func(string) error { return nil })
	if err != nil {
		call.Outcome = outcomeOf(err)
	}
	call.Text, call.FinishReason, call.Ended = completion.Text, completion.FinishReason, time.Now()
	r.session.Recorder.Called(call)
	return nil
}

// startAsking sends so many requests with keys from first on to a node at the same time.
func (r *run) startAsking(asking *errgroup.Group, node string, first, count int) {
	for number := first; number < first+count; number++ {
		asking.Go(func() error { return r.askOnce(node, keyed(number)) })
	}
}

// waitClaims waits until every node grants claims: keepers abstain for a while after a start.
func (r *run) waitClaims(nodes []string) {
	const firstNumber = 10_000
	for place, node := range nodes {
		for number := firstNumber * (place + 1); ; number++ {
			_, err := r.ask(node, applicationToken, keyed(number))
			if err == nil {
				break
			}
			So(outcomeOf(err), ShouldEqual, v1.OutcomeNotRun)
			So(r.pauseBriefly(), ShouldBeNil)
		}
	}
}

func TestNotRepeatable(t *testing.T) {
	Convey("Requests that are not repeatable run at most once, also when two gateways get the same key or one dies", t, func() {
		withSmall(t, func(r *run) {
			const requests = 40
			nodes := r.NodeNames()
			r.waitClaims(nodes)
			var both errgroup.Group
			r.startAsking(&both, nodes[0], 0, requests)
			r.startAsking(&both, nodes[1], 0, requests)
			So(both.Wait(), ShouldBeNil)

			var lost errgroup.Group
			// Read before the asking begins: requests that run before the count is read would be waited for in vain.
			before := len(r.executions())
			r.startAsking(&lost, nodes[0], requests, requests)
			for len(r.executions()) < before+requests/4 {
				So(r.pauseBriefly(), ShouldBeNil)
			}
			So(r.Node(nodes[0]).Kill(r.ctx), ShouldBeNil)
			var again errgroup.Group
			r.startAsking(&again, nodes[1], requests, requests)
			So(lost.Wait(), ShouldBeNil)
			So(again.Wait(), ShouldBeNil)
			So(r.Node(nodes[0]).Start(r.ctx), ShouldBeNil)
			result := r.judge()
			So(result.Promises.Answers, ShouldBeGreaterThanOrEqualTo, requests)
		})
	})
}
