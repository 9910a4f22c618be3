package client_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/client"
)

const answerBody = `{"choices":[{"text":"hi","finish_reason":"stop"}],"covelink":{"request_id":"r","segments":[{"version":3,"tokens":1}]}}`

const refusalBody = `{"error":{"message":"full","type":"server_error","code":"overloaded","param":null,"outcome":"not_run"}}`

const unknownBody = `{"error":{"message":"lost","type":"server_error","code":"unavailable","param":"x","outcome":"unknown"}}`

// node is a scripted node that counts its requests.
type node struct {
	requests atomic.Int64
	url      string
}

// newNode answers the n-th request, from 1, by the script.
func newNode(script func(n int64, w http.ResponseWriter, r *http.Request)) *node {
	made := &node{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		script(made.requests.Add(1), w, r)
	}))
	Reset(server.Close)
	made.url = server.URL
	return made
}

func answers(status int, body string) func(int64, http.ResponseWriter, *http.Request) {
	return func(_ int64, w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		fmt.Fprint(w, body)
	}
}

func newClient(urls ...string) *client.Client {
	made, err := client.New(client.Options{BaseURLs: urls, Token: "t", MinBackoff: time.Millisecond, MaxBackoff: time.Millisecond})
	So(err, ShouldBeNil)
	return made
}

func closedURL() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	defer listener.Close()
	return "http://" + listener.Addr().String()
}

func TestComplete(t *testing.T) {
	ctx := context.Background()
	request := client.CompletionRequest{Pool: "p", Prompt: "x", IdempotencyKey: "k", NotRepeatable: true, Timeout: time.Minute}
	Convey("Complete", t, func() {
		Convey("returns the answer and sends what it was given", func() {
			var header http.Header
			n := newNode(func(_ int64, w http.ResponseWriter, r *http.Request) {
				header = r.Header.Clone()
				fmt.Fprint(w, answerBody)
			})
			got, err := newClient(n.url).Complete(ctx, request)
			So(err, ShouldBeNil)
			So(got, ShouldResemble, client.Completion{RequestID: "r", Text: "hi", FinishReason: "stop", Segments: []v1.Segment{{Version: 3, Tokens: 1}}})
			So(header.Get("Authorization"), ShouldEqual, "Bearer t")
			So(header.Get("Idempotency-Key"), ShouldEqual, "k")
			So(header.Get("Covelink-Repeatable"), ShouldEqual, "false")
			So(header.Get("Covelink-Timeout"), ShouldEqual, "1m0s")
		})
		Convey("turns to the next node when the first cannot be reached or has not run it", func() {
			refusing := newNode(answers(http.StatusServiceUnavailable, refusalBody))
			good := newNode(answers(http.StatusOK, answerBody))
			made := newClient(closedURL(), refusing.url, good.url)
			_, err := made.Complete(ctx, request)
			So(err, ShouldBeNil)
			_, err = made.Complete(ctx, request)
			So(err, ShouldBeNil)
			So(refusing.requests.Load(), ShouldEqual, 1)
			So(good.requests.Load(), ShouldEqual, 2)
		})
		Convey("is never sent again after an unknown outcome", func() {
			good := newNode(answers(http.StatusOK, answerBody))
			for _, script := range []func(int64, http.ResponseWriter, *http.Request){
				answers(http.StatusServiceUnavailable, unknownBody),
				answers(http.StatusBadGateway, "<html>"),
				func(int64, http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
			} {
				bad := newNode(script)
				_, err := newClient(bad.url, good.url).Complete(ctx, request)
				var typed *v1.Error
				So(errors.As(err, &typed), ShouldBeTrue)
				So(typed.Outcome, ShouldEqual, v1.OutcomeUnknown)
				So(bad.requests.Load(), ShouldEqual, 1)
			}
			So(good.requests.Load(), ShouldEqual, 0)
		})
		Convey("gives up with the typed error after its attempts", func() {
			n := newNode(answers(http.StatusServiceUnavailable, refusalBody))
			_, err := newClient(n.url).Complete(ctx, request)
			So(err, ShouldResemble, v1.NotRun(v1.CodeOverloaded, 0, "full"))
			So(n.requests.Load(), ShouldEqual, client.DefaultMaxAttempts)
		})
		Convey("does not come back before Retry-After", func() {
			n := newNode(func(_ int64, w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Retry-After", "60")
				w.WriteHeader(http.StatusServiceUnavailable)
				fmt.Fprint(w, refusalBody)
			})
			bounded, cancel := context.WithTimeout(ctx, 30*time.Second)
			defer cancel()
			_, err := newClient(n.url).Complete(bounded, request)
			So(err, ShouldResemble, v1.NotRun(v1.CodeOverloaded, time.Minute, "full"))
			So(n.requests.Load(), ShouldEqual, 1)
		})
	})
	Convey("StreamComplete", t, func() {
		stream := func(body string) (client.Completion, string, error) {
			n := newNode(answers(http.StatusOK, body))
			received := ""
			got, err := newClient(n.url).StreamComplete(ctx, request, func(text string) error {
				received += text
				return nil
			})
			return got, received, err
		}
		const chunk = "id: r.1\ndata: {\"choices\":[{\"text\":\"a\"}]}\n\n"
		Convey("returns the whole at its end", func() {
			got, received, err := stream(chunk + chunk + "data: " + answerBody + "\n\ndata: [DONE]\n\n")
			So(err, ShouldBeNil)
			So(received, ShouldEqual, "aahi")
			So(got.Text, ShouldEqual, "aahi")
			So(got.Segments[0].Version, ShouldEqual, 3)
		})
		Convey("fails when the stream says so, or ends without an end", func() {
			for _, end := range []string{"event: error\ndata: " + unknownBody + "\n\n", "", "data: {"} {
				_, received, err := stream(chunk + end)
				var typed *v1.Error
				So(errors.As(err, &typed), ShouldBeTrue)
				So(typed.Outcome, ShouldEqual, v1.OutcomeUnknown)
				So(received, ShouldEqual, "a")
			}
		})
	})
}

// ledger is a node that keeps a batch of samples and loses every second reply.
type ledger struct {
	samples int64
	acked   atomic.Int64
	version atomic.Int64
}

func (l *ledger) serve(n int64, w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		var ack v1.AckRequest
		json.NewDecoder(r.Body).Decode(&ack)
		l.acked.Store(ack.Position)
	}
	if n%2 == 1 {
		panic(http.ErrAbortHandler)
	}
	if r.Method == http.MethodPost {
		json.NewEncoder(w).Encode(v1.BatchStatus{})
		return
	}
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	version, _ := strconv.ParseInt(r.URL.Query().Get("version"), 10, 64)
	l.version.Store(version)
	response := v1.FetchResponse{Next: min(after+2, l.samples)}
	// The sample at the cursor is sent again, as a careless node might.
	for position := max(after, 1); position <= response.Next; position++ {
		response.Samples = append(response.Samples, v1.Sample{Position: position})
	}
	response.Done = response.Next == l.samples
	json.NewEncoder(w).Encode(response)
}

func TestConsume(t *testing.T) {
	Convey("Consume", t, func() {
		batch := &ledger{samples: 7}
		n := newNode(batch.serve)
		var positions []int64
		handle := func(sample v1.Sample) error {
			positions = append(positions, sample.Position)
			return nil
		}
		version := func() int64 { return 9 }
		Convey("hands every sample over once although replies are lost, and acknowledges all", func() {
			So(newClient(n.url).Consume(context.Background(), "t", "b", version, handle), ShouldBeNil)
			So(positions, ShouldResemble, []int64{1, 2, 3, 4, 5, 6, 7})
			So(batch.acked.Load(), ShouldEqual, 7)
			So(batch.version.Load(), ShouldEqual, 9)
		})
		Convey("acknowledges only what was handled, and goes on from there", func() {
			full := errors.New("full")
			err := newClient(n.url).Consume(context.Background(), "t", "b", version, func(sample v1.Sample) error {
				if sample.Position == 4 {
					return full
				}
				return handle(sample)
			})
			So(err, ShouldEqual, full)
			So(batch.acked.Load(), ShouldEqual, 3)
			So(newClient(n.url).ConsumeFrom(context.Background(), "t", "b", 3, version, handle), ShouldBeNil)
			So(positions, ShouldResemble, []int64{1, 2, 3, 4, 5, 6, 7})
		})
		Convey("returns the typed error of a refusal", func() {
			gone := newNode(answers(http.StatusNotFound, `{"error":{"message":"no such batch","code":"not_found"}}`))
			err := newClient(gone.url).Consume(context.Background(), "t", "b", version, handle)
			So(err, ShouldResemble, v1.Errorf(v1.CodeNotFound, "no such batch"))
			So(gone.requests.Load(), ShouldEqual, 1)
		})
	})
}
