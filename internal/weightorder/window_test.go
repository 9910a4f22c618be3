package weightorder

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// playLoads runs loads that share a capacity for some seconds, as many at once as the window allows, up to a bound.
func playLoads(window *loadWindow, capacity, bound, seconds int) (done int, largest int) {
	const alone = time.Second
	now := time.Unix(0, 0)
	for end := now.Add(time.Duration(seconds) * time.Second); now.Before(end); {
		loads := min(window.size(), bound)
		largest = max(largest, loads)
		took := max(alone, alone*time.Duration(loads)/time.Duration(capacity))
		now = now.Add(took)
		for range loads {
			window.ended(now, took, took < loadLimit)
			done++
		}
	}
	return done, largest
}

// In a trial of 2,999 engines 600 loads began at once, where seven do not slow each other down: 2,024 of 2,062 were not seen done
// in time.
func TestLoadWindow(t *testing.T) {
	Convey("As many loads run at once as do not slow each other down, or little more", t, func() {
		window := newLoadWindow()
		done, largest := playLoads(window, 20, 600, 60)
		So(largest, ShouldBeLessThan, 100)
		So(window.size(), ShouldBeBetween, 15, 45)
		So(done, ShouldBeGreaterThan, 60*20*2/3)
	})
	Convey("Where loads do not slow each other down, the bound is reached within some loads", t, func() {
		_, largest := playLoads(newLoadWindow(), 1000, 600, 10)
		So(largest, ShouldEqual, 600)
	})
	Convey("However slow, some loads run", t, func() {
		window := newLoadWindow()
		playLoads(window, 2, 600, 600)
		So(window.size(), ShouldEqual, firstWindow)
	})
}
