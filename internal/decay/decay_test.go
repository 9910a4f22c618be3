package decay

import (
	"math"
	"testing"
	"time"
)

func TestValueFades(t *testing.T) {
	now := time.Now()
	value := New(100, now)
	for _, c := range []struct {
		after time.Duration
		left  float64
	}{{0, 100}, {10 * time.Second, 100 / math.E}, {20 * time.Second, 100 / (math.E * math.E)}} {
		if left := value.At(now.Add(c.after), 10*time.Second); math.Abs(left-c.left) > 1e-9 {
			t.Errorf("amount %v after %v, want %v", left, c.after, c.left)
		}
	}
	if left := (Value{}).At(now, time.Second); left != 0 {
		t.Errorf("amount %v of the zero value, want 0", left)
	}
}

// Guards against sums whose earlier part does not decay before an amount is added.
func TestPlus(t *testing.T) {
	now := time.Now()
	sum := (Value{}).Plus(100, now, 10*time.Second).Plus(50, now.Add(10*time.Second), 10*time.Second)
	for after, want := range map[time.Duration]float64{10 * time.Second: 100/math.E + 50, 20 * time.Second: (100/math.E + 50) / math.E} {
		if left := sum.At(now.Add(after), 10*time.Second); math.Abs(left-want) > 1e-9 {
			t.Errorf("sum %v after %v, want %v", left, after, want)
		}
	}
}
