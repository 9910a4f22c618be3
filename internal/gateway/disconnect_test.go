package gateway_test

import (
	"bufio"
	"context"
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	. "github.com/smartystreets/goconvey/convey"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/client"
	"github.com/covelink/covelink/internal/dispatch"
	"github.com/covelink/covelink/internal/gateway"
)

// firstEvent starts a stream, reads its first event and cuts the connection.
func (b *bench) firstEvent(key string) string {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, b.url+"/v1/completions", strings.NewReader(streamBody))
	So(err, ShouldBeNil)
	request.Header.Set("Authorization", "Bearer "+applicationToken)
	request.Header.Set("Idempotency-Key", key)
	response, err := http.DefaultClient.Do(request)
	So(err, ShouldBeNil)
	defer response.Body.Close()
	line, err := bufio.NewReader(response.Body).ReadString('\n')
	So(err, ShouldBeNil)
	return strings.TrimSpace(line)
}

func TestDisconnect(t *testing.T) {
	Convey("When a caller's connection is cut in mid-stream", t, func() {
		b := newBench(t, nil)
		open := make(chan struct{})
		ended := make(chan error, 1)
		b.dispatcher.script = func(ctx context.Context, _ dispatch.Task, progress func(dispatch.Progress) error) dispatch.Result {
			if err := progress(dispatch.Progress{Tokens: answerTokens[:1], Version: 7}); err != nil {
				return dispatch.Result{Outcome: v1.OutcomeUnknown}
			}
			select {
			case <-open:
				ended <- nil
				return completed()
			case <-ctx.Done():
				ended <- ctx.Err()
				return dispatch.Result{Outcome: v1.OutcomeUnknown}
			}
		}
		Convey("a request with a key goes on, and the caller reads the rest of the same answer", func() {
			first := b.firstEvent("k")
			close(open)
			rest := b.complete(streamBody, "Idempotency-Key", "k", "Last-Event-ID", idOf(first))
			So(rest.body, ShouldContainSubstring, "two three")
			So(rest.body, ShouldNotContainSubstring, "one")
			So(rest.body, ShouldEndWith, "data: [DONE]\n\n")
			So(<-ended, ShouldBeNil)
			So(len(b.dispatcher.seen()), ShouldEqual, 1)
		})
		Convey("a request without a key is cancelled", func() {
			b.firstEvent("")
			select {
			case err := <-ended:
				So(err, ShouldEqual, context.Canceled)
			case <-time.After(waitLimit):
				So("the task is cancelled", ShouldBeBlank)
			}
		})
	})
}

func TestGoClient(t *testing.T) {
	Convey("The project's own client", t, func() {
		registry := prometheus.NewRegistry()
		b := newBench(t, func(params *gateway.Params) { params.Registerer = registry })
		ctx := context.Background()
		newClient := func(token string) *client.Client {
			made, err := client.New(client.Options{BaseURLs: []string{b.url}, Token: token, MaxAttempts: 1})
			So(err, ShouldBeNil)
			return made
		}
		request := client.CompletionRequest{Pool: "pool-a", Prompt: "hello"}
		Convey("completes and streams", func() {
			app := newClient(applicationToken)
			whole, err := app.Complete(ctx, request)
			So(err, ShouldBeNil)
			So(whole.Text, ShouldEqual, "one two three")
			So(whole.Segments, ShouldResemble, completed().Segments)
			received := ""
			streamed, err := app.StreamComplete(ctx, request, func(text string) error {
				received += text
				return nil
			})
			So(err, ShouldBeNil)
			So(received, ShouldEqual, whole.Text)
			So(streamed.Segments, ShouldResemble, whole.Segments)
			So(eventually(func() bool {
				count, err := testutil.GatherAndCount(registry, "covelink_gateway_requests_total")
				return err == nil && count == 1
			}), ShouldBeTrue)
		})
		Convey("gets typed errors with outcome and Retry-After", func() {
			b.dispatcher.script = refuses
			_, err := newClient(applicationToken).Complete(ctx, request)
			So(err, ShouldResemble, v1.NotRun(v1.CodeOverloaded, 2*time.Second, "queue full"))
			b.dispatcher.script = failsAfterTwo
			_, err = newClient(applicationToken).StreamComplete(ctx, request, func(string) error { return nil })
			var typed *v1.Error
			So(errors.As(err, &typed), ShouldBeTrue)
			So(typed.Outcome, ShouldEqual, v1.OutcomeUnknown)
		})
		Convey("serves a trainer", func() {
			trainer := newClient(trainerToken)
			_, err := trainer.PutBatch(ctx, "trainer", "b", v1.BatchSpec{Samples: []v1.SampleRequest{{Prompt: "x"}}})
			So(err, ShouldBeNil)
			_, err = trainer.Batch(ctx, "trainer", "b")
			So(err, ShouldBeNil)
			fetched, err := trainer.Fetch(ctx, "trainer", "b", v1.FetchRequest{After: 2, Version: 3, Limit: 4, Wait: time.Second})
			So(err, ShouldBeNil)
			So(fetched.Next, ShouldEqual, 2)
			_, err = trainer.Ack(ctx, "trainer", "b", v1.AckRequest{Position: 2})
			So(err, ShouldBeNil)
			_, err = trainer.CancelBatch(ctx, "trainer", "b")
			So(err, ShouldBeNil)
			So(trainer.PutVersion(ctx, "trainer", v1.WeightVersion{Version: 1, Digest: v1.HashToken("w"), Location: "w"}), ShouldBeNil)
			So(b.rollouts.count(), ShouldEqual, 6)
		})
	})
}
