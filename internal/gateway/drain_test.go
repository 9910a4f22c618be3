package gateway_test

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/dispatch"
	"github.com/covelink/covelink/internal/gateway"
)

func TestDrain(t *testing.T) {
	Convey("A drain cuts off no request and takes no new one", t, func() {
		b := newBench(t, nil)
		const requests = 8
		var entered sync.WaitGroup
		entered.Add(requests)
		open := make(chan struct{})
		b.dispatcher.script = func(ctx context.Context, task dispatch.Task, progress func(dispatch.Progress) error) dispatch.Result {
			entered.Done()
			<-open
			return completes(ctx, task, progress)
		}
		replies := make(chan reply, requests)
		for index := range requests {
			body := []string{simpleBody, streamBody}[index%2]
			go func() { replies <- b.complete(body) }()
		}
		entered.Wait()
		drained := make(chan error, 1)
		go func() { drained <- b.gateway.Drain(context.Background()) }()
		So(eventually(func() bool {
			return b.send(http.MethodGet, "/readyz", "", "").status == http.StatusServiceUnavailable
		}), ShouldBeTrue)

		refused := b.complete(simpleBody)
		So(refused.failure().Outcome, ShouldEqual, v1.OutcomeNotRun)
		So(refused.header.Get("Retry-After"), ShouldEqual, "1")
		So(b.send(http.MethodGet, "/debug/status", "", "").body, ShouldContainSubstring, `"draining":true`)
		So(drained, ShouldBeEmpty)

		close(open)
		for range requests {
			got := <-replies
			So(got.status, ShouldEqual, http.StatusOK)
			So(got.body, ShouldContainSubstring, "three")
		}
		So(<-drained, ShouldBeNil)
		So(len(b.dispatcher.seen()), ShouldEqual, requests)
	})
	Convey("A drain that takes too long ends with its context", t, func() {
		b := newBench(t, nil)
		entered, open := make(chan struct{}), make(chan struct{})
		b.dispatcher.script = func(context.Context, dispatch.Task, func(dispatch.Progress) error) dispatch.Result {
			close(entered)
			<-open
			return completed()
		}
		done := make(chan reply, 1)
		go func() { done <- b.complete(simpleBody) }()
		<-entered
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		So(b.gateway.Drain(ctx), ShouldEqual, context.Canceled)
		close(open)
		So((<-done).status, ShouldEqual, http.StatusOK)
	})
}

// events splits a stream into its events.
func events(body string) []string {
	return strings.Split(strings.TrimSuffix(body, "\n\n"), "\n\n")
}

func idOf(event string) string {
	id, _, _ := strings.Cut(strings.TrimPrefix(event, "id: "), "\n")
	return id
}

func TestReplay(t *testing.T) {
	Convey("A stream with a key can be read on where it stopped", t, func() {
		b := newBench(t, nil)
		whole := events(b.complete(streamBody, "Idempotency-Key", "k").body)
		So(len(whole), ShouldEqual, 5) // three tokens, the closing chunk, [DONE]
		So(whole[4], ShouldEndWith, "data: [DONE]")
		for place := range whole {
			rest := b.complete(streamBody, "Idempotency-Key", "k", "Last-Event-ID", idOf(whole[place]))
			So(rest.status, ShouldEqual, http.StatusOK)
			So(events(rest.body), ShouldResemble, whole[min(place+1, 4):])
		}
		So(len(b.dispatcher.seen()), ShouldEqual, 1)

		Convey("but not under another key, for another request, from another stream or beyond its end", func() {
			id := idOf(whole[1])
			other := `{"model":"pool-a","prompt":"other","stream":true}`
			for _, got := range []reply{
				b.complete(streamBody, "Idempotency-Key", "k2", "Last-Event-ID", id),
				b.complete(streamBody, "Last-Event-ID", id),
				b.complete(other, "Idempotency-Key", "k", "Last-Event-ID", id),
				b.complete(streamBody, "Idempotency-Key", "k", "Last-Event-ID", "another.1"),
				b.complete(streamBody, "Idempotency-Key", "k", "Last-Event-ID", strings.Replace(id, ".2", ".99", 1)),
			} {
				So(got.status, ShouldEqual, http.StatusGone)
				So(got.failure().Outcome, ShouldEqual, v1.OutcomeUnknown)
			}
			So(len(b.dispatcher.seen()), ShouldEqual, 1)
		})
	})
	Convey("What is held of ended streams is bounded in time", t, func() {
		var mu sync.Mutex
		now := time.Now()
		b := newBench(t, func(params *gateway.Params) {
			params.Now = func() time.Time {
				mu.Lock()
				defer mu.Unlock()
				return now
			}
		})
		whole := events(b.complete(streamBody, "Idempotency-Key", "k").body)
		So(eventually(func() bool {
			return strings.Contains(b.send(http.MethodGet, "/debug/status", "", "").body, `"background":0`)
		}), ShouldBeTrue)
		mu.Lock()
		now = now.Add(2 * time.Minute)
		mu.Unlock()
		got := b.complete(streamBody, "Idempotency-Key", "k", "Last-Event-ID", idOf(whole[0]))
		So(got.status, ShouldEqual, http.StatusGone)
	})
}

// memoryClaims keeps claims in memory, as one keeper would.
type memoryClaims struct {
	mu     sync.Mutex
	claims map[string]memoryClaim
	fail   error
}

type memoryClaim struct {
	request gateway.ClaimRequest
	stored  gateway.StoredOutcome
}

func (m *memoryClaims) Claim(_ context.Context, request gateway.ClaimRequest) (gateway.ClaimResult, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if held, ok := m.claims[request.Key]; ok {
		return gateway.ClaimResult{State: gateway.ClaimExisting, Stored: held.stored, Fingerprint: held.request.Fingerprint}, m.fail
	}
	m.claims[request.Key] = memoryClaim{request: request, stored: gateway.StoredOutcome{Outcome: v1.OutcomeUnknown}}
	return gateway.ClaimResult{State: gateway.ClaimGranted}, m.fail
}

func (m *memoryClaims) Finish(_ context.Context, request gateway.ClaimRequest, stored gateway.StoredOutcome) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.claims[request.Key].request.ID != request.ID {
		return nil
	}
	if stored.Outcome == v1.OutcomeNotRun {
		delete(m.claims, request.Key)
		return nil
	}
	m.claims[request.Key] = memoryClaim{request: request, stored: stored}
	return nil
}

func TestClaims(t *testing.T) {
	Convey("Without claims a request that is not repeatable is refused as not run", t, func() {
		b := newBench(t, nil)
		got := b.complete(simpleBody, "Covelink-Repeatable", "false")
		So(got.failure().Outcome, ShouldEqual, v1.OutcomeNotRun)
		So(got.failure().Message, ShouldContainSubstring, "claims are not configured")
		So(b.dispatcher.seen(), ShouldBeEmpty)
		So(b.complete(simpleBody, "Idempotency-Key", "k").status, ShouldEqual, http.StatusOK)
	})
	Convey("With claims", t, func() {
		claims := &memoryClaims{claims: make(map[string]memoryClaim)}
		b := newBench(t, func(params *gateway.Params) { params.Claims = claims })
		keyed := func(body string) reply {
			return b.complete(body, "Idempotency-Key", "k", "Covelink-Repeatable", "false")
		}
		Convey("a repeated request gets the stored answer, whole or as a stream", func() {
			first := keyed(simpleBody)
			So(first.status, ShouldEqual, http.StatusOK)
			So(keyed(simpleBody).body, ShouldEqual, first.body)
			streamed := keyed(streamBody).body
			So(streamed, ShouldContainSubstring, "one two three")
			So(streamed, ShouldEndWith, "data: [DONE]\n\n")
			So(len(b.dispatcher.seen()), ShouldEqual, 1)
			So(b.dispatcher.seen()[0].Repeatable, ShouldBeFalse)
			So(keyed(`{"model":"pool-a","prompt":"other"}`).status, ShouldEqual, http.StatusBadRequest)
		})
		Convey("an unknown outcome stays unknown and is never run again", func() {
			b.dispatcher.script = func(context.Context, dispatch.Task, func(dispatch.Progress) error) dispatch.Result {
				return dispatch.Result{Outcome: v1.OutcomeUnknown}
			}
			So(keyed(simpleBody).failure().Outcome, ShouldEqual, v1.OutcomeUnknown)
			So(keyed(simpleBody).failure().Outcome, ShouldEqual, v1.OutcomeUnknown)
			So(len(b.dispatcher.seen()), ShouldEqual, 1)
		})
		Convey("a refusal releases the claim", func() {
			b.dispatcher.script = refuses
			So(keyed(simpleBody).failure().Outcome, ShouldEqual, v1.OutcomeNotRun)
			b.dispatcher.script = completes
			So(keyed(simpleBody).status, ShouldEqual, http.StatusOK)
		})
		Convey("a claim whose reply is lost is not run and is released", func() {
			claims.fail = context.DeadlineExceeded
			So(keyed(simpleBody).failure().Outcome, ShouldEqual, v1.OutcomeNotRun)
			So(b.dispatcher.seen(), ShouldBeEmpty)
			claims.fail = nil
			So(keyed(simpleBody).status, ShouldEqual, http.StatusOK)
		})
		Convey("a call with a key that is stated to be repeatable runs without a claim when none can be had", func() {
			claims.fail = context.DeadlineExceeded
			So(b.complete(simpleBody, "Idempotency-Key", "k").failure().Outcome, ShouldEqual, v1.OutcomeNotRun)
			So(b.dispatcher.seen(), ShouldBeEmpty)
			So(b.complete(simpleBody, "Idempotency-Key", "k", "Covelink-Repeatable", "true").status, ShouldEqual, http.StatusOK)
			So(len(b.dispatcher.seen()), ShouldEqual, 1)
			So(b.dispatcher.seen()[0].Repeatable, ShouldBeTrue)
		})
		Convey("a stream that fails after tokens keeps its claim as unknown", func() {
			b.dispatcher.script = failsAfterTwo
			So(keyed(streamBody).body, ShouldContainSubstring, `"outcome":"unknown"`)
			b.dispatcher.script = completes
			So(keyed(simpleBody).failure().Outcome, ShouldEqual, v1.OutcomeUnknown)
			So(len(b.dispatcher.seen()), ShouldEqual, 1)
		})
	})
}

func TestDrainEndsWaitingFetch(t *testing.T) {
	Convey("A drain ends a fetch that waits, with no samples and the same cursor", t, func() {
		b := newBench(t, nil)
		b.rollouts.hold = true
		fetched := make(chan reply, 1)
		go func() {
			fetched <- b.send(http.MethodGet, "/v1/trainers/trainer/batches/b-1/samples?after=3&version=9&wait=60s", trainerToken, "")
		}()
		So(eventually(func() bool { return b.rollouts.count() == 1 }), ShouldBeTrue)
		So(b.gateway.Drain(context.Background()), ShouldBeNil)
		got := <-fetched
		So(got.status, ShouldEqual, http.StatusOK)
		So(got.body, ShouldEqual, `{"samples":[],"next":3,"done":false}`)
	})
}

func TestTrainerRoutes(t *testing.T) {
	Convey("The trainer's routes", t, func() {
		b := newBench(t, nil)
		const batch = "/v1/trainers/trainer/batches/b-1"
		send := func(method, path, body string) reply { return b.send(method, path, trainerToken, body) }
		version := `{"version":4,"digest":"` + v1.HashToken("x") + `","location":"w/4"}`

		Convey("call the service", func() {
			So(send(http.MethodPut, batch, `{"samples":[{"prompt":"p","maxTokens":100}]}`).status, ShouldEqual, http.StatusOK)
			So(send(http.MethodGet, batch, "").status, ShouldEqual, http.StatusOK)
			So(send(http.MethodGet, batch+"/samples?after=3&version=9&limit=5&wait=30s", "").body, ShouldEqual, `{"samples":[],"next":3,"done":false}`)
			So(b.rollouts.fetch, ShouldResemble, v1.FetchRequest{After: 3, Version: 9, Limit: 5, Wait: 30 * time.Second})
			So(send(http.MethodPost, batch+"/ack", `{"position":3}`).status, ShouldEqual, http.StatusOK)
			So(send(http.MethodDelete, batch, "").status, ShouldEqual, http.StatusOK)
			So(send(http.MethodPut, "/v1/trainers/trainer/version", version).status, ShouldEqual, http.StatusOK)
			So(b.rollouts.calls, ShouldResemble, []string{"put trainer/b-1", "get trainer/b-1", "fetch trainer/b-1",
				"ack trainer/b-1", "cancel trainer/b-1", "version trainer"})
		})
		Convey("refuse what is out of bounds with the field's path", func() {
			cases := []struct{ method, path, body, field string }{
				{http.MethodPut, batch, `{"samples":[]}`, "samples"},
				{http.MethodPut, batch, `{"samples":[{},{},{}]}`, "samples"},
				{http.MethodPut, batch, `{"samples":[{},{"maxTokens":101}]}`, "samples[1].maxTokens"},
				{http.MethodPut, batch, `{"samples":[{"promt":"x"}]}`, "promt"},
				{http.MethodPut, "/v1/trainers/trainer/batches/.x", `{"samples":[{}]}`, "batch"},
				{http.MethodGet, batch + "/samples", "", "version"},
				{http.MethodGet, batch + "/samples?version=1&after=-1", "", "after"},
				{http.MethodGet, batch + "/samples?version=1&limit=0", "", "limit"},
				{http.MethodGet, batch + "/samples?version=1&wait=2h", "", "wait"},
				{http.MethodPost, batch + "/ack", `{"position":-1}`, "position"},
				{http.MethodPut, "/v1/trainers/trainer/version", strings.Replace(version, "4", "0", 1), "version"},
				{http.MethodPut, "/v1/trainers/trainer/version", `{"version":1,"digest":"ab"}`, "digest"},
			}
			for _, test := range cases {
				got := send(test.method, test.path, test.body)
				So(got.status, ShouldEqual, http.StatusBadRequest)
				So(got.failure().Param, ShouldNotBeNil)
				So(*got.failure().Param, ShouldEqual, test.field)
			}
			So(b.rollouts.count(), ShouldEqual, 0)
		})
		Convey("pass typed errors on", func() {
			b.rollouts.err = v1.Errorf(v1.CodeConflict, "another spec")
			So(send(http.MethodPut, batch, `{"samples":[{}]}`).status, ShouldEqual, http.StatusConflict)
		})
	})
}
