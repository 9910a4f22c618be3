package weightorder

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// simulateLoads runs loads that share a capacity, as many at once as the window allows up to a bound.
func simulateLoads(window *loadWindow, capacity, bound, seconds int) (done int, largest int) {
	const alone = time.Second
	now := time.Unix(0, 0)
	for end := now.Add(time.Duration(seconds) * time.Second); now.Before(end); {
		loads := min(window.size(), bound)
		largest = max(largest, loads)
		took := max(alone, alone*time.Duration(loads)/time.Duration(capacity))
		now = now.Add(took)
		for range loads {
			window.observe(now, took, took < loadTimeout)
			done++
		}
	}
	return done, largest
}

// TestLoadWindow guards against starting so many loads at once that none completes in time.
func TestLoadWindow(t *testing.T) {
	Convey("Concurrent loads settle slightly above the number that slows them down", t, func() {
		window := newLoadWindow()
		done, largest := simulateLoads(window, 20, 600, 60)
		So(largest, ShouldBeLessThan, 100)
		So(window.size(), ShouldBeBetween, 15, 45)
		So(done, ShouldBeGreaterThan, 60*20*2/3)
	})
	Convey("The window reaches the bound within a few loads if they do not slow each other down", t, func() {
		_, largest := simulateLoads(newLoadWindow(), 1000, 600, 10)
		So(largest, ShouldEqual, 600)
	})
	Convey("The window never shrinks below its minimum", t, func() {
		window := newLoadWindow()
		simulateLoads(window, 2, 600, 600)
		So(window.size(), ShouldEqual, minWindow)
	})
}
