package load

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/lab/invariant"
)

func chunk(text, finish string) string {
	reason := "null"
	if finish != "" {
		reason = fmt.Sprintf("%q", finish)
	}
	return fmt.Sprintf("data: {\"object\":\"text_completion\",\"choices\":[{\"index\":0,\"text\":%q,\"finish_reason\":%s}]}\n\n", text, reason)
}

// respond answers as a node might: number is the count of requests so far.
func respond(w http.ResponseWriter, behaviour string) {
	switch behaviour {
	case "whole":
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = fmt.Fprint(w, chunk("a ", ""), chunk("b ", ""), chunk("", "stop"), "data: [DONE]\n\n")
	case "cut":
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = fmt.Fprint(w, chunk("a ", ""))
	case "broken":
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = fmt.Fprint(w, chunk("a ", ""), "data: {\"error\":{\"message\":\"lost\",\"outcome\":\"unknown\"}}\n\n")
	case "refused":
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = fmt.Fprint(w, `{"error":{"message":"full","code":"overloaded","outcome":"not_run"}}`)
	case "bare":
		w.WriteHeader(http.StatusBadGateway)
	}
}

func testConfig(url string) Config {
	config := DefaultConfig()
	config.URLs, config.Token, config.Pool = []string{url}, "secret", "pool"
	config.RequestsPerSecond, config.Requests = 2000, 20
	return config
}

func TestLoadSeesOutcomesAsTheyAreTold(t *testing.T) {
	defer goleak.VerifyNone(t)
	cases := []struct {
		behaviour string
		outcome   v1.Outcome
		text      string
	}{
		{"whole", v1.OutcomeCompleted, "a b "},
		{"cut", v1.OutcomeUnknown, "a "},
		{"broken", v1.OutcomeUnknown, "a "},
		{"refused", v1.OutcomeNotRun, ""},
		{"bare", v1.OutcomeUnknown, ""},
	}
	for _, c := range cases {
		Convey("A node that answers "+c.behaviour+" gives "+string(c.outcome), t, func() {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { respond(w, c.behaviour) }))
			defer server.Close()
			recorder := invariant.NewRecorder()
			load, err := New(testConfig(server.URL), recorder, log.NewNopLogger())
			So(err, ShouldBeNil)
			report := load.Run(context.Background())
			So(report.Sent, ShouldEqual, 20)
			calls := recorder.History().Calls
			So(len(calls), ShouldEqual, 20)
			for _, call := range calls {
				So(call.Outcome, ShouldEqual, c.outcome)
				So(call.Text, ShouldEqual, c.text)
			}
			So(report.Whole.TotalCount(), ShouldEqual, report.Completed)
			So(report.Completed+report.NotRun+report.Unknown, ShouldEqual, 20)
			marked := 0
			for _, call := range calls {
				if call.NotRepeatable {
					marked++
				}
			}
			So(report.NotRepeatable, ShouldEqual, marked)
			if c.outcome == v1.OutcomeCompleted {
				So(report.NotRepeatableCompleted, ShouldEqual, marked)
			} else {
				So(report.NotRepeatableCompleted, ShouldEqual, 0)
			}
		})
	}
}

// dyingNode answers a first request and leaves the connection open. It takes in a second one on it and then ends: the connection breaks, and
// new ones are refused.
func dyingNode(t *testing.T) (url string, dial func(ctx context.Context, network, address string) (net.Conn, error)) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		requests := bufio.NewReader(conn)
		take := func() {
			request, err := http.ReadRequest(requests)
			if err == nil {
				_, err = io.Copy(io.Discard, request.Body)
			}
			if err != nil {
				t.Error(err)
			}
		}
		take()
		body := chunk("a ", "") + chunk("", "stop") + "data: [DONE]\n\n"
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		take()
		listener.Close()
	}()
	return "http://" + listener.Addr().String(), new(net.Dialer).DialContext
}

func TestLostRequestIsNotTakenForOneNeverSent(t *testing.T) {
	defer goleak.VerifyNone(t)
	Convey("A request that was sent to a node that then ends is of unknown outcome, though new connections are refused", t, func() {
		url, dial := dyingNode(t)
		config := testConfig(url)
		config.Dial = dial
		load, err := New(config, nil, log.NewNopLogger())
		So(err, ShouldBeNil)
		defer load.transport.CloseIdleConnections()
		for _, expected := range []v1.Outcome{v1.OutcomeCompleted, v1.OutcomeUnknown, v1.OutcomeNotRun} {
			question := load.question(0)
			So(ask(context.Background(), load.clients[0], config, question).outcome, ShouldEqual, expected)
		}
	})
}

func TestLoadRequests(t *testing.T) {
	defer goleak.VerifyNone(t)
	Convey("Requests carry what the API asks for and are the same for the same seed", t, func() {
		type seen struct {
			Model, Prompt string
			Seed          int64
			MaxTokens     int `json:"max_tokens"`
			Stream        bool
		}
		collect := func() map[string]seen {
			var mu sync.Mutex
			requests := map[string]seen{}
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				var body seen
				_ = json.NewDecoder(r.Body).Decode(&body)
				mu.Lock()
				requests[r.Header.Get("Idempotency-Key")+" "+r.Header.Get("Covelink-Repeatable")+" "+r.Header.Get("Authorization")+" "+r.URL.Path] = body
				mu.Unlock()
				respond(w, "whole")
			}))
			defer server.Close()
			load, err := New(testConfig(server.URL), nil, log.NewNopLogger())
			So(err, ShouldBeNil)
			load.Run(context.Background())
			return requests
		}
		first := collect()
		So(len(first), ShouldEqual, 20)
		So(collect(), ShouldResemble, first)
		example, ok := first["load-1-000000 false Bearer secret /v1/completions"]
		So(ok, ShouldBeTrue)
		So(example.Model, ShouldEqual, "pool")
		So(example.MaxTokens, ShouldEqual, 32)
		So(example.Stream, ShouldBeTrue)
	})
	Convey("Arrivals beyond the limit are counted and not sent, and the end of the context ends the arrivals", t, func() {
		release := make(chan struct{})
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			<-release
			respond(w, "whole")
		}))
		defer server.Close()
		config := testConfig(server.URL)
		config.MaxInFlight, config.Requests = 3, 1<<20
		load, err := New(config, nil, log.NewNopLogger())
		So(err, ShouldBeNil)
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		defer cancel()
		time.AfterFunc(600*time.Millisecond, func() { close(release) })
		report := load.Run(ctx)
		So(report.Sent, ShouldEqual, 3)
		So(report.Completed, ShouldEqual, 3)
		So(report.Shed, ShouldBeGreaterThan, 0)
	})
	Convey("A request that found no connection was not run", t, func() {
		server := httptest.NewServer(http.NotFoundHandler())
		config := testConfig(server.URL)
		server.Close()
		load, err := New(config, nil, log.NewNopLogger())
		So(err, ShouldBeNil)
		So(load.Run(context.Background()).NotRun, ShouldEqual, 20)
	})
	Convey("Unfit settings are refused with the field's name", t, func() {
		config := testConfig("nowhere")
		_, err := New(config, nil, log.NewNopLogger())
		So(err, ShouldNotBeNil)
		So(err.Error(), ShouldContainSubstring, "URLs")
	})
}
