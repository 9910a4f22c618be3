package leadership

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/covelink/covelink/coord/lease"
)

const (
	// activeCandidates is the number of top-ranked nodes that campaign continuously. Standby nodes poll the voters and
	// campaign only while the lease is free.
	activeCandidates = 3
	// standbyCampaignLengths is the duration of a standby node's campaign, in lease lengths.
	standbyCampaignLengths = 2
)

// campaign is this node's campaign for one lease.
type campaign struct {
	name string
	// ctx is canceled when the campaign ends.
	ctx   context.Context
	terms chan *termContext // buffered; receives each term once
	term  *termContext      // guarded by LeaseElector.mu; nil outside a term
	done  chan struct{}     // closed when the campaign has ended
}

func (c *campaign) beginTerm(e *LeaseElector, token lease.Token) {
	c.term = newTermContext(c.ctx, e.now, Term{Name: c.name, Token: uint64(token)})
	c.terms <- c.term
}

func (c *campaign) endTerm() {
	if c.term != nil {
		c.term.cancel()
		c.term = nil
	}
}

// Campaign implements Elector. It releases the lease at once when ctx ends or lead returns; if lead returns during its term,
// this node does not campaign for a lease length. The context of lead ends about a twentieth of the lease length before
// another node can hold the lease.
func (e *LeaseElector) Campaign(ctx context.Context, name string, zones []string, lead func(ctx context.Context, term Term)) {
	g, c := e.startCampaign(ctx, name, zones)
	if g == nil {
		level.Error(e.logger).Log("msg", "cannot campaign for lease: no voters in its zones, or too many zone sets", "lease", name)
		<-ctx.Done()
		return
	}
	defer e.endCampaign(g, c)
	for ctx.Err() == nil {
		term := e.awaitTerm(ctx, g, c)
		if term == nil {
			continue
		}
		if term.Err() == nil {
			lead(term, term.term)
		}
		if e.resign(g, c, term) {
			sleep(ctx, e.params.Timing.LeaseLength)
		}
	}
}

// startCampaign registers a campaign once any earlier campaign of this node for the name has ended. It returns nil if the
// zones have no group.
func (e *LeaseElector) startCampaign(ctx context.Context, name string, zones []string) (*group, *campaign) {
	for {
		e.mu.Lock()
		g := e.group(zones)
		if g == nil {
			e.mu.Unlock()
			return nil, nil
		}
		earlier, ok := g.campaigns[name]
		if !ok {
			c := &campaign{name: name, ctx: ctx, terms: make(chan *termContext, 1), done: make(chan struct{})}
			g.campaigns[name] = c
			e.mu.Unlock()
			return g, c
		}
		e.mu.Unlock()
		<-earlier.done
	}
}

func (e *LeaseElector) endCampaign(g *group, c *campaign) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(g.campaigns, c.name)
	close(c.done)
}

// awaitTerm campaigns until this node wins. It returns nil if ctx ends, the lease is held, or a standby campaign times out.
func (e *LeaseElector) awaitTerm(ctx context.Context, g *group, c *campaign) *termContext {
	rank, _ := e.rank(c.name, g.zones)
	campaignCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	if rank >= activeCandidates {
		sleep(ctx, time.Duration(rank-activeCandidates+1)*e.params.Timing.LeaseLength)
		if ctx.Err() != nil || !e.leaseFree(ctx, g, c.name) {
			return nil
		}
		campaignCtx, cancel = context.WithTimeout(ctx, standbyCampaignLengths*e.params.Timing.LeaseLength)
		defer cancel()
	}
	e.mu.Lock()
	g.candidate.Campaign(e.now(), c.name, rank)
	e.mu.Unlock()
	e.wakeUp()
	select {
	case term := <-c.terms:
		return term
	case <-campaignCtx.Done():
	}
	e.withdraw(g, c, "")
	select {
	case term := <-c.terms: // won concurrently; withdraw has released it
		term.cancel()
	default:
	}
	return nil
}

// resign ends a term after lead has returned. It reports whether the term was still held.
func (e *LeaseElector) resign(g *group, c *campaign, term *termContext) bool {
	_, successor := e.rank(c.name, g.zones)
	kept := term.Context.Err() == nil
	e.withdraw(g, c, successor)
	term.cancel()
	return kept
}

// withdraw releases the lease and waits for the voters to reply, for at most half a lease length.
func (e *LeaseElector) withdraw(g *group, c *campaign, successor string) {
	var sends sync.WaitGroup
	e.mu.Lock()
	c.endTerm()
	messages := g.candidate.Withdraw(c.name, successor)
	for _, message := range e.applyLocal(g, e.now(), messages) {
		sends.Add(1)
		e.send(g, message, sends.Done)
	}
	e.mu.Unlock()
	sends.Wait()
}

// sleep returns after the duration or when ctx ends.
func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
