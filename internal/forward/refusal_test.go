package forward

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"github.com/covelink/covelink/internal/boottime"
	"github.com/covelink/covelink/internal/routing"
)

// refusalCounts is a LoadObserver that counts refusals by cause.
type refusalCounts struct {
	mu     sync.Mutex
	causes map[Cause]int
}

func (c *refusalCounts) Retried(string)               {}
func (c *refusalCounts) RetryDenied(string)           {}
func (c *refusalCounts) Waited(string, time.Duration) {}
func (c *refusalCounts) RefusedAtOnce(string)         {}

func (c *refusalCounts) Refused(_ string, cause Cause) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.causes[cause]++
}

// TestRefusalIsExplained guards against a refused request whose log line does not tell why its caller was refused.
func TestRefusalIsExplained(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newDispatchHarness(map[string]action{"a": refused, "b": refused}, "a", "b")
		var lines bytes.Buffer
		b.forwarder.logger = log.NewLogfmtLogger(&lines)
		counts := &refusalCounts{causes: make(map[Cause]int)}
		b.forwarder.LoadObserver = counts
		b.do(t.Context(), Request{ID: "r", Tenant: "alpha"}, time.Second)
		for _, field := range []string{"request=r", `reason="engines full"`, "cause=", "tenant=alpha", "tenant_waiting=0", "waiting=0", "expected_wait=", "retry_after="} {
			if !strings.Contains(lines.String(), field) {
				t.Errorf("no %s in %s", field, lines.String())
			}
		}
		b.list()
		b.do(t.Context(), Request{ID: "r"}, time.Second)
		if counts.causes["no_engine"] != 1 || len(counts.causes) != 2 {
			t.Errorf("refusals by cause: %v", counts.causes)
		}
	})
}

// TestRequestThatWouldWaitTooLongIsRefusedAtOnce guards against requests with their own queue timeout, or with a deadline before it, that wait in vain.
func TestRequestThatWouldWaitTooLongIsRefusedAtOnce(t *testing.T) {
	for name, times := range map[string]struct{ queueTimeout, deadline time.Duration }{
		"queue timeout": {500 * time.Millisecond, 10 * time.Second}, "deadline": {8 * time.Second, 500 * time.Millisecond},
	} {
		synctest.Test(t, func(t *testing.T) {
			b := newDispatchHarness(map[string]action{"a": refused}, "a")
			b.do(t.Context(), Request{ID: "lookup"}, time.Second)
			queue := b.forwarder.waiting.queue("s")
			queue.load.served.Add(boottime.Now(), 10)
			for range 20 {
				queue.waiters.push(&waiter{released: make(chan struct{}), needsRetryBudget: true, hasQueueTimeout: true})
			}
			began := time.Now()
			result := b.do(t.Context(), Request{ID: "r", QueueTimeout: times.queueTimeout}, times.deadline)
			if took := time.Since(began); result.Outcome != NotRun || took != 0 {
				t.Errorf("%s: %+v after %v, want a refusal at once", name, result, took)
			}
			if result.RetryAfter < closedRetryAfter {
				t.Errorf("%s: retry after %v at a service that needs 4 s for the queue", name, result.RetryAfter)
			}
		})
	}
}

// TestDisplacedRequest guards against a surge in the queue that other tenants wait behind: the last request of the tenant with the most waiting is
// refused when others arrive and it would be served too late.
func TestDisplacedRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newDispatchHarness(nil, "a")
		w := b.forwarder.waiting
		queue := w.queue("s")
		queue.load.served.Add(boottime.Now(), 20)
		queue.load.refusedAt, queue.load.probeAt = boottime.Now(), boottime.Now().Add(time.Hour)
		queue.load.state = LoadFull
		enter := func(tenant string) *waiter {
			entry := &waiter{tenant: tenant, rank: routing.Rank{}, arrived: boottime.Now(), until: boottime.Now().Add(450 * time.Millisecond), released: make(chan struct{})}
			w.enter("s", entry)
			return entry
		}
		var surge []*waiter
		for range 5 {
			surge = append(surge, enter("surge"))
		}
		other := enter("other")
		if other.refused != "" || surge[4].refused != CauseDisplaced || surge[3].refused != "" {
			t.Errorf("refused: other %q, last of the surge %q, the one before it %q", other.refused, surge[4].refused, surge[3].refused)
		}
		for range maxWaiting + 1 {
			enter("full")
		}
		if queue.waiters.size > maxWaiting {
			t.Errorf("%d requests wait", queue.waiters.size)
		}
		if other.refused != "" {
			t.Errorf("the tenant with one waiting request is refused: %s", other.refused)
		}
	})
}
