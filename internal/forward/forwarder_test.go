package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/boottime"
	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/routing"
)

// sentAttempt is an attempt that reached the transport.
type sentAttempt struct {
	engine   string
	timeLeft time.Duration
	leaveBy  time.Time
	once     bool
}

// scriptedTransport runs a scripted action for each engine; engines without one respond with 200.
type scriptedTransport struct {
	mu      sync.Mutex
	actions map[string]func(ctx context.Context) (*Answer, error)
	sends   []sentAttempt
}

func answer(status int, body string) *Answer {
	return &Answer{Status: status, Valid: true, Signature: "signed", Header: http.Header{}, Body: io.NopCloser(strings.NewReader(body))}
}

func (s *scriptedTransport) Send(ctx context.Context, engine *fleet.Engine, _ *Request, options SendOptions) (*Answer, error) {
	s.mu.Lock()
	s.sends = append(s.sends, sentAttempt{engine: engine.ID, timeLeft: options.TimeLeft, leaveBy: options.LeaveBy, once: options.NoReplay})
	do := s.actions[engine.ID]
	s.mu.Unlock()
	if do == nil {
		return answer(http.StatusOK, "from "+engine.ID), nil
	}
	return do(ctx)
}

func refused(context.Context) (*Answer, error) {
	a := answer(http.StatusServiceUnavailable, "")
	a.NotRun = true
	return a, nil
}

func lost(context.Context) (*Answer, error) { return nil, ErrLost }

func notSent(context.Context) (*Answer, error) { return nil, ErrNotSent }

func failed(context.Context) (*Answer, error) {
	return answer(http.StatusInternalServerError, "bad"), nil
}

func silent(ctx context.Context) (*Answer, error) {
	<-ctx.Done()
	return nil, ErrLost
}

// brokenBody fails after a part of the body.
type brokenBody struct{ io.Reader }

func (brokenBody) Close() error { return nil }

func cutOff(context.Context) (*Answer, error) {
	a := answer(http.StatusOK, "")
	a.Body = brokenBody{io.MultiReader(strings.NewReader("half"), errReader{})}
	return a, nil
}

type errReader struct{}

func (errReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

func unsigned(context.Context) (*Answer, error) {
	a := answer(http.StatusOK, "unsigned body")
	a.Valid = false
	return a, nil
}

type action = func(context.Context) (*Answer, error)

// forwardOnce forwards one request with a deadline of 1 s to engines a and b.
func forwardOnce(t *testing.T, name string, kind routing.Kind, actions map[string]action, check func(result Result, s *scriptedTransport, took time.Duration)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := &scriptedTransport{actions: actions}
		state := fleet.NewState()
		route := routing.Route{Host: "h", Prefix: "/", Kind: kind, Targets: []routing.Target{{Service: "s", Weight: 1}}, MaxAttempts: 2, LatencyObjective: 200 * time.Millisecond}
		state.SetRoutes(routing.NewTable(1, []routing.Route{route}, nil, routing.Limits{}))
		state.SetEngineList([]*fleet.Engine{
			{ID: "a", Service: "s", Slots: 4, Ready: true},
			{ID: "b", Service: "s", Slots: 4, Ready: true},
			{ID: "c", Service: "s", Slots: 4, Ready: false},
		})
		forwarder := New(state, s, NewPicker(time.Now), log.NewNopLogger())
		Convey(name, t, func() {
			started := boottime.Now()
			result := forwarder.Do(t.Context(), state.View().Routes.Match("h", "/1"), &Request{ID: "r"}, started.Add(time.Second))
			check(result, s, boottime.Since(started))
		})
	})
}

// answersInParts responds at once, with a body of so many parts that come at intervals.
func answersInParts(parts int, interval time.Duration) action {
	return func(ctx context.Context) (*Answer, error) {
		reader, writer := io.Pipe()
		go func() {
			for range parts {
				select {
				case <-time.After(interval):
					_, _ = writer.Write([]byte("part "))
				case <-ctx.Done():
					writer.CloseWithError(ctx.Err())
					return
				}
			}
			writer.Close()
		}()
		a := answer(http.StatusOK, "")
		a.Body = reader
		return a, nil
	}
}

// forwardSlowly forwards one request with a deadline of 3 s, of a route whose attempts are given up after 300 ms, to engines that respond in parts.
func forwardSlowly(t *testing.T, name string, route routing.Route, do action, check func(result Result, s *scriptedTransport)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := &scriptedTransport{actions: map[string]action{"a": do, "b": do}}
		state := fleet.NewState()
		route.Host, route.Prefix, route.MaxAttempts, route.LatencyObjective = "h", "/", 3, 200*time.Millisecond
		route.Targets = []routing.Target{{Service: "s", Weight: 1}}
		state.SetRoutes(routing.NewTable(1, []routing.Route{route}, nil, routing.Limits{}))
		state.SetEngineList([]*fleet.Engine{{ID: "a", Service: "s", Slots: 4, Ready: true}, {ID: "b", Service: "s", Slots: 4, Ready: true}})
		forwarder := New(state, s, NewPicker(time.Now), log.NewNopLogger())
		Convey(name, t, func() {
			check(forwarder.Do(t.Context(), state.View().Routes.Match("h", "/1"), &Request{ID: "r"}, boottime.Now().Add(3*time.Second)), s)
		})
	})
}

// Guards against responses that are cut because the timeout of the attempt, which bounds the wait for a response, goes on once it has begun.
func TestAttemptTimeoutEndsWithTheWaitForAResponse(t *testing.T) {
	stream := routing.Route{Kind: routing.KindStream, Resumable: true}
	const parts, interval = 15, 100 * time.Millisecond
	whole := strings.Repeat("part ", parts)
	forwardSlowly(t, "A resumable stream is passed on for longer than the timeout", stream, answersInParts(parts, interval), func(result Result, _ *scriptedTransport) {
		content, err := io.ReadAll(result.Stream)
		So(err, ShouldBeNil)
		So(string(content), ShouldEqual, whole)
		So(result.Stream.Close(), ShouldBeNil)
	})
	forwardSlowly(t, "So is one that pauses for longer than the timeout", stream, answersInParts(2, time.Second), func(result Result, _ *scriptedTransport) {
		content, err := io.ReadAll(result.Stream)
		So(err, ShouldBeNil)
		So(string(content), ShouldEqual, "part part ")
		So(result.Stream.Close(), ShouldBeNil)
	})
	forwardSlowly(t, "A stream ends at the deadline of its request", stream, answersInParts(100, interval), func(result Result, _ *scriptedTransport) {
		_, err := io.ReadAll(result.Stream)
		So(err, ShouldNotBeNil)
		So(result.Stream.Close(), ShouldBeNil)
	})
	idempotent := routing.Route{Kind: routing.KindIdempotent}
	forwardSlowly(t, "A buffered response that arrives in parts is not asked for again", idempotent, answersInParts(parts, interval), func(result Result, s *scriptedTransport) {
		So(result.Outcome, ShouldEqual, Completed)
		So(string(result.Body), ShouldEqual, whole)
		So(len(s.sends), ShouldEqual, 1)
	})
	forwardSlowly(t, "One that stops in its middle is asked for at another engine", idempotent, answersInParts(2, time.Hour), func(result Result, s *scriptedTransport) {
		So(result.Outcome, ShouldEqual, Unknown)
		So(len(s.sends), ShouldEqual, 2)
	})
}

func TestOutcomes(t *testing.T) {
	both := func(do action) map[string]action { return map[string]action{"a": do, "b": do} }
	for _, kind := range []routing.Kind{routing.KindIdempotent, routing.KindAtMostOnce} {
		forwardOnce(t, "A response is passed on unchanged ("+kind.String()+")", kind, nil, func(result Result, s *scriptedTransport, _ time.Duration) {
			So(result.Outcome, ShouldEqual, Completed)
			So(string(result.Body), ShouldStartWith, "from ")
			So(len(s.sends), ShouldEqual, 1)
			So(s.sends[0].timeLeft, ShouldBeLessThanOrEqualTo, time.Second)
			So(s.sends[0].once, ShouldEqual, kind == routing.KindAtMostOnce)
		})
		forwardOnce(t, "A request that all engines refuse is NotRun, within a quarter of its latency objective ("+kind.String()+")", kind, both(refused),
			func(result Result, _ *scriptedTransport, took time.Duration) {
				So(result.Outcome, ShouldEqual, NotRun)
				So(result.RetryAfter, ShouldBeGreaterThan, 0)
				So(took, ShouldBeLessThanOrEqualTo, 75*time.Millisecond)
			})
		forwardOnce(t, "A request that could not be sent is NotRun ("+kind.String()+")", kind, both(notSent), func(result Result, _ *scriptedTransport, _ time.Duration) {
			So(result.Outcome, ShouldEqual, NotRun)
		})
	}
	for name, do := range map[string]action{"lost": lost, "cut off": cutOff, "unsigned": unsigned, "silent": silent} {
		forwardOnce(t, "An at-most-once request is sent once if its response is "+name, routing.KindAtMostOnce, both(do), func(result Result, s *scriptedTransport, _ time.Duration) {
			So(result.Outcome, ShouldEqual, Unknown)
			So(len(s.sends), ShouldEqual, 1)
		})
		forwardOnce(t, "A repeatable request goes to another engine if its response is "+name+", and to no third one", routing.KindIdempotent, both(do), func(result Result, s *scriptedTransport, _ time.Duration) {
			So(result.Outcome, ShouldEqual, Unknown)
			So(len(s.sends), ShouldEqual, 2)
			So(s.sends[0].engine, ShouldNotEqual, s.sends[1].engine)
			So(s.sends[1].timeLeft, ShouldBeLessThanOrEqualTo, s.sends[0].timeLeft)
		})
	}
	forwardOnce(t, "A repeatable request that fails at one engine is served by the other", routing.KindIdempotent, map[string]action{"a": failed}, func(result Result, s *scriptedTransport, _ time.Duration) {
		So(result.Status, ShouldEqual, http.StatusOK)
	})
	forwardOnce(t, "A repeatable request that fails at both engines returns the failure", routing.KindIdempotent, both(failed), func(result Result, s *scriptedTransport, _ time.Duration) {
		So(result.Outcome, ShouldEqual, Completed)
		So(result.Status, ShouldEqual, http.StatusInternalServerError)
		So(result.FailedAttempts, ShouldEqual, 2)
	})
	forwardOnce(t, "An at-most-once request that fails returns the failure", routing.KindAtMostOnce, both(failed), func(result Result, s *scriptedTransport, _ time.Duration) {
		So(result.Status, ShouldEqual, http.StatusInternalServerError)
		So(len(s.sends), ShouldEqual, 1)
	})
	forwardOnce(t, "A repeatable request fails over from a silent engine after 1.5 latency objectives", routing.KindIdempotent, map[string]action{"a": silent}, func(result Result, _ *scriptedTransport, took time.Duration) {
		So(result.Status, ShouldEqual, http.StatusOK)
		So(took, ShouldBeLessThanOrEqualTo, 301*time.Millisecond)
	})
}

func TestCallerCancels(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scriptedTransport{actions: map[string]action{"a": silent}}
		state := fleet.NewState()
		route := routing.Route{Host: "h", Prefix: "/", Kind: routing.KindIdempotent, Targets: []routing.Target{{Service: "s", Weight: 1}}, MaxAttempts: 3}
		state.SetRoutes(routing.NewTable(1, []routing.Route{route}, nil, routing.Limits{}))
		state.SetEngineList([]*fleet.Engine{{ID: "a", Service: "s", Slots: 4, Ready: true}})
		forwarder := New(state, s, NewPicker(time.Now), log.NewNopLogger())
		Convey("Nothing more is sent once the caller has left", t, func() {
			ctx, cancel := context.WithTimeoutCause(t.Context(), 100*time.Millisecond, errors.New("left"))
			defer cancel()
			result := forwarder.Do(ctx, state.View().Routes.Match("h", "/1"), &Request{ID: "r"}, boottime.Now().Add(5*time.Second))
			So(result.Outcome, ShouldEqual, Unknown)
			So(len(s.sends), ShouldEqual, 1)
		})
	})
}
