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
	window.fit(bound)
	for end := now.Add(time.Duration(seconds) * time.Second); now.Before(end); {
		loads := min(window.size(), bound)
		largest = max(largest, loads)
		took := max(alone, alone*time.Duration(loads)/time.Duration(capacity))
		now = now.Add(took)
		for range loads {
			window.observe(now, finishedLoad{model: "a", took: took, timedOut: took >= firstPollDelay+loadTimeout, concurrent: loads, window: loads})
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
	Convey("Among 26 engines that always have loads to do, the window settles at about the eight that do not slow each other down", t, func() {
		window := newLoadWindow()
		done, largest := simulateLoads(window, 8, 26, 60)
		So(largest, ShouldBeLessThanOrEqualTo, 12)
		So(window.size(), ShouldBeBetweenOrEqual, 8, 11)
		So(done, ShouldBeGreaterThan, 60*8*9/10)
	})
	Convey("The window reaches a fifth of the engines within a few loads if they do not slow each other down, and grows on", t, func() {
		_, largest := simulateLoads(newLoadWindow(), 1000, 600, 5)
		So(largest, ShouldBeGreaterThanOrEqualTo, 120)
		_, largest = simulateLoads(newLoadWindow(), 1000, 600, 65)
		So(largest, ShouldBeGreaterThanOrEqualTo, 175)
	})
	Convey("The window shrinks to a size at which loads end in time, not below its least size", t, func() {
		window := newLoadWindow()
		simulateLoads(window, 2, 600, 600)
		So(window.size(), ShouldBeBetweenOrEqual, 4, 9)
		small := newLoadWindow()
		simulateLoads(small, 1, 10, 600)
		So(small.size(), ShouldBeBetweenOrEqual, minConcurrentLoads, minConcurrentLoads+1)
	})
	Convey("A service begins with a fifth of its engines, and with eight at most", t, func() {
		for engines, initial := range map[int]int{1: 2, 8: 2, 26: 5, 38: 8, 10000: 8} {
			window := newLoadWindow()
			window.fit(engines)
			So(window.size(), ShouldEqual, initial)
		}
	})
	Convey("The window never exceeds the engines, and grows by one per load at most", t, func() {
		window := newLoadWindow()
		window.fit(26)
		for range 500 {
			before := window.limit
			window.observe(time.Unix(0, 0), finishedLoad{model: "a", took: time.Second, concurrent: window.size(), window: window.size()})
			So(window.limit-before, ShouldBeBetweenOrEqual, 0, 1)
		}
		So(window.size(), ShouldEqual, 26)
	})
	Convey("Loads that run alone do not let the window grow", t, func() {
		window := newLoadWindow()
		window.fit(26)
		for range 200 {
			window.observe(time.Unix(0, 0), finishedLoad{model: "a", took: time.Second, concurrent: 1, window: window.size()})
		}
		So(window.size(), ShouldEqual, 5)
	})
	Convey("One engine that is stuck among others does not shrink the window", t, func() {
		window := newLoadWindow()
		window.fit(26)
		now := time.Unix(0, 0)
		for i := range 200 {
			took := time.Second
			if i%10 == 9 {
				took = firstPollDelay + loadTimeout
			}
			now = now.Add(time.Second)
			before := window.size()
			window.observe(now, finishedLoad{model: "a", took: took, timedOut: i%10 == 9, concurrent: window.size(), window: window.size()})
			So(window.size(), ShouldBeGreaterThanOrEqualTo, before)
		}
	})
	Convey("A model whose loads take longer than those of another does not shrink the window", t, func() {
		window := newLoadWindow()
		window.fit(26)
		for i := range 500 {
			load := finishedLoad{model: "a", took: time.Second, concurrent: window.size(), window: window.size()}
			if i%2 == 1 {
				load = finishedLoad{model: "b", took: 3 * time.Second, concurrent: window.size(), window: window.size()}
			}
			window.observe(time.Unix(int64(i), 0), load)
		}
		So(window.size(), ShouldEqual, 26)
	})
	Convey("Loads that began alone, and were joined by many, do not hide that many are slow", t, func() {
		window := newLoadWindow()
		window.fit(72)
		now := time.Unix(0, 0)
		for range 400 {
			loads := window.size()
			took := max(time.Second, time.Second*time.Duration(loads)/8)
			now = now.Add(took)
			for joined := range loads {
				window.observe(now, finishedLoad{model: "a", took: took, concurrent: joined + 1, window: loads})
			}
			So(window.size(), ShouldBeLessThanOrEqualTo, 16)
		}
		So(window.size(), ShouldBeBetweenOrEqual, 6, 11)
	})
	Convey("Loads that have become slower for good are the new measure", t, func() {
		window := newLoadWindow()
		window.fit(26)
		for i := range 1000 {
			took := time.Second
			if i > 100 {
				took = 3 * time.Second
			}
			window.observe(time.Unix(int64(i)*5, 0), finishedLoad{model: "a", took: took, concurrent: window.size(), window: window.size()})
		}
		So(window.size(), ShouldBeGreaterThan, 5)
	})
}
