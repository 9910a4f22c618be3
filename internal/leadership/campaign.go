package leadership

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/covelink/covelink/coord/lease"
)

const (
	// activeCandidates is how many nodes, by rank, campaign all the time; the others look now and then whether the lease
	// is held and step in when it is not.
	activeCandidates = 3
	// standInLengths is how many lease lengths a node that stepped in campaigns before it looks again.
	standInLengths = 2
)

// contest is this node's campaign for one lease.
type contest struct {
	name string
	// ctx ends with the campaign.
	ctx  context.Context
	won  chan *termContext // buffered; receives each term once
	term *termContext      // guarded by the elector's lock; nil outside a term
	left chan struct{}     // closed when the campaign has ended
}

func (c *contest) beginTerm(e *LeaseElector, token lease.Token) {
	c.term = newTermContext(c.ctx, e.now, Term{Name: c.name, Token: uint64(token)})
	c.won <- c.term
}

func (c *contest) endTerm() {
	if c.term != nil {
		c.term.cancel()
		c.term = nil
	}
}

// Campaign implements Elector. When ctx ends, or lead returns by itself, the lease is released at once; in the latter case
// this node leaves the lease to others for a lease length. The context of lead ends early enough that it has about a
// twentieth of the lease length to take notice before another node can hold the lease.
func (e *LeaseElector) Campaign(ctx context.Context, name string, zones []string, lead func(ctx context.Context, term Term)) {
	g, c := e.join(ctx, name, zones)
	if g == nil {
		level.Error(e.logger).Log("msg", "no seeds can vote", "lease", name)
		<-ctx.Done()
		return
	}
	defer e.leave(g, c)
	for ctx.Err() == nil {
		term := e.contend(ctx, g, c)
		if term == nil {
			continue
		}
		if term.Err() == nil {
			lead(term, term.term)
		}
		if e.resign(g, c, term) {
			pause(ctx, e.params.Timing.LeaseLength)
		}
	}
}

// join enters the contest after an earlier campaign of this node for the name has ended.
func (e *LeaseElector) join(ctx context.Context, name string, zones []string) (*group, *contest) {
	for {
		e.mu.Lock()
		g := e.group(zones)
		if g == nil {
			e.mu.Unlock()
			return nil, nil
		}
		earlier, ok := g.contests[name]
		if !ok {
			c := &contest{name: name, ctx: ctx, won: make(chan *termContext, 1), left: make(chan struct{})}
			g.contests[name] = c
			e.mu.Unlock()
			return g, c
		}
		e.mu.Unlock()
		<-earlier.left
	}
}

func (e *LeaseElector) leave(g *group, c *contest) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(g.contests, c.name)
	close(c.left)
}

// contend takes part in the election until this node wins, or returns nil.
func (e *LeaseElector) contend(ctx context.Context, g *group, c *contest) *termContext {
	rank, _ := e.rank(c.name, g.zones)
	contending, cancel := context.WithCancel(ctx)
	defer cancel()
	if rank >= activeCandidates {
		pause(ctx, time.Duration(rank-activeCandidates+1)*e.params.Timing.LeaseLength)
		if ctx.Err() != nil || !e.vacant(ctx, g, c.name) {
			return nil
		}
		contending, cancel = context.WithTimeout(ctx, standInLengths*e.params.Timing.LeaseLength)
		defer cancel()
	}
	e.mu.Lock()
	g.candidate.Campaign(e.now(), c.name, rank)
	e.mu.Unlock()
	e.wakeUp()
	select {
	case term := <-c.won:
		return term
	case <-contending.Done():
	}
	e.withdraw(g, c, "")
	select {
	case term := <-c.won: // won at the same moment; the term has been given up
		term.cancel()
	default:
	}
	return nil
}

// resign ends a term after lead has returned. It reports whether the term had not been lost.
func (e *LeaseElector) resign(g *group, c *contest, term *termContext) bool {
	_, successor := e.rank(c.name, g.zones)
	kept := term.Context.Err() == nil
	e.withdraw(g, c, successor)
	term.cancel()
	return kept
}

// withdraw releases what this node has of the lease and waits, for half a lease length at most, until the voters know.
func (e *LeaseElector) withdraw(g *group, c *contest, successor string) {
	var told sync.WaitGroup
	e.mu.Lock()
	c.endTerm()
	messages := g.candidate.Withdraw(c.name, successor)
	for _, message := range e.settle(g, e.now(), messages) {
		told.Add(1)
		e.send(g, message, told.Done)
	}
	e.mu.Unlock()
	told.Wait()
}

// pause waits for the duration or the end of ctx.
func pause(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
