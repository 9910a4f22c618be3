package batchrun_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// replayWorkers is the number of workers of a replay. Their reports hold the events of up to 0.3 s.
const replayWorkers = 8

func startReplayWorkers(h *workerHarness) (stop func()) {
	var stops []func()
	for i := range replayWorkers {
		stops = append(stops, h.startWorker(fmt.Sprintf("worker-%d", i)))
	}
	return func() {
		for _, stop := range stops {
			stop()
		}
	}
}

// Guards against a pace that is known only from single events: workers report several as one mean, which one pause can double.
func TestReplayWithWorkers(t *testing.T) {
	runWorkerScenario(t, "With workers hardly an item of steps of 32 moves", func(h *workerHarness) {
		defer startReplayWorkers(h)()
		p := newReplay(h.harness)
		p.run(5, 32)
		figures := p.figures()
		t.Logf("steps of 32 items: %v", figures)
		So(figures.runsPerItem, ShouldBeLessThan, 1.05)
		// Before decideMove five replays had 1.19 to 1.24 runs per item, and steps of 2.66 to 2.79 s on average.
		So(figures.mean, ShouldBeLessThan, 2790*time.Millisecond)
	})
	runWorkerScenario(t, "With workers long items leave an engine that turns 3 times slower within about a second", func(h *workerHarness) {
		defer startReplayWorkers(h)()
		p := newReplay(h.harness)
		h.engines.eventsOf = func(string) int { return longText }
		p.run(1, 64)
		p.steps = nil
		fault := slowFault{from: time.Now().Add(1500 * time.Millisecond), factor: 3}
		h.engines.pauseOf = fault.pause
		p.step("long", 64)
		delays, stayed := fault.departures(p, "long")
		t.Logf("%v, left after %v, stayed %d", p.figures(), delays, stayed)
		So(len(delays)+stayed, ShouldBeGreaterThan, 0)
		// Before decideMove nine tenths left within 0.6 to 1.0 s in five replays. A report comes up to 0.3 s after its first event.
		So(stayed+countAbove(delays, 1300*time.Millisecond), ShouldBeLessThanOrEqualTo, spareItems(64))
	})
}
