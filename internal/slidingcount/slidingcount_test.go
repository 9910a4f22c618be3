package slidingcount

import (
	"testing"
	"time"
)

func TestSum(t *testing.T) {
	origin := time.Unix(1000, 0)
	for _, c := range []struct {
		name  string
		at    []time.Duration
		asked time.Duration
		sum   int
	}{
		{"nothing", nil, time.Second, 0},
		{"within the window", []time.Duration{0, time.Second, 9 * time.Second}, 9 * time.Second, 3},
		{"the oldest event expires", []time.Duration{0, 5 * time.Second, 9 * time.Second}, 11 * time.Second, 2},
		{"all events expire", []time.Duration{0, 5 * time.Second}, time.Minute, 0},
		{"one after a long pause", []time.Duration{0, time.Minute}, time.Minute, 1},
	} {
		counter := New(10*time.Second, origin)
		for _, at := range c.at {
			counter.Add(origin.Add(at), 1)
		}
		if sum := counter.Sum(origin.Add(c.asked)); sum != c.sum {
			t.Errorf("%s: sum %d, want %d", c.name, sum, c.sum)
		}
	}
}
