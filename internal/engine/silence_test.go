package engine_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	v1 "github.com/covelink/covelink/api/v1"

	"github.com/covelink/covelink/api/enginev1"
	"github.com/covelink/covelink/internal/engine"
)

func TestSilence(t *testing.T) {
	Convey("With an engine whose stream may stall", t, func() {
		const patience = 500 * time.Millisecond
		var stall func(w http.ResponseWriter, r *http.Request)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			// The server notices that the client has gone only once the body is read.
			_, _ = io.Copy(io.Discard, r.Body)
			stall(w, r)
		}))
		client := engine.New(engine.Config{StreamSilence: patience})
		Reset(func() {
			client.Close()
			server.CloseClientConnections()
			server.Close()
		})

		Convey("silence after some events loses the stream, and keeps the tokens that came", func() {
			whole := events(answer(3), 0)
			stall = func(w http.ResponseWriter, r *http.Request) {
				write(w, whole[:1])
				<-r.Context().Done()
			}
			result := client.Stream(t.Context(), engine.Target{Name: "e", URL: server.URL}, completion(), ignore)
			So(result.Outcome, ShouldEqual, v1.OutcomeUnknown)
			So(result.Err, ShouldEqual, engine.ErrSilent)
			So(result.Tokens, ShouldNotBeEmpty)
		})
		Convey("silence before the answer's head is of unknown outcome too", func() {
			stall = func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
			result := client.Stream(t.Context(), engine.Target{Name: "e", URL: server.URL}, completion(), ignore)
			So(result.Outcome, ShouldEqual, v1.OutcomeUnknown)
			So(result.Err, ShouldEqual, engine.ErrSilent)
		})
		Convey("keep-alive lines hold a stream that waits for longer than that", func() {
			stall = func(w http.ResponseWriter, _ *http.Request) {
				for range 8 {
					_, _ = fmt.Fprintf(w, "%s\n\n", enginev1.KeepAliveLine)
					w.(http.Flusher).Flush()
					time.Sleep(patience / 5)
				}
				write(w, events(answer(3), 0))
			}
			So(client.Stream(t.Context(), engine.Target{Name: "e", URL: server.URL}, completion(), ignore).Outcome, ShouldEqual, v1.OutcomeCompleted)
		})
	})
}
