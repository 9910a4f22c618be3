package itemwork

import (
	"fmt"
	"testing"
	"time"
)

func TestAutoscalerShare(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		open, processes, least, most int
	}{{0, 50, 50, 50}, {5000, 60, 60, 60}, {0, 1000, 64, 64}, {1000, 1000, 128, 128}, {1000, 4000, 128, 128}, {9000, 1000, 1000, 1000}} {
		var need Autoscaler
		share := need.Share(c.open, c.processes, now)
		if share == 0 {
			share = 1
		}
		if workers := int(share*float64(c.processes) + 0.5); workers < c.least || workers > c.most {
			t.Errorf("%d open items, %d processes: got %d workers", c.open, c.processes, workers)
		}
	}
	var need Autoscaler
	need.Share(4000, 1000, now)
	if share := need.Share(0, 1000, now.Add(4*time.Second)); share < 0.4 {
		t.Errorf("4 s after 4,000 items the share is %v", share)
	}
}

// The number of workers must depend on the number of items, not of gateways: each worker lengthens the interval between reports.
func TestInShare(t *testing.T) {
	for _, processes := range []int{1000, 10000} {
		chosen, smaller := 0, 0
		for n := range processes {
			name := fmt.Sprintf("edge-bne-%d", n)
			if InShare(name, 100/float64(processes)) {
				chosen++
			}
			if InShare(name, 50/float64(processes)) && !InShare(name, 100/float64(processes)) {
				smaller++
			}
		}
		if chosen < 70 || chosen > 130 || smaller > 0 {
			t.Errorf("%d of %d processes selected for a share of 100; %d of a smaller share not included", chosen, processes, smaller)
		}
	}
}
