package engine_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"

	v1 "github.com/covelink/covelink/api/v1"

	"github.com/covelink/covelink/api/enginev1"
	"github.com/covelink/covelink/internal/engine"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func completion() enginev1.CompletionRequest {
	return enginev1.CompletionRequest{RequestID: "r", Attempt: 1, Incarnation: "i", Prompt: "hello", MaxTokens: 100}
}

func ignore(engine.Chunk) error { return nil }

// serve starts an engine with the handler and returns a client and a function that runs one stream on it.
func serve(handler http.HandlerFunc) (stream func(context.Context, func(engine.Chunk) error) engine.StreamResult, end func()) {
	server := httptest.NewServer(handler)
	client := engine.New(engine.Config{MaxLineBytes: 4096})
	target := engine.Target{Name: "e", URL: server.URL}
	stream = func(ctx context.Context, onChunk func(engine.Chunk) error) engine.StreamResult {
		return client.Stream(ctx, target, completion(), onChunk)
	}
	return stream, func() {
		client.Close()
		server.Close()
	}
}

func write(w http.ResponseWriter, stream []enginev1.TokenEvent) {
	for _, event := range stream {
		data, _ := json.Marshal(event)
		_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
		w.(http.Flusher).Flush()
	}
}

func refuseWith(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}
}

func TestStreamOutcomes(t *testing.T) {
	tokens := answer(20)
	cases := []struct {
		name    string
		handler http.HandlerFunc
		outcome v1.Outcome
		err     error
		tokens  int
	}{
		{"whole", func(w http.ResponseWriter, _ *http.Request) { write(w, events(tokens, 0)) }, v1.OutcomeCompleted, nil, 20},
		{"refused", refuseWith(503, `{"reason":"full"}`), v1.OutcomeNotRun, engine.ErrRefused, 0},
		{"refused by its incarnation", refuseWith(409, `{"reason":"incarnation"}`), v1.OutcomeNotRun, engine.ErrRefused, 0},
		{"503 of something else", refuseWith(503, `upstream unavailable`), v1.OutcomeUnknown, engine.ErrStatus, 0},
		{"503 with other JSON", refuseWith(503, `{"error":"full"}`), v1.OutcomeUnknown, engine.ErrStatus, 0},
		{"refusal cut short", refuseWith(503, `{"reason":"full`), v1.OutcomeUnknown, engine.ErrStatus, 0},
		{"500 with a refusal", refuseWith(500, `{"reason":"full"}`), v1.OutcomeUnknown, engine.ErrStatus, 0},
		{"redirect", func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
		},
			v1.OutcomeUnknown, engine.ErrStatus, 0},
		{"crash before the head", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
			v1.OutcomeUnknown, engine.ErrLost, 0},
		{"crash in mid-stream", func(w http.ResponseWriter, _ *http.Request) {
			write(w, events(tokens, 0)[:7])
			panic(http.ErrAbortHandler)
		}, v1.OutcomeUnknown, engine.ErrLost, 7},
		{"end without a final event", func(w http.ResponseWriter, _ *http.Request) { write(w, events(tokens, 0)[:7]) },
			v1.OutcomeUnknown, engine.ErrTruncated, 7},
		{"malformed event", func(w http.ResponseWriter, _ *http.Request) {
			write(w, events(tokens, 0)[:3])
			_, _ = w.Write([]byte("data: {\n\n"))
		}, v1.OutcomeUnknown, engine.ErrMalformed, 3},
		{"line too long", func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte("data: " + strings.Repeat("x", 8192) + "\n\n"))
		}, v1.OutcomeUnknown, engine.ErrTooLarge, 0},
	}
	for _, c := range cases {
		Convey("Stream: "+c.name, t, func() {
			stream, end := serve(c.handler)
			defer end()
			result := stream(context.Background(), ignore)
			So(result.Outcome, ShouldEqual, c.outcome)
			So(errors.Is(result.Err, c.err), ShouldBeTrue)
			So(result.Tokens, ShouldHaveLength, c.tokens)
		})
	}
}

func TestStreamEnds(t *testing.T) {
	Convey("The end of the context cancels the engine's stream at once", t, func() {
		gone := make(chan struct{})
		stream, end := serve(func(w http.ResponseWriter, r *http.Request) {
			write(w, events(answer(20), 0)[:1])
			<-r.Context().Done()
			close(gone)
		})
		defer end()
		ctx, cancel := context.WithCancel(context.Background())
		result := stream(ctx, func(engine.Chunk) error { cancel(); return nil })
		<-gone
		So(result.Outcome, ShouldEqual, v1.OutcomeUnknown)
		So(result.Tokens, ShouldHaveLength, 1)
	})
	Convey("An error of the consumer ends the stream", t, func() {
		stream, end := serve(func(w http.ResponseWriter, _ *http.Request) { write(w, events(answer(20), 0)) })
		defer end()
		result := stream(context.Background(), func(engine.Chunk) error { return errors.New("enough") })
		So(errors.Is(result.Err, engine.ErrConsumer), ShouldBeTrue)
	})
	Convey("A final event ends the stream at once, although the engine keeps it open", t, func() {
		held := make(chan struct{})
		stream, end := serve(func(w http.ResponseWriter, _ *http.Request) {
			write(w, events(answer(3), 0))
			<-held
		})
		defer end()
		defer close(held)
		So(stream(context.Background(), ignore).Outcome, ShouldEqual, v1.OutcomeCompleted)
	})
	Convey("A connection is used again after a whole answer", t, func() {
		var mu sync.Mutex
		uses := map[string]int{}
		stream, end := serve(func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			uses[r.RemoteAddr]++
			mu.Unlock()
			write(w, events(answer(3), 0))
		})
		defer end()
		reused := func() bool {
			mu.Lock()
			defer mu.Unlock()
			return slices.Max(slices.Collect(maps.Values(uses))) > 1
		}
		So(stream(context.Background(), ignore).Outcome, ShouldEqual, v1.OutcomeCompleted)
		for deadline := time.Now().Add(20 * time.Second); !reused() && time.Now().Before(deadline); {
			So(stream(context.Background(), ignore).Outcome, ShouldEqual, v1.OutcomeCompleted)
		}
		So(reused(), ShouldBeTrue)
	})
}

// rawEngine accepts connections and gives each to handle.
func rawEngine(handle func(net.Conn)) (url string, end func()) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			handle(conn)
		}
	}()
	return "http://" + listener.Addr().String(), func() {
		_ = listener.Close()
		<-done
	}
}

// failingConn accepts a number of written bytes and then fails.
type failingConn struct {
	net.Conn
	accept int
}

func (c *failingConn) Write(data []byte) (int, error) {
	n := min(c.accept, len(data))
	c.accept -= n
	if n < len(data) {
		return n, errors.New("write failed")
	}
	return n, nil
}

func TestNotRunIsTrue(t *testing.T) {
	run := func(client *engine.Client, url string, request enginev1.CompletionRequest) engine.StreamResult {
		defer client.Close()
		return client.Stream(context.Background(), engine.Target{URL: url}, request, ignore)
	}
	Convey("Nothing listens: not run", t, func() {
		url, end := rawEngine(func(conn net.Conn) { _ = conn.Close() })
		end()
		result := run(engine.New(engine.Config{}), url, completion())
		So(result.Outcome, ShouldEqual, v1.OutcomeNotRun)
		So(errors.Is(result.Err, engine.ErrNotSent), ShouldBeTrue)
	})
	Convey("Write half done, then reset: unknown", t, func() {
		url, end := rawEngine(func(conn net.Conn) {
			_, _ = conn.Read(make([]byte, 1024))
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		})
		defer end()
		request := completion()
		request.Prompt = strings.Repeat("x", 16<<20)
		result := run(engine.New(engine.Config{}), url, request)
		So(result.Outcome, ShouldEqual, v1.OutcomeUnknown)
		So(errors.Is(result.Err, engine.ErrLost), ShouldBeTrue)
	})
	for accepted, outcome := range map[int]v1.Outcome{0: v1.OutcomeNotRun, 1: v1.OutcomeUnknown} {
		Convey(fmt.Sprintf("A first write that fails after %d bytes: %s", accepted, outcome), t, func() {
			var requests atomic.Int32
			server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { requests.Add(1) }))
			defer server.Close()
			client := engine.New(engine.Config{Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
				return &failingConn{Conn: conn, accept: accepted}, err
			}})
			result := run(client, server.URL, completion())
			So(result.Outcome, ShouldEqual, outcome)
			So(requests.Load(), ShouldEqual, 0)
		})
	}
	Convey("Over TLS the bytes are seen too: whole, lost, and not sent to a certificate that is not trusted", t, func() {
		var crash atomic.Bool
		server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if crash.Load() {
				panic(http.ErrAbortHandler)
			}
			write(w, events(answer(3), 0))
		}))
		server.Config.ErrorLog = log.New(io.Discard, "", 0)
		defer server.Close()
		trusting := server.Client().Transport.(*http.Transport).TLSClientConfig
		So(run(engine.New(engine.Config{TLS: trusting}), server.URL, completion()).Outcome, ShouldEqual, v1.OutcomeCompleted)
		So(run(engine.New(engine.Config{}), server.URL, completion()).Outcome, ShouldEqual, v1.OutcomeNotRun)
		crash.Store(true)
		So(run(engine.New(engine.Config{TLS: trusting}), server.URL, completion()).Outcome, ShouldEqual, v1.OutcomeUnknown)
	})
	Convey("A request is never sent twice, not even when a kept connection turns out to be closed", t, func() {
		var posts atomic.Int32
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if posts.Add(1) > 1 {
				panic(http.ErrAbortHandler)
			}
			write(w, events(answer(3), 0))
		}))
		defer server.Close()
		client := engine.New(engine.Config{})
		defer client.Close()
		target := engine.Target{URL: server.URL}
		So(client.Stream(context.Background(), target, completion(), ignore).Outcome, ShouldEqual, v1.OutcomeCompleted)
		second := client.Stream(context.Background(), target, completion(), ignore)
		So(second.Outcome, ShouldEqual, v1.OutcomeUnknown)
		So(posts.Load(), ShouldEqual, 2)
	})
}

func TestOrders(t *testing.T) {
	Convey("Orders and reports carry their types, and refusals are typed", t, func() {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			switch r.URL.Path {
			case enginev1.PathOrders:
				var order enginev1.Order
				_ = json.NewDecoder(r.Body).Decode(&order)
				if order.Fence < 9 {
					refuseWith(409, `{"reason":"fence","highest_fence":9}`)(w, r)
					return
				}
				_ = json.NewEncoder(w).Encode(enginev1.OrderResult{Load: enginev1.Load{HighestFence: order.Fence}})
			case enginev1.PathLoad:
				_ = json.NewEncoder(w).Encode(enginev1.Load{Name: "e", Running: 3})
			case enginev1.PathCacheEvents:
				_ = json.NewEncoder(w).Encode([]enginev1.CacheEvent{{Sequence: uint64(len(r.URL.Query().Get("after")))}})
			case enginev1.PathExport:
				_ = json.NewEncoder(w).Encode(enginev1.KVState{RequestID: "r", Tokens: []string{"a"}})
			case enginev1.PathCancel, enginev1.PathImport:
				w.WriteHeader(http.StatusNoContent)
			}
		}))
		defer server.Close()
		client := engine.New(engine.Config{})
		defer client.Close()
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
		defer cancel()
		_, err := client.Order(ctx, server.URL, enginev1.Order{Kind: enginev1.OrderDrain, Fence: 3})
		var refusal *engine.RefusalError
		So(errors.As(err, &refusal), ShouldBeTrue)
		So(refusal.Refusal.HighestFence, ShouldEqual, 9)
		result, err := client.Order(ctx, server.URL, enginev1.Order{Kind: enginev1.OrderDrain, Fence: 10})
		So(err, ShouldBeNil)
		So(result.Load.HighestFence, ShouldEqual, 10)
		load, err := client.Load(ctx, server.URL)
		So(err, ShouldBeNil)
		So(load.Running, ShouldEqual, 3)
		cached, err := client.CacheEvents(ctx, server.URL, 12)
		So(err, ShouldBeNil)
		So(cached[0].Sequence, ShouldEqual, 2)
		state, err := client.Export(ctx, server.URL, enginev1.ExportRequest{RequestID: "r"})
		So(err, ShouldBeNil)
		So(state.Tokens, ShouldResemble, []string{"a"})
		So(client.Import(ctx, server.URL, state), ShouldBeNil)
		So(client.Cancel(ctx, server.URL, enginev1.CancelRequest{RequestID: "r"}), ShouldBeNil)
		_, err = client.Load(ctx, "http://127.0.0.1:1")
		So(errors.Is(err, engine.ErrNotSent), ShouldBeTrue)
	})
}
