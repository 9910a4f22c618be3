package retrybudget

import (
	"testing"
	"time"
)

type clock struct{ now time.Time }

func newBudget() (*Budget, *clock) {
	c := &clock{now: time.Unix(1000, 0)}
	return New(Params{Share: 0.2, Window: 10 * time.Second, Reserve: 2, RefillTime: 20 * time.Second, Now: func() time.Time { return c.now }}), c
}

func take(budget *Budget, requested int) int {
	granted := 0
	for range requested {
		if budget.Take("s") {
			granted++
		}
	}
	return granted
}

func TestShare(t *testing.T) {
	for _, c := range []struct{ first, requested, granted int }{{0, 10, 2}, {5, 10, 3}, {20, 10, 6}, {100, 1000, 22}, {100, 7, 7}} {
		budget, _ := newBudget()
		for range c.first {
			budget.RecordFirst("s")
		}
		if granted := take(budget, c.requested); granted != c.granted {
			t.Errorf("%d first sends: %d of %d retries granted, want %d", c.first, granted, c.requested, c.granted)
		}
	}
}

func TestWindowSlides(t *testing.T) {
	budget, clock := newBudget()
	for range 50 {
		budget.RecordFirst("s")
	}
	if granted := take(budget, 100); granted != 12 {
		t.Fatalf("%d retries granted initially, want 12", granted)
	}
	clock.now = clock.now.Add(5 * time.Second)
	if granted := take(budget, 100); granted != 0 {
		t.Errorf("%d retries granted after the window's share was used, want 0", granted)
	}
	clock.now = clock.now.Add(7 * time.Second)
	if granted := take(budget, 100); granted != 0 {
		t.Errorf("%d retries granted without first sends and reserve, want 0", granted)
	}
	clock.now = clock.now.Add(8 * time.Second)
	if granted := take(budget, 100); granted != 1 {
		t.Errorf("%d retries granted after one refill, want 1", granted)
	}
	clock.now = clock.now.Add(time.Hour)
	if granted := take(budget, 100); granted != 2 {
		t.Errorf("%d retries granted from the full reserve, want 2", granted)
	}
}

func TestReturnedRetryIsGrantedAgain(t *testing.T) {
	budget, _ := newBudget()
	if granted := take(budget, 2); granted != 2 {
		t.Fatalf("%d retries granted, want 2", granted)
	}
	budget.Return("s")
	if granted := take(budget, 2); granted != 1 {
		t.Errorf("%d retries granted after one was returned, want 1", granted)
	}
	if granted := budget.Take("other"); !granted {
		t.Error("a retry of one service reduced the budget of another")
	}
}

func BenchmarkTake(b *testing.B) {
	budget := New(Params{Share: 0.2, Window: 10 * time.Second, Reserve: 2, RefillTime: 20 * time.Second, Now: time.Now})
	for b.Loop() {
		budget.RecordFirst("s")
		budget.Take("s")
	}
}
