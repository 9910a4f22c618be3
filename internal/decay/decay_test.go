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
