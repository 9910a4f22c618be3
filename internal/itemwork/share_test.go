package itemwork

import (
	"fmt"
	"testing"
	"time"
)

func TestAutoscalerShare(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		openItems, processes, minWorkers, maxWorkers int
	}{{0, 50, 50, 50}, {5000, 60, 60, 60}, {0, 1000, 64, 64}, {1000, 1000, 128, 128}, {1000, 4000, 128, 128}, {9000, 1000, 1000, 1000}} {
		var autoscaler Autoscaler
		share := autoscaler.Share(c.openItems, c.processes, now)
		if share == 0 {
			share = 1
		}
		if workers := int(share*float64(c.processes) + 0.5); workers < c.minWorkers || workers > c.maxWorkers {
			t.Errorf("%d open items, %d processes: got %d workers", c.openItems, c.processes, workers)
		}
	}
	var autoscaler Autoscaler
	autoscaler.Share(4000, 1000, now)
	if share := autoscaler.Share(0, 1000, now.Add(4*time.Second)); share < 0.4 {
		t.Errorf("share 4 s after 4,000 open items: got %v, want at least 0.4", share)
	}
}

// InShare must select about the requested number of workers however many gateways there are, and a larger share must include a smaller one. More
// workers mean longer intervals between reports.
func TestInShare(t *testing.T) {
	for _, processes := range []int{1000, 10000} {
		chosen, missing := 0, 0
		for n := range processes {
			name := fmt.Sprintf("edge-bne-%d", n)
			if InShare(name, 100/float64(processes)) {
				chosen++
			}
			if InShare(name, 50/float64(processes)) && !InShare(name, 100/float64(processes)) {
				missing++
			}
		}
		if chosen < 70 || chosen > 130 || missing > 0 {
			t.Errorf("got %d of %d processes, want about 100; %d processes of the smaller share are missing from the larger", chosen, processes, missing)
		}
	}
}
