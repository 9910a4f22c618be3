package election_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/election"
)

// regionOf is the region of the zones of these tests: north1 is in north.
func regionOf(zone string) string { return strings.TrimRight(zone, "0123456789") }

// startRegional starts two candidates a region, which learn the home 50 ms after they have begun to lead, and waits until one leads.
func startRegional(home []string, regions ...string) *group {
	g := newGroup()
	g.home, g.regional = home, true
	for _, region := range regions {
		for i := range 2 {
			g.start(fmt.Sprintf("%s%d", region, i))
		}
	}
	time.Sleep(2 * time.Second)
	return g
}

// setHome changes the home under way.
func (g *group) setHome(home ...string) {
	g.mu.Lock()
	g.home = home
	g.mu.Unlock()
	name, _ := g.leader()
	g.candidates[name].elector.SetHome(home)
}

// lease returns what the store holds.
func (g *group) lease() (lease election.Lease) {
	object, err := g.store.Client().Get(context.Background(), election.KindLeases, "coordinator")
	So(err, ShouldBeNil)
	So(json.Unmarshal(object.Spec, &lease), ShouldBeNil)
	return lease
}

func (g *group) leaderRegion() string {
	name, _ := g.leader()
	return regionOf(name)
}

func otherRegion(region string) string {
	if region == "north" {
		return "south"
	}
	return "north"
}

func TestHome(t *testing.T) {
	play := func(name string, home []string, scene func(g *group)) {
		synctest.Test(t, func(t *testing.T) {
			g := startRegional(home, "north", "south")
			defer g.stopAll()
			Convey(name, t, func() { scene(g) })
		})
	}
	for _, home := range []string{"north", "south"} {
		play("Whoever is first, a candidate at home leads soon: "+home, []string{home}, func(g *group) {
			So(g.leaderRegion(), ShouldEqual, home)
			So(len(g.history()), ShouldBeLessThanOrEqualTo, 2)
			So(g.lease().Home, ShouldResemble, []string{home})
			So(regionOf(g.lease().Zone), ShouldEqual, home)
			time.Sleep(time.Minute)
			So(len(g.history()), ShouldBeLessThanOrEqualTo, 2)
		})
	}
	play("A change of the home moves the lease there, once, never with two that lead at once", nil, func(g *group) {
		first := g.leaderRegion()
		g.setHome(otherRegion(first))
		for range 100 {
			time.Sleep(20 * time.Millisecond)
			So(g.countLeading(), ShouldBeLessThanOrEqualTo, 1)
		}
		So(g.leaderRegion(), ShouldEqual, otherRegion(first))
		So(len(g.history()), ShouldEqual, 2)
		time.Sleep(time.Minute)
		So(len(g.history()), ShouldEqual, 2)
	})
	play("Without a home the holder stays, and no lease names one", nil, func(g *group) {
		time.Sleep(time.Minute)
		So(len(g.history()), ShouldEqual, 1)
		So(g.lease().Home, ShouldBeEmpty)
		So(g.yields, ShouldEqual, 0)
	})
	play("A holder at home that is lost is replaced at home within 3 s", []string{"south"}, func(g *group) {
		first, _ := g.leader()
		g.set(g.silent, first, true)
		g.set(g.cut, first, true)
		time.Sleep(3 * time.Second)
		next, _ := g.leader()
		So(next, ShouldNotEqual, first)
		So(regionOf(next), ShouldEqual, "south")
	})
	play("A home region that is lost is stood in for from elsewhere within 6.5 s, until it is back", []string{"south"}, func(g *group) {
		for i := range 2 {
			g.set(g.silent, fmt.Sprintf("south%d", i), true)
			g.set(g.cut, fmt.Sprintf("south%d", i), true)
		}
		time.Sleep(3 * time.Second)
		So(g.leaderRegion(), ShouldEqual, "south")
		time.Sleep(3500 * time.Millisecond)
		So(g.leaderRegion(), ShouldEqual, "north")
		terms := len(g.history())
		time.Sleep(time.Minute)
		So(len(g.history()), ShouldEqual, terms)
		for i := range 2 {
			g.set(g.silent, fmt.Sprintf("south%d", i), false)
			g.set(g.cut, fmt.Sprintf("south%d", i), false)
		}
		time.Sleep(20 * time.Second)
		So(g.leaderRegion(), ShouldEqual, "south")
		So(len(g.history()), ShouldEqual, terms+1)
	})
	play("A holder at home that stops hands over at home at once", []string{"north"}, func(g *group) {
		first, _ := g.leader()
		g.candidates[first].stop()
		time.Sleep(200 * time.Millisecond)
		next, _ := g.leader()
		So(next, ShouldNotEqual, first)
		So(regionOf(next), ShouldEqual, "north")
	})
	play("A candidate at home that the store does not serve does not replace the holder", nil, func(g *group) {
		first, _ := g.leader()
		away := otherRegion(regionOf(first))
		for i := range 2 {
			g.set(g.refused, fmt.Sprintf("%s%d", away, i), true)
		}
		g.setHome(away)
		time.Sleep(20 * time.Second)
		So(len(g.history()), ShouldEqual, 1)
		So(g.isLeading(first), ShouldBeTrue)
	})
	play("A holder away that is lost is replaced at home within 3 s, also by candidates whose requests it has just refused", nil, func(g *group) {
		first, _ := g.leader()
		away := otherRegion(regionOf(first))
		for i := range 2 {
			g.set(g.refused, fmt.Sprintf("%s%d", away, i), true)
		}
		g.setHome(away)
		time.Sleep(2 * time.Second)
		for i := range 2 {
			g.set(g.refused, fmt.Sprintf("%s%d", away, i), false)
		}
		g.set(g.silent, first, true)
		g.set(g.cut, first, true)
		time.Sleep(3 * time.Second)
		So(g.leaderRegion(), ShouldEqual, away)
	})
}

// Each call of a holder to the store takes the way there and back: on two regions 20 ms apart 47 ms from the other one and 7 ms from its own.
func TestNearCandidatesGoFirst(t *testing.T) {
	for round := range 8 {
		synctest.Test(t, func(t *testing.T) {
			g := newGroup()
			g.distances = map[string]time.Duration{"near": 7 * time.Millisecond, "far": 47 * time.Millisecond}
			for i := range 3 {
				g.start(fmt.Sprintf("far%d%d", round, i))
				g.start(fmt.Sprintf("near%d%d", round, i))
			}
			time.Sleep(time.Second)
			defer g.stopAll()
			Convey(fmt.Sprint("Candidates near the store lead first, and replace a lost holder, whatever their names: ", round), t, func() {
				So(g.leaderRegion(), ShouldEqual, "near")
				for losses := 1; losses <= 2; losses++ {
					name, _ := g.leader()
					g.set(g.silent, name, true)
					g.set(g.cut, name, true)
					time.Sleep(3 * time.Second)
					next, _ := g.leader()
					So(next, ShouldNotEqual, name)
					So(regionOf(next), ShouldEqual, "near")
				}
				name, _ := g.leader()
				g.set(g.silent, name, true)
				g.set(g.cut, name, true)
				time.Sleep(3 * time.Second)
				So(g.leaderRegion(), ShouldEqual, "far")
			})
		})
	}
}

// A holder that was started again takes its lease back before it knows where it should stand: the first request to yield was refused then, and
// the next came 3 s later.
func TestHolderAwayYieldsBeforeItKnowsItsHome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := startRegional([]string{"south"}, "north")
		defer g.stopAll()
		Convey("A holder away from home yields by what the lease says", t, func() {
			first, _ := g.leader()
			So(regionOf(first), ShouldEqual, "north")
			g.mu.Lock()
			g.learnAfter = time.Hour
			g.mu.Unlock()
			g.kill(first)
			g.start(first)
			g.start("south0")
			time.Sleep(1500 * time.Millisecond)
			So(g.leaderRegion(), ShouldEqual, "south")
		})
	})
}
