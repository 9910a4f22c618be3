package election_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/election"
	"github.com/covelink/covelink/internal/metastore"
	"github.com/covelink/covelink/internal/metastore/metastoretest"
	"github.com/covelink/covelink/internal/pause"
)

// term is one holding of the lease, as a candidate saw it.
type term struct {
	candidate string
	token     int64
}

// group is several candidates on one store.
type group struct {
	store *metastoretest.Store
	mu    sync.Mutex
	// silent are the candidates that answer no ping, cut those that reach no store.
	silent, cut map[string]bool
	// refused are those whose calls the store turns away.
	refused    map[string]bool
	candidates map[string]*candidate
	terms      []term
	leading    map[string]bool
	// writes counts the writes of all candidates, and yields the requests to yield.
	writes, yields int
	// regional is true if candidates know the regions of zones; each candidate's zone is its name. home are the regions given to SetHome.
	regional bool
	home     []string
	// learnAfter is how long after the start of a term SetHome is called.
	learnAfter time.Duration
	// distances are how long calls to the store take, by region; nil if candidates don't know.
	distances map[string]time.Duration
	// electorFirst makes start wait, once the elector runs, until the elector waits for something.
	electorFirst bool
}

type candidate struct {
	elector *election.Elector
	outage  *metastore.Outage
	client  metastore.Client
	stop    func()
	// killed is true once the life has ended without a chance to give the lease back.
	killed  bool
	current election.Term
}

var errSilent = errors.New("no answer")

func newGroup() *group {
	return &group{
		store:      metastoretest.New(),
		silent:     make(map[string]bool),
		cut:        make(map[string]bool),
		refused:    make(map[string]bool),
		candidates: make(map[string]*candidate),
		leading:    make(map[string]bool),
		learnAfter: 50 * time.Millisecond,
	}
}

func (g *group) set(state map[string]bool, name string, value bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	state[name] = value
}

// start begins a life of a candidate.
func (g *group) start(name string) {
	client := g.store.Client()
	c := &candidate{outage: metastore.NewOutage()}
	client.Fault = func(_, _ string, write bool) metastoretest.Fault {
		g.mu.Lock()
		defer g.mu.Unlock()
		if write {
			g.writes++
		}
		if g.cut[name] || c.killed {
			return metastoretest.Silent
		}
		if g.refused[name] {
			return metastoretest.Refused
		}
		return metastoretest.None
	}
	ctx, cancel := context.WithCancel(context.Background())
	c.client = metastore.Watched(client, c.outage)
	params := election.Params{
		Name:      name,
		Address:   name,
		Store:     c.client,
		Followers: metastore.NewFollowers(c.client),
		Ping:      g.ping,
		Yield:     g.yield,
		Unserved:  c.outage.Length,
		Served:    c.outage.Served,
		Lead:      func(ctx context.Context, t election.Term) { g.lead(ctx, name, t) },
		Logger:    log.NewNopLogger(),
	}
	if g.regional {
		params.Zone, params.Region = name, regionOf
	}
	if g.distances != nil {
		params.Distance = func() time.Duration { return g.distances[regionOf(name)] }
	}
	c.elector = election.New(params)
	done := make(chan struct{})
	c.stop = func() {
		cancel()
		<-done
	}
	// The elector may lead before start goes on: its term must not be noted for the candidate's earlier life.
	g.mu.Lock()
	g.candidates[name] = c
	g.mu.Unlock()
	go func() {
		c.elector.Run(ctx)
		close(done)
	}()
	if g.electorFirst {
		synctest.Wait()
	}
}

// kill ends a life of a candidate as SIGKILL does.
func (g *group) kill(name string) {
	g.mu.Lock()
	c := g.candidates[name]
	c.killed = true
	g.mu.Unlock()
	c.stop()
}

// holds reports whether the store names a candidate as the holder, by a term.
func (g *group) holds(name string, t election.Term) bool {
	object, err := g.store.Client().Get(context.Background(), election.KindLeases, "coordinator")
	if err != nil {
		return false
	}
	var lease election.Lease
	if err := json.Unmarshal(object.Spec, &lease); err != nil {
		return false
	}
	return lease.Holder == name && lease.Token == t.Token
}

func (g *group) ping(ctx context.Context, address, instance string) (time.Duration, error) {
	g.mu.Lock()
	silent := g.silent[address]
	g.mu.Unlock()
	if silent {
		// A process that is cut off does not answer at all.
		<-ctx.Done()
		return 0, errSilent
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	target := g.candidates[address]
	if target == nil || g.silent[address] || target.elector.Instance() != instance || !target.elector.Leading() {
		return 0, errSilent
	}
	return target.outage.Length(), nil
}

func (g *group) yield(ctx context.Context, address, instance string, token int64) error {
	g.mu.Lock()
	g.yields++
	target := g.candidates[address]
	g.mu.Unlock()
	return target.elector.YieldTo(ctx, instance, token)
}

func (g *group) lead(ctx context.Context, name string, t election.Term) {
	g.mu.Lock()
	g.terms = append(g.terms, term{candidate: name, token: t.Token})
	g.candidates[name].current = t
	g.leading[name] = true
	learnAfter := g.learnAfter
	client, elector, home, regional := g.candidates[name].client, g.candidates[name].elector, g.home, g.regional
	g.mu.Unlock()
	if regional {
		pause.For(ctx, learnAfter)
		elector.SetHome(home)
	}
	for ctx.Err() == nil {
		// The duties of a term call the store.
		calling, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
		_, _ = client.Get(calling, election.KindLeases, "coordinator")
		cancel()
		pause.For(ctx, 200*time.Millisecond)
	}
	g.mu.Lock()
	g.leading[name] = false
	g.mu.Unlock()
}

func (g *group) leader() (string, election.Term) {
	g.mu.Lock()
	defer g.mu.Unlock()
	last := g.terms[len(g.terms)-1]
	return last.candidate, g.candidates[last.candidate].current
}

// history returns the terms so far.
func (g *group) history() []term {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]term(nil), g.terms...)
}

func (g *group) isLeading(name string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leading[name]
}

func (g *group) stopAll() {
	for _, c := range g.candidates {
		c.stop()
	}
}

func other(name string) string {
	if name == "a" {
		return "b"
	}
	return "a"
}

func TestElection(t *testing.T) {
	play := func(name string, scene func(g *group)) {
		synctest.Test(t, func(t *testing.T) {
			g := newGroup()
			g.start("a")
			g.start("b")
			time.Sleep(time.Second)
			defer g.stopAll()
			Convey(name, t, func() { scene(g) })
		})
	}
	play("One candidate leads, and goes on leading", func(g *group) {
		time.Sleep(time.Minute)
		So(len(g.history()), ShouldEqual, 1)
		So(g.history()[0].token, ShouldEqual, 1)
	})
	play("A holder that stops gives the lease back, and the other leads at once with a higher token", func(g *group) {
		name, first := g.leader()
		g.candidates[name].stop()
		time.Sleep(200 * time.Millisecond)
		next, second := g.leader()
		So(next, ShouldEqual, other(name))
		So(second.Token, ShouldBeGreaterThan, first.Token)
		So(g.holds(name, first), ShouldBeFalse)
		So(g.holds(next, second), ShouldBeTrue)
	})
	play("A holder that is silent and cut from the store is replaced within 2.3 s, and learns it once it is back", func(g *group) {
		name, first := g.leader()
		g.set(g.silent, name, true)
		g.set(g.cut, name, true)
		time.Sleep(2300 * time.Millisecond)
		next, _ := g.leader()
		So(next, ShouldEqual, other(name))
		g.set(g.cut, name, false)
		time.Sleep(15 * time.Second)
		synctest.Wait()
		So(g.isLeading(name), ShouldBeFalse)
		So(g.holds(name, first), ShouldBeFalse)
	})
	play("A holder that only the other candidate cannot reach keeps the lease", func(g *group) {
		name, first := g.leader()
		g.set(g.silent, name, true)
		time.Sleep(time.Minute)
		So(len(g.history()), ShouldEqual, 1)
		So(g.holds(name, first), ShouldBeTrue)
		So(g.isLeading(name), ShouldBeTrue)
	})
	restart := func(g *group) {
		name, first := g.leader()
		g.kill(name)
		g.start(name)
		time.Sleep(500 * time.Millisecond)
		next, second := g.leader()
		So(next, ShouldEqual, name)
		So(second.Token, ShouldBeGreaterThan, first.Token)
		So(g.holds(next, second), ShouldBeTrue)
	}
	play("A holder that is started again takes its own lease back at once, as another term", restart)
	// In 1 of 50 to 100 runs the elector led before start had put the new life in place of the old one, and the term was noted for the old one:
	// the new one seemed not to lead.
	play("and as its new life's term, also if it leads before the caller of start goes on", func(g *group) {
		g.electorFirst = true
		restart(g)
	})
	play("A holder that is lost while the store is silent is replaced within 2.2 s of the store's return", func(g *group) {
		name, _ := g.leader()
		g.set(g.silent, name, true)
		g.set(g.cut, name, true)
		g.set(g.cut, other(name), true)
		time.Sleep(5 * time.Second)
		So(len(g.history()), ShouldEqual, 1)
		g.set(g.cut, other(name), false)
		time.Sleep(2200 * time.Millisecond)
		next, _ := g.leader()
		So(next, ShouldEqual, other(name))
	})
	play("While the store is down the holder stays", func(g *group) {
		g.set(g.cut, "a", true)
		g.set(g.cut, "b", true)
		time.Sleep(20 * time.Second)
		g.set(g.cut, "a", false)
		g.set(g.cut, "b", false)
		time.Sleep(20 * time.Second)
		So(len(g.history()), ShouldEqual, 1)
	})
}

func TestTokensRise(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup()
		for _, name := range []string{"a", "b", "c"} {
			g.start(name)
		}
		time.Sleep(time.Second)
		for round := range 8 {
			name, _ := g.leader()
			if round%2 == 0 {
				g.set(g.cut, name, true)
				g.set(g.silent, name, true)
			} else {
				g.candidates[name].stop()
				g.start(name)
			}
			time.Sleep(4 * time.Second)
			g.set(g.cut, name, false)
			g.set(g.silent, name, false)
			time.Sleep(8 * time.Second)
		}
		g.stopAll()
		Convey("Through losses and stops every term has a higher token than the one before", t, func() {
			So(len(g.history()), ShouldBeGreaterThan, 4)
			terms := g.history()
			for i := 1; i < len(terms); i++ {
				So(fmt.Sprint(terms[i].token > terms[i-1].token, terms[i]), ShouldStartWith, "true")
			}
		})
	})
}

// On 45 storage machines 44 writes were lost at the first election and 43 at a challenge, and up to twenty candidates asked a holder to
// yield at once.
func TestManyCandidates(t *testing.T) {
	start := func() (g *group, holder string) {
		g = newGroup()
		for i := range 20 {
			g.start(fmt.Sprintf("candidate-%d", i))
		}
		time.Sleep(time.Second)
		holder, _ = g.leader()
		return g, holder
	}
	// take returns what the candidates have done since it was last called.
	take := func(g *group) (writes, yields int) {
		g.mu.Lock()
		defer g.mu.Unlock()
		writes, yields = g.writes, g.yields
		g.writes, g.yields = 0, 0
		return writes, yields
	}
	synctest.Test(t, func(t *testing.T) {
		g, _ := start()
		defer g.stopAll()
		Convey("Of many candidates one writes a lease that nobody holds", t, func() {
			writes, _ := take(g)
			So(writes, ShouldBeLessThanOrEqualTo, 2)
		})
	})
	synctest.Test(t, func(t *testing.T) {
		g, holder := start()
		defer g.stopAll()
		Convey("Of many candidates a few act when the holder is lost, and one leads within 3 s", t, func() {
			take(g)
			g.set(g.silent, holder, true)
			g.set(g.cut, holder, true)
			time.Sleep(3 * time.Second)
			next, _ := g.leader()
			So(next, ShouldNotEqual, holder)
			writes, _ := take(g)
			So(writes, ShouldBeLessThanOrEqualTo, 6)
		})
	})
	synctest.Test(t, func(t *testing.T) {
		g, holder := start()
		defer g.stopAll()
		Convey("and when the store turns the holder alone away", t, func() {
			take(g)
			g.set(g.refused, holder, true)
			time.Sleep(3 * time.Second)
			next, _ := g.leader()
			So(next, ShouldNotEqual, holder)
			writes, yields := take(g)
			So(writes, ShouldBeLessThanOrEqualTo, 6)
			So(yields, ShouldBeLessThanOrEqualTo, 3)
		})
	})
}
