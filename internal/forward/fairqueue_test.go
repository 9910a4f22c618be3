package forward

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/covelink/covelink/internal/routing"
)

func everyTenant(string) bool { return true }

func everyWaiter(*waiter) bool { return true }

// drain takes all waiters and returns their tenants in order.
func drain(queue *fairQueue) string {
	var order []string
	for entry := queue.take(everyTenant, everyWaiter); entry != nil; entry = queue.take(everyTenant, everyWaiter) {
		order = append(order, entry.tenant)
	}
	return strings.Join(order, " ")
}

// arrivals returns waiters of rank 0 that arrive one after the other, each given as its tenant.
func arrivals(tenants string) []*waiter {
	var entries []*waiter
	for i, tenant := range strings.Fields(tenants) {
		entries = append(entries, &waiter{tenant: tenant, arrived: time.Unix(1000, int64(i))})
	}
	return entries
}

// TestFairQueueOrder guards against a tenant that waits behind another tenant's surge, and against an order of one tenant that is not that of arrival.
func TestFairQueueOrder(t *testing.T) {
	for in, want := range map[string]string{
		"a a a a":           "a a a a",
		"a a a a b":         "a b a a a",
		"a a a a b b c":     "a b c a b a a",
		"b a":               "b a",
		"a a a a a b b b b": "a b a b a b a b a",
	} {
		queue := &fairQueue{}
		for _, entry := range arrivals(in) {
			queue.push(entry)
		}
		if got := drain(queue); got != want || queue.size != 0 || len(queue.lanes) != 0 {
			t.Errorf("%q: %q, want %q; %d left", in, got, want, queue.size)
		}
	}
}

// TestFairQueueOfOneTenant guards against another order than that of ranks and first arrivals where one tenant waits, retries with their earlier arrival
// included.
func TestFairQueueOfOneTenant(t *testing.T) {
	queue := &fairQueue{}
	var entries []*waiter
	for i, n := range []int{5, 3, 9, 1, 3, 7} {
		entries = append(entries, &waiter{rank: routing.Rank{Route: n % 2}, arrived: time.Unix(1000, int64(n))})
		queue.push(entries[i])
	}
	sorted := slices.Clone(entries)
	slices.SortStableFunc(sorted, func(a, b *waiter) int {
		if order := a.rank.Compare(b.rank); order != 0 {
			return order
		}
		return a.arrived.Compare(b.arrived)
	})
	for i, want := range sorted {
		if got := queue.take(everyTenant, everyWaiter); got != want {
			t.Fatalf("place %d: arrived %v, want %v", i, got.arrived, want.arrived)
		}
	}
}

// TestFairQueueAhead guards against expected waits that charge a tenant with the requests of another one's surge.
func TestFairQueueAhead(t *testing.T) {
	queue := &fairQueue{}
	for _, entry := range arrivals("a a a a a a a a b c c") {
		queue.push(entry)
	}
	for tenant, want := range map[string]int{"a": 11, "b": 5, "c": 6, "d": 3} {
		if got := queue.ahead(routing.Rank{}, tenant); got != want {
			t.Errorf("%s: %d ahead, want %d", tenant, got, want)
		}
	}
	if got := queue.ahead(routing.Rank{Route: 1}, "d"); got != 11 {
		t.Errorf("a later rank: %d ahead, want all", got)
	}
	for range 4 {
		queue.take(func(tenant string) bool { return tenant != "a" }, everyWaiter)
	}
	if got := queue.ahead(routing.Rank{}, "d"); got > 1 {
		t.Errorf("%d ahead: a tenant that was not admitted has gained a claim on the others' turns", got)
	}
}

// TestFairQueueRefusals guards against refusals of requests whose tenant has not the most waiting, and against those of a tenant alone.
func TestFairQueueRefusals(t *testing.T) {
	queue := &fairQueue{}
	entries := arrivals("a b a a b a")
	for _, entry := range entries {
		queue.push(entry)
	}
	if queue.longest() != entries[5] {
		t.Errorf("refused for space: %+v, want the last of a", queue.longest())
	}
	after := func(place int) func(*waiter, int) bool {
		return func(_ *waiter, ahead int) bool { return ahead >= place }
	}
	if got := queue.lateWaiter(after(5)); got != entries[5] {
		t.Errorf("refused as too late: %+v, want the last of a", got)
	}
	if got := queue.lateWaiter(after(6)); got != nil {
		t.Errorf("refused although it is in time: %+v", got)
	}
	alone := &fairQueue{}
	for _, entry := range arrivals("a a a") {
		alone.push(entry)
	}
	if got := alone.lateWaiter(after(0)); got != nil {
		t.Errorf("a tenant alone is refused: %+v", got)
	}
}

// TestSurging guards against tenants of usual load, or alone, that are taken for surging, and against a memory of tenants that have left.
func TestSurging(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		name     string
		requests map[string]int
		surging  []string
	}{
		{"one tenant", map[string]int{"a": 1000}, nil},
		{"equal tenants", map[string]int{"a": 50, "b": 60, "c": 40}, nil},
		{"one sends ten times as much", map[string]int{"a": 500, "b": 50, "c": 40}, []string{"a"}},
		{"two tenants", map[string]int{"a": 500, "b": 50}, []string{"a"}},
		{"few requests", map[string]int{"a": 7, "b": 1, "c": 1}, nil},
		{"reward calls and a surge", map[string]int{"": 500, "a": 500, "b": 20, "c": 20, "d": 20}, []string{"", "a"}},
	} {
		demand := &tenantDemand{}
		for tenant, count := range c.requests {
			for range count {
				demand.record(now, tenant)
			}
		}
		surging := demand.surging(now)
		for tenant := range c.requests {
			if got := surging(tenant); got != slices.Contains(c.surging, tenant) {
				t.Errorf("%s: tenant %q surges: %t", c.name, tenant, got)
			}
		}
		demand.record(now.Add(20*time.Second), "z")
		if len(demand.byTenant) != 1 {
			t.Errorf("%s: %d tenants are kept after 20 s", c.name, len(demand.byTenant))
		}
	}
}
