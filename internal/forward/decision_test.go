package forward

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"github.com/covelink/covelink/internal/boottime"
	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/routing"
)

// dispatchHarness is a Forwarder to scripted engines, with one repeatable route whose latency objective is 200 ms.
type dispatchHarness struct {
	*scriptedTransport
	forwarder *Forwarder
	state     *fleet.State
}

func newDispatchHarness(actions map[string]action, engines ...string) *dispatchHarness {
	b := &dispatchHarness{scriptedTransport: &scriptedTransport{actions: actions}, state: fleet.NewState()}
	route := routing.Route{Host: "h", Prefix: "/", Kind: routing.KindIdempotent, Targets: []routing.Target{{Service: "s", Weight: 1}}, MaxAttempts: 4, LatencyObjective: 200 * time.Millisecond}
	b.state.SetRoutes(routing.NewTable(1, []routing.Route{route}, nil, routing.Limits{}))
	b.list(engines...)
	b.forwarder = New(b.state, b.scriptedTransport, NewPicker(time.Now), log.NewNopLogger())
	return b
}

func (b *dispatchHarness) list(engines ...string) {
	var listed []*fleet.Engine
	for _, id := range engines {
		listed = append(listed, &fleet.Engine{ID: id, Service: "s", Slots: 4, Ready: true})
	}
	b.state.SetEngineList(listed)
}

func (b *dispatchHarness) setAction(id string, do action) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.actions[id] = do
}

func (b *dispatchHarness) sent() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.sends)
}

func (b *dispatchHarness) do(ctx context.Context, request Request, deadline time.Duration) Result {
	request.Method, request.Host, request.Target = http.MethodPost, "h", "/1"
	return b.forwarder.Do(ctx, b.state.View().Routes.Match("h", "/1"), &request, boottime.Now().Add(deadline))
}

func TestNormalServiceIsSentRequestsWithoutWait(t *testing.T) {
	for name, actions := range map[string]map[string]action{
		"all respond": {}, "one refuses": {"a": refused}, "one fails": {"a": failed}, "one loses responses": {"a": lost}, "one is unreachable": {"a": notSent},
	} {
		synctest.Test(t, func(t *testing.T) {
			b := newDispatchHarness(actions, "a", "b", "c")
			started := time.Now()
			for range 100 {
				if result := b.do(t.Context(), Request{ID: "r"}, time.Second); result.Status != http.StatusOK || !result.Sent {
					t.Fatalf("%s: result %+v", name, result)
				}
			}
			if took := time.Since(started); took != 0 {
				t.Errorf("%s: requests waited %v", name, took)
			}
			if b.sent() > 120 {
				t.Errorf("%s: %d sends for 100 requests", name, b.sent())
			}
		})
	}
}

// TestFullServiceIsSentFewProbes guards against sends that keep a full service overloaded, and against late refusals.
func TestFullServiceIsSentFewProbes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newDispatchHarness(map[string]action{"a": refused, "b": refused}, "a", "b")
		for range 100 {
			started := time.Now()
			result := b.do(t.Context(), Request{ID: "r"}, time.Second)
			if took := time.Since(started); result.Outcome != NotRun || took > 50*time.Millisecond {
				t.Fatalf("result %+v after %v, more than a quarter of the latency objective", result, took)
			}
			if result.RetryAfter < busyRetryAfter {
				t.Fatalf("retry delay %v is less than busyRetryAfter", result.RetryAfter)
			}
			time.Sleep(10 * time.Millisecond)
		}
		if b.sent() > 120 {
			t.Errorf("%d sends for 100 requests", b.sent())
		}
	})
}

func TestRetryAfterIsSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newDispatchHarness(map[string]action{"a": refused}, "a")
		delays := make(map[time.Duration]bool)
		for range 20 {
			delays[b.do(t.Context(), Request{ID: "r"}, time.Second).RetryAfter] = true
		}
		if len(delays) < 10 {
			t.Errorf("20 callers got only %d different retry delays", len(delays))
		}
	})
}

func TestQueuedRequestWaitsForCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newDispatchHarness(map[string]action{"a": refused}, "a")
		b.do(t.Context(), Request{ID: "lookup"}, time.Second)
		time.AfterFunc(1500*time.Millisecond, func() { b.setAction("a", nil) })
		before := b.sent()
		result := b.do(t.Context(), Request{ID: "reward", QueueTimeout: 10 * time.Second}, 12*time.Second)
		if result.Status != http.StatusOK {
			t.Errorf("result %+v", result)
		}
		if sends := b.sent() - before; sends > 1+retryReserve {
			t.Errorf("%d sends", sends)
		}
	})
}

func TestQueuedRequestOfCanceledCallerIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newDispatchHarness(map[string]action{"a": refused}, "a")
		b.do(t.Context(), Request{ID: "lookup"}, time.Second)
		ctx, cancel := context.WithCancel(t.Context())
		var result Result
		var waiting sync.WaitGroup
		waiting.Go(func() { result = b.do(ctx, Request{ID: "reward", QueueTimeout: 10 * time.Second}, 12*time.Second) })
		synctest.Wait()
		before := b.sent()
		cancel()
		waiting.Wait()
		b.setAction("a", nil)
		time.Sleep(10 * time.Second)
		if result.Outcome != NotRun || result.Sent || b.sent() != before {
			t.Errorf("result %+v, sent %d times", result, b.sent()-before)
		}
		if statuses := b.forwarder.Services(); statuses[0].Waiting != 0 || statuses[0].InFlight != 0 {
			t.Errorf("requests left in the queue or in flight: %+v", statuses)
		}
	})
}

// TestQueuedRequestPastDeadlineIsNotSent guards against a send past the deadline when a timer fires late after a suspension.
func TestQueuedRequestPastDeadlineIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newDispatchHarness(map[string]action{"a": refused}, "a")
		b.do(t.Context(), Request{ID: "lookup"}, time.Second)
		var result Result
		var waiting sync.WaitGroup
		waiting.Go(func() {
			result = b.do(t.Context(), Request{ID: "reward", QueueTimeout: 2 * time.Second}, 2400*time.Millisecond)
		})
		synctest.Wait()
		before := b.sent()
		boottime.SimulateSuspension(5 * time.Second)
		b.setAction("a", nil)
		waiting.Wait()
		if result.Outcome != NotRun || !result.TimedOut || b.sent() != before {
			t.Errorf("result %+v, sent %d times", result, b.sent()-before)
		}
	})
}

// TestQueuedRequestAvoidsRemovedEngine checks that a released request goes to an engine that is permitted at that time.
func TestQueuedRequestAvoidsRemovedEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newDispatchHarness(map[string]action{"a": refused}, "a")
		b.do(t.Context(), Request{ID: "lookup"}, time.Second)
		time.AfterFunc(time.Millisecond, func() { b.list("b"); b.setAction("a", nil) })
		result := b.do(t.Context(), Request{ID: "reward", QueueTimeout: 2 * time.Second}, 3*time.Second)
		if string(result.Body) != "from b" {
			t.Errorf("result %+v", result)
		}
	})
}

func TestRetriesStayWithinBudget(t *testing.T) {
	for name, do := range map[string]action{"fail": failed, "lose responses": lost, "refuse": refused} {
		synctest.Test(t, func(t *testing.T) {
			b := newDispatchHarness(map[string]action{"a": do, "b": do, "c": do, "d": do}, "a", "b", "c", "d")
			for range 200 {
				b.do(t.Context(), Request{ID: "r"}, time.Second)
				time.Sleep(20 * time.Millisecond)
			}
			if most := 240 + retryReserve; b.sent() > most {
				t.Errorf("engines that %s: %d sends for 200 requests", name, b.sent())
			}
		})
	}
}

func TestRepeatedRequestsCountAsRetries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newDispatchHarness(map[string]action{}, "a")
		answered := 0
		for range 20 {
			if b.do(t.Context(), Request{ID: "r", Repeated: true}, time.Second).Outcome == Completed {
				answered++
			}
		}
		if answered != retryReserve {
			t.Errorf("%d repeated requests were sent without a first one, want retryReserve", answered)
		}
	})
}

// countedQuota is a Quota with fixed cold engines and a counted number of grants.
type countedQuota struct {
	cold   map[string]bool
	grants atomic.Int64
}

// Cold implements Quota.
func (q *countedQuota) Cold(engine *fleet.Engine) bool { return q.cold[engine.ID] }

// Acquire implements Quota.
func (q *countedQuota) Acquire(ctx context.Context, engines []*fleet.Engine, _ routing.Rank, until time.Time) *fleet.Engine {
	if q.grants.Add(-1) >= 0 {
		return engines[0]
	}
	return nil
}

func TestColdEngineDispatch(t *testing.T) {
	for _, c := range []struct {
		name    string
		actions map[string]action
		cold    map[string]bool
		grants  int64
		body    string
		left    int64
	}{
		{"warm engines are preferred", map[string]action{}, map[string]bool{"a": true}, 1, "from b", 1},
		{"a full warm engine, and a grant", map[string]action{"b": refused}, map[string]bool{"a": true}, 1, "from a", 0},
		{"a full warm engine, and no grant", map[string]action{"b": refused}, map[string]bool{"a": true}, 0, "", -1},
		{"only cold engines, and a grant", map[string]action{}, map[string]bool{"a": true, "b": true}, 1, "from a", 0},
		{"only cold engines, and no grant", map[string]action{}, map[string]bool{"a": true, "b": true}, 0, "", -1},
	} {
		synctest.Test(t, func(t *testing.T) {
			b := newDispatchHarness(c.actions, "a", "b")
			quota := &countedQuota{cold: c.cold}
			quota.grants.Store(c.grants)
			b.forwarder.Quota = quota
			started := time.Now()
			result := b.do(t.Context(), Request{ID: "r"}, time.Second)
			if string(result.Body) != c.body || (c.body == "") != (result.Outcome == NotRun) {
				t.Errorf("%s: result %+v", c.name, result)
			}
			if took := time.Since(started); took > 50*time.Millisecond {
				t.Errorf("%s: took %v", c.name, took)
			}
			if left := quota.grants.Load(); (c.left >= 0 && left != c.left) || (c.left < 0 && left >= 0) {
				t.Errorf("%s: %d grants left", c.name, left)
			}
		})
	}
}
