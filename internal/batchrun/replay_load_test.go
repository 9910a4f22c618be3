package batchrun_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against runs that move with the noise at the start of a step, and against slow hardware that ends steps. Before decideMove and the speed
// profile, ten replays of each size had 1.15 to 1.22 and 1.12 to 1.15 runs per item, and steps of 2.46 to 2.65 s and 2.19 to 2.27 s on average. The
// bounds of the steps are the longest of these.
func TestReplayOfLoad(t *testing.T) {
	for _, c := range []struct {
		items int
		step  time.Duration
	}{{32, 2650 * time.Millisecond}, {96, 2270 * time.Millisecond}} {
		runScenario(t, fmt.Sprintf("With a quarter of the engines slow and noisy first pauses, hardly an item of steps of %d moves", c.items), func(h *harness) {
			p := newReplay(h)
			p.run(5, c.items)
			figures := p.figures()
			t.Logf("steps of %d items: %v", c.items, figures)
			So(figures.runsPerItem, ShouldBeLessThan, 1.05)
			So(figures.mean, ShouldBeLessThan, c.step)
		})
	}
}
