package storerelay

import (
	"context"
	"maps"
	"time"

	"github.com/covelink/covelink/internal/boottime"
	"github.com/covelink/covelink/internal/metastore"
	"github.com/covelink/covelink/internal/pause"
	"github.com/covelink/covelink/internal/quarantine"
)

// Run polls the coordinating process, or a relay of it, until ctx ends, and looks for one among the candidates while none answers.
func (c *Client) Run(ctx context.Context) {
	// A hub is up to date for a client that asks for nothing: the answer would count as relayed, and the next one as a loss.
	pause.For(ctx, firstPollPause)
	known := newCandidates(c.Name, c.Seeds)
	for ctx.Err() == nil {
		before := c.Coordinator()
		address, how := known.choose(before)
		started := boottime.Now()
		reply, err := PollReply{}, error(nil)
		if address != "" {
			reply, err = c.poll(ctx, address, how)
		}
		if err == nil {
			err = c.take(reply, known)
		}
		if ctx.Err() != nil {
			return
		}
		if reply.Fresh && err == nil {
			known.answered()
			c.confirm(reply, started)
			c.setRelayed(true, address, nil)
			continue
		}
		if reply.Redirect && err == nil {
			// The relay is asked at once. Until it answers, what is known stays in use as after a loss.
			if !known.redirect() {
				pause.For(ctx, retryPause)
			}
			continue
		}
		c.setRelayed(false, address, err)
		if found := c.Coordinator(); found != before && found != "" {
			continue
		}
		if how.relay {
			known.relayFailed(err == nil)
		} else {
			known.failed(boottime.Since(started))
		}
		if !how.relay || err == nil {
			// A relay that does not answer is no sign that the next one will not: it is asked at once.
			pause.For(ctx, retryPause)
		}
	}
}

// take takes in all that a reply tells but how fresh it is.
func (c *Client) take(reply PollReply, known *candidates) error {
	if !c.Relay {
		known.learn(reply.Candidates)
	}
	c.learnQuarantine(reply.Quarantine)
	c.learnGuidance(reply)
	if c.Learned != nil && reply.Fresh {
		c.Learned(reply)
	}
	return c.apply(reply)
}

// confirm notes as of when a reply to a poll that began at a moment is true. The hub got the poll no earlier than it was sent, and answered Held later.
func (c *Client) confirm(reply PollReply, started time.Time) {
	at := started.Add(reply.Held - reply.Age)
	kinds := c.subscriptions()
	for kind := range reply.Revisions {
		if followed, ok := kinds[kind]; ok {
			c.noteConfirmed(kind, followed.current(), at)
		}
	}
}

// poll asks the hub of the process at an address.
func (c *Client) poll(ctx context.Context, address string, how manner) (PollReply, error) {
	request := PollRequest{Known: c.known(), Quarantine: c.quarantined, Wait: pollWait, Relay: c.Relay, Relayed: how.relay, MayRedirect: how.mayRedirect}
	if c.Served != nil {
		request.Served = c.Served()
	}
	relayed, _ := c.mode()
	var limit time.Duration
	switch {
	case relayed:
		limit = request.Wait + pollMargin
	case how.relay && !c.knowsNothing():
		// Another relay in place of one that was lost: it has what is asked for, or gets it from the coordinating process meanwhile.
		request.Wait, request.ReadyWait, limit = time.Millisecond, relayProbe, relayProbe+relayProbeMargin
	case how.relay:
		// The relay may have to ask the coordinating process first.
		request.Wait, request.ReadyWait, limit = time.Millisecond, guideWait, guideWait+listMargin
	default:
		// The first poll only asks whether the hub is of use. One that is not may still wait for news of who coordinates.
		request.Wait, limit = time.Millisecond, guideWait+pollMargin
	}
	if c.Relay && c.knowsNothing() {
		limit = guideWait + listMargin
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return c.Poll(ctx, address, request)
}

// knowsNothing reports whether a kind beside the lease is unknown.
func (c *Client) knowsNothing() bool {
	for kind, followed := range c.subscriptions() {
		if kind != c.Lease && !followed.known() {
			return true
		}
	}
	return false
}

// learnQuarantine takes in what is new in a hub's table.
func (c *Client) learnQuarantine(news quarantine.News) {
	if c.Quarantine == nil || news.Cursor == (quarantine.Cursor{}) {
		return
	}
	c.Quarantine.Merge(news.Records)
	c.quarantined = news.Cursor
}

// known returns up to which revision each kind is known; zero for those that are not.
func (c *Client) known() map[string]metastore.Revision {
	known := make(map[string]metastore.Revision)
	for kind, followed := range c.subscriptions() {
		known[kind] = followed.current().Revision
	}
	return known
}

// apply takes in a reply, all of it or nothing.
func (c *Client) apply(reply PollReply) error {
	changes := make([]Change, 0, len(reply.Changes))
	for _, packed := range reply.Changes {
		change, err := packed.unpacked()
		if err != nil {
			return err
		}
		changes = append(changes, change)
	}
	kinds := c.subscriptions()
	for _, change := range changes {
		if followed, ok := kinds[change.Kind]; ok {
			followed.apply(change)
		}
	}
	for kind, revision := range reply.Revisions {
		if followed, ok := kinds[kind]; ok {
			followed.advance(revision)
		}
	}
	return nil
}

func (c *Client) subscriptions() map[string]*subscription {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.kinds)
}
