package election_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// startGroup starts candidates and waits until one of them leads.
func startGroup(names ...string) (g *group, holder string) {
	g = newGroup()
	for _, name := range names {
		g.start(name)
	}
	time.Sleep(time.Second)
	holder, _ = g.leader()
	return g, holder
}

// countLeading returns how many candidates lead at the same time.
func (g *group) countLeading() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	count := 0
	for _, leads := range g.leading {
		if leads {
			count++
		}
	}
	return count
}

func TestHandover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, first := startGroup("a", "b", "c")
		defer g.stopAll()
		Convey("A holder that the store alone turns away stops, and another leads within 3 s; never two at once", t, func() {
			g.set(g.refused, first, true)
			for range 60 {
				time.Sleep(50 * time.Millisecond)
				So(g.countLeading(), ShouldBeLessThanOrEqualTo, 1)
			}
			second, term := g.leader()
			So(second, ShouldNotEqual, first)
			So(g.holds(second, term), ShouldBeTrue)
			g.set(g.refused, first, false)
			time.Sleep(10 * time.Second)
			last, _ := g.leader()
			So(last, ShouldEqual, second)
		})
	})
	synctest.Test(t, func(t *testing.T) {
		g, first := startGroup("a", "b", "c")
		defer g.stopAll()
		Convey("A store that turns everybody away changes no holder", t, func() {
			for _, name := range []string{"a", "b", "c"} {
				g.set(g.refused, name, true)
			}
			time.Sleep(8 * time.Second)
			for _, name := range []string{"a", "b", "c"} {
				g.set(g.refused, name, false)
			}
			time.Sleep(8 * time.Second)
			last, _ := g.leader()
			So(last, ShouldEqual, first)
			So(len(g.terms), ShouldEqual, 1)
		})
	})
	synctest.Test(t, func(t *testing.T) {
		g, first := startGroup("a")
		defer g.stopAll()
		Convey("A holder goes on that is asked to yield while the store serves it, or by the wrong token", t, func() {
			elector := g.candidates[first].elector
			So(elector.YieldTo(t.Context(), elector.Instance(), 1), ShouldNotBeNil)
			So(elector.Leading(), ShouldBeTrue)
		})
	})
}
